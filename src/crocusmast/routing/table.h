#ifndef CROCUSMAST_ROUTING_TABLE_H_
#define CROCUSMAST_ROUTING_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/fleet/instance_record.h"
#include "crocusmast/request/request_spec.h"
#include "crocusmast/routing/circuit.h"
#include "crocusmast/routing/send_report.h"

namespace crocusmast::routing {

/** @brief A target that is new here is left alone for this long, so that the
 * instance that owned it before has learnt of the change. */
inline constexpr std::chrono::milliseconds kTakeoverHold{2000};
/** @brief Work that takes longer than this on average keeps a slot free for
 * urgent work. */
inline constexpr std::chrono::milliseconds kLongServiceTime{500};

/** @brief A target that this instance has done with. */
struct Released {
  /** @brief The target. */
  core::InstanceId target;
  /** @brief The incarnation that was used. */
  core::Incarnation incarnation;
};

/** @brief What a request needs of a target. */
struct Selection {
  /** @brief The pool. */
  core::PoolId pool;
  /** @brief How soon it has to start. */
  request::Urgency urgency = request::Urgency::kNormal;
  /** @brief The targets that the plan may use; null for all. */
  const std::set<core::InstanceId>* allowed = nullptr;
  /** @brief The targets tried already. */
  const std::vector<core::InstanceId>* tried = nullptr;
};

/** @brief A chosen target; the slot is taken until it is given back. */
struct ChosenTarget {
  /** @brief The target. */
  core::InstanceId target;
  /** @brief The incarnation that the slot belongs to. */
  core::Incarnation incarnation;
  /** @brief Where the target takes requests. */
  fleet::Endpoint address;
};

/**
 * @brief The targets that this instance owns, their slots and their health.
 *
 * Choosing takes a slot; no target ever has more requests than slots.
 */
class Table {
 public:
  /**
   * @brief Takes in which targets are owned.
   * @param owned The targets; one that is not named gets no new work.
   * @param now The time.
   */
  void SetTargets(const std::vector<fleet::InstanceRecord>& owned,
                  core::TimePoint now);

  /**
   * @brief Chooses the least loaded target and takes a slot of it.
   * @param selection What the request needs.
   * @param now The time.
   * @return The target, or nothing if none has room.
   */
  std::optional<ChosenTarget> Choose(const Selection& selection,
                                     core::TimePoint now);

  /**
   * @brief Gives a slot back.
   * @param choice The choice that took it.
   * @param report What the attempt showed.
   * @param now The time.
   * @return True if the report opened the target's circuit.
   */
  bool Finish(const ChosenTarget& choice,
              const SendReport& report,
              core::TimePoint now);

  /**
   * @brief Stops new work for a target that leaves.
   * @param target The target.
   */
  void MarkLeaving(const core::InstanceId& target);

  /**
   * @brief Ends the hold of a new target, since its owner before has done.
   * @param released The target.
   * @param now The time.
   */
  void EndTakeoverDelay(const Released& released, core::TimePoint now);

  /** @brief Returns the live targets that went to others, and forgets them. */
  std::vector<Released> TakeReleased();

  /**
   * @brief Stops all new work for a while.
   * @param until The end.
   */
  void BlockAll(core::TimePoint until);

  /**
   * @brief Makes targets eligible whose hold or pause is over.
   * @param now The time.
   */
  void Advance(core::TimePoint now);

  /**
   * @brief Counts the free slots of eligible targets.
   * @param pool The pool.
   */
  std::uint64_t FreeSlots(const core::PoolId& pool) const;

  /**
   * @brief Counts the requests on the pool's targets.
   * @param pool The pool.
   */
  std::uint64_t InFlight(const core::PoolId& pool) const;

  /**
   * @brief Counts the requests on a target.
   * @param target The target.
   */
  std::uint64_t InFlightOn(const core::InstanceId& target) const;

  /** @brief Lists the pools in which targets are owned. */
  std::vector<core::PoolId> Pools() const;

 private:
  /** @brief One target. */
  struct Target {
    fleet::InstanceRecord record;
    CircuitBreaker circuit;
    std::uint64_t in_flight = 0;
    std::uint64_t last_used = 0;
    core::TimePoint blocked_until;
    bool is_owned = true;
    bool was_owned = true;
    bool is_eligible = false;
  };

  /** @brief Orders the eligible targets of a pool, best first. */
  using Rank = std::tuple<std::uint64_t, std::uint64_t, core::InstanceId>;

  /** @brief The targets of one pool. */
  struct PoolState {
    std::set<Rank> eligible;
    std::set<core::InstanceId> members;
    std::uint64_t free_slots = 0;
    std::uint64_t in_flight = 0;
    core::Duration mean_service_time{};
  };

  static Rank RankOf(const Target& target);
  bool IsEligible(const Target& target, core::TimePoint now) const;
  bool CanServe(const Target& target,
                const Selection& selection,
                const PoolState& pool) const;
  void UpdateEligibility(Target& target, core::TimePoint now);
  void MarkIneligible(Target& target);
  void Add(const fleet::InstanceRecord& record, core::TimePoint now);
  void EraseIfIdle(const core::InstanceId& id);
  std::optional<ChosenTarget> ChooseWithOpenCircuit(const Selection& selection,
                                                    core::TimePoint now);
  ChosenTarget ReserveSlot(Target& target, core::TimePoint now);

  std::unordered_map<core::InstanceId, Target> m_targets;
  std::map<core::PoolId, PoolState> m_pools;
  std::set<std::pair<core::TimePoint, core::InstanceId>> m_wakeups;
  std::vector<Released> m_released;
  core::TimePoint m_blocked_until;
  std::uint64_t m_use_count = 0;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_TABLE_H_
