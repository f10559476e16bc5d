#ifndef CROCUSMAST_CAPACITY_BALANCER_H_
#define CROCUSMAST_CAPACITY_BALANCER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "crocusmast/capacity/pool_load.h"
#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/upkeep/cooldown_machine_port.h"
#include "crocusmast/upkeep/worker_drain_port.h"

namespace crocusmast::capacity {

/** @brief Interval between checks of the pool loads. */
inline constexpr std::chrono::milliseconds kCheckInterval{100};
/**
 * @brief A backlog that the pool completes within this time does not justify a
 * machine: a move takes 1.5 s, and then the worker has to join.
 */
inline constexpr double kToleratedBacklogSeconds = 2.0;
/**
 * @brief The smallest deficit, in machines, that justifies moving a machine.
 */
inline constexpr double kMinDeficit = 0.4;
/**
 * @brief A machine above the baseline of its pool is returned after it was idle
 * for this long.
 */
inline constexpr std::chrono::milliseconds kIdleTimeBeforeReturn{1000};
/**
 * @brief A pool has spare capacity only while less than this proportion of its
 * cores is in use.
 */
inline constexpr double kSpareCapacityUtilization = 0.6;
/**
 * @brief The proportion of its baseline machines that a pool keeps when it
 * lends machines.
 */
inline constexpr double kMinRetainedShare = 0.6;
/** @brief Maximum age of the machine list while machines are moving. */
inline constexpr std::chrono::milliseconds kMaxListAgeDuringMoves{1000};
/** @brief Maximum age of the machine list otherwise. */
inline constexpr std::chrono::milliseconds kMaxListAge{5000};
/** @brief Interval between log lines with the loads of the pools. */
inline constexpr std::chrono::milliseconds kLogInterval{1000};
/** @brief A move without a response is requested again after this time. */
inline constexpr std::chrono::milliseconds kMoveRetryInterval{700};
/**
 * @brief After a rejected move the machine is not moved again for this long.
 */
inline constexpr std::chrono::milliseconds kFailedMoveCooldown{3000};
/**
 * @brief A move without a response may take effect for this long, so that its
 * worker is not used again before, even if a repeated request was rejected.
 */
inline constexpr std::chrono::milliseconds kMaxMoveDelay{5000};
/**
 * @brief After this many machines of one pool were rejected as invalid for
 * another pool, no more are moved there.
 */
inline constexpr std::size_t kInvalidMovesBeforeBan = 2;

/** @brief The interfaces that the balancer uses; all must outlive it. */
struct BalancerPorts {
  /** @brief Lists and moves machines. */
  upkeep::CooldownMachinePort& machines;
  /** @brief Drains the workers of machines to move. */
  upkeep::WorkerDrainPort& workers;
  /** @brief Provides the load of the pools. */
  PoolLoadSource& loads;
  /** @brief The clock. */
  const core::Clock& clock;
  /** @brief The logger. */
  core::Logger& logger;
};

/**
 * @brief Moves machines between pools to follow their load.
 *
 * A pool that lacks capacity for its running, arriving and waiting work borrows
 * as many machines as it needs: first from standby pools, then idle machines of
 * pools with spare capacity. The baseline of a pool is the number of its
 * machines while none are lent. A pool with spare capacity and more machines
 * than its baseline returns idle machines to a pool below its baseline, or to a
 * standby pool. A machine is moved only if it is certain that nothing runs on
 * it. Its worker is out of use exactly as long as a move is in progress that
 * may still take effect.
 */
class Balancer {
 public:
  /**
   * @brief Constructs an inactive balancer.
   * @param ports The interfaces to use.
   */
  explicit Balancer(const BalancerPorts& ports);

  /**
   * @brief Starts a term as leader.
   * @param token The fencing token of the term.
   * @param pools The pool sizes that the previous leader stored. If empty, the
   * sizes are taken from the first machine list.
   */
  void BeginTerm(core::FencingToken token,
                 const std::vector<job::PoolSize>& pools);
  /** @brief Ends the term. */
  void EndTerm();

  /**
   * @brief Handles the list of machines, regardless of which component
   * requested it.
   * @param list The list; ignored if the request for it failed.
   */
  void Handle(const upkeep::MachineListReceived& list);
  /**
   * @brief Handles the response to a move.
   * @param reply The response; ignored if it belongs to no move in progress.
   */
  void Handle(const upkeep::MachineCommandReply& reply);

  /** @brief Tells whether a machine is reserved for another purpose. */
  using ReservedPredicate = std::function<bool(const core::MachineId&)>;
  /**
   * @brief Runs one cycle: requests a new machine list and moves machines, as
   * needed.
   * @param is_lease_valid True if it is certain that this instance still holds
   * the lease; otherwise no move is requested.
   * @param is_reserved Tells which machines must not be moved.
   * @return True if there are new pool sizes to store for the next leader.
   */
  bool RunCycle(bool is_lease_valid, const ReservedPredicate& is_reserved);

