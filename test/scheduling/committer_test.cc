#include "crocusmast/scheduling/committer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "test/support/fake_clock.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using job::StoreOutcome;
using test::MakeId;

/** @brief More jobs than fit into one batch, whatever their progress. */
constexpr int kMoreThanABatch =
    static_cast<int>(scheduling::kMaxBatchBytes / 32);

core::JobId MakeJobId(int number) {
  const std::string digits = std::to_string(number);
  return MakeId<core::JobId>(std::string(16 - digits.size(), '0') + digits);
}

/** @brief Tests a committer; the test sends the replies of the store. */
class CommitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommitterTest);
  CPPUNIT_TEST(CommitFitsIntoOneStoreTransaction);
  CPPUNIT_TEST(OldestChangeIsStoredFirst);
  CPPUNIT_TEST(RunEndsAreRecordedWhileChangesArePending);
  CPPUNIT_TEST(ConflictingCommitIsRetried);
  CPPUNIT_TEST(FailedCommitKeepsChangeOrder);
  CPPUNIT_TEST(DeposedLeaderIsDetected);
  CPPUNIT_TEST(RunEndsAreRecordedOnlyWithAllOlderChanges);
  CPPUNIT_TEST(CommandedMachinesAreStoredAfterAFailure);
  CPPUNIT_TEST(UrgentCommitFollowsSooner);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    clock.Advance(std::chrono::seconds(1000));
    committer.BeginTerm(core::Revision(7));
  }

  std::optional<job::Commit> NextCommit() {
    clock.Advance(scheduling::kCommitRetryDelay);
    return committer.NextCommit(
        core::FencingToken(5), clock.Now(),
        [this](const core::JobId& id) -> std::optional<job::ProgressWrite> {
          job::ProgressWrite write{id, MakeId<core::QueueId>("queue"), {}};
          write.progress.state = final.count(id) > 0 ? job::JobState::kSucceeded
                                                     : job::JobState::kRunning;
          return write;
        });
  }

  bool HandleReply(const job::Commit& commit,
                   StoreOutcome outcome,
                   std::uint64_t revision = 0) {
    job::CommitReply reply;
    reply.sequence = commit.sequence;
    reply.outcome = outcome;
    reply.revision = core::Revision(revision);
    return committer.Handle(
        reply, clock.Now(), [](const core::JobId&, job::JobState) {},
        [this](const core::InstanceId& worker, core::RunEndNumber number) {
          recorded[worker] = number;
        });
  }

  // Starts wait for it; a loaded leader batches all the same.
  void UrgentCommitFollowsSooner() {
    const auto read = [](const core::JobId& id) {
      return std::optional(
          job::ProgressWrite{id, MakeId<core::QueueId>("queue"), {}});
    };
    const auto next = [&] {
      return committer.NextCommit(core::FencingToken(5), clock.Now(), read);
    };
    for (const std::size_t jobs :
         {std::size_t{1}, scheduling::kBusyCommitJobs}) {
      for (std::size_t number = 0; number < jobs; ++number) {
        committer.MarkChanged(MakeJobId(static_cast<int>(number)));
      }
      HandleReply(next().value(), StoreOutcome::kDone, 8);
      committer.MarkChanged(MakeJobId(0));
      clock.Advance(scheduling::kUrgentCommitDelay);
      CPPUNIT_ASSERT(!next());
      committer.MarkUrgent();
      const bool is_sent = next().has_value();
      CPPUNIT_ASSERT_EQUAL(jobs < scheduling::kBusyCommitJobs, is_sent);
      committer.BeginTerm(core::Revision(7));
    }
  }

  // A leader that took a record for stored would command machines of which its
  // successor doesn't know.
  void CommandedMachinesAreStoredAfterAFailure() {
    job::CommandedMachines machines;
    machines.leader = core::FencingToken(5);
    machines.open = {MakeId<core::MachineId>("m-1")};
    committer.SetCommandedMachines(machines);
    const job::Commit failed = *NextCommit();
    CPPUNIT_ASSERT(failed.commanded_machines);
    HandleReply(failed, StoreOutcome::kUnknown);
    CPPUNIT_ASSERT(!committer.TakeStoredCommandedMachines());
    const job::Commit repeated = *NextCommit();
    CPPUNIT_ASSERT(repeated.commanded_machines);
    CPPUNIT_ASSERT(repeated.commanded_machines->open == machines.open);
    HandleReply(repeated, StoreOutcome::kDone, 8);
    const auto stored = committer.TakeStoredCommandedMachines();
    CPPUNIT_ASSERT(stored && stored->open == machines.open);
    CPPUNIT_ASSERT(!committer.TakeStoredCommandedMachines());
  }

  void CommitFitsIntoOneStoreTransaction() {
    for (int number = 0; number < 40; ++number) {
      committer.MarkChanged(MakeJobId(number));
      if (number % 2 == 0) {
        final.insert(MakeJobId(number));
      }
    }
    std::size_t stored = 0;
    std::set<core::JobId> stored_ids;
    while (const auto commit = NextCommit()) {
      // The claim, and the last commit's revision as condition and write. One
      // of the store's 32 entries remains for the handover state.
      std::size_t entries = 3 + commit->removed_batches.size();
      for (const job::ProgressWrite& write : commit->progress) {
        const bool removes_record =
            job::IsFinal(write.progress.state) && write.may_have_own_record;
        entries += removes_record ? 2 : 1;
        stored_ids.insert(write.id);
      }
      if (commit->batch) {
        ++entries;
        for (const job::ProgressWrite& write : commit->batch->progress) {
          stored_ids.insert(write.id);
        }
      }
      CPPUNIT_ASSERT(entries <= 31);
      stored = stored_ids.size();
      HandleReply(*commit, StoreOutcome::kDone, 10 + stored);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, stored);
  }

  void OldestChangeIsStoredFirst() {
    committer.MarkChanged(MakeJobId(9));
    for (int number = 100; number < 200; ++number) {
      committer.MarkChanged(MakeJobId(number));
    }
    committer.MarkChanged(MakeJobId(1));
    const auto commit = NextCommit();
    const std::vector<job::ProgressWrite>& stored = commit->batch->progress;
    CPPUNIT_ASSERT_EQUAL(std::size_t{102}, stored.size());
    CPPUNIT_ASSERT(stored.front().id == MakeJobId(9));
    for (int number = 100; number < 200; ++number) {
      CPPUNIT_ASSERT(stored[static_cast<std::size_t>(number) - 99].id ==
                     MakeJobId(number));
    }
    CPPUNIT_ASSERT(stored.back().id == MakeJobId(1));
    CPPUNIT_ASSERT(commit->expected_last_commit == core::Revision(7));
  }

  // More jobs change than fit into one commit, so that some are always pending.
  void RunEndsAreRecordedWhileChangesArePending() {
    const auto worker = MakeId<core::InstanceId>("worker");
    committer.MarkChanged(MakeJobId(0));
    committer.AddRunEnds(worker, core::RunEndNumber(3));
    for (int number = 1; number < kMoreThanABatch; ++number) {
      committer.MarkChanged(MakeJobId(number));
    }
    const auto commit = NextCommit();
    HandleReply(*commit, StoreOutcome::kDone, 8);
    CPPUNIT_ASSERT(committer.HasPending());
    CPPUNIT_ASSERT(recorded[worker] == core::RunEndNumber(3));
  }

  void ConflictingCommitIsRetried() {
    committer.MarkChanged(MakeJobId(1));
    const auto unanswered = NextCommit();
    CPPUNIT_ASSERT(HandleReply(*unanswered, StoreOutcome::kUnknown));
    const auto conflicting = NextCommit();
    CPPUNIT_ASSERT(conflicting->expected_last_commit == core::Revision(7));
    // The first commit took effect at revision 9, although its reply was lost.
    CPPUNIT_ASSERT(HandleReply(*conflicting, StoreOutcome::kConflict, 9));
    const auto retried = NextCommit();
    CPPUNIT_ASSERT(retried->expected_last_commit == core::Revision(9));
    CPPUNIT_ASSERT(retried->progress.front().id == MakeJobId(1));
    HandleReply(*retried, StoreOutcome::kDone, 10);
    CPPUNIT_ASSERT(!committer.HasPending());
  }

  void RunEndsAreRecordedOnlyWithAllOlderChanges() {
    const core::InstanceId worker = MakeId<core::InstanceId>("w-1");
    for (int number = 0; number < kMoreThanABatch; ++number) {
      committer.MarkChanged(MakeJobId(number));
    }
    committer.AddRunEnds(worker, core::RunEndNumber(3));
    HandleReply(*NextCommit(), StoreOutcome::kDone, 8);
    CPPUNIT_ASSERT(recorded.empty());
    HandleReply(*NextCommit(), StoreOutcome::kDone, 9);
    CPPUNIT_ASSERT(recorded[worker] == core::RunEndNumber(3));
  }

  void FailedCommitKeepsChangeOrder() {
    const auto worker = MakeId<core::InstanceId>("worker");
    committer.MarkChanged(MakeJobId(3));
    committer.MarkChanged(MakeJobId(2));
    const auto refused = NextCommit();
    committer.MarkChanged(MakeJobId(1));
    committer.MarkChanged(MakeJobId(3));
    committer.AddRunEnds(worker, core::RunEndNumber(4));
    HandleReply(*refused, StoreOutcome::kRefused);
    CPPUNIT_ASSERT(recorded.empty());
    const auto commit = NextCommit();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, commit->progress.size());
    CPPUNIT_ASSERT(commit->progress[0].id == MakeJobId(3));
    CPPUNIT_ASSERT(commit->progress[1].id == MakeJobId(2));
    CPPUNIT_ASSERT(commit->progress[2].id == MakeJobId(1));
    HandleReply(*commit, StoreOutcome::kDone, 8);
    CPPUNIT_ASSERT(recorded[worker] == core::RunEndNumber(4));
    CPPUNIT_ASSERT(!committer.HasPending());
  }

  void DeposedLeaderIsDetected() {
    committer.MarkChanged(MakeJobId(1));
    const auto commit = NextCommit();
    job::CommitReply reply;
    reply.sequence = commit->sequence;
    reply.outcome = StoreOutcome::kConflict;
    reply.is_still_leader = false;
    CPPUNIT_ASSERT(!committer.Handle(
        reply, clock.Now(), [](const core::JobId&, job::JobState) {},
        [](const core::InstanceId&, core::RunEndNumber) {}));
  }

 private:
  test::FakeClock clock;
  scheduling::Committer committer;
  std::set<core::JobId> final;
  std::map<core::InstanceId, core::RunEndNumber> recorded;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CommitterTest, "scheduling");

}  // namespace
