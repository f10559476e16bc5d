#include "crocusmast/job/job_spec.h"

#include <algorithm>

namespace crocusmast::job {
namespace internal {

core::Result<void> StepError(std::size_t step, const std::string& problem) {
  return core::Fail(core::Operation::kValidateJob,
                    "step " + std::to_string(step), problem);
}

core::Result<void> CheckStep(const Step& step, std::size_t number) {
  if (step.count == 0) {
    return StepError(number, "a step must have at least one task");
  }
  if (step.resources == Resources{}) {
    return StepError(
        number, "a task must require processor time, memory or accelerators");
  }
  for (const std::uint32_t dependency : step.depends_on) {
    if (dependency >= number) {
      return StepError(number,
                       "a step may only depend on earlier steps, not on step " +
                           std::to_string(dependency));
    }
  }
  return {};
}

}  // namespace internal

bool JobSpec::HasLongRunningSteps() const {
  return std::any_of(steps.begin(), steps.end(),
                     [](const Step& step) { return step.is_long_running; });
}

core::Result<void> Validate(const JobSpec& spec) {
  const auto fail = [](const std::string& problem) {
    return core::Fail(core::Operation::kValidateJob, "job", problem);
  };
  if (spec.payload.size() > kMaxPayloadBytes) {
    return fail("the payload must have at most " +
                std::to_string(kMaxPayloadBytes) + " bytes");
  }
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return fail("a job must have 1 to " + std::to_string(kMaxSteps) + " steps");
  }
  if (spec.schedule.occurrence_count > kMaxOccurrences) {
    return fail("a schedule must have at most " +
                std::to_string(kMaxOccurrences) + " occurrences");
  }
  std::uint64_t tasks = 0;
  for (std::size_t number = 0; number < spec.steps.size(); ++number) {
    BOOST_LEAF_CHECK(internal::CheckStep(spec.steps[number], number));
    tasks += spec.steps[number].count;
  }
  if (tasks > kMaxTasks) {
    return fail("a job must have at most " + std::to_string(kMaxTasks) +
                " tasks");
  }
  return {};
}

core::Duration CriticalPath(
    const JobSpec& spec,
    const std::vector<bool>& is_pending,
    const std::function<core::Duration(core::Duration)>& predict) {
  std::vector<core::Duration> end_times(spec.steps.size());
  core::Duration longest{};
  for (std::size_t number = 0; number < spec.steps.size(); ++number) {
    const Step& step = spec.steps[number];
    core::Duration start_time{};
    for (const std::uint32_t dependency : step.depends_on) {
      start_time = std::max(start_time, end_times[dependency]);
    }
    end_times[number] =
        start_time +
        (is_pending[number] ? predict(step.estimate) : core::Duration::zero());
    longest = std::max(longest, end_times[number]);
  }
  return longest;
}

}  // namespace crocusmast::job
