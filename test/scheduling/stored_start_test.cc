#include "test/scheduling/successor_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using job::RunOutcome;
using std::chrono::milliseconds;
using Fixture = test::SchedulerFixture;
using test::kReplyDelay;
using test::kStep;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr const char* kJob = test::HeldRunFixture::kJob;

/** @brief Starts of finite tasks that a successor knows from the records of
 * their jobs. */
class StoredStartTest : public test::SuccessorFixture {
  CPPUNIT_TEST_SUITE(StoredStartTest);
  CPPUNIT_TEST(PlacementOfEachStartIsStored);
  CPPUNIT_TEST(SuccessorWaitsForTheStartOfAFiniteTask);
  CPPUNIT_TEST(TimeOfAStoredStartIsNotCountedAnew);
  CPPUNIT_TEST(AnsweredStartIsStoredAsSuch);
  CPPUNIT_TEST(SuccessorAdoptsAFiniteTaskWithoutAnOpenStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 61, TWICE: a successor must know which worker may execute a start of
  // a leader that was killed.
  void PlacementOfEachStartIsStored() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1")});
    m_fixture.scheduler.AddJob(
        MakeJob(kJob, {MakeStep(1), MakeStep(1, 1000, {0})}));
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    const execution::StartCommand first = m_fixture.worker_port.starts[0];
    m_fixture.ReplyToStart(first, WorkerCallOutcome::kDone);
    m_fixture.ReplyToPoll({}, {Fixture::EndedRun(first, 1, RunOutcome::kDone)});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    const execution::StartCommand second = m_fixture.worker_port.starts[1];
    const auto& commits = m_fixture.store.commits;
    const bool is_stored =
        std::any_of(commits.begin(), commits.end(), [&](const auto& commit) {
          return std::any_of(
              commit.progress.begin(), commit.progress.end(),
              [&](const auto& write) {
                const auto& placements = write.progress.placements;
                return placements && !placements->empty() &&
                       placements->front().task == second.task.key &&
                       placements->front().worker == second.to.worker &&
                       placements->front().open_attempt == second.attempt;
              });
        });
    CPPUNIT_ASSERT(is_stored);
  }

  // Issue 61 and 64, TWICE: the successor started another attempt elsewhere, or
  // repeated the start, and a later incarnation executed the start of the
  // killed leader beside it or after its end.
  void SuccessorWaitsForTheStartOfAFiniteTask() {
    BeginWithOneTask();
    BeginNextTerm(StoredHandover());
    const core::TimePoint began_at = m_fixture.clock.Now();
    const core::Duration longest = execution::kMaxCommandDelay;
    while (NewStarts().empty()) {
      ReplyToPollOf("w-1", {});
      ReplyToPollOf("w-2", {});
      m_fixture.clock.Advance(kStep);
      m_fixture.RunCycles();
      CPPUNIT_ASSERT(m_fixture.clock.Now() <
                     began_at + longest + scheduling::kPollWait);
    }
    CPPUNIT_ASSERT(began_at + longest - 2 * kReplyDelay <=
                   m_fixture.clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, NewStarts().size());
  }

  // LOST: what is left of the time of a start that only the job's record has
  // counts for each later leader, though all are killed.
  void TimeOfAStoredStartIsNotCountedAnew() {
    BeginWithOneTask();
    BeginNextTerm(StoredHandover());
    const core::TimePoint began_at = m_fixture.clock.Now();
    core::Duration lost{};
    for (int term = 0; term < 3; ++term) {
      const core::TimePoint stored_at = m_fixture.clock.Now();
      m_fixture.clock.Advance(milliseconds(2500));
      lost += m_fixture.clock.Now() - stored_at;
      BeginNextTerm(StoredHandover());
    }
    // Each leader is lost with what has passed since it stored the rest.
    const core::Duration longest = execution::kMaxCommandDelay + lost;
    while (NewStarts().empty()) {
      ReplyToPollOf("w-1", {});
      ReplyToPollOf("w-2", {});
      m_fixture.clock.Advance(kStep);
      m_fixture.RunCycles();
      CPPUNIT_ASSERT(m_fixture.clock.Now() <
                     began_at + longest + scheduling::kPollWait);
    }
    CPPUNIT_ASSERT(began_at + execution::kMaxCommandDelay - 2 * kReplyDelay <=
                   m_fixture.clock.Now());
  }

  // A start that was answered keeps no task waiting if its worker is lost with
  // the leader.
  void AnsweredStartIsStoredAsSuch() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    m_fixture.clock.Advance(scheduling::kAnsweredStartsDelay);
    m_fixture.RunCycles();
    BeginNextTerm(StoredHandover());
    ReplyToPollOf("w-1", {});
    ReplyToPollOf("w-2", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, NewStarts().size());
  }

  // Its only copy has been executed.
  void SuccessorAdoptsAFiniteTaskWithoutAnOpenStart() {
    const execution::StartCommand start = BeginWithOneTask();
    BeginNextTerm(StoredHandover());
    ReplyToPollOf("w-2", {});
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kDone,
                  {Fixture::ActiveRun(start)});
    m_fixture.RunCycles();
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.RunCycles();
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, NewStarts().size());
    CPPUNIT_ASSERT(start.attempt < NewStarts()[0].attempt);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoredStartTest, "scheduling");

}  // namespace
