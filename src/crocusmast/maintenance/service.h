#ifndef CROCUSMAST_MAINTENANCE_SERVICE_H_
#define CROCUSMAST_MAINTENANCE_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "crocusmast/core/logger.h"
#include "crocusmast/core/message_thread.h"
#include "crocusmast/leadership/leader_lease.h"
#include "crocusmast/maintenance/budget.h"
#include "crocusmast/maintenance/messages.h"
#include "crocusmast/maintenance/peer_port.h"
#include "crocusmast/maintenance/platform_port.h"
#include "crocusmast/maintenance/wave_store.h"

namespace crocusmast::maintenance {

/** @brief Time limit for draining; an instance that exceeds it is skipped. */
inline constexpr std::chrono::seconds kDrainTimeout{120};
/** @brief Time limit for rebooting; an instance that exceeds it is skipped. */
inline constexpr std::chrono::seconds kRebootTimeout{300};
/**
 * @brief Time after which every entry instance has been notified that a target
 * is draining.
 */
inline constexpr std::chrono::seconds kDrainPropagationTime{3};
/**
 * @brief Interval at which entry instances are asked for their requests in
 * flight.
 */
inline constexpr std::chrono::milliseconds kIdlePollInterval{500};
/** @brief Interval at which the leader reads an active wave. */
inline constexpr std::chrono::milliseconds kActiveWavePollInterval{2000};
/** @brief Interval at which the leader checks for a new wave. */
inline constexpr std::chrono::milliseconds kNewWavePollInterval{10000};
/**
 * @brief Interval at which an instance that is not the leader tries to acquire
 * the lease.
 */
inline constexpr std::chrono::milliseconds kAcquireRetryInterval{5000};

/**
 * @brief Timings of the maintenance leader's lease.
 *
 * The leader stops acting 3 s before the lease can expire, because only the
 * lease prevents two leaders from acting at the same time.
 */
inline constexpr leadership::LeaseTimings kMaintenanceLease{
    std::chrono::milliseconds(8000), std::chrono::milliseconds(2000),
    std::chrono::milliseconds(5000)};

/** @brief Dependencies of the maintenance service; all outlive it. */
struct ServicePorts {
  /** @brief Store of the wave and the lease. */
  WaveStore& store;
  /** @brief Operations on instances. */
  PlatformPort& platform;
  /** @brief Other entry instances. */
  PeerPort& peers;
  core::Logger& logger;
  const core::Clock& clock;
};

/**
 * @brief Runs maintenance waves on the instance that holds the leader lease.
 *
 * The first entry instance in the membership tries to acquire the lease. The
 * leader stores each step before it acts on it. A new leader repeats the
 * operations of the steps that an earlier leader stored; the operations are
 * idempotent.
 */
class Service final : public core::MessageHandler<Message> {
 public:
  /**
   * @brief Creates the service.
   * @param self This instance.
   * @param run Number of this process start; higher than that of any earlier
   * start of the instance.
   * @param ports Dependencies.
   */
  Service(core::InstanceId self, std::uint64_t run, ServicePorts ports);

  void Handle(Message&& message) override;
  void Tick() override;

 private:
  void On(const std::monostate& nothing) {}
  void On(const CommandReceived& message);
  void On(const MembershipChanged& message);
  void On(const PlanListsChanged& message);
  void On(const IdleReplyReceived& message);

  core::Result<StoredWave> ExecuteCommand(const CommandReceived& message);
  core::Result<StoredWave> ApplyCommand(const CommandReceived& message);

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
  void RunAndLogError(const std::string& action_name,
                      const std::function<core::Result<void>()>& action);
  void Log(core::Severity severity, const std::string& sentence);

  const core::InstanceId m_self;
  const std::string m_lease_identity;
  ServicePorts m_ports;
  leadership::LeaderLease m_lease{kMaintenanceLease};
  StoredWave m_stored;
  std::shared_ptr<const membership::MembershipView> m_membership;
  std::shared_ptr<const configuration::PlanLists> m_lists;
  /** @brief Entry instances that are idle on a target, by target. */
  std::map<core::InstanceId, std::set<core::InstanceId>> m_idle_entries;
  std::map<core::InstanceId, core::TimePoint> m_polled_at;
  /**
   * @brief Instances whose drain or reboot, depending on their state, this
   * leader has requested.
   */
  std::set<core::InstanceId> m_requested_actions;
  /** @brief Start of the timeout of an instance's current state. */
  std::map<core::InstanceId, core::TimePoint> m_timeout_start;
  core::TimePoint m_next_acquire_at;
  core::TimePoint m_last_read_at;
  /** @brief False if m_stored must be read again before its next use. */
  bool m_is_loaded = false;
};

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_SERVICE_H_
