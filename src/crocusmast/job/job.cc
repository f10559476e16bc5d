#include "crocusmast/job/job.h"

#include <algorithm>
#include <utility>

namespace crocusmast::job {
namespace internal {

bool IsRunning(const Task& task) {
  return !task.runs.empty();
}

}  // namespace internal

std::string_view RunOutcomeName(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kDone:
      return "done";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kStopped:
      return "stopped";
    case RunOutcome::kLeaseExpired:
      return "lapsed";
    case RunOutcome::kGangBroken:
      return "broken";
    case RunOutcome::kGangIncomplete:
      return "alone";
    case RunOutcome::kRejected:
      return "rejected";
    case RunOutcome::kLost:
      return "lost";
    case RunOutcome::kWorkerCrashed:
      return "crashed";
  }
  return "unknown";
}

bool Occurrence::IsDone() const {
  return std::all_of(steps.begin(), steps.end(),
                     [](const StepState& step) { return step.IsDone(); });
}

Job Job::Create(AcceptedJob accepted,
                const JobProgress* stored,
                core::Attempt last_attempt) {
  Job job(std::move(accepted), last_attempt);
  if (stored != nullptr) {
    job.Restore(*stored);
  }
  return job;
}

Occurrence Job::MakeOccurrence() const {
  Occurrence occurrence;
  for (const Step& step : m_accepted.spec.steps) {
    occurrence.steps.emplace_back().tasks.resize(step.count);
  }
  return occurrence;
}

bool Job::OpenDueOccurrences(core::WallTime now) {
  if (IsFinal(m_state)) {
    return false;
  }
  const Schedule& schedule = m_accepted.spec.schedule;
  const std::uint32_t total =
      std::max<std::uint32_t>(schedule.occurrence_count, 1);
  const std::uint32_t before = m_opened_count;
  while (m_opened_count < total &&
         (schedule.occurrence_count == 0 ||
          schedule.first + m_opened_count * schedule.interval <= now)) {
    m_open_occurrences.emplace(m_opened_count, MakeOccurrence());
    ++m_opened_count;
  }
  return m_opened_count != before;
}

bool Job::AreDependenciesDone(const Occurrence& occurrence,
                              const Step& step) const {
  return std::all_of(step.depends_on.begin(), step.depends_on.end(),
                     [&occurrence](std::uint32_t dependency) {
                       return occurrence.steps[dependency].IsDone();
                     });
}

void Job::ForEachReady(const TaskVisitor& visit) const {
  if (IsFinal(m_state)) {
    return;
  }
  for (const auto& [number, occurrence] : m_open_occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const StepState& state = occurrence.steps[step];
      const Step& spec = m_accepted.spec.steps[step];
      if (state.IsDone() || !AreDependenciesDone(occurrence, spec)) {
        continue;
      }
      for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
        const Task& task = state.tasks[index];
        if (!task.is_done && !internal::IsRunning(task)) {
          visit({number, step, index}, spec);
        }
      }
    }
  }
}

const Task* Job::Find(const TaskKey& key) const {
  const auto occurrence = m_open_occurrences.find(key.occurrence);
  if (occurrence == m_open_occurrences.end() ||
      key.step >= occurrence->second.steps.size() ||
      key.index >= occurrence->second.steps[key.step].tasks.size()) {
    return nullptr;
  }
  return &occurrence->second.steps[key.step].tasks[key.index];
}

Task* Job::FindTask(const TaskKey& key) {
  return const_cast<Task*>(std::as_const(*this).Find(key));
}

core::Attempt Job::NextAttempt(const TaskKey& key) const {
  core::Attempt last = m_last_attempt;
  const StepState& state =
      m_open_occurrences.at(key.occurrence).steps[key.step];
  if (StepOf(key).is_gang) {
    for (const Task& member : state.tasks) {
      last = std::max(last, member.attempt);
    }
  } else {
    last = std::max(last, state.tasks[key.index].attempt);
  }
  return last + core::Attempt(1);
}

const std::string& Job::CheckpointOf(const TaskKey& key) const {
  const StepState& state =
      m_open_occurrences.at(key.occurrence).steps[key.step];
  if (StepOf(key).is_gang) {
    for (const Task& member : state.tasks) {
      if (!member.checkpoint.empty()) {
        return member.checkpoint;
      }
    }
  }
  return state.tasks[key.index].checkpoint;
}

void Job::BeginRun(const TaskKey& key, Run run) {
  Task* task = FindTask(key);
  if (task == nullptr) {
    return;
  }
  task->attempt = std::max(task->attempt, run.attempt);
  task->runs.push_back(std::move(run));
  if (m_state == JobState::kQueued) {
    m_state = JobState::kRunning;
  }
}

void Job::UpdateRun(const TaskKey& key,
                    core::Attempt attempt,
                    std::uint32_t percent,
                    const std::string& checkpoint,
                    core::TimePoint now) {
  Task* task = FindTask(key);
  if (task == nullptr) {
    return;
  }
  for (Run& run : task->runs) {
    if (run.attempt == attempt) {
      run.percent = percent;
      constexpr std::uint32_t kFull = 100;
      if (percent >= kFull) {
        run.last_at_full_speed = now;
      }
      if (!checkpoint.empty()) {
        task->checkpoint = checkpoint;
      }
    }
  }
}

