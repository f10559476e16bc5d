#include "test/scheduling/held_run_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using std::chrono::milliseconds;
using Fixture = test::SchedulerFixture;
using test::HeldRunFixture;
using test::kLongestLease;
using test::kReplyDelay;
using test::kSlack;
using test::kStep;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr const char* kJob = HeldRunFixture::kJob;
/** @brief Start commands that may still be executed, by whichever incarnation
 * of their worker. */
class OpenStartTest : public HeldRunFixture {
  CPPUNIT_TEST_SUITE(OpenStartTest);
  CPPUNIT_TEST(OpenStartIsRepeatedUnderItsAttempt);
  CPPUNIT_TEST(OpenStartIsRepeatedAfterSilence);
  CPPUNIT_TEST(EachCrashUnderARepeatedStartIsCounted);
  CPPUNIT_TEST(CrashesUnderRepeatedStartsEndTheJob);
  CPPUNIT_TEST(SuspectsAreRepeatedOneByOne);
  CPPUNIT_TEST(SuccessorRepeatsAnOpenStart);
  CPPUNIT_TEST(SuccessorWaitsForAnOpenStartOnALostWorker);
  CPPUNIT_TEST(SuccessorWaitsForTheLongestLeaseOfAGoneWorker);
  CPPUNIT_TEST(SuccessorDoesNotWaitForAnAnsweredStart);
  CPPUNIT_TEST(SuccessorDoesNotWaitForAWorkerThatLeaves);
  CPPUNIT_TEST(AdoptedRunKeepsAnOpenStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Whichever incarnation executes which copy of the command, it is one run.
  void OpenStartIsRepeatedUnderItsAttempt() {
    const execution::StartCommand start = BeginWithLongRunningTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    for (std::uint64_t incarnation = 2; incarnation < 5; ++incarnation) {
      m_fixture.scheduler.Handle(
          scheduling::WorkerUpdated{MakeWorker("w-1", incarnation)});
      m_fixture.RunCycles();
      ReplyToPollOf("w-1", {});
      m_fixture.RunCycles();
      const execution::StartCommand& last = m_fixture.worker_port.starts.back();
      CPPUNIT_ASSERT(start.to.worker == last.to.worker);
      CPPUNIT_ASSERT(start.attempt == last.attempt);
      CPPUNIT_ASSERT_EQUAL(incarnation, last.to.incarnation.Count());
      CPPUNIT_ASSERT(execution::WorkerTime() < last.lease_until);
    }
  }

  void OpenStartIsRepeatedAfterSilence() {
    const execution::StartCommand start = BeginWithLongRunningTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    KeepSilentFor(milliseconds(8000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    for (int poll = 0; poll < 4; ++poll) {
      ReplyToPollOf("w-1", {});
      m_fixture.clock.Advance(kStep);
      m_fixture.RunCycles();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    const execution::StartCommand& last = m_fixture.worker_port.starts.back();
    CPPUNIT_ASSERT(start.to.worker == last.to.worker);
    CPPUNIT_ASSERT(start.attempt == last.attempt);
  }

  // BUDGET: the task may be what crashes its worker, each time before it can
  // reply.
  void EachCrashUnderARepeatedStartIsCounted() {
    const execution::StartCommand start = BeginWithLongRunningTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    for (std::uint64_t incarnation = 2; incarnation < 5; ++incarnation) {
      m_fixture.scheduler.Handle(
          scheduling::WorkerUpdated{MakeWorker("w-1", incarnation)});
      CPPUNIT_ASSERT_EQUAL(Describe(start.task) + "#" +
                               std::to_string(start.attempt.Count()) + "=" +
                               std::to_string(incarnation - 1),
                           m_fixture.logger.Field("worker_crashed", "crashes"));
      m_fixture.RunCycles();
      ReplyToPollOf("w-1", {});
      m_fixture.RunCycles();
    }
  }

  // BUDGET: a repeat that was answered confirms that the task was at work.
  void CrashesUnderRepeatedStartsEndTheJob() {
    BeginWithLongRunningTask();
    m_fixture.scheduler.Handle(
        scheduling::WorkerRemoved{MakeId<core::InstanceId>("w-2")});
    std::size_t crashes = 0;
    while (crashes < m_fixture.worker_port.starts.size()) {
      const execution::StartCommand start = m_fixture.worker_port.starts.back();
      ++crashes;
      CPPUNIT_ASSERT(crashes < 6);
      execution::WorkerCommandReply reply =
          m_fixture.MakeReply(start, crashes == 1 ? WorkerCallOutcome::kUnknown
                                                  : WorkerCallOutcome::kDone);
      if (crashes > 1) {
        reply.clock = execution::WorkerTime(std::chrono::seconds(10));
      }
      m_fixture.scheduler.HandleStartReply(reply);
      m_fixture.RunCycles();
      m_fixture.clock.Advance(milliseconds(1000));
      m_fixture.scheduler.Handle(
          scheduling::WorkerUpdated{MakeWorker("w-1", crashes + 1)});
      m_fixture.RunCycles();
      ReplyToPollOf("w-1", {});
      for (int cycle = 0; cycle < 40; ++cycle) {
        m_fixture.RunCycles();
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         m_fixture.meter.Count(core::Counter::kTasksGivenUp));
  }

  // Otherwise the next crash does not show which of them is the cause.
  void SuspectsAreRepeatedOneByOne() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1")});
    job::Step step = MakeStep(2);
    step.is_long_running = true;
    m_fixture.scheduler.AddJob(MakeJob(kJob, {step}));
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    for (int index = 0; index < 2; ++index) {
      m_fixture.ReplyToStart(m_fixture.worker_port.starts[index],
                             WorkerCallOutcome::kUnknown);
    }
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.RunCycles();
    ReplyToPollOf("w-1", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_fixture.worker_port.starts.size());
  }

  // Issue 48, TWICE: the worker had replied without the run, and its next
  // incarnation executed the start of the earlier leader.
  void SuccessorRepeatsAnOpenStart() {
    BeginAsSuccessor(core::Attempt(7));
    ReplyToPollOf("w-1", {});
    ReplyToPollOf("w-2", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    const execution::StartCommand& start = m_fixture.worker_port.starts[0];
    CPPUNIT_ASSERT(MakeId<core::InstanceId>("w-1") == start.to.worker);
    CPPUNIT_ASSERT(core::Attempt(7) == start.attempt);
  }

  void SuccessorWaitsForAnOpenStartOnALostWorker() {
    BeginAsSuccessor(core::Attempt(7));
    const core::TimePoint began_at = m_fixture.clock.Now();
    ReplyToPollOf("w-2", {});
    const core::Duration longest = execution::kMaxCommandDelay + kLongestLease;
    while (m_fixture.worker_port.starts.empty()) {
      KeepSilentFor(kStep);
      CPPUNIT_ASSERT(m_fixture.clock.Now() < began_at + longest + kSlack);
    }
    CPPUNIT_ASSERT(began_at + longest - kReplyDelay <= m_fixture.clock.Now());
  }

  // LOST: the machine of its worker is down.
  void SuccessorWaitsForTheLongestLeaseOfAGoneWorker() {
    BeginAsSuccessor(core::Attempt(7));
    const core::TimePoint began_at = m_fixture.clock.Now();
    ReplyToPollOf("w-2", {});
    m_fixture.scheduler.Handle(
        scheduling::WorkerRemoved{MakeId<core::InstanceId>("w-1")});
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
    ListMachineWithoutWorker();
    ListMachineWithoutWorker();
    while (m_fixture.worker_port.starts.empty()) {
      KeepSilentFor(kStep);
      CPPUNIT_ASSERT(m_fixture.clock.Now() < began_at + kLongestLease + kSlack);
    }
    CPPUNIT_ASSERT(began_at + kLongestLease - kReplyDelay <=
                   m_fixture.clock.Now());
  }

  void SuccessorDoesNotWaitForAnAnsweredStart() {
    BeginAsSuccessor(std::nullopt);
    ReplyToPollOf("w-1", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(core::Attempt(7) < m_fixture.worker_port.starts[0].attempt);
  }

  // LOST: the worker has replied, which makes it reject the start, and takes no
  // task any more.
  void SuccessorDoesNotWaitForAWorkerThatLeaves() {
    BeginAsSuccessor(core::Attempt(7));
    execution::WorkerRecord leaving = MakeWorker("w-1");
    leaving.is_draining = true;
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{leaving});
    ReplyToPollOf("w-2", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(m_fixture.worker_port.starts.empty());
    ReplyToPollOf("w-1", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(MakeId<core::InstanceId>("w-2") ==
                   m_fixture.worker_port.starts[0].to.worker);
  }

  void AdoptedRunKeepsAnOpenStart() {
    BeginAsSuccessor(core::Attempt(7));
    ReplyToPollOf("w-2", {});
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kDone,
                  {{{MakeId<core::JobId>(kJob), {0, 0, 0}},
                    core::Attempt(7),
                    "",
                    50,
                    {}}});
    m_fixture.RunCycles();
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.RunCycles();
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(m_fixture.worker_port.starts.empty());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(OpenStartTest, "scheduling");

}  // namespace
