#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <iostream>

#include "crocusmast/scheduling/job_order.h"
#include "test/scheduling/burst_model.h"

namespace {

using namespace crocusmast;
using scheduling::JobRank;
using scheduling::JobUrgency;
using scheduling::Timeliness;
using std::chrono::milliseconds;
using test::BurstModel;
using test::BurstResult;

const core::TimePoint kNow{std::chrono::hours(1)};
constexpr unsigned kSeeds = 10;
/** @brief The job interface fails a day on which the largest tenth of a class,
 * or the fifth below it, is served less than half as often as all. */
constexpr double kMinRelativeService = 0.5;

/** @brief Makes a job that was accepted some time ago and needs 1 s. */
JobUrgency MakeUrgency(milliseconds age, milliseconds objective) {
  JobUrgency urgency;
  urgency.accepted_at = kNow - age;
  urgency.objective = objective;
  urgency.remaining = std::chrono::seconds(1);
  return urgency;
}

bool IsFirst(const JobUrgency& left, const JobUrgency& right) {
  const JobRank left_rank = JobRank::Of(left, kNow);
  const JobRank right_rank = JobRank::Of(right, kNow);
  return left_rank < right_rank && !(right_rank < left_rank);
}

/** @brief Orders by deadline, late jobs last, as the scheduler did before. */
bool IsFirstByDeadline(const JobUrgency& left,
                       const JobUrgency& right,
                       core::TimePoint now) {
  const auto key = [now](const JobUrgency& urgency) {
    const core::TimePoint deadline = urgency.accepted_at + urgency.objective;
    return std::pair(deadline < now + urgency.remaining, deadline);
  };
  return key(left) < key(right);
}

bool IsFirstByRank(const JobUrgency& left,
                   const JobUrgency& right,
                   core::TimePoint now) {
  return JobRank::Of(left, now) < JobRank::Of(right, now);
}

/** @brief The order in which jobs get their tasks placed. */
class JobOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobOrderTest);
  CPPUNIT_TEST(TimelinessFollowsTheObjective);
  CPPUNIT_TEST(RankIsValidUntilTheTimelinessChanges);
  CPPUNIT_TEST(PriorityComesFirstWhileJobsAreWorthSomething);
  CPPUNIT_TEST(StartedJobsComeBeforeOthers);
  CPPUNIT_TEST(InTimeByDeadlineLateByAge);
  CPPUNIT_TEST(LongRunningJobsNeverExpire);
  CPPUNIT_TEST(BurstServesLargeJobs);
  CPPUNIT_TEST(BurstServesLargeJobsDespiteWrongEstimates);
  CPPUNIT_TEST(BurstServesLargeJobsDespiteAnOutageOfTheStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TimelinessFollowsTheObjective() {
    const milliseconds objective(2000);
    const auto timeliness = [&](milliseconds age) {
      return JobRank::Of(MakeUrgency(age, objective), kNow).timeliness;
    };
    CPPUNIT_ASSERT(timeliness(milliseconds(0)) == Timeliness::kInTime);
    CPPUNIT_ASSERT(timeliness(milliseconds(1000)) == Timeliness::kInTime);
    CPPUNIT_ASSERT(timeliness(milliseconds(1001)) == Timeliness::kLate);
    CPPUNIT_ASSERT(timeliness(milliseconds(5000)) == Timeliness::kLate);
    CPPUNIT_ASSERT(timeliness(milliseconds(5001)) == Timeliness::kExpired);
  }

  void RankIsValidUntilTheTimelinessChanges() {
    const JobUrgency urgency = MakeUrgency(milliseconds(0), milliseconds(2000));
    const JobRank in_time = JobRank::Of(urgency, kNow);
    CPPUNIT_ASSERT(in_time.valid_until == kNow + milliseconds(1000));
    const JobRank late =
        JobRank::Of(urgency, in_time.valid_until + milliseconds(1));
    CPPUNIT_ASSERT(late.valid_until == kNow + milliseconds(5000));
    const JobRank expired =
        JobRank::Of(urgency, late.valid_until + milliseconds(1));
    CPPUNIT_ASSERT(expired.valid_until ==
                   late.valid_until + milliseconds(1) +
                       scheduling::kExpiredReviewInterval);
  }

  void PriorityComesFirstWhileJobsAreWorthSomething() {
    JobUrgency late = MakeUrgency(milliseconds(1500), milliseconds(2000));
    JobUrgency low = MakeUrgency(milliseconds(0), milliseconds(2000));
    low.priority = 1;
    CPPUNIT_ASSERT(IsFirst(late, low));
    const JobUrgency expired =
        MakeUrgency(milliseconds(9000), milliseconds(2000));
    CPPUNIT_ASSERT(IsFirst(low, expired));
  }

  void StartedJobsComeBeforeOthers() {
    JobUrgency started = MakeUrgency(milliseconds(0), milliseconds(2000));
    started.is_started = true;
    CPPUNIT_ASSERT(
        IsFirst(started, MakeUrgency(milliseconds(500), milliseconds(2000))));
    JobUrgency late = MakeUrgency(milliseconds(1500), milliseconds(2000));
    late.is_started = true;
    CPPUNIT_ASSERT(IsFirst(started, late));
    CPPUNIT_ASSERT(
        IsFirst(MakeUrgency(milliseconds(0), milliseconds(2000)), late));
  }

  void InTimeByDeadlineLateByAge() {
    CPPUNIT_ASSERT(IsFirst(MakeUrgency(milliseconds(900), milliseconds(2000)),
                           MakeUrgency(milliseconds(100), milliseconds(2000))));
    CPPUNIT_ASSERT(
        IsFirst(MakeUrgency(milliseconds(1500), milliseconds(2000)),
                MakeUrgency(milliseconds(4000), milliseconds(2000))));
  }

  void LongRunningJobsNeverExpire() {
    JobUrgency urgency = MakeUrgency(milliseconds(60000), milliseconds(2000));
    urgency.is_long_running = true;
    CPPUNIT_ASSERT(
        IsFirst(urgency, MakeUrgency(milliseconds(900), milliseconds(2000))));
    CPPUNIT_ASSERT(JobRank::Of(urgency, kNow).valid_until ==
                   core::TimePoint::max());
    // A task that must run however full the pool is does not wait for finite
    // jobs of a higher priority.
    urgency.priority = 1;
    CPPUNIT_ASSERT(
        IsFirst(urgency, MakeUrgency(milliseconds(0), milliseconds(2000))));
  }

  // Issue 24: in a burst the largest jobs were served far less often than all.
  void BurstServesLargeJobs() { CompareInBurst(1.2, 0); }

  // Issue 24: with estimates that were several times too long, each new job
  // counted as late and queued behind a backlog that nobody waited for.
  void BurstServesLargeJobsDespiteWrongEstimates() { CompareInBurst(2.5, 0); }

  // Issue 24: the same after an outage of the store in a burst, in which no
  // task is started.
  void BurstServesLargeJobsDespiteAnOutageOfTheStore() {
    CompareInBurst(2.5, 5);
  }

 private:
  static void CompareInBurst(double estimate_factor, double outage_seconds) {
    const BurstResult before = BurstModel::Mean(
        kSeeds, estimate_factor, 100, outage_seconds, IsFirstByDeadline);
    const BurstResult after = BurstModel::Mean(kSeeds, estimate_factor,
                                               scheduling::kExpiredSharePercent,
                                               outage_seconds, IsFirstByRank);
    std::cout << "\nestimates x" << estimate_factor << ", outage of "
              << outage_seconds << " s, by deadline: " << before
              << "\nby rank: " << after << '\n';
    CPPUNIT_ASSERT(after.served_of_largest_tenth >=
                   kMinRelativeService * after.served);
    CPPUNIT_ASSERT(after.served_of_next_fifth >=
                   kMinRelativeService * after.served);
    CPPUNIT_ASSERT(after.credit >= before.credit);
    CPPUNIT_ASSERT(after.expired_work < before.expired_work);
    CPPUNIT_ASSERT(after.is_all_ended);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(JobOrderTest, "scheduling");

}  // namespace
