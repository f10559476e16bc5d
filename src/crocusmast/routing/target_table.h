#ifndef CROCUSMAST_ROUTING_TARGET_TABLE_H_
#define CROCUSMAST_ROUTING_TARGET_TABLE_H_

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
#include "crocusmast/routing/attempt_report.h"
#include "crocusmast/routing/circuit_breaker.h"

namespace crocusmast::routing {

/**
 * @brief A newly owned target receives no requests for this long, so that its
 * previous owner has time to learn of the change.
 */
inline constexpr std::chrono::milliseconds kTakeoverDelay{2000};
/**
 * @brief Above this mean service time of a pool, some slots of each target are
 * reserved for urgent requests.
 */
inline constexpr std::chrono::milliseconds kLongServiceTime{500};

/** @brief A target that this instance no longer uses. */
struct ReleasedTarget {
  /** @brief The target. */
  core::InstanceId target;
  /** @brief The incarnation that this instance used. */
  core::Incarnation incarnation;
};

/** @brief What a request requires of a target. */
struct TargetCriteria {
  /** @brief The pool. */
  core::PoolId pool;
  /** @brief How soon it has to start. */
  request::Urgency urgency = request::Urgency::kNormal;
  /** @brief The targets that the plan may use; null for all. */
  const std::set<core::InstanceId>* allowed = nullptr;
  /** @brief The targets that were already tried. */
  const std::vector<core::InstanceId>* tried = nullptr;
};

/**
 * @brief A chosen target. One of its slots stays taken until
 * TargetTable::Finish is called.
 */
struct ChosenTarget {
  /** @brief The target. */
  core::InstanceId target;
  /** @brief The incarnation that the slot belongs to. */
  core::Incarnation incarnation;
  /** @brief Address for requests to the target. */
  fleet::Endpoint address;
};

/**
 * @brief The targets that this instance owns, with their slots and circuit
 * breakers.
 *
 * Choose takes a slot. A target never has more requests in flight than slots.
 */
class TargetTable {
 public:
  /**
   * @brief Replaces the owned targets.
   * @param owned The owned targets. Other targets receive no new requests.
   * @param now The current time.
   */
  void SetTargets(const std::vector<fleet::InstanceRecord>& owned,
                  core::TimePoint now);

  /**
   * @brief Chooses the target with the fewest requests in flight and takes a
   * slot. If the circuits of all targets of the pool are open, an idle target
   * is chosen nevertheless, as a probe.
   * @param criteria What the request requires of the target.
   * @param now The current time.
   * @return The target, or nothing if none has a free slot.
   */
  std::optional<ChosenTarget> Choose(const TargetCriteria& criteria,
                                     core::TimePoint now);

  /**
   * @brief Returns a slot after an attempt.
   * @param choice The result of Choose.
   * @param report The result of the attempt.
   * @param now The current time.
   * @return True if the report opened the target's circuit.
   */
  bool Finish(const ChosenTarget& choice,
              const AttemptReport& report,
              core::TimePoint now);

  /**
   * @brief Stops new requests to a target that is leaving.
   * @param target The target.
   */
  void MarkLeaving(const core::InstanceId& target);

  /**
   * @brief Ends the takeover delay of a target, because its previous owner no
   * longer uses it.
   * @param released The target and its incarnation.
   * @param now The current time.
   */
  void EndTakeoverDelay(const ReleasedTarget& released, core::TimePoint now);

  /**
   * @brief Returns and clears the live targets that are now owned by other
   * instances.
   */
  std::vector<ReleasedTarget> TakeReleased();

  /**
   * @brief Stops new requests to all targets for a time.
   * @param until When requests may be sent again.
   */
  void BlockAll(core::TimePoint until);

  /**
   * @brief Makes targets eligible again whose blocking or open time has passed.
   * @param now The current time.
   */
  void Advance(core::TimePoint now);

  /**
   * @brief Counts the free slots of eligible targets.
   * @param pool The pool.
   */
  std::uint64_t FreeSlots(const core::PoolId& pool) const;

  /**
   * @brief Counts the requests in flight in a pool.
   * @param pool The pool.
   */
  std::uint64_t InFlight(const core::PoolId& pool) const;

  /**
   * @brief Counts the requests in flight on a target.
   * @param target The target.
   */
  std::uint64_t InFlightOn(const core::InstanceId& target) const;

  /** @brief Lists the pools of the owned targets. */
  std::vector<core::PoolId> Pools() const;

 private:
  /** @brief State of one target. */
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

  /**
   * @brief Sort key of the eligible targets of a pool; the best comes first.
   */
  using Rank = std::tuple<std::uint64_t, std::uint64_t, core::InstanceId>;

  /** @brief State of one pool. */
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
                const TargetCriteria& criteria,
                const PoolState& pool) const;
  void UpdateEligibility(Target& target, core::TimePoint now);
  void MarkIneligible(Target& target);
  void Add(const fleet::InstanceRecord& record, core::TimePoint now);
  void EraseIfIdle(const core::InstanceId& id);
  std::optional<ChosenTarget> ChooseWithOpenCircuit(
      const TargetCriteria& criteria,
      core::TimePoint now);
  ChosenTarget TakeSlot(Target& target, core::TimePoint now);

  std::unordered_map<core::InstanceId, Target> m_targets;
  std::map<core::PoolId, PoolState> m_pools;
  std::set<std::pair<core::TimePoint, core::InstanceId>> m_recheck_times;
  std::vector<ReleasedTarget> m_released;
  core::TimePoint m_blocked_until;
  std::uint64_t m_use_count = 0;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_TARGET_TABLE_H_
