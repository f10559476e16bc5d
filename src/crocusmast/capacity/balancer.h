#ifndef CROCUSMAST_CAPACITY_BALANCER_H_
#define CROCUSMAST_CAPACITY_BALANCER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "crocusmast/capacity/pool_load.h"
#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/upkeep/order_gate.h"
#include "crocusmast/upkeep/worker_keeper.h"

namespace crocusmast::capacity {

/** @brief How often loads are looked at. */
inline constexpr std::chrono::milliseconds kCheckInterval{100};
/** @brief A backlog that is gone within this time needs no machine: a move
 * takes 1.5 s, and its worker then has to join. */
inline constexpr double kToleratedBacklogSeconds = 2.0;
/** @brief A machine is worth its move if this much of it is missing. */
inline constexpr double kMinDeficit = 0.4;
/** @brief A borrowed machine that was idle for this long goes back. */
inline constexpr std::chrono::milliseconds kIdleTimeBeforeReturn{1000};
/** @brief Below this share of its capacity in use a pool gives machines back.
 */
inline constexpr double kMaxLenderUtilization = 0.6;
/** @brief The share of its own machines that a pool keeps when it lends. */
inline constexpr double kMinRetainedShare = 0.6;
/** @brief How old the list of machines may be while machines move. */
inline constexpr std::chrono::milliseconds kMaxListAgeDuringMoves{1000};
/** @brief How old it may be otherwise. */
inline constexpr std::chrono::milliseconds kMaxListAge{5000};
/** @brief How often the loads are logged. */
inline constexpr std::chrono::milliseconds kLogInterval{1000};
/** @brief An order without an answer is repeated after this. */
inline constexpr std::chrono::milliseconds kMoveRetryInterval{700};
/** @brief A machine that could not be moved is left alone for this long. */
inline constexpr std::chrono::milliseconds kFailedMoveCooldown{3000};

/** @brief What the balancer uses; all outlive it. */
struct BalancerPorts {
  upkeep::OrderGate& machines;
  upkeep::WorkerKeeper& workers;
  LoadView& loads;
  const core::Clock& clock;
  core::Logger& logger;
};

/**
 * @brief Lends machines to pools in a rush.
 *
 * One rule: a pool that misses capacity for what arrives and waits borrows as
 * many machines as that needs, from standby first, then idle ones of pools with
 * slack; an idle machine of a pool with slack that has more than its own goes
 * to a pool that has less, or to standby. Only machines on which surely nothing
 * runs are moved.
 */
class Balancer {
 public:
  /**
   * @brief Makes a balancer without the duty.
   * @param ports What it uses.
   */
  explicit Balancer(const BalancerPorts& ports);

  /**
   * @brief Begins a hold of the duty.
   * @param token The hold's token.
   * @param pools The earlier holder's notes; empty: as the pools are listed.
   */
  void Begin(core::FencingToken token, const std::vector<job::PoolNote>& pools);
  /** @brief Ends the hold. */
  void End();

  /** @brief Takes in the list of machines, whoever asked for it. */
  void Handle(const upkeep::MachinesListed& listed);
  /** @brief Takes in the answer to an order. */
  void Handle(const upkeep::MachineReplied& replied);

  /** @brief Tells whether a machine is set aside for something else. */
  using IsReserved = std::function<bool(const core::MachineId&)>;
  /**
   * @brief Does what is due.
   * @param has_lease The store surely still names this holder; no order is
   * given otherwise.
   * @param is_reserved Tells which machines to leave alone.
   * @return True if there is something new to note for a successor.
   */
  bool Round(bool has_lease, const IsReserved& is_reserved);

  /** @brief Returns what a successor has to know. */
  std::vector<job::PoolNote> Notes() const;

  /** @brief Tells whether a machine is on its way to another pool. */
  bool IsMoving(const core::MachineId& machine) const {
    return m_moves.count(machine) > 0;
  }

 private:
  /** @brief A move that was ordered. */
  struct Move {
    core::PoolId to;
    core::TimePoint requested_at;
    /** @brief The order was carried out. */
    bool is_done = false;
  };

  /** @brief A pool as this round sees it. */
  struct PoolView {
    PoolLoad load;
    /** @brief Machines in it or on their way to it. */
    std::size_t machines = 0;
    /** @brief The cores of one of its machines. */
    double machine_cores = 0;
    /** @brief Machines that it misses; below 0 those that it can spare. */
    double deficit = 0;
    /** @brief The same by steady arrivals: enough to take from other pools. */
    double steady_deficit = 0;
    /** @brief Machines that are idle and may go, the longest idle last. */
    std::vector<core::MachineId> idle;
  };

  void RemoveFinishedMoves();
  std::map<core::PoolId, PoolView> BuildPoolViews(
      const IsReserved& is_reserved);
  void FindIdleMachines(PoolView& view, const IsReserved& is_reserved);
  void BorrowMachines(PoolView& view, std::map<core::PoolId, PoolView>& views);
  PoolView* FindLender(const PoolView& borrower,
                       std::map<core::PoolId, PoolView>& views);
  void ReturnMachines(PoolView& view, std::map<core::PoolId, PoolView>& views);
  void MoveMachine(PoolView& from, PoolView& to, const char* reason);
  void RequestMove(const core::MachineId& machine, const core::PoolId& to);
  void LogLoads(const std::map<core::PoolId, PoolView>& views);
  bool HasSpareCapacity(const PoolView& view) const;
  std::size_t BaselineOf(const core::PoolId& pool) const;
  void Log(std::string sentence, std::vector<core::LogField> fields) const;

  BalancerPorts m_ports;
  bool m_is_active = false;
  bool m_is_changed = false;
  core::FencingToken m_token;
  core::TimePoint m_next_check_at;
  core::TimePoint m_next_log_at;
  core::TimePoint m_listed_at;
  core::TimePoint m_list_requested_at;
  std::map<core::MachineId, upkeep::Machine> m_machines;
  /** @brief How many machines each pool has when none is lent. */
  std::map<core::PoolId, std::size_t> m_baseline;
  std::map<core::MachineId, Move> m_moves;
  std::map<core::MachineId, core::TimePoint> m_idle_since;
  std::map<core::MachineId, core::TimePoint> m_cooldown_until;
};

}  // namespace crocusmast::capacity

#endif  // CROCUSMAST_CAPACITY_BALANCER_H_
