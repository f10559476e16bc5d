#include <utility>

#include "bench/flood/fleet.h"

namespace bench::flood {
namespace internal {

std::string PoolOfTarget(const std::string& target) {
  return target.substr(0, target.rfind('-'));
}

}  // namespace internal

Targets::Targets(const Workload& workload,
                 EventQueue& events,
                 std::uint64_t seed)
    : m_events(events), m_random(seed) {
  for (const Pool& pool : workload.pools) {
    m_service_ms[pool.name] = static_cast<double>(pool.service_time.count());
    for (std::size_t index = 1; index <= pool.targets; ++index) {
      // Inserts an idle target.
      m_targets[pool.name + "-" + std::to_string(index)];
    }
  }
}

bool Targets::Send(const std::string& name,
                   const Request& request,
                   std::function<void()> on_finished) {
  Target& target = m_targets.at(name);
  if (target.running + target.queue.size() >= kConnections) {
    return false;
  }
  QueuedRequest queued{request, std::move(on_finished)};
  if (target.running < kSlots) {
    StartRun(name, target, queued);
  } else {
    target.queue.push_back(std::move(queued));
  }
  return true;
}

void Targets::StartRun(const std::string& name,
                       Target& target,
                       const QueuedRequest& queued) {
  ++target.running;
  ++m_runs;
  ++m_running[internal::PoolOfTarget(name)];
  queued.request.on_started();
  std::exponential_distribution<double> distribution(
      1 / m_service_ms[internal::PoolOfTarget(name)]);
  const auto run_time = std::chrono::duration_cast<crocusmast::core::Duration>(
      std::chrono::duration<double, std::milli>(distribution(m_random)));
  m_events.Schedule(
      run_time, [this, name, &target, on_finished = queued.on_finished] {
        --target.running;
        --m_running[internal::PoolOfTarget(name)];
        on_finished();
        if (!target.queue.empty() && target.running < kSlots) {
          const QueuedRequest next = std::move(target.queue.front());
          target.queue.erase(target.queue.begin());
          StartRun(name, target, next);
        }
      });
}

std::size_t Targets::Running(const std::string& pool) const {
  const auto found = m_running.find(pool);
  return found == m_running.end() ? 0 : found->second;
}

}  // namespace bench::flood
