#include <algorithm>
#include <utility>

#include "bench/flood/fleet.h"

namespace bench::flood {
namespace internal {

using crocusmast::request::Outcome;

/** @brief Least connections, first come first served, immediate retries. */
class NaivePolicy final : public Policy {
 public:
  NaivePolicy(const Workload& workload,
              std::size_t entry_count,
              EventQueue& events,
              Targets& targets)
      : m_events(events), m_targets(targets), m_connections(entry_count) {
    for (const Pool& pool : workload.pools) {
      for (std::size_t index = 1; index <= pool.targets; ++index) {
        m_pools[pool.name].push_back(pool.name + "-" + std::to_string(index));
      }
    }
  }

  void HandleRequest(Request request) override {
    const std::size_t entry = m_next++ % m_connections.size();
    auto call = std::make_shared<Call>();
    call->request = std::move(request);
    m_events.Schedule(call->request.spec.deadline - m_events.Now(),
                      [call] { Complete(*call, Outcome::kUnknown); });
    SendAttempt(entry, call, 0);
  }

  std::size_t CountWaiting(const std::string& pool) const override { return 0; }

 private:
  /** @brief A request and whether its outcome has been reported. */
  struct Call {
    Request request;
    bool is_complete = false;
  };

  static void Complete(Call& call, Outcome outcome) {
    if (!call.is_complete) {
      call.is_complete = true;
      call.request.on_completed(outcome);
    }
  }

  void SendAttempt(std::size_t entry,
                   const std::shared_ptr<Call>& call,
                   int attempt) {
    constexpr int kRetries = 3;
    std::map<std::string, int>& own_connections = m_connections[entry];
    const std::vector<std::string>& pool = m_pools.at(call->request.pool);
    const std::string target = *std::min_element(
        pool.begin(), pool.end(), [&](const auto& left, const auto& right) {
          return std::pair(own_connections[left], left) <
                 std::pair(own_connections[right], right);
        });
    ++own_connections[target];
    const bool is_accepted =
        m_targets.Send(target, call->request, [this, entry, target, call] {
          --m_connections[entry][target];
          Complete(*call, Outcome::kAnswered);
        });
    if (is_accepted) {
      return;
    }
    --own_connections[target];
    if (attempt < kRetries) {
      SendAttempt(entry, call, attempt + 1);
    } else {
      Complete(*call, Outcome::kRefused);
    }
  }

  EventQueue& m_events;
  Targets& m_targets;
  std::vector<std::map<std::string, int>> m_connections;
  std::map<std::string, std::vector<std::string>> m_pools;
  std::size_t m_next = 0;
};

}  // namespace internal

std::unique_ptr<Policy> MakeNaive(const Workload& workload,
                                  std::size_t entry_count,
                                  EventQueue& events,
                                  Targets& targets) {
  return std::make_unique<internal::NaivePolicy>(workload, entry_count, events,
                                                 targets);
}

}  // namespace bench::flood
