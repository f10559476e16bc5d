#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "test/scheduling/batch_model.h"
#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using Outcome = test::BatchModel::Outcome;
using std::chrono::milliseconds;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr milliseconds kCommitInterval{30};
/** @brief More than the entries of a transaction. */
constexpr int kBurst = 100;

core::JobId MakeJobId(int number) {
  const std::string digits = std::to_string(number);
  return MakeId<core::JobId>(std::string(16 - digits.size(), '0') + digits);
}

/** @brief The progress of jobs in batches, and its way out of them. */
class ProgressBatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProgressBatchTest);
  CPPUNIT_TEST(FewChangesUseNoBatch);
  CPPUNIT_TEST(BurstIsStoredByOneCommit);
  CPPUNIT_TEST(RunningJobSurvivesRemovalOfItsBatch);
  CPPUNIT_TEST(EndedJobsGetRecordsOfTheirOwn);
  CPPUNIT_TEST(BatchOfALostReplyIsRemoved);
  CPPUNIT_TEST(SuccessorRemovesBatches);
  CPPUNIT_TEST(SchedulerContinuesJobFromBatch);
  CPPUNIT_TEST(NumberOfBatchesIsBounded);
  CPPUNIT_TEST(NothingIsRevertedWhateverIsLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_model.BeginTerm(); }

  void FewChangesUseNoBatch() {
    for (int number = 0; number < 20; ++number) {
      m_model.Change(MakeJobId(number), false);
    }
    Commit();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_model.BatchCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, m_model.RecordCount());
  }

  void BurstIsStoredByOneCommit() {
    ChangeAll(false);
    Commit();
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBurst}, m_model.confirmed.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_model.BatchCount());
  }

  void RunningJobSurvivesRemovalOfItsBatch() {
    ChangeAll(false);
    Drain();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_model.BatchCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBurst}, m_model.RecordCount());
    CPPUNIT_ASSERT(m_model.RecordOf(MakeJobId(0)) == job::JobState::kRunning);
  }

  void EndedJobsGetRecordsOfTheirOwn() {
    ChangeAll(false);
    Commit();
    ChangeAll(true);
    Drain();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_model.BatchCount());
    for (int number = 0; number < kBurst; ++number) {
      CPPUNIT_ASSERT(m_model.RecordOf(MakeJobId(number)) ==
                     job::JobState::kSucceeded);
    }
  }

  void BatchOfALostReplyIsRemoved() {
    ChangeAll(false);
    Commit(Outcome::kLostReply);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_model.BatchCount());
    CPPUNIT_ASSERT(m_model.confirmed.empty());
    Drain();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_model.BatchCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBurst}, m_model.confirmed.size());
  }

  void SuccessorRemovesBatches() {
    ChangeAll(false);
    Commit();
    for (int number = 0; number < kBurst / 2; ++number) {
      m_model.Change(MakeJobId(number), true);
    }
    Commit();
    m_model.BeginTerm();
    Drain();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_model.BatchCount());
    CPPUNIT_ASSERT(m_model.RecordOf(MakeJobId(0)) == job::JobState::kSucceeded);
    CPPUNIT_ASSERT(m_model.RecordOf(MakeJobId(kBurst - 1)) ==
                   job::JobState::kRunning);
  }

  // A job whose progress is in a batch alone is neither started anew nor lost
  // with the batch.
  void SchedulerContinuesJobFromBatch() {
    test::SchedulerFixture fixture;
    const job::AcceptedJob accepted =
        MakeJob("0123456789abcdef", {MakeStep(2)});
    const job::BatchId batch{core::FencingToken(5), 3};
    job::JobProgress progress;
    progress.state = job::JobState::kRunning;
    progress.opened_count = 1;
    progress.open_occurrences.push_back({0, {{{true, false}, {}}}});
    progress.pools.emplace();
    fixture.catalog.Apply(job::BatchStored{batch});
    fixture.catalog.Apply(
        job::ProgressStored{accepted.id, progress, core::Revision(50), batch},
        fixture.clock.Now());
    fixture.catalog.Apply(job::JobStored{accepted}, fixture.clock.Now());
    job::HandoverState handover;
    handover.has_current_placements = true;
    fixture.BeginTerm(10, handover);
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(1U, fixture.worker_port.starts[0].task.key.index);
    fixture.RunCycles();
    bool has_own_record = false;
    bool is_batch_removed = false;
    for (const job::Commit& commit : fixture.store.commits) {
      for (const job::ProgressWrite& write : commit.progress) {
        has_own_record = has_own_record || write.id == accepted.id;
      }
      if (!commit.removed_batches.empty()) {
        CPPUNIT_ASSERT(has_own_record);
        CPPUNIT_ASSERT(commit.removed_batches[0] == batch);
        is_batch_removed = true;
      }
    }
    CPPUNIT_ASSERT(is_batch_removed);
  }

  // Jobs that change once and then run for long fill batches that others don't
  // make obsolete.
  void NumberOfBatchesIsBounded() {
    constexpr int kCommits = 170;
    constexpr int kJobsPerCommit = 70;
    int next = 0;
    std::size_t most = 0;
    for (int commit = 0; commit < kCommits; ++commit) {
      for (int number = 0; number < kJobsPerCommit; ++number) {
        m_model.Change(MakeJobId(next++), false);
      }
      Commit();
      most = std::max(most, m_model.BatchCount());
    }
    CPPUNIT_ASSERT_EQUAL(scheduling::kMaxBatches, most);
    Drain();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_model.BatchCount());
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(next),
                         m_model.confirmed.size());
  }

  // Also guards against a transaction with two writes of a key: an ended job
  // that was stored again, as one of its runs ended, was moved twice.
  void NothingIsRevertedWhateverIsLost() {
    const bool holds = rc::check("nothing is reverted", [] {
      test::BatchModel model;
      model.BeginTerm();
      const int steps = *rc::gen::inRange(1, 40);
      for (int step = 0; step < steps; ++step) {
        const int changes = *rc::gen::element(1, 10, 40, 80);
        const int first = *rc::gen::inRange(0, 60);
        const int end_share = *rc::gen::inRange(2, 8);
        for (int change = 0; change < changes; ++change) {
          model.Change(MakeJobId(first + change), change % end_share == 0);
          if (change % 3 == step % 3) {
            model.Touch(MakeJobId(first + change));
          }
        }
        model.Commit(*rc::gen::element(Outcome::kDone, Outcome::kDone,
                                       Outcome::kRefused, Outcome::kLostCall,
                                       Outcome::kLostReply));
        model.Advance(milliseconds(*rc::gen::element(20, 40, 100, 400, 2500)));
        if (*rc::gen::inRange(0, 10) == 0) {
          model.BeginTerm();
        }
        RC_ASSERT(model.fault == "");
      }
      DrainModel(model);
      RC_ASSERT(model.fault == "");
      RC_ASSERT(model.BatchCount() == std::size_t{0});
    });
    CPPUNIT_ASSERT(holds);
  }

 private:
  void ChangeAll(bool ends) {
    for (int number = 0; number < kBurst; ++number) {
      m_model.Change(MakeJobId(number), ends);
    }
  }

  void Commit(Outcome outcome = Outcome::kDone) {
    m_model.Advance(kCommitInterval);
    CPPUNIT_ASSERT(m_model.Commit(outcome));
    CPPUNIT_ASSERT_EQUAL(std::string(), m_model.fault);
  }

  static void DrainModel(test::BatchModel& model) {
    constexpr int kIdleSteps = 100;
    for (int idle = 0; idle < kIdleSteps;) {
      model.Advance(kCommitInterval);
      idle = model.Commit(Outcome::kDone) ? 0 : idle + 1;
    }
  }
  void Drain() {
    DrainModel(m_model);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_model.fault);
  }

  test::BatchModel m_model;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ProgressBatchTest, "scheduling");

}  // namespace