void Job::MarkRunStopping(const TaskKey& key, core::Attempt attempt) {
  if (Task* task = FindTask(key); task != nullptr) {
    for (Run& run : task->runs) {
      run.is_stopping = run.is_stopping || run.attempt == attempt;
    }
  }
}

bool Job::MarkStartSettled(const TaskKey& key, core::Attempt attempt) {
  Task* task = FindTask(key);
  if (task == nullptr) {
    return false;
  }
  const auto run = std::find_if(
      task->runs.begin(), task->runs.end(),
      [attempt](const Run& one) { return one.attempt == attempt; });
  return run != task->runs.end() && std::exchange(run->has_open_start, false);
}

bool Job::MoveRun(const TaskKey& key,
                  core::Attempt attempt,
                  core::Incarnation incarnation) {
  Task* task = FindTask(key);
  if (task == nullptr) {
    return false;
  }
  const auto run = std::find_if(
      task->runs.begin(), task->runs.end(),
      [attempt](const Run& one) { return one.attempt == attempt; });
  if (run == task->runs.end()) {
    return false;
  }
  run->is_stopping = false;
  run->has_open_start = true;
  if (run->incarnation < incarnation) {
    run->incarnation = incarnation;
    run->is_repeated = true;
    run->is_placement_stored = false;
    run->is_in_captured_progress = false;
  }
  return run->is_placement_stored;
}

bool Job::EndRun(const TaskKey& key,
                 core::Attempt attempt,
                 RunOutcome outcome,
                 const std::string& checkpoint,
                 std::uint32_t max_attempts) {
  Task* task = FindTask(key);
  if (task == nullptr) {
    return false;
  }
  const auto run = std::find_if(
      task->runs.begin(), task->runs.end(),
      [attempt](const Run& one) { return one.attempt == attempt; });
  const bool was_known = run != task->runs.end();
  if (was_known) {
    task->runs.erase(run);
  }
  const bool is_placement_removed = was_known && StepOf(key).is_long_running;
  task->attempt = std::max(task->attempt, attempt);
  if (task->is_done || IsFinal(m_state)) {
    return false;
  }
  const bool is_new_checkpoint =
      !checkpoint.empty() && task->checkpoint != checkpoint;
  if (is_new_checkpoint) {
    task->checkpoint = checkpoint;
  }
  if (outcome == RunOutcome::kDone && !StepOf(key).is_long_running) {
    CompleteTask(key);
    return true;
  }
  if (outcome == RunOutcome::kFailed && !StepOf(key).is_long_running) {
    CountFailure(key, attempt, max_attempts);
    return true;
  }
  return is_new_checkpoint || is_placement_removed;
}

bool Job::MayRunAgain(const TaskKey& key, RunOutcome outcome) const {
  const Task* task = Find(key);
  return task != nullptr && !task->is_done && !IsFinal(m_state) &&
         (outcome != RunOutcome::kDone || StepOf(key).is_long_running);
}

void Job::CompleteTask(const TaskKey& key) {
  Occurrence& occurrence = m_open_occurrences.at(key.occurrence);
  StepState& state = occurrence.steps[key.step];
  const bool is_gang = StepOf(key).is_gang;
  for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
    Task& task = state.tasks[index];
    if ((is_gang || index == key.index) && !task.is_done) {
      task.is_done = true;
      ++state.done_count;
    }
  }
  if (!occurrence.IsDone()) {
    return;
  }
  m_open_occurrences.erase(key.occurrence);
  const std::uint32_t total =
      std::max<std::uint32_t>(m_accepted.spec.schedule.occurrence_count, 1);
  if (m_open_occurrences.empty() && m_opened_count == total) {
    m_state = JobState::kSucceeded;
  }
}

void Job::CountFailure(const TaskKey& key,
                       core::Attempt attempt,
                       std::uint32_t max_attempts) {
  StepState& state = m_open_occurrences.at(key.occurrence).steps[key.step];
  Task& counted =
      StepOf(key).is_gang ? state.tasks.front() : state.tasks[key.index];
  const bool is_counted =
      std::find(counted.failed_attempts.begin(), counted.failed_attempts.end(),
                attempt) != counted.failed_attempts.end();
  if (is_counted) {
    return;
  }
  counted.failed_attempts.push_back(attempt);
  if (max_attempts > 0 && counted.failed_attempts.size() >= max_attempts) {
    m_state = JobState::kFailed;
  }
}

void Job::Cancel() {
  if (!IsFinal(m_state)) {
    m_state = JobState::kCancelled;
  }
}

bool Job::HasRuns() const {
  for (const auto& [number, occurrence] : m_open_occurrences) {
    for (const StepState& step : occurrence.steps) {
      if (std::any_of(step.tasks.begin(), step.tasks.end(),
                      internal::IsRunning)) {
        return true;
      }
    }
  }
  return false;
}

void Job::ForEachRun(const RunVisitor& visit) const {
  for (const auto& [number, occurrence] : m_open_occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const std::vector<Task>& tasks = occurrence.steps[step].tasks;
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        for (const Run& run : tasks[index].runs) {
          visit({number, step, index}, run);
        }
      }
    }
  }
}

}  // namespace crocusmast::job
