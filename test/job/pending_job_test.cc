#include <cppunit/extensions/HelperMacros.h>

#include "crocusmast/job/job.h"
#include "crocusmast/job/job_catalog.h"
#include "test/support/factories.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using job::JobState;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;

const core::TimePoint kNow{std::chrono::seconds(1000)};

/** @brief Jobs that count as waiting for their first task. */
class PendingJobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PendingJobTest);
  CPPUNIT_TEST(PlacedJobIsPendingUntilATaskHasBegun);
  CPPUNIT_TEST(CancelledJobIsNotPending);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 64, MIXED (review/4): jobs whose starts got no reply were left out.
  void PlacedJobIsPendingUntilATaskHasBegun() {
    Store(Place().Progress(), 5);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Pending());
    CPPUNIT_ASSERT(JobState::kRunning ==
                   m_catalog.Find(m_accepted.id)->State());
    job::Job job = Place();
    CPPUNIT_ASSERT(job.MarkBegun());
    CPPUNIT_ASSERT(!job.MarkBegun());
    Store(job.Progress(), 6);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Pending());
    // A successor continues from what is stored.
    const job::JobProgress stored = job.Progress();
    CPPUNIT_ASSERT(job::Job::Create(m_accepted, &stored, core::Attempt(0))
                       .Progress()
                       .has_begun);
  }

  void CancelledJobIsNotPending() {
    Store(Place().Progress(), 5);
    m_catalog.Apply(job::CancellationStored{m_accepted.id}, kNow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Pending());
  }

 private:
  job::Job Place() const {
    job::Job job = job::Job::Create(m_accepted, nullptr, core::Attempt(0));
    job.OpenDueOccurrences({});
    job::Run run;
    run.worker = MakeId<core::InstanceId>("w-1");
    run.attempt = core::Attempt(1);
    job.BeginRun({0, 0, 0}, std::move(run));
    return job;
  }

  void Store(const job::JobProgress& progress, std::uint64_t revision) {
    m_catalog.Apply(job::JobStored{m_accepted}, kNow);
    m_catalog.Apply(
        job::ProgressStored{m_accepted.id, progress, core::Revision(revision)},
        kNow);
  }

  std::uint64_t Pending() const {
    return m_catalog.CountQueued(m_accepted.queue);
  }

  const job::AcceptedJob m_accepted =
      MakeJob("0123456789abcdef", {MakeStep(1)});
  job::JobCatalog m_catalog;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PendingJobTest, "job");

}  // namespace
