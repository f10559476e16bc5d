#include "crocusmast/daemon/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

#include "crocusmast/adapters/caller_server.h"
#include "crocusmast/daemon/daemon.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace crocusmast;
using daemon::ParseCommandLine;
using daemon::ParsedCommandLine;

ParsedCommandLine Parse(std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "crocusmastd");
  return ParseCommandLine(static_cast<int>(arguments.size()), arguments.data())
      .value();
}

std::string ParseError(std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "crocusmastd");
  return core::Handle(
      [&]() -> core::Result<std::string> {
        BOOST_LEAF_CHECK(ParseCommandLine(static_cast<int>(arguments.size()),
                                          arguments.data()));
        return std::string();
      },
      [](const core::Error& error) { return core::Describe(error); });
}

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(FlagTakesPrecedenceOverEnvironment);
  CPPUNIT_TEST(ErrorNamesInvalidSetting);
  CPPUNIT_TEST(SecretsAreNeverPrinted);
  CPPUNIT_TEST(ErrorNamesMissingSecret);
  CPPUNIT_TEST(ErrorNamesAddressInUse);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    setenv("CROCUSMAST_OPERATOR_TOKEN", "operator-secret", 1);
    setenv("CROCUSMAST_PEER_TOKEN", "peer-secret", 1);
    setenv("CROCUSMAST_ZONE", "zone-e", 1);
  }

  void tearDown() override {
    unsetenv("CROCUSMAST_ZONE");
    unsetenv("CROCUSMAST_OPERATOR_TOKEN");
    unsetenv("CROCUSMAST_PEER_TOKEN");
  }

  void FlagTakesPrecedenceOverEnvironment() {
    CPPUNIT_ASSERT_EQUAL(std::string("zone-e"),
                         Parse({"--id", "a"}).settings.zone.Text());
    CPPUNIT_ASSERT_EQUAL(
        std::string("zone-f"),
        Parse({"--id", "a", "--zone", "zone-f"}).settings.zone.Text());
  }

  void ErrorNamesInvalidSetting() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("parse settings (id): value ''; allowed: 1 to 64 letters, "
                    "digits, '.', '_', ':', '-'"),
        ParseError({}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("parse settings (listen): value 'x:70000'; allowed: "
                    "HOST:PORT with a port of 1 to 65535"),
        ParseError({"--id", "a", "--listen", "x:70000"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("parse settings (caller-threads): value '0'; allowed: 1 "
                    "to 4096"),
        ParseError({"--id", "a", "--caller-threads", "0"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("parse settings (log-format): value 'xml'; allowed: text, "
                    "json"),
        ParseError({"--id", "a", "--log-format", "xml"}));
    CPPUNIT_ASSERT(ParseError({"--id", "a", "--colour", "red"})
                       .rfind("parse settings (command line)", 0) == 0);
  }

  void SecretsAreNeverPrinted() {
    const std::string text =
        Parse({"--id", "a", "--print-settings"}).text_to_print;
    CPPUNIT_ASSERT(text.find("zone=zone-e") != std::string::npos);
    CPPUNIT_ASSERT(text.find("secret") == std::string::npos);
  }

  void ErrorNamesMissingSecret() {
    unsetenv("CROCUSMAST_PEER_TOKEN");
    CPPUNIT_ASSERT(
        ParseError({"--id", "a"})
            .rfind("parse settings (CROCUSMAST_PEER_TOKEN): the secret", 0) ==
        0);
  }

  void ErrorNamesAddressInUse() {
    const test::ScriptedTcpServer server([](int) {});
    const std::string address = "127.0.0.1:" + std::to_string(server.Port());
    const std::string peer =
        "127.0.0.1:" + std::to_string(test::FindFreePort());
    const std::string admin =
        "127.0.0.1:" + std::to_string(test::FindFreePort());
    const daemon::Settings settings =
        Parse({"--id", "a", "--listen", address.c_str(), "--peer", peer.c_str(),
               "--admin", admin.c_str(), "--caller-threads", "2",
               "--forward-threads", "2", "--log-level", "error"})
            .settings;
    const std::string error = core::Handle(
        [&]() -> core::Result<std::string> {
          BOOST_LEAF_CHECK(daemon::Daemon::Create(settings));
          return std::string();
        },
        [](const core::Error& failure) { return core::Describe(failure); });
    CPPUNIT_ASSERT_EQUAL(
        "listen (" + address +
            "): the address is in use or not available on this host",
        error);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SettingsTest, "daemon");

}  // namespace
