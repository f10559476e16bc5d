#include "crocusmast/adapters/records/step_progress_json.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace crocusmast::adapters::records::internal {

using Json = nlohmann::json;

Json EncodeTaskProgress(const job::TaskProgress& task) {
  Json failed_attempts = Json::array();
  for (const core::Attempt attempt : task.failed_attempts) {
    failed_attempts.push_back(attempt.Count());
  }
  Json json{task.index, task.attempt.Count(), std::move(failed_attempts),
            task.checkpoint};
  if (!task.crashed_attempts.empty()) {
    Json& crashed_attempts = json.emplace_back(Json::array());
    for (const core::Attempt attempt : task.crashed_attempts) {
      crashed_attempts.push_back(attempt.Count());
    }
  }
  return json;
}

job::TaskProgress DecodeTaskProgress(const Json& json) {
  job::TaskProgress task;
  task.index = json.at(0);
  task.attempt = core::Attempt(json.at(1).get<std::uint64_t>());
  for (const Json& attempt : json.at(2)) {
    task.failed_attempts.emplace_back(attempt.get<std::uint64_t>());
  }
  task.checkpoint = json.at(3);
  // Records without crashed attempts have no fifth element.
  constexpr std::size_t kCrashedAttempts = 4;
  if (json.size() > kCrashedAttempts) {
    for (const Json& attempt : json.at(kCrashedAttempts)) {
      task.crashed_attempts.emplace_back(attempt.get<std::uint64_t>());
    }
  }
  return task;
}

Json EncodeStepProgress(const job::StepProgress& step) {
  Json tasks = Json::array();
  for (const job::TaskProgress& task : step.tasks) {
    tasks.push_back(EncodeTaskProgress(task));
  }
  std::string done;
  done.reserve(step.done.size());
  for (const bool is_done : step.done) {
    done.push_back(is_done ? '1' : '0');
  }
  return {done, tasks};
}

job::StepProgress DecodeStepProgress(const Json& json) {
  job::StepProgress step;
  for (const char is_done : json.at(0).get<std::string>()) {
    step.done.push_back(is_done == '1');
  }
  for (const Json& task : json.at(1)) {
    step.tasks.push_back(DecodeTaskProgress(task));
  }
  return step;
}

}  // namespace crocusmast::adapters::records::internal
