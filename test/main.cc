#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Exception.h>
#include <cppunit/Message.h>
#include <cppunit/SourceLine.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <memory>
#include <sstream>
#include <string>
#include <trompeloeil.hpp>
#include <utility>
#include <vector>

#include "test/known_red.h"

namespace {

// The settings of RapidCheck's property tests: a fixed seed, so that runs are
// repeatable. RC_PARAMS in the environment takes precedence.
constexpr char kPropertySettings[] = "seed=20261204 max_success=10000";

std::unique_ptr<CppUnit::Test> MakeTests(const std::string& suite) {
  std::unique_ptr<CppUnit::Test> tests(
      suite.empty()
          ? CppUnit::TestFactoryRegistry::getRegistry().makeTest()
          : CppUnit::TestFactoryRegistry::getRegistry(suite).makeTest());
  const std::vector<test::KnownRedTest> known_red = test::ReadKnownRedTests();
  if (known_red.empty()) {
    return tests;
  }
  std::istringstream names(CROCUSMAST_TEST_SUITES);
  const std::vector<std::string> suites(
      std::istream_iterator<std::string>(names), {});
  test::CheckKnownRedTests(known_red, suites);
  return test::LeaveOut(std::move(tests), known_red, std::cout);
}

}  // namespace

namespace trompeloeil {

// Reports a violated expectation of a mock as a test failure. A violation that
// is not fatal is found in a destructor, which must not throw, so the process
// aborts.
template <>
void reporter<specialized>::send(severity level,
                                 const char* file,
                                 unsigned long line,
                                 const char* message) {
  CppUnit::SourceLine where(file, static_cast<int>(line));
  if (level == severity::fatal) {
    throw CppUnit::Exception(CppUnit::Message(message), where);
  }
  std::cerr << file << ":" << line << ": " << message << "\n";
  std::abort();
}

}  // namespace trompeloeil

int main(int argc, char** argv) {
  setenv("RC_PARAMS", kPropertySettings, 0);
  std::signal(SIGPIPE, SIG_IGN);
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::TestRunner runner;
  try {
    runner.addTest(MakeTests(argc > 1 ? argv[1] : "").release());
  } catch (const test::KnownRedError& error) {
    std::cerr << "list of known failures: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
  runner.run(result);
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  if (collector.runTests() == 0) {
    std::cerr << "no test ran\n";
    return EXIT_FAILURE;
  }
  return collector.wasSuccessful() ? EXIT_SUCCESS : EXIT_FAILURE;
}
