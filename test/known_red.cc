#include "test/known_red.h"

#include <cppunit/TestComposite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <ostream>
#include <sstream>
#include <utility>

namespace test {
namespace {

constexpr char kListVariable[] = "CROCUSMAST_KNOWN_RED";
constexpr char kSeparator[] = " | ";
constexpr std::size_t kFields = 5;

/** @brief Runs the tests that are left of a suite. */
class FilteredSuite final : public CppUnit::TestComposite {
 public:
  FilteredSuite(std::unique_ptr<CppUnit::Test> suite,
                std::vector<CppUnit::Test*> tests)
      : CppUnit::TestComposite(suite->getName()),
        m_suite(std::move(suite)),
        m_tests(std::move(tests)) {}

  int getChildTestCount() const override {
    return static_cast<int>(m_tests.size());
  }

 protected:
  CppUnit::Test* doGetChildTestAt(int index) const override {
    return m_tests.at(static_cast<std::size_t>(index));
  }

 private:
  std::unique_ptr<CppUnit::Test> m_suite;
  std::vector<CppUnit::Test*> m_tests;
};

void CollectTests(CppUnit::Test& test, std::vector<CppUnit::Test*>& tests) {
  if (test.getChildTestCount() == 0 && test.countTestCases() == 1) {
    tests.push_back(&test);
  }
  for (int index = 0; index < test.getChildTestCount(); ++index) {
    CollectTests(*test.getChildTestAt(index), tests);
  }
}

std::string NameOf(const CppUnit::Test& test) {
  const std::string prefix = "(anonymous namespace)::";
  const std::string name = test.getName();
  return name.compare(0, prefix.size(), prefix) == 0
             ? name.substr(prefix.size())
             : name;
}

std::unique_ptr<CppUnit::Test> MakeSuite(const std::string& suite) {
  return std::unique_ptr<CppUnit::Test>(
      CppUnit::TestFactoryRegistry::getRegistry(suite).makeTest());
}

/** @brief Returns whether an entry names a run of the soak or of the users'
 * bench, which this program does not know. */
bool IsRunOfOtherProgram(const std::string& name) {
  return name.rfind("tools/soak ", 0) == 0 || name.rfind("fleetbench ", 0) == 0;
}

std::vector<std::string> SplitFields(const std::string& line) {
  std::vector<std::string> fields;
  const std::string separator = kSeparator;
  std::size_t begin = 0;
  for (std::size_t end = line.find(separator); end != std::string::npos;
       end = line.find(separator, begin)) {
    fields.push_back(line.substr(begin, end - begin));
    begin = end + separator.size();
  }
  fields.push_back(line.substr(begin));
  return fields;
}

const KnownRedTest* Find(const std::vector<KnownRedTest>& entries,
                         const std::string& name) {
  const auto found = std::find_if(
      entries.begin(), entries.end(),
      [&name](const KnownRedTest& entry) { return entry.name == name; });
  return found == entries.end() ? nullptr : &*found;
}

}  // namespace

std::vector<KnownRedTest> ParseKnownRedTests(const std::string& text) {
  std::vector<KnownRedTest> entries;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.empty()) {
      continue;
    }
    const std::vector<std::string> fields = SplitFields(line);
    const bool has_empty_field =
        std::any_of(fields.begin(), fields.end(), [](const std::string& field) {
          return field.find_first_not_of(' ') == std::string::npos;
        });
    if (fields.size() != kFields || has_empty_field) {
      throw KnownRedError("malformed entry: " + line);
    }
    if (Find(entries, fields[0]) != nullptr) {
      throw KnownRedError("listed twice: " + fields[0]);
    }
    if (IsRunOfOtherProgram(fields[0])) {
      continue;
    }
    entries.push_back({fields[0], fields[1], fields[2], fields[3], fields[4]});
  }
  return entries;
}

std::vector<KnownRedTest> ReadKnownRedTests() {
  const char* path = std::getenv(kListVariable);
  if (path == nullptr) {
    return {};
  }
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  // An empty file sets the stream's fail bit too.
  if (!file.is_open()) {
    throw KnownRedError(std::string("cannot read ") + path);
  }
  return ParseKnownRedTests(text.str());
}

void CheckKnownRedTests(const std::vector<KnownRedTest>& entries,
                        const std::vector<std::string>& suites) {
  std::vector<std::string> names;
  for (const std::string& suite_name : suites) {
    const std::unique_ptr<CppUnit::Test> suite = MakeSuite(suite_name);
    std::vector<CppUnit::Test*> tests;
    CollectTests(*suite, tests);
    for (const CppUnit::Test* test : tests) {
      names.push_back(NameOf(*test));
    }
  }
  for (const KnownRedTest& entry : entries) {
    const auto matches = std::count(names.begin(), names.end(), entry.name);
    if (matches != 1) {
      throw KnownRedError(std::to_string(matches) + " tests are named " +
                          entry.name);
    }
  }
}

std::unique_ptr<CppUnit::Test> LeaveOut(
    std::unique_ptr<CppUnit::Test> suite,
    const std::vector<KnownRedTest>& entries,
    std::ostream& printed) {
  std::vector<CppUnit::Test*> tests;
  CollectTests(*suite, tests);
  const auto is_left_out = [&](const CppUnit::Test* test) {
    const KnownRedTest* entry = Find(entries, NameOf(*test));
    if (entry != nullptr) {
      printed << "known red: " << entry->name << " (" << entry->issue << ")\n";
    }
    return entry != nullptr;
  };
  tests.erase(std::remove_if(tests.begin(), tests.end(), is_left_out),
              tests.end());
  return std::make_unique<FilteredSuite>(std::move(suite), std::move(tests));
}

}  // namespace test