  /**
   * @brief Requests the moves that waited for their announcement to be stored.
   * @param is_lease_valid As for RunCycle().
   */
  void RequestAnnouncedMoves(bool is_lease_valid);

  /**
   * @brief Returns what late jobs may use of the pools.
   *
   * While jobs in time wait for machines that a pool lacks, the late jobs of
   * other pools start tasks only as far as the baseline machines of these
   * reach, so that those that were lent to them become idle.
   */
  const LateLimits& LimitsOfLateJobs() const { return m_late_limits; }

  /** @brief Returns the pool sizes to store for the next leader. */
  std::vector<job::PoolSize> PoolSizes() const;

  /**
   * @brief Tells whether a machine is being moved to another pool.
   * @param machine The machine.
   */
  bool IsMoving(const core::MachineId& machine) const {
    return m_moves.count(machine) > 0;
  }

  /** @brief Returns the workers that are drained for moves in progress. */
  std::set<core::InstanceId> DrainedWorkers() const;

 private:
  /** @brief A requested move. */
  struct Move {
    core::PoolId from;
    core::PoolId to;
    /** @brief The worker on the machine; empty if there was none. */
    core::InstanceId worker;
    /** @brief When it was requested last; empty until it is announced. */
    core::TimePoint requested_at;
    /** @brief Until when a request without a response may take effect. */
    core::TimePoint unanswered_until;
    /** @brief True once a response confirmed the move. */
    bool is_done = false;
    core::TimePoint done_at;
    /** @brief True once the move was rejected; it is not requested again. */
    bool is_rejected = false;
  };

  /** @brief State of a pool in the current cycle. */
  struct PoolView {
    PoolLoad load;
    /** @brief Machines in the pool or moving to it. */
    std::size_t machines = 0;
    /** @brief Of these, those in a move or in maintenance, and those whose
     * worker is joining. */
    std::size_t arriving_machines = 0;
    /** @brief Cores of one machine of the pool. */
    double machine_cores = 0;
    /**
     * @brief Number of machines that the pool lacks; negative if it can spare
     * some.
     */
    double deficit = 0;
    /**
     * @brief The deficit computed from PoolLoad::steady_cores in place of
     * PoolLoad::arriving_cores. Only this deficit justifies taking machines
     * from a pool other than a standby pool.
     */
    double steady_deficit = 0;
    /**
     * @brief Idle machines that may be moved; the one that was idle longest
     * comes last.
     */
    std::vector<core::MachineId> idle;
    /** @brief Further idle machines, which an earlier leader may have commanded
     * too recently. */
    std::size_t held_machines = 0;
  };

  void RemoveFinishedMoves();
  void RemoveRejectedMoves();
  void HandleRejection(const core::MachineId& machine,
                       upkeep::MachineCommandOutcome outcome);
  bool IsBanned(const core::PoolId& from, const core::PoolId& to) const;
  std::map<core::PoolId, PoolView> BuildPoolViews(
      const ReservedPredicate& is_reserved);
  void FindIdleMachines(std::map<core::PoolId, PoolView>& views,
                        const ReservedPredicate& is_reserved);
  void BorrowMachines(std::map<core::PoolId, PoolView>& views);
  PoolView* FindLender(const PoolView& borrower,
                       std::map<core::PoolId, PoolView>& views);
  void ReturnMachines(PoolView& view, std::map<core::PoolId, PoolView>& views);
  void MoveMachine(PoolView& from, PoolView& to, const char* reason);
  void RequestMove(const core::MachineId& machine);
  bool MayRequest(const Move& move) const;
  void LogLoads(const std::map<core::PoolId, PoolView>& views);
  bool HasSpareCapacity(const PoolView& view) const;
  void LimitLateJobs(const std::map<core::PoolId, PoolView>& views);
  std::size_t BaselineOf(const core::PoolId& pool) const;
  void Log(std::string sentence, std::vector<core::LogField> fields) const;

  BalancerPorts m_ports;
  bool m_is_active = false;
  bool m_has_new_sizes = false;
  core::FencingToken m_token;
  core::TimePoint m_next_check_at;
  core::TimePoint m_next_log_at;
  core::TimePoint m_listed_at;
  /** @brief When the last list was requested from the platform. */
  core::TimePoint m_list_sent_at;
  core::TimePoint m_list_requested_at;
  std::map<core::MachineId, upkeep::Machine> m_machines;
  /** @brief Number of machines of each pool when none are lent. */
  std::map<core::PoolId, std::size_t> m_baseline;
  std::map<core::MachineId, Move> m_moves;
  std::map<core::MachineId, core::TimePoint> m_idle_since;
  std::map<core::MachineId, core::TimePoint> m_cooldown_until;
  /** @brief Machines that were rejected as invalid, by the pools they were to
   * be moved between. */
  std::map<std::pair<core::PoolId, core::PoolId>, std::set<core::MachineId>>
      m_invalid_moves;
  LateLimits m_late_limits;
};

}  // namespace crocusmast::capacity

#endif  // CROCUSMAST_CAPACITY_BALANCER_H_
