#ifndef TEST_KNOWN_RED_H_
#define TEST_KNOWN_RED_H_

#include <cppunit/Test.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace test {

/** @brief A test that fails because of a fault that is not fixed yet. */
struct KnownRedTest {
  /** @brief Name as CppUnit prints it, without the anonymous namespace. */
  std::string name;
  std::string command;
  std::string seed;
  std::string failure;
  std::string issue;
};

/** @brief A list of known failures that is malformed or out of date. */
class KnownRedError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/**
 * @brief Parses a list of known failures.
 *
 * Each line that is not empty is an entry of five fields, none of them empty:
 * `Fixture::TestName | command | seed | failure | issue`.
 * @throws KnownRedError if a line is malformed or a name is listed twice.
 */
std::vector<KnownRedTest> ParseKnownRedTests(const std::string& text);

/**
 * @brief Reads the list whose path is in the environment variable
 * CROCUSMAST_KNOWN_RED.
 * @return The entries; empty if the variable is not set.
 * @throws KnownRedError if the file cannot be read or is invalid.
 */
std::vector<KnownRedTest> ReadKnownRedTests();

/**
 * @brief Checks that each entry names exactly one test of all suites.
 * @throws KnownRedError if it names none or several.
 */
void CheckKnownRedTests(const std::vector<KnownRedTest>& entries,
                        const std::vector<std::string>& suites);

/**
 * @brief Leaves the listed tests out of a suite and prints their names.
 * @param suite The suite.
 * @param entries The tests to leave out; those of other suites are ignored.
 * @param printed Receives a line for each test that is left out.
 */
std::unique_ptr<CppUnit::Test> LeaveOut(
    std::unique_ptr<CppUnit::Test> suite,
    const std::vector<KnownRedTest>& entries,
    std::ostream& printed);

}  // namespace test

#endif  // TEST_KNOWN_RED_H_
