#include <utility>

#include "bench/flood/fleet.h"

namespace bench::flood {
namespace internal {

std::string PoolOf(const std::string& target) {
  return target.substr(0, target.rfind('-'));
}

}  // namespace internal

Targets::Targets(const Workload& workload, Events& events, std::uint64_t seed)
    : m_events(events), m_random(seed) {
  for (const Pool& pool : workload.pools) {
    m_service_ms[pool.name] = static_cast<double>(pool.service.count());
    for (std::size_t index = 1; index <= pool.targets; ++index) {
      m_targets[pool.name + "-" + std::to_string(index)];
    }
  }
}

bool Targets::Send(const std::string& target,
                   const Request& request,
                   std::function<void()> finished) {
  Target& state = m_targets.at(target);
  if (state.running + state.queue.size() >= kConnections) {
    return false;
  }
  Job job{request, std::move(finished)};
  if (state.running < kSlots) {
    Start(target, state, job);
  } else {
    state.queue.push_back(std::move(job));
  }
  return true;
}

void Targets::Start(const std::string& name, Target& target, const Job& job) {
  ++target.running;
  ++m_runs;
  ++m_running[internal::PoolOf(name)];
  job.request.started();
  std::exponential_distribution<double> pick(
      1 / m_service_ms[internal::PoolOf(name)]);
  const auto length = std::chrono::duration_cast<crocusmast::core::Duration>(
      std::chrono::duration<double, std::milli>(pick(m_random)));
  m_events.After(length, [this, name, &target, finished = job.finished] {
    --target.running;
    --m_running[internal::PoolOf(name)];
    finished();
    if (!target.queue.empty() && target.running < kSlots) {
      const Job next = std::move(target.queue.front());
      target.queue.erase(target.queue.begin());
      Start(name, target, next);
    }
  });
}

std::size_t Targets::Running(const std::string& pool) const {
  const auto found = m_running.find(pool);
  return found == m_running.end() ? 0 : found->second;
}

}  // namespace bench::flood
