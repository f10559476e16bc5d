#ifndef CROCUSMAST_SCHEDULING_MACHINE_EVIDENCE_H_
#define CROCUSMAST_SCHEDULING_MACHINE_EVIDENCE_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/execution/worker.h"
#include "crocusmast/upkeep/machine_port.h"

namespace crocusmast::scheduling {

/** @brief Minimum time between two requests for the list of machines. */
inline constexpr std::chrono::milliseconds kMachineListInterval{1000};
/** @brief That time at the start of a term, for the second list of it. */
inline constexpr std::chrono::milliseconds kSecondMachineListDelay{300};

/**
 * @brief Knows from the platform's lists of machines which workers run nothing.
 *
 * A machine that is up is listed with its worker, also while the worker can't
 * be reached. So an incarnation that was known before the request for a list,
 * and that no machine of the list has, has ended: its machine is down, moving,
 * in maintenance or gone, or has another worker.
 */
class MachineEvidence {
 public:
  /** @brief A worker that may have runs. */
  struct KnownWorker {
    core::InstanceId id;
    core::PoolId pool;
    /** @brief When its incarnation became known. */
    core::TimePoint known_since;
  };

  /** @brief Discards all state at the end of a leadership term. */
  void Clear();

  /**
   * @brief Looks for workers in a list of machines.
   * @param list The list.
   * @param workers The workers that may have runs.
   * @param now The current time.
   */
  void Handle(const upkeep::MachineListReceived& list,
              const std::vector<KnownWorker>& workers,
              core::TimePoint now);

  /**
   * @brief Returns when a worker was known to run nothing, because no machine
   * had it; empty if it was not.
   * @param worker The worker.
   * @param known_since When its incarnation became known.
   * @param confirmed_at Time up to which no other leader can have had a reply
   * of the worker; later evidence does not count.
   */
  std::optional<execution::Absence> AbsenceOf(
      const core::InstanceId& worker,
      core::TimePoint known_since,
      core::TimePoint confirmed_at) const;

  /**
   * @brief Tells whether no machine of the last list shows a worker. Enough not
   * to use it yet; whether its runs have ended is for AbsenceOf() to tell.
   * @param worker The worker.
   */
  bool IsMissing(const KnownWorker& worker) const;

  /**
   * @brief Tells whether the next list should be requested.
   * @param last_request_at When the last list was requested.
   * @param now The current time.
   */
  bool IsListDue(core::TimePoint last_request_at, core::TimePoint now) const;

 private:
  struct Evidence {
    core::TimePoint requested_at;
    core::TimePoint received_at;
    /** @brief Its machine has another worker. */
    bool is_final = false;
  };

  bool HasAllMachines(const upkeep::MachineListReceived& list) const;

  std::map<core::InstanceId, Evidence> m_absences;
  /** @brief The machine that was listed last with each worker. */
  std::map<core::InstanceId, core::MachineId> m_machine_of;
  /** @brief Machines of the last list. */
  std::set<core::MachineId> m_machines;
  /** @brief Workers of the last list. */
  std::set<core::InstanceId> m_listed;
  /** @brief When the last list was requested. */
  core::TimePoint m_requested_at;
  /** @brief When the last list arrived; empty before the first one. */
  std::optional<core::TimePoint> m_received_at;
  bool m_has_second_list = false;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_MACHINE_EVIDENCE_H_
