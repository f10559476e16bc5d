#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "crocusmast/adapters/log_format.h"

namespace {

using namespace crocusmast;
using adapters::LogFormatter;

core::WallTime At(std::int64_t milliseconds) {
  return core::WallTime(std::chrono::milliseconds(milliseconds));
}

class LogFormatTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogFormatTest);
  CPPUNIT_TEST(JsonLineHasAllFields);
  CPPUNIT_TEST(SpecialCharactersAreEscaped);
  CPPUNIT_TEST(InvalidUtf8IsReplaced);
  CPPUNIT_TEST(DateFollowsTheSecond);
  CPPUNIT_TEST_SUITE_END();

 public:
  void JsonLineHasAllFields() {
    LogFormatter formatter;
    const auto json = nlohmann::json::parse(
        formatter.FormatJson({core::Component::kScheduling,
                              core::Severity::kInfo,
                              "Placed tasks.",
                              {{"event", "tasks_placed"}, {"left_ms", "-12"}}},
                             At(5)));
    const nlohmann::json expected{{"time", "1970-01-01T00:00:00.005Z"},
                                  {"severity", "info"},
                                  {"part", "schedule"},
                                  {"message", "Placed tasks."},
                                  {"event", "tasks_placed"},
                                  {"left_ms", "-12"}};
    CPPUNIT_ASSERT(expected == json);
  }

  void SpecialCharactersAreEscaped() {
    LogFormatter formatter;
    const std::string text = "a \"b\" \\ c\n\t\x01 \xc3\xa4";
    const auto json = nlohmann::json::parse(formatter.FormatJson(
        {core::Component::kHttp, core::Severity::kError, text, {}}, At(0)));
    CPPUNIT_ASSERT_EQUAL(text, json.at("message").get<std::string>());
  }

  void InvalidUtf8IsReplaced() {
    LogFormatter formatter;
    const auto json = nlohmann::json::parse(formatter.FormatJson(
        {core::Component::kHttp, core::Severity::kError, "a\xff", {}}, At(0)));
    CPPUNIT_ASSERT_EQUAL(std::string("a\xef\xbf\xbd"),
                         json.at("message").get<std::string>());
  }

  void DateFollowsTheSecond() {
    LogFormatter formatter;
    const core::LogRecord record{
        core::Component::kHttp, core::Severity::kInfo, "x", {}};
    CPPUNIT_ASSERT_EQUAL(std::string("1970-01-01T00:00:59.999Z info [http] x"),
                         formatter.FormatText(record, At(59999)));
    CPPUNIT_ASSERT_EQUAL(std::string("1970-01-01T00:01:00.000Z info [http] x"),
                         formatter.FormatText(record, At(60000)));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LogFormatTest, "adapters");

}  // namespace
