#ifndef CROCUSMAST_MAINTENANCE_WAVE_H_
#define CROCUSMAST_MAINTENANCE_WAVE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::maintenance {

/** @brief Maintenance state of an instance within a wave. */
enum class ItemState {
  /** @brief Maintenance has not started. */
  kPending,
  /** @brief The instance receives no new requests; the others finish. */
  kDraining,
  /** @brief The instance has no requests in flight; a reboot was requested. */
  kRebooting,
  /** @brief The instance is back in service. */
  kDone,
  /** @brief The instance did not drain or return in time. */
  kSkipped,
};

/** @brief State of a wave. */
enum class WaveState { kRunning, kPaused, kDone };

/**
 * @brief Returns the name of a state as used in stored waves and on the command
 * line.
 * @param state State to name.
 */
std::string_view ItemStateName(ItemState state);

/**
 * @brief Returns the name of a state as used in stored waves and on the command
 * line.
 * @param state State to name.
 */
std::string_view WaveStateName(WaveState state);

/** @brief Progress of one instance of a wave. */
struct WaveItem {
  /** @brief Instance to maintain. */
  core::InstanceId instance;
  /** @brief Pool of the instance. */
  core::PoolId pool;
  /** @brief Incarnation to reboot. */
  core::Incarnation incarnation;
  /** @brief Current state. */
  ItemState state = ItemState::kPending;
  /** @brief Time at which the current state was entered. */
  core::WallTime since;
  /** @brief Reason why the instance was skipped; empty otherwise. */
  std::string reason;
};

/**
 * @brief Maintenance wave over the instances of some pools (aggregate root).
 *
 * An instance advances from pending through draining and rebooting to done, or
 * is skipped. It never goes back to an earlier state.
 */
class Wave {
 public:
  /** @brief Number of skipped instances at which the wave pauses itself. */
  static constexpr std::size_t kMaxSkipped = 2;

  /**
   * @brief Creates a wave with all instances pending.
   * @param targets Targets of the region.
   * @param pools Pools to maintain.
   * @param now Current time.
   * @return The wave, or an error if a pool has no live targets.
   */
  static core::Result<Wave> Create(
      const std::vector<fleet::InstanceRecord>& targets,
      const std::vector<core::PoolId>& pools,
      core::WallTime now);

  /**
   * @brief Restores a stored wave.
   * @param state State of the wave.
   * @param started_at Start time of the wave.
   * @param items Progress of the instances.
   * @param block_reason Why the wave is blocked or paused; empty if it is not.
   */
  static Wave Restore(WaveState state,
                      core::WallTime started_at,
                      std::vector<WaveItem> items,
                      std::string block_reason);

  /** @brief Returns the state of the wave. */
  WaveState State() const { return m_state; }
  /** @brief Returns the start time. */
  core::WallTime StartedAt() const { return m_started_at; }
  /** @brief Returns the progress of the instances. */
  const std::vector<WaveItem>& Items() const { return m_items; }
  /** @brief Returns why the wave is blocked or paused; empty if it is not. */
  const std::string& BlockReason() const { return m_block_reason; }

  /**
   * @brief Advances an instance to its next state.
   * @param instance Instance to advance.
   * @param next State that follows the current one.
   * @param now Current time.
   * @return An error if the instance is not part of the wave or the state does
   * not follow its current one.
   */
  core::Result<void> Advance(const core::InstanceId& instance,
                             ItemState next,
                             core::WallTime now);

  /**
   * @brief Skips an instance, and pauses the wave once kMaxSkipped instances
   * are skipped.
   * @param instance Instance to skip.
   * @param reason Reason, for the operator.
   * @param now Current time.
   * @return An error if the instance is finished or not part of the wave.
   */
  core::Result<void> Skip(const core::InstanceId& instance,
                          std::string reason,
                          core::WallTime now);

  /**
   * @brief Pauses or resumes the wave.
   * @param is_paused True to pause.
   * @return An error if the wave is done.
   */
  core::Result<void> SetPaused(bool is_paused);

  /**
   * @brief Sets why the wave is blocked.
   * @param block_reason Text for the operator; empty if the wave is not
   * blocked.
   */
  void SetBlockReason(std::string block_reason) {
    m_block_reason = std::move(block_reason);
  }

  /**
   * @brief Counts the instances in a state.
   * @param state State to count.
   */
  std::size_t Count(ItemState state) const;

 private:
  Wave() = default;

  WaveItem* Find(const core::InstanceId& instance);
  void FinishIfComplete();

  WaveState m_state = WaveState::kRunning;
  core::WallTime m_started_at;
  std::vector<WaveItem> m_items;
  std::string m_block_reason;
};

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_WAVE_H_
