#include "test/scheduling/later_incarnation_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using std::chrono::milliseconds;
using test::LaterIncarnationFixture;
using test::MakeWorker;

/** @brief What the log tells of runs that no worker reported as ended. */
class RunEndLogTest : public LaterIncarnationFixture {
  CPPUNIT_TEST_SUITE(RunEndLogTest);
  CPPUNIT_TEST(LostRunNamesItsEvidence);
  CPPUNIT_TEST(RejectedStartNamesItsEvidence);
  CPPUNIT_TEST(SettledWorkerNamesItsLease);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 51: the record said of a run that it was lost, and no more.
  void LostRunNamesItsEvidence() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    m_fixture.ReplyToPoll({test::SchedulerFixture::ActiveRun(start)}, {});
    m_fixture.clock.Advance(milliseconds(40));
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    ExpectField("evidence", "it has restarted");
    ExpectField("attempt", std::to_string(start.attempt.Count()));
    ExpectField("incarnation", "1");
    ExpectField("start", "listed");
    ExpectField("failed_polls", "0");
    ExpectField("token", "10");
    const auto& logger = m_fixture.logger;
    CPPUNIT_ASSERT(40 <= std::stoi(logger.Field("task_ended", "sent_ms")));
    CPPUNIT_ASSERT(0 < std::stoi(logger.Field("task_ended", "lease_left_ms")));
  }

  void RejectedStartNamesItsEvidence() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kInsufficientResources);
    ExpectField("evidence", "the worker rejected its start");
    ExpectField("start", "rejected");
  }

  void SettledWorkerNamesItsLease() {
    m_fixture.BeginTerm(
        20, {{{test::MakeId<core::InstanceId>("w-1"), core::Incarnation(3),
               test::MakeId<core::PoolId>("pool"), milliseconds(900)}},
             {}});
    m_fixture.SetWorkers({MakeWorker("w-1", 3)});
    ReplyToPollOf("w-1", {});
    CPPUNIT_ASSERT_EQUAL(
        std::string("3"),
        m_fixture.logger.Field("worker_settled", "incarnation"));
    const int left =
        std::stoi(m_fixture.logger.Field("worker_settled", "lease_left_ms"));
    CPPUNIT_ASSERT(0 < left && left <= 900);
  }

 private:
  void ExpectField(const char* name, const std::string& value) const {
    CPPUNIT_ASSERT_EQUAL(value, m_fixture.logger.Field("task_ended", name));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RunEndLogTest, "scheduling");

}  // namespace
