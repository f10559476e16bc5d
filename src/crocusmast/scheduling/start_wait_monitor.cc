#include "crocusmast/scheduling/start_wait_monitor.h"

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusmast::scheduling {
namespace internal {

std::string_view StartWaitEndName(StartWaitEnd end) {
  switch (end) {
    case StartWaitEnd::kExecuted:
      return "executed";
    case StartWaitEnd::kNotExecuted:
      return "not executed";
    case StartWaitEnd::kGivenUp:
      return "given up";
  }
  return "unknown";
}

std::string Milliseconds(core::Duration time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::vector<core::LogField> Fields(std::string_view event,
                                   const core::InstanceId& worker,
                                   const execution::RunKey& key) {
  return {{"event", std::string(event)},
          {"job", key.task.job.Text()},
          {"task", Describe(key.task)},
          {"attempt", std::to_string(key.attempt.Count())},
          {"worker", worker.Text()}};
}

}  // namespace internal

void StartWaitMonitor::Begin(const core::InstanceId& worker,
                             const execution::RunKey& key,
                             const execution::AssignedRun& run) const {
  m_meter.Add(core::Counter::kStartsAwaited, 1);
  if (!m_logger.IsEnabled(core::Severity::kInfo)) {
    return;
  }
  const core::TimePoint now = m_clock.Now();
  std::vector<core::LogField> fields =
      internal::Fields("start_wait_begins", worker, key);
  fields.push_back(
      {"sent_ms", internal::Milliseconds(now - run.start_sent_at)});
  fields.push_back(
      {"at_most_ms", internal::Milliseconds(run.unanswered_start_until - now)});
  m_logger.Write({core::Component::kScheduling, core::Severity::kInfo,
                  "The start of task " + Describe(key.task) + " on worker " +
                      worker.Text() +
                      " got no reply; it may still be executed.",
                  std::move(fields)});
}

void StartWaitMonitor::End(const core::InstanceId& worker,
                           const execution::RunKey& key,
                           const execution::AssignedRun& run,
                           StartWaitEnd end) const {
  if (!run.has_single_start || run.is_listed || run.unanswered_starts == 0) {
    return;
  }
  const core::Duration waited = m_clock.Now() - run.start_sent_at;
  m_meter.Observe(core::Timing::kStartWaited, waited);
  if (!m_logger.IsEnabled(core::Severity::kInfo)) {
    return;
  }
  const std::string name(internal::StartWaitEndName(end));
  std::vector<core::LogField> fields =
      internal::Fields("start_wait_ends", worker, key);
  fields.push_back({"end", name});
  fields.push_back({"waited_ms", internal::Milliseconds(waited)});
  m_logger.Write({core::Component::kScheduling, core::Severity::kInfo,
                  "The wait for the start of task " + Describe(key.task) +
                      " on worker " + worker.Text() + " ends: " + name + ".",
                  std::move(fields)});
}

}  // namespace crocusmast::scheduling
