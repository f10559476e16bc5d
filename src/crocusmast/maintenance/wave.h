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

/** @brief Where an instance is in its maintenance. */
enum class ItemState {
  /** @brief Not begun. */
  kPending,
  /** @brief Told to take no new work. */
  kDraining,
  /** @brief Nothing in flight; told to reboot. */
  kRebooting,
  /** @brief Back in service. */
  kDone,
  /** @brief Given up on. */
  kPassedOver,
};

/** @brief Whether a wave goes on. */
enum class WaveState { kRunning, kPaused, kDone };

/**
 * @brief Names a state.
 * @param state The state.
 */
std::string_view ItemStateName(ItemState state);

/**
 * @brief Names a state.
 * @param state The state.
 */
std::string_view WaveStateName(WaveState state);

/** @brief One instance of a wave. */
struct WaveItem {
  /** @brief The instance. */
  core::InstanceId instance;
  /** @brief Its pool. */
  core::PoolId pool;
  /** @brief The incarnation that is to be rebooted. */
  core::Incarnation incarnation;
  /** @brief Where it is. */
  ItemState state = ItemState::kPending;
  /** @brief Since when. */
  core::WallTime since;
  /** @brief Why it was passed over; empty otherwise. */
  std::string reason;
};

/**
 * @brief A wave of maintenance; the aggregate's root.
 *
 * Each instance goes from pending to draining to rebooting to done, or is
 * passed over; none goes back.
 */
class Wave {
 public:
  /** @brief Passed-over instances at which the wave pauses itself. */
  static constexpr std::size_t kMaxSkipped = 2;

  /**
   * @brief Makes a wave that has not begun.
   * @param targets The targets of the region.
   * @param pools The pools to maintain.
   * @param now The time.
   * @return The wave, or an error if a pool has no live targets.
   */
  static core::Result<Wave> Create(
      const std::vector<fleet::InstanceRecord>& targets,
      const std::vector<core::PoolId>& pools,
      core::WallTime now);

  /**
   * @brief Makes a wave from what was stored.
   * @param state Whether it goes on.
   * @param started_at When it began.
   * @param items The instances.
   * @param note What holds it up.
   */
  static Wave Restore(WaveState state,
                      core::WallTime started_at,
                      std::vector<WaveItem> items,
                      std::string note);

  /** @brief Returns whether it goes on. */
  WaveState State() const { return m_state; }
  /** @brief Returns when it began. */
  core::WallTime StartedAt() const { return m_started_at; }
  /** @brief Returns the instances. */
  const std::vector<WaveItem>& Items() const { return m_items; }
  /** @brief Returns what holds it up; empty if nothing does. */
  const std::string& Note() const { return m_note; }

  /**
   * @brief Moves an instance on to its next state.
   * @param instance The instance.
   * @param next The state, the one after the present one.
   * @param now The time.
   * @return An error for any other state.
   */
  core::Result<void> Advance(const core::InstanceId& instance,
                             ItemState next,
                             core::WallTime now);

  /**
   * @brief Gives up on an instance; pauses the wave after too many.
   * @param instance The instance.
   * @param reason Why.
   * @param now The time.
   * @return An error if the instance is done or not of the wave.
   */
  core::Result<void> Skip(const core::InstanceId& instance,
                          std::string reason,
                          core::WallTime now);

  /**
   * @brief Pauses or resumes.
   * @param is_paused True to pause.
   * @return An error if the wave is done.
   */
  core::Result<void> SetPaused(bool is_paused);

  /**
   * @brief Says what holds the wave up.
   * @param note A sentence; empty if nothing does.
   */
  void SetNote(std::string note) { m_note = std::move(note); }

  /**
   * @brief Counts instances in a state.
   * @param state The state.
   */
  std::size_t Count(ItemState state) const;

 private:
  Wave() = default;

  WaveItem* Find(const core::InstanceId& instance);
  void FinishIfComplete();

  WaveState m_state = WaveState::kRunning;
  core::WallTime m_started_at;
  std::vector<WaveItem> m_items;
  std::string m_note;
};

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_WAVE_H_
