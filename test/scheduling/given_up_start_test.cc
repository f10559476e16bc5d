#include <cppunit/extensions/HelperMacros.h>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using Fixture = test::SchedulerFixture;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr char kJob[] = "0123456789abcdef";

/** @brief Starts that a worker has no room for when they are due. */
class GivenUpStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GivenUpStartTest);
  CPPUNIT_TEST(RejectedGangMemberStopsOtherMembers);
  CPPUNIT_TEST(StoppedRepeatOfGangMemberStopsOtherMembers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The other members of a gang must not wait for one whose start a worker
  // rejected, until they end as incomplete.
  void RejectedGangMemberStopsOtherMembers() {
    Fixture fixture;
    BeginWithGang(fixture);
    const std::vector<execution::StartCommand> starts =
        fixture.worker_port.starts;
    fixture.ReplyToStart(starts.at(0), WorkerCallOutcome::kDone);
    fixture.ReplyToStart(starts.at(1),
                         WorkerCallOutcome::kInsufficientResources);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.stops.size());
    const execution::StopCommand& stop = fixture.worker_port.stops[0];
    CPPUNIT_ASSERT(stop.to.worker == starts[0].to.worker);
    CPPUNIT_ASSERT(stop.task == starts[0].task);
  }

  // The same when the start of a member without a reply is not repeated.
  void StoppedRepeatOfGangMemberStopsOtherMembers() {
    Fixture fixture;
    BeginWithGang(fixture);
    const std::vector<execution::StartCommand> starts =
        fixture.worker_port.starts;
    fixture.ReplyToStart(starts.at(0), WorkerCallOutcome::kDone);
    fixture.ReplyToStart(starts.at(1), WorkerCallOutcome::kUnknown);
    execution::WorkerRecord draining =
        MakeWorker(starts[1].to.worker.Text(), 1, 3000);
    draining.is_draining = true;
    fixture.scheduler.Handle(scheduling::WorkerUpdated{draining});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.stops.size());
  }

 private:
  /** @brief Makes a gang of two whose members fit on a worker of 3000 each. */
  static job::Step MakeGang() {
    job::Step gang = MakeStep(2, 2000);
    gang.is_gang = true;
    return gang;
  }

  /** @brief Starts a gang; its members are on two workers. */
  static void BeginWithGang(Fixture& fixture) {
    fixture.BeginTerm();
    fixture.SetWorkers(
        {MakeWorker("w-1", 1, 3000), MakeWorker("w-2", 1, 3000)});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeGang()}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(GivenUpStartTest, "scheduling");

}  // namespace
