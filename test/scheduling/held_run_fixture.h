#ifndef TEST_SCHEDULING_HELD_RUN_FIXTURE_H_
#define TEST_SCHEDULING_HELD_RUN_FIXTURE_H_

#include <chrono>
#include <optional>

#include "test/scheduling/later_incarnation_fixture.h"

namespace test {

/** @brief Time between two failed polls. */
inline constexpr std::chrono::milliseconds kStep{200};
inline constexpr std::chrono::milliseconds kSlack{500};
/** @brief Time that the fixture lets pass between a command and its reply. */
inline constexpr std::chrono::milliseconds kReplyDelay{100};

/** @brief The longest lease of a worker, on a slow clock. */
inline const std::chrono::milliseconds kLongestLease =
    std::chrono::duration_cast<std::chrono::milliseconds>(
        execution::WithClockDrift(
            scheduling::SchedulingTerm().max_worker_lease));

/** @brief A worker that falls silent with a run that may be active. */
class HeldRunFixture : public LaterIncarnationFixture {
 protected:
  /** @brief Begins a term after a leader that had placed a long-running task on
   * w-1. */
  void BeginAsSuccessor(std::optional<core::Attempt> open_attempt) {
    job::Step step = MakeStep(1);
    step.is_long_running = true;
    job::Job job =
        job::Job::Create(MakeJob(kJob, {step}), nullptr, core::Attempt(0));
    job.OpenDueOccurrences({});
    job::Run run;
    run.worker = MakeId<core::InstanceId>("w-1");
    run.incarnation = core::Incarnation(1);
    run.attempt = core::Attempt(7);
    job.BeginRun({0, 0, 0}, run);
    job::JobProgress progress = job.Progress();
    progress.placements->front().open_attempt = open_attempt;
    m_fixture.catalog.Apply(job::JobStored{job.Accepted()}, {});
    m_fixture.catalog.Apply(
        job::ProgressStored{job.Id(), progress, core::Revision(50)}, {});
    job::HandoverState handover;
    handover.has_current_placements = true;
    for (const char* worker : {"w-1", "w-2"}) {
      handover.workers.push_back(
          {MakeId<core::InstanceId>(worker), core::Incarnation(1),
           MakeId<core::PoolId>("pool"), std::chrono::seconds(10)});
    }
    m_fixture.BeginTerm(20, handover);
    m_fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
  }

  /** @brief Fails all polls of the worker for some time. */
  void KeepSilentFor(core::Duration time) {
    const core::TimePoint end = m_fixture.clock.Now() + time;
    while (m_fixture.clock.Now() < end) {
      ReplyToPollOf("w-1", {}, execution::WorkerCallOutcome::kUnknown);
      m_fixture.clock.Advance(kStep);
      m_fixture.RunCycles();
    }
  }

  /** @brief Checks that the task starts elsewhere once this time has passed,
   * and not before, while the worker is silent. */
  void ExpectNextStartAfter(core::TimePoint since, core::Duration time) {
    while (m_fixture.worker_port.starts.size() == 1) {
      KeepSilentFor(kStep);
      CPPUNIT_ASSERT(m_fixture.clock.Now() < since + time + kSlack);
    }
    CPPUNIT_ASSERT(since + time - kReplyDelay <= m_fixture.clock.Now());
    CPPUNIT_ASSERT(MakeId<core::InstanceId>("w-2") ==
                   m_fixture.worker_port.starts[1].to.worker);
  }
};

}  // namespace test

#endif  // TEST_SCHEDULING_HELD_RUN_FIXTURE_H_
