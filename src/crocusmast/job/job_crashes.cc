#include <algorithm>
#include <utility>

#include "crocusmast/job/job.h"

// Crashes of workers that are counted against tasks.

namespace crocusmast::job {
namespace internal {

std::size_t MaxCrashes(CrashEvidence evidence) {
  switch (evidence) {
    case CrashEvidence::kAlone:
      return kMaxCrashesAlone;
    case CrashEvidence::kShared:
      return kMaxCrashesShared;
    case CrashEvidence::kWeak:
    case CrashEvidence::kUnconfirmed:
      return kMaxCrashesWeak;
  }
  return kMaxCrashesWeak;
}

}  // namespace internal

std::string_view CrashEvidenceName(CrashEvidence evidence) {
  switch (evidence) {
    case CrashEvidence::kAlone:
      return "alone";
    case CrashEvidence::kShared:
      return "shared";
    case CrashEvidence::kWeak:
      return "weak";
    case CrashEvidence::kUnconfirmed:
      return "unconfirmed";
  }
  return "unknown";
}

const StepState* Job::FindStep(const TaskKey& key) const {
  return Find(key) == nullptr
             ? nullptr
             : &m_open_occurrences.at(key.occurrence).steps[key.step];
}

const Task* Job::FindCrashCounter(const TaskKey& key) const {
  const Task* task = Find(key);
  return task != nullptr && StepOf(key).is_gang
             ? Find({key.occurrence, key.step, 0})
             : task;
}

bool Job::CountCrash(const TaskKey& key,
                     core::Attempt attempt,
                     CrashEvidence evidence) {
  auto* counted = const_cast<Task*>(FindCrashCounter(key));
  if (counted == nullptr || counted->is_done || IsFinal(m_state)) {
    return false;
  }
  std::vector<core::Attempt>& attempts = counted->crashed_attempts;
  const auto run = std::find_if(
      counted->runs.begin(), counted->runs.end(),
      [attempt](const Run& one) { return one.attempt == attempt; });
  const bool is_repeated =
      run != counted->runs.end() && std::exchange(run->is_repeated, false);
  const bool is_counted =
      std::find(attempts.begin(), attempts.end(), attempt) != attempts.end();
  if (is_counted && !is_repeated) {
    return false;
  }
  if (attempts.empty()) {
    ++m_open_occurrences.at(key.occurrence).steps[key.step].suspect_count;
  }
  counted->has_survived_start = false;
  counted->attempt = std::max(counted->attempt, attempt);
  attempts.push_back(attempt);
  counted->has_confirmed_crash =
      counted->has_confirmed_crash || evidence != CrashEvidence::kUnconfirmed;
  if (counted->has_confirmed_crash &&
      attempts.size() >= internal::MaxCrashes(evidence)) {
    m_state = JobState::kFailed;
  }
  return true;
}

std::optional<TaskKey> Job::GiveUpExhaustedTask() {
  for (const auto& [number, occurrence] : m_open_occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const StepState& state = occurrence.steps[step];
      if (state.suspect_count == 0) {
        continue;
      }
      for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
        const Task& task = state.tasks[index];
        if (task.crashed_attempts.size() >= kMaxCrashesWeak &&
            task.has_confirmed_crash && task.runs.empty() && !task.is_done &&
            !IsFinal(m_state)) {
          m_state = JobState::kFailed;
          return TaskKey{number, step, index};
        }
      }
    }
  }
  return std::nullopt;
}

bool Job::MarkStartSurvived(const TaskKey& key, core::Attempt attempt) {
  Task* task = FindTask(key);
  if (task == nullptr) {
    return false;
  }
  for (Run& run : task->runs) {
    run.has_survived_start = run.has_survived_start || run.attempt == attempt;
  }
  StepState& step = m_open_occurrences.at(key.occurrence).steps[key.step];
  const auto has_survived = [attempt](const Task& member) {
    return std::any_of(
        member.runs.begin(), member.runs.end(), [attempt](const Run& run) {
          return run.attempt == attempt && run.has_survived_start;
        });
  };
  const bool is_survivor =
      StepOf(key).is_gang
          ? std::all_of(step.tasks.begin(), step.tasks.end(), has_survived)
          : has_survived(*task);
  if (!is_survivor) {
    return false;
  }
  step.has_survivor = true;
  auto* counted = const_cast<Task*>(FindCrashCounter(key));
  counted->has_survived_start = true;
  if (counted->crashed_attempts.empty()) {
    return false;
  }
  --step.suspect_count;
  counted->crashed_attempts.clear();
  counted->has_confirmed_crash = false;
  return true;
}

std::size_t Job::CrashCount(const TaskKey& key) const {
  const Task* counted = FindCrashCounter(key);
  return counted == nullptr ? 0 : counted->crashed_attempts.size();
}

bool Job::IsSuspect(const TaskKey& key) const {
  const StepState* step = FindStep(key);
  if (step == nullptr || step->suspect_count == 0) {
    return false;
  }
  return !step->has_survivor || CrashCount(key) > 0;
}

bool Job::HasSurvivor(const TaskKey& key) const {
  const StepState* step = FindStep(key);
  return step != nullptr && step->has_survivor;
}

bool Job::HasSurvivedStart(const TaskKey& key) const {
  const Task* counted = FindCrashCounter(key);
  return counted != nullptr && counted->has_survived_start;
}

}  // namespace crocusmast::job
