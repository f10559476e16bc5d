#include "crocusmast/scheduling/unanswered_starts.h"

#include <set>

namespace crocusmast::scheduling {

void UnansweredStarts::Add(const core::InstanceId& worker,
                           const execution::RunKey& key,
                           core::TimePoint now) {
  while (!m_commands.empty() && (m_commands.front().forget_at <= now ||
                                 kMaxUnansweredStarts <= m_commands.size())) {
    m_commands.pop_front();
  }
  m_commands.push_back({worker, key, now + kMaxCommandDelay});
}

std::vector<execution::RunKey> UnansweredStarts::Find(
    const core::InstanceId& worker,
    core::TimePoint now) const {
  std::set<execution::RunKey> keys;
  for (const Command& command : m_commands) {
    if (command.worker == worker && now < command.forget_at) {
      keys.insert(command.key);
    }
  }
  return {keys.begin(), keys.end()};
}

}  // namespace crocusmast::scheduling
