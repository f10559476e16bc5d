#include "crocusmast/maintenance/wave.h"

#include <algorithm>
#include <utility>

namespace crocusmast::maintenance {
namespace internal {

using core::Fail;
using core::Operation;

bool IsNextState(ItemState current, ItemState next) {
  switch (current) {
    case ItemState::kPending:
      return next == ItemState::kDraining;
    case ItemState::kDraining:
      return next == ItemState::kRebooting;
    case ItemState::kRebooting:
      return next == ItemState::kDone;
    default:
      return false;
  }
}

bool IsFinal(ItemState state) {
  return state == ItemState::kDone || state == ItemState::kSkipped;
}

}  // namespace internal

std::string_view ItemStateName(ItemState state) {
  switch (state) {
    case ItemState::kPending:
      return "pending";
    case ItemState::kDraining:
      return "draining";
    case ItemState::kRebooting:
      return "rebooting";
    case ItemState::kDone:
      return "done";
    case ItemState::kSkipped:
      return "passed-over";
  }
  return "unknown";
}

std::string_view WaveStateName(WaveState state) {
  switch (state) {
    case WaveState::kRunning:
      return "running";
    case WaveState::kPaused:
      return "paused";
    case WaveState::kDone:
      return "done";
  }
  return "unknown";
}

core::Result<Wave> Wave::Create(
    const std::vector<fleet::InstanceRecord>& targets,
    const std::vector<core::PoolId>& pools,
    core::WallTime now) {
  Wave wave;
  wave.m_started_at = now;
  for (const core::PoolId& pool : pools) {
    const std::size_t before = wave.m_items.size();
    for (const fleet::InstanceRecord& target : targets) {
      const bool is_live = target.state == fleet::InstanceState::kLive;
      if (target.pool == pool && is_live) {
        wave.m_items.push_back(WaveItem{target.id, pool, target.incarnation,
                                        ItemState::kPending, now, ""});
      }
    }
    if (wave.m_items.size() == before) {
      return internal::Fail(internal::Operation::kAdministration, pool.Text(),
                            "the pool has no live targets");
    }
  }
  return wave;
}

Wave Wave::Restore(WaveState state,
                   core::WallTime started_at,
                   std::vector<WaveItem> items,
                   std::string block_reason) {
  Wave wave;
  wave.m_state = state;
  wave.m_started_at = started_at;
  wave.m_items = std::move(items);
  wave.m_block_reason = std::move(block_reason);
  return wave;
}

WaveItem* Wave::Find(const core::InstanceId& instance) {
  const auto found = std::find_if(
      m_items.begin(), m_items.end(),
      [&](const WaveItem& item) { return item.instance == instance; });
  return found == m_items.end() ? nullptr : &*found;
}

core::Result<void> Wave::Advance(const core::InstanceId& instance,
                                 ItemState next,
                                 core::WallTime now) {
  WaveItem* item = Find(instance);
  if (item == nullptr || !internal::IsNextState(item->state, next)) {
    return internal::Fail(
        internal::Operation::kChangeState, instance.Text(),
        "cannot advance to " + std::string(ItemStateName(next)));
  }
  item->state = next;
  item->since = now;
  FinishIfComplete();
  return {};
}

core::Result<void> Wave::Skip(const core::InstanceId& instance,
                              std::string reason,
                              core::WallTime now) {
  WaveItem* item = Find(instance);
  if (item == nullptr || internal::IsFinal(item->state)) {
    return internal::Fail(
        internal::Operation::kChangeState, instance.Text(),
        "cannot be skipped: it is finished or not part of the wave");
  }
  item->state = ItemState::kSkipped;
  item->since = now;
  item->reason = std::move(reason);
  FinishIfComplete();
  if (m_state == WaveState::kRunning &&
      Count(ItemState::kSkipped) >= kMaxSkipped) {
    m_state = WaveState::kPaused;
    m_block_reason =
        "Paused: too many instances were skipped. Last: " + instance.Text() +
        ", " + item->reason + ".";
  }
  return {};
}

core::Result<void> Wave::SetPaused(bool is_paused) {
  if (m_state == WaveState::kDone) {
    return internal::Fail(internal::Operation::kAdministration, "maintenance",
                          "the wave is done");
  }
  m_state = is_paused ? WaveState::kPaused : WaveState::kRunning;
  m_block_reason = is_paused ? "An operator paused the wave." : "";
  return {};
}

std::size_t Wave::Count(ItemState state) const {
  return static_cast<std::size_t>(std::count_if(
      m_items.begin(), m_items.end(),
      [state](const WaveItem& item) { return item.state == state; }));
}

void Wave::FinishIfComplete() {
  const bool is_complete = std::all_of(
      m_items.begin(), m_items.end(),
      [](const WaveItem& item) { return internal::IsFinal(item.state); });
  if (is_complete) {
    m_state = WaveState::kDone;
    m_block_reason.clear();
  }
}

}  // namespace crocusmast::maintenance
