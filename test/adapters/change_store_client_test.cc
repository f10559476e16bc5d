#include "crocusmast/adapters/change_store_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include "crocusmast/adapters/configuration_codec.h"
#include "crocusmast/adapters/http_server.h"
#include "test/support/factories.h"
#include "test/support/mocks.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace crocusmast;
using configuration::AppendOutcome;
using configuration::Change;
using test::MakeId;

Change MakeChange(const std::string& id) {
  const configuration::Row row = test::MakePlan("a");
  return {core::Revision(1),
          {MakeId<core::ChangeId>(id), "ann", "why", {}},
          {{configuration::KeyOf(row), std::nullopt, row}}};
}

/**
 * @brief Uses a store of one key that can lose a write, or only its response.
 */
class ChangeStoreClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeStoreClientTest);
  CPPUNIT_TEST(AppendSucceedsIfOnlyResponseIsLost);
  CPPUNIT_TEST(AppendReportsRevisionTakenByOtherChange);
  CPPUNIT_TEST(AppendFailsIfWriteIsLost);
  CPPUNIT_TEST(AppendFailsIfStoreIsUnreachable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_port = test::FindFreePort();
    m_server = std::make_unique<adapters::internal::HttpServer>(
        adapters::internal::HttpServerLimits{4, 1 << 20});
    m_server->Routes().Put("/keys/(.+)", [this](const httplib::Request& request,
                                                httplib::Response& response) {
      Put(request, response);
    });
    m_server->Routes().Get("/keys/(.+)", [this](const httplib::Request&,
                                                httplib::Response& response) {
      response.status = m_value.empty() ? 404 : 200;
      response.set_content(m_value, "application/json");
    });
    m_server->Start({"127.0.0.1", m_port}).value();
    m_client =
        adapters::ChangeStoreClient::Create({"127.0.0.1", m_port}, m_meter);
  }

  void tearDown() override { m_server.reset(); }

  void AppendSucceedsIfOnlyResponseIsLost() {
    m_loses_response = true;
    CPPUNIT_ASSERT(m_client->Append(MakeChange("mine")).value() ==
                   AppendOutcome::kAppended);
    CPPUNIT_ASSERT_EQUAL(1, m_writes);
  }

  void AppendReportsRevisionTakenByOtherChange() {
    m_value = adapters::FormatChange(MakeChange("other"));
    CPPUNIT_ASSERT(m_client->Append(MakeChange("mine")).value() ==
                   AppendOutcome::kRevisionTaken);
    CPPUNIT_ASSERT(m_client->Append(MakeChange("other")).value() ==
                   AppendOutcome::kAppended);
  }

  void AppendFailsIfWriteIsLost() {
    m_loses_write = true;
    CPPUNIT_ASSERT_EQUAL(
        std::string("write store (store): the change was not stored; nothing "
                    "changed, retry"),
        AppendError());
  }

  void AppendFailsIfStoreIsUnreachable() {
    m_server.reset();
    CPPUNIT_ASSERT(AppendError().rfind("connect (127.0.0.1:", 0) == 0);
    CPPUNIT_ASSERT(m_meter.Count(core::Counter::kStoreFailures) >= 1);
  }

 private:
  void Put(const httplib::Request& request, httplib::Response& response) {
    if (m_loses_write) {
      response.status = 504;
      return;
    }
    if (!m_value.empty()) {
      response.status = 409;
      return;
    }
    m_value = request.body;
    ++m_writes;
    response.status = m_loses_response ? 504 : 200;
  }

  std::string AppendError() {
    return core::Handle(
        [&]() -> core::Result<std::string> {
          BOOST_LEAF_CHECK(m_client->Append(MakeChange("mine")));
          return std::string();
        },
        [](const core::Error& error) { return core::Describe(error); });
  }

  std::uint16_t m_port = 0;
  std::string m_value;
  int m_writes = 0;
  bool m_loses_response = false;
  bool m_loses_write = false;
  test::CountingMeter m_meter;
  std::unique_ptr<adapters::internal::HttpServer> m_server;
  std::unique_ptr<adapters::ChangeStoreClient> m_client;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ChangeStoreClientTest, "adapters");

}  // namespace
