#ifndef CROCUSMAST_MAINTENANCE_SERVICE_H_
#define CROCUSMAST_MAINTENANCE_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "crocusmast/core/duty.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/leadership/leader_lease.h"
#include "crocusmast/maintenance/budget.h"
#include "crocusmast/maintenance/messages.h"
#include "crocusmast/maintenance/peer_port.h"
#include "crocusmast/maintenance/platform.h"
#include "crocusmast/maintenance/wave_store.h"

namespace crocusmast::maintenance {

/** @brief An instance that drains for longer is passed over. */
inline constexpr std::chrono::seconds kDrainTimeout{120};
/** @brief An instance that reboots for longer is passed over. */
inline constexpr std::chrono::seconds kRebootTimeout{300};
/** @brief Every entry instance has heard of a drain after this. */
inline constexpr std::chrono::seconds kDrainPropagationTime{3};
/** @brief How often the entry instances are asked for what is in flight. */
inline constexpr std::chrono::milliseconds kIdlePollInterval{500};
/** @brief How often the holder reads a wave that is under way. */
inline constexpr std::chrono::milliseconds kActiveWavePollInterval{2000};
/** @brief How often the holder looks for a new wave. */
inline constexpr std::chrono::milliseconds kNewWavePollInterval{10000};
/** @brief How often another instance tries to become the holder. */
inline constexpr std::chrono::milliseconds kAcquireRetryInterval{5000};

/** @brief How the maintenance duty's lease is kept: acts stop 3 s before it
 * can lapse, since nothing but the lease keeps two holders apart. */
inline constexpr leadership::LeaseTimings kMaintenanceLease{
    std::chrono::milliseconds(8000), std::chrono::milliseconds(2000),
    std::chrono::milliseconds(5000)};

/** @brief The ports that the maintenance duty uses; all outlive it. */
struct ServicePorts {
  /** @brief The store. */
  WaveStore& store;
  /** @brief The platform. */
  Platform& platform;
  /** @brief The entry instances. */
  PeerPort& peers;
  /** @brief The log. */
  core::Logger& logger;
  /** @brief The time. */
  const core::Clock& clock;
};

/**
 * @brief Runs waves of maintenance on the instance that holds the lease.
 *
 * The first of the entry instances that are up tries for the lease. The holder
 * writes each step to the store before it acts on it; a holder that finds
 * steps of an earlier one repeats their acts, which the platform allows.
 */
class Service final : public core::DutyHandler<Message> {
 public:
  /**
   * @brief Makes the service.
   * @param self This instance.
   * @param run A number above that of any earlier run.
   * @param ports The ports.
   */
  Service(core::InstanceId self, std::uint64_t run, ServicePorts ports);

  void Handle(Message&& message) override;
  void Tick() override;

 private:
  void On(const std::monostate& nothing) {}
  void On(const CommandGiven& message);
  void On(const RosterChanged& message);
  void On(const ListsChanged& message);
  void On(const IdleSeen& message);

  core::Result<StoredWave> Command(const CommandGiven& message);
  core::Result<StoredWave> Change(const CommandGiven& message);

  void MaintainLease();
  bool IsCandidate() const;
  void ProcessWave();
  core::Result<void> ReadWave();
  void ContinueItems();
  bool ContinueItem(const WaveItem& item);
  bool ContinueDraining(const WaveItem& item);
  bool ContinueRebooting(const WaveItem& item);
  void StartDrains();
  bool IsIdleEverywhere(const core::InstanceId& target) const;
  bool HasReturned(const WaveItem& item) const;
  bool IsOverdue(const WaveItem& item, core::Duration timeout);
  void ClearItemState(const core::InstanceId& instance);
  void PollIdle(const core::InstanceId& target);
  bool Save(const Wave& wave);
  bool Advance(const core::InstanceId& instance, ItemState next);
  bool Skip(const WaveItem& item, const std::string& reason);
  bool MayAct() const { return m_lease.MayAct(m_ports.clock.Now()); }
  void TryAndLog(const std::string& what,
                 const std::function<core::Result<void>()>& action);
  void Log(core::Severity severity, const std::string& sentence);

  const core::InstanceId m_self;
  const std::string m_holder_name;
  ServicePorts m_ports;
  leadership::LeaderLease m_lease{kMaintenanceLease};
  StoredWave m_stored;
  std::shared_ptr<const membership::RosterView> m_roster;
  std::shared_ptr<const configuration::Lists> m_lists;
  std::map<core::InstanceId, std::set<core::InstanceId>> m_idle_entries;
  std::map<core::InstanceId, core::TimePoint> m_polled_at;
  std::set<core::InstanceId> m_started_actions;
  std::map<core::InstanceId, core::TimePoint> m_handling_since;
  core::TimePoint m_next_acquire_at;
  core::TimePoint m_last_read_at;
  bool m_is_loaded = false;
};

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_SERVICE_H_
