#include "crocusmast/scheduling/committer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "test/support/fake_clock.h"
#include "test/support/job_fakes.h"

namespace {

using namespace crocusmast;
using job::StoreOutcome;
using test::MakeId;

core::JobId Job(int number) {
  const std::string digits = std::to_string(number);
  return MakeId<core::JobId>(std::string(16 - digits.size(), '0') + digits);
}

/** @brief A committer, and a store that answers as it is told. */
class CommitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommitterTest);
  CPPUNIT_TEST(ACommitFitsIntoOneCallOfTheStore);
  CPPUNIT_TEST(TheLongestWaitingJobIsStoredFirst);
  CPPUNIT_TEST(EndsAreRecordedWhileJobsKeepChanging);
  CPPUNIT_TEST(AnOvertakenCommitIsMadeAgain);
  CPPUNIT_TEST(AFailedCommitKeepsTheOrder);
  CPPUNIT_TEST(ADeposedHolderIsTold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    clock.Advance(std::chrono::seconds(1000));
    committer.Begin(core::Revision(7));
  }

  std::optional<job::Commit> Next() {
    clock.Advance(scheduling::kCommitRetryDelay);
    return committer.Next(
        core::FencingToken(5), clock.Now(),
        [this](const core::JobId& id) -> std::optional<job::ProgressWrite> {
          job::ProgressWrite write{id, MakeId<core::QueueId>("queue"), {}};
          write.progress.state = final.count(id) > 0 ? job::JobState::kSucceeded
                                                     : job::JobState::kRunning;
          return write;
        });
  }

  bool Answer(const job::Commit& commit,
              StoreOutcome outcome,
              std::uint64_t revision = 0) {
    job::CommitReply reply;
    reply.sequence = commit.sequence;
    reply.outcome = outcome;
    reply.revision = core::Revision(revision);
    return committer.Handle(
        reply, clock.Now(), [](const core::JobId&, job::JobState) {},
        [this](const core::InstanceId& worker, core::EndNumber number) {
          recorded[worker] = number;
        });
  }

  void ACommitFitsIntoOneCallOfTheStore() {
    for (int number = 0; number < 40; ++number) {
      committer.MarkChanged(Job(number));
      if (number % 2 == 0) {
        final.insert(Job(number));
      }
    }
    std::size_t stored = 0;
    while (const auto commit = Next()) {
      // The claim, the last commit as condition and write.
      std::size_t entries = 3;
      for (const job::ProgressWrite& write : commit->progress) {
        entries += job::IsFinal(write.progress.state) ? 3 : 1;
      }
      CPPUNIT_ASSERT(entries <= 31);
      stored += commit->progress.size();
      Answer(*commit, StoreOutcome::kDone, 10 + stored);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, stored);
  }

  void TheLongestWaitingJobIsStoredFirst() {
    committer.MarkChanged(Job(9));
    for (int number = 100; number < 200; ++number) {
      committer.MarkChanged(Job(number));
    }
    committer.MarkChanged(Job(1));
    const auto commit = Next();
    CPPUNIT_ASSERT(commit->progress.front().id == Job(9));
    CPPUNIT_ASSERT(commit->after == core::Revision(7));
  }

  // A rush: more jobs change than one commit takes, so some always wait.
  void EndsAreRecordedWhileJobsKeepChanging() {
    const auto worker = MakeId<core::InstanceId>("worker");
    committer.MarkChanged(Job(0));
    committer.AddRunEnds(worker, core::EndNumber(3));
    for (int number = 1; number < 100; ++number) {
      committer.MarkChanged(Job(number));
    }
    const auto commit = Next();
    Answer(*commit, StoreOutcome::kDone, 8);
    CPPUNIT_ASSERT(committer.HasPending());
    CPPUNIT_ASSERT(recorded[worker] == core::EndNumber(3));
  }

  void AnOvertakenCommitIsMadeAgain() {
    committer.MarkChanged(Job(1));
    const auto lost = Next();
    CPPUNIT_ASSERT(Answer(*lost, StoreOutcome::kUnknown));
    const auto overtaken = Next();
    CPPUNIT_ASSERT(overtaken->after == core::Revision(7));
    // The first was done after all, at revision 9.
    CPPUNIT_ASSERT(Answer(*overtaken, StoreOutcome::kConflict, 9));
    const auto again = Next();
    CPPUNIT_ASSERT(again->after == core::Revision(9));
    CPPUNIT_ASSERT(again->progress.front().id == Job(1));
    Answer(*again, StoreOutcome::kDone, 10);
    CPPUNIT_ASSERT(!committer.HasPending());
  }

  void AFailedCommitKeepsTheOrder() {
    const auto worker = MakeId<core::InstanceId>("worker");
    committer.MarkChanged(Job(3));
    committer.MarkChanged(Job(2));
    const auto refused = Next();
    committer.MarkChanged(Job(1));
    committer.MarkChanged(Job(3));
    committer.AddRunEnds(worker, core::EndNumber(4));
    Answer(*refused, StoreOutcome::kRefused);
    CPPUNIT_ASSERT(recorded.empty());
    const auto commit = Next();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, commit->progress.size());
    CPPUNIT_ASSERT(commit->progress[0].id == Job(3));
    CPPUNIT_ASSERT(commit->progress[1].id == Job(2));
    CPPUNIT_ASSERT(commit->progress[2].id == Job(1));
    Answer(*commit, StoreOutcome::kDone, 8);
    CPPUNIT_ASSERT(recorded[worker] == core::EndNumber(4));
    CPPUNIT_ASSERT(!committer.HasPending());
  }

  void ADeposedHolderIsTold() {
    committer.MarkChanged(Job(1));
    const auto commit = Next();
    job::CommitReply reply;
    reply.sequence = commit->sequence;
    reply.outcome = StoreOutcome::kConflict;
    reply.is_still_holder = false;
    CPPUNIT_ASSERT(!committer.Handle(
        reply, clock.Now(), [](const core::JobId&, job::JobState) {},
        [](const core::InstanceId&, core::EndNumber) {}));
  }

 private:
  test::FakeClock clock;
  scheduling::Committer committer;
  std::set<core::JobId> final;
  std::map<core::InstanceId, core::EndNumber> recorded;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CommitterTest, "scheduling");

}  // namespace
