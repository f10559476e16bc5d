#include <algorithm>
#include <utility>

#include "crocusmast/job/job.h"

// The progress of a job that is stored for a successor.

namespace crocusmast::job {
namespace internal {

TaskProgress ToProgress(std::uint32_t index, const Task& task) {
  TaskProgress progress{index, task.attempt, task.failed_attempts,
                        task.checkpoint, task.crashed_attempts};
  // A successor presumes that a suspect crashed its worker, unless it finds it.
  if (!task.crashed_attempts.empty()) {
    for (const Run& run : task.runs) {
      const bool is_counted =
          std::find(progress.crashed_attempts.begin(),
                    progress.crashed_attempts.end(),
                    run.attempt) != progress.crashed_attempts.end();
      if (!run.has_survived_start && !is_counted) {
        progress.crashed_attempts.push_back(run.attempt);
      }
    }
  }
  return progress;
}

StepProgress ToProgress(const StepState& state) {
  StepProgress progress;
  progress.done.reserve(state.tasks.size());
  for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
    const Task& task = state.tasks[index];
    progress.done.push_back(task.is_done);
    if (!task.is_done && core::Attempt(0) < task.attempt) {
      progress.tasks.push_back(ToProgress(index, task));
    }
  }
  return progress;
}

void Restore(const StepProgress& progress, StepState& state) {
  const std::size_t known = std::min(progress.done.size(), state.tasks.size());
  for (std::size_t index = 0; index < known; ++index) {
    state.tasks[index].is_done = progress.done[index];
    state.done_count += progress.done[index] ? 1 : 0;
  }
  for (const TaskProgress& known_task : progress.tasks) {
    if (known_task.index < state.tasks.size()) {
      Task& task = state.tasks[known_task.index];
      task.attempt = known_task.attempt;
      task.failed_attempts = known_task.failed_attempts;
      task.checkpoint = known_task.checkpoint;
      task.crashed_attempts = known_task.crashed_attempts;
      state.suspect_count += task.crashed_attempts.empty() ? 0 : 1;
    }
  }
}

}  // namespace internal

void Job::Restore(const JobProgress& stored) {
  m_state = stored.state;
  m_opened_count = stored.opened_count;
  m_has_begun = m_state != JobState::kQueued && stored.has_begun;
  if (m_state != JobState::kQueued) {
    // Records of finite tasks may lack them.
    m_earlier_placements = EarlierPlacements::Restore(
        m_accepted.spec.HasLongRunningSteps()
            ? stored.placements
            : stored.placements.value_or(std::vector<TaskPlacement>()));
  }
  if (m_state != JobState::kQueued) {
    m_pools = StartedPools::Restore(stored.pools);
  }
  for (const OccurrenceProgress& open : stored.open_occurrences) {
    Occurrence occurrence = MakeOccurrence();
    const std::size_t known =
        std::min(open.steps.size(), occurrence.steps.size());
    for (std::size_t step = 0; step < known; ++step) {
      internal::Restore(open.steps[step], occurrence.steps[step]);
    }
    m_open_occurrences.emplace(open.number, std::move(occurrence));
  }
}

JobProgress Job::Progress() const {
  JobProgress progress;
  progress.state = m_state;
  progress.opened_count = m_opened_count;
  if (IsFinal(m_state)) {
    return progress;
  }
  for (const auto& [number, occurrence] : m_open_occurrences) {
    OccurrenceProgress& open = progress.open_occurrences.emplace_back();
    open.number = number;
    for (const StepState& step : occurrence.steps) {
      open.steps.push_back(internal::ToProgress(step));
    }
  }
  progress.has_begun = m_has_begun;
  progress.pools = m_pools.List();
  if (!m_earlier_placements.AreKnown()) {
    return progress;
  }
  std::vector<TaskPlacement> placements;
  m_earlier_placements.AppendTo(placements);
  ForEachRun([&](const TaskKey& key, const Run& run) {
    const Step& step = StepOf(key);
    if (step.is_long_running || (run.has_open_start && !step.is_speculative)) {
      placements.push_back(
          {key, run.worker, run.incarnation,
           run.has_open_start ? std::optional(run.attempt) : std::nullopt});
    }
  });
  if (m_accepted.spec.HasLongRunningSteps() || !placements.empty()) {
    progress.placements = std::move(placements);
  }
  return progress;
}

template <typename Visitor>
void Job::ForEachMutableRun(Visitor visit) {
  for (auto& [number, occurrence] : m_open_occurrences) {
    for (StepState& step : occurrence.steps) {
      for (Task& task : step.tasks) {
        std::for_each(task.runs.begin(), task.runs.end(), visit);
      }
    }
  }
}

JobProgress Job::CaptureProgress() {
  ForEachMutableRun([](Run& run) { run.is_in_captured_progress = true; });
  m_pools.Capture();
  return Progress();
}

void Job::MarkCapturedProgressStored() {
  ForEachMutableRun([](Run& run) {
    run.is_placement_stored =
        run.is_placement_stored || run.is_in_captured_progress;
  });
  m_pools.MarkCapturedStored();
}

}  // namespace crocusmast::job
