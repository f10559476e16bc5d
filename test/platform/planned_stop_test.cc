#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "crocusmast/adapters/records/job_records.h"
#include "platform/keys.h"
#include "test/platform/scripted_store.h"
#include "test/platform/scripted_worker.h"
#include "test/platform/test_instance.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace crocusmast;
using std::chrono::milliseconds;
using test::MakeId;
namespace records = crocusmast::adapters::records;

constexpr char kJob[] = "job";

/** @brief A leader that is stopped, between a scripted store and a worker. */
class PlannedStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlannedStopTest);
  CPPUNIT_TEST(HandoverIsStoredByAFastStore);
  CPPUNIT_TEST(HandoverIsStoredByASlowStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_outside->Start();
    m_store.Put(
        {{platform::keys::MakeJobKey(MakeId<core::JobId>(kJob),
                                     platform::keys::JobField::kAccepted),
          records::EncodeJob(test::MakeJob(kJob, {test::MakeStep(1)}))},
         {std::string(platform::keys::kWorkerPrefix) + "worker",
          m_worker.MembershipEntry("pool", 4000)}});
    m_leader.Start(
        std::make_shared<const queue::QueueCatalog>(test::MakeQueueCatalog()));
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (m_worker.StartCount() == 0) {
      CPPUNIT_ASSERT_MESSAGE("the leader starts the task",
                             std::chrono::steady_clock::now() < deadline);
      std::this_thread::sleep_for(milliseconds(10));
    }
  }

  void HandoverIsStoredByAFastStore() { CheckHandover(milliseconds(0)); }

  // Issue 21: the lease of a stopping leader was released before its handover
  // state was stored, so its successor waited for the longest leases.
  void HandoverIsStoredByASlowStore() { CheckHandover(milliseconds(60)); }

 private:
  void CheckHandover(milliseconds transaction_time) {
    m_store.SetTransactionTime(transaction_time);
    m_leader.Push(manager::ShutdownRequested());
    std::this_thread::sleep_for(kStopTime);
    m_leader.Stop();
    m_outside->Stop();
    const std::string record = m_store.Value(platform::keys::kHandover);
    const job::HandoverState handover =
        records::DecodeHandoverState(record).value();
    CPPUNIT_ASSERT_MESSAGE("stored by a leader that resigned",
                           handover.fleet.machine_cooldowns.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, handover.workers.size());
    CPPUNIT_ASSERT(handover.workers[0].lease_remaining <
                   scheduling::kWorkerLeaseLength * 2);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_store.Value(platform::keys::kLeader));
  }

  /** @brief Longer than the calls of a resignation take. */
  static constexpr milliseconds kStopTime{500};

  std::unique_ptr<adapters::async::IoThread> m_outside =
      adapters::async::IoThread::Create(1024);
  const std::uint16_t m_store_port = test::FindFreePort();
  test::ScriptedStore m_store{*m_outside, m_store_port};
  test::ScriptedWorker m_worker{
      *m_outside, test::FindFreePort(),
      [](const std::string& task) { return milliseconds(60'000); }};
  test::NullLogger m_logger;
  test::TestInstance m_leader{"leader", m_store_port, m_logger};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlannedStopTest, "platform");

}  // namespace
