#include "crocusmast/maintenance/service.h"

#include <algorithm>
#include <utility>

namespace crocusmast::maintenance {

Service::Service(core::InstanceId self, std::uint64_t run, ServicePorts ports)
    : m_self(std::move(self)),
      m_lease_identity(m_self.Text() + "-" + std::to_string(run)),
      m_ports(ports),
      m_membership(std::make_shared<const membership::MembershipView>()),
      m_lists(std::make_shared<const configuration::PlanLists>()) {}

void Service::Handle(Message&& message) {
  std::visit([this](const auto& content) { On(content); }, message);
}

void Service::Tick() {
  MaintainLease();
  if (MayAct()) {
    ProcessWave();
  }
}

void Service::On(const MembershipChanged& message) {
  m_membership = message.view;
}

void Service::On(const PlanListsChanged& message) {
  m_lists = message.lists;
}

void Service::On(const IdleReplyReceived& message) {
  std::set<core::InstanceId>& idle = m_idle_entries[message.target];
  if (message.is_idle) {
    idle.insert(message.entry);
  } else {
    idle.erase(message.entry);
  }
}

void Service::On(const CommandReceived& message) {
  CommandReply reply = core::Handle(
      [&]() -> core::Result<CommandReply> {
        BOOST_LEAF_AUTO(stored, ExecuteCommand(message));
        return CommandReply(std::move(stored));
      },
      [](const core::Error& error) { return CommandReply(error); });
  message.reply->TryPush(std::move(reply));
}

core::Result<StoredWave> Service::ExecuteCommand(
    const CommandReceived& message) {
  if (message.command == Command::kStatus) {
    return m_ports.store.Read();
  }
  constexpr int kAttempts = 5;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    BOOST_LEAF_AUTO(changed, ApplyCommand(message));
    BOOST_LEAF_AUTO(is_written,
                    m_ports.store.Write(*changed.wave, changed.version));
    if (is_written) {
      m_is_loaded = false;
      return changed;
    }
  }
  return core::Fail(
      core::Operation::kWriteStore, "store",
      "concurrent writers changed the wave at each attempt; try again");
}

core::Result<StoredWave> Service::ApplyCommand(const CommandReceived& message) {
  BOOST_LEAF_AUTO(stored, m_ports.store.Read());
  const bool is_active =
      stored.wave && stored.wave->State() != WaveState::kDone;
  if (message.command == Command::kStart) {
    if (is_active) {
      return core::Fail(core::Operation::kAdministration, "maintenance",
                        "a wave is already active; see its status");
    }
    BOOST_LEAF_AUTO(wave, Wave::Create(m_membership->targets, message.pools,
                                       m_ports.clock.WallNow()));
    stored.wave = std::move(wave);
    return stored;
  }
  if (!stored.wave) {
    return core::Fail(core::Operation::kAdministration, "maintenance",
                      "no wave has been started");
  }
  BOOST_LEAF_CHECK(stored.wave->SetPaused(message.command == Command::kPause));
  return stored;
}

bool Service::IsCandidate() const {
  return !m_membership->entries.empty() &&
         m_membership->entries.front() == m_self;
}

void Service::MaintainLease() {
  const core::TimePoint now = m_ports.clock.Now();
  const bool is_acquiring = !m_lease.IsHeld();
  if (is_acquiring && (!IsCandidate() || now < m_next_acquire_at)) {
    return;
  }
  if (!is_acquiring && !m_lease.IsRenewalDue(now)) {
    return;
  }
  m_next_acquire_at = now + kAcquireRetryInterval;
  const bool is_leader = core::Handle(
      [&] {
        return is_acquiring ? m_ports.store.Acquire(m_lease_identity,
                                                    kMaintenanceLease.duration)
                            : m_ports.store.Renew(m_lease_identity,
                                                  kMaintenanceLease.duration);
      },
      [](const core::Error&) { return false; });
  if (!is_leader) {
    m_lease.MarkLost();
    return;
  }
  m_lease.Extend(now);
  if (is_acquiring) {
    m_is_loaded = false;
    m_requested_actions.clear();
    m_idle_entries.clear();
    m_timeout_start.clear();
    Log(core::Severity::kInfo, "This instance is the maintenance leader.");
  }
}

void Service::ProcessWave() {
  const core::TimePoint now = m_ports.clock.Now();
  const bool is_active =
      m_stored.wave && m_stored.wave->State() != WaveState::kDone;
  if (!m_is_loaded || m_last_read_at + (is_active ? kActiveWavePollInterval
                                                  : kNewWavePollInterval) <=
                          now) {
    m_last_read_at = now;
    RunAndLogError("read the wave", [this] { return ReadWave(); });
  }
  if (!m_is_loaded || !m_stored.wave ||
      m_stored.wave->State() == WaveState::kDone) {
    return;
  }
  ContinueItems();
  StartDrains();
}

core::Result<void> Service::ReadWave() {
  m_is_loaded = false;
  BOOST_LEAF_ASSIGN(m_stored, m_ports.store.Read());
  m_is_loaded = true;
  return {};
}

void Service::ContinueItems() {
  const std::vector<WaveItem> items = m_stored.wave->Items();
  for (const WaveItem& item : items) {
    if (!m_is_loaded || !MayAct() || !ContinueItem(item)) {
      return;
    }
  }
}

bool Service::ContinueItem(const WaveItem& item) {
  switch (item.state) {
    case ItemState::kDraining:
      return ContinueDraining(item);
    case ItemState::kRebooting:
      return ContinueRebooting(item);
    default:
      return true;
  }
}

bool Service::ContinueDraining(const WaveItem& item) {
  if (m_requested_actions.insert(item.instance).second) {
    RunAndLogError("drain " + item.instance.Text(), [&] {
      return m_ports.platform.Drain(item.instance, item.incarnation);
    });
    m_ports.peers.AnnounceLeaving(item.instance);
  }
  const core::WallTime now = m_ports.clock.WallNow();
  if (now < item.since + kDrainPropagationTime) {
    return true;
  }
  if (IsIdleEverywhere(item.instance)) {
    ClearItemState(item.instance);
    return Advance(item.instance, ItemState::kRebooting);
  }
  if (IsOverdue(item, kDrainTimeout)) {
    return Skip(item, "did not drain in time");
  }
  PollIdle(item.instance);
  return true;
}

bool Service::ContinueRebooting(const WaveItem& item) {
  if (HasReturned(item)) {
    ClearItemState(item.instance);
    return Advance(item.instance, ItemState::kDone);
  }
  if (m_requested_actions.insert(item.instance).second) {
    RunAndLogError("reboot " + item.instance.Text(), [&] {
      return m_ports.platform.Reboot(item.instance, item.incarnation);
    });
  }
  if (IsOverdue(item, kRebootTimeout)) {
    return Skip(item, "did not return in time");
  }
  return true;
}

bool Service::IsIdleEverywhere(const core::InstanceId& target) const {
  const auto idle = m_idle_entries.find(target);
  return idle != m_idle_entries.end() && !m_membership->entries.empty() &&
         std::all_of(m_membership->entries.begin(), m_membership->entries.end(),
                     [&](const core::InstanceId& entry) {
                       return idle->second.count(entry) > 0;
                     });
}

bool Service::HasReturned(const WaveItem& item) const {
  return std::any_of(m_membership->targets.begin(), m_membership->targets.end(),
                     [&](const fleet::InstanceRecord& target) {
                       return target.id == item.instance &&
                              item.incarnation < target.incarnation &&
                              target.state == fleet::InstanceState::kLive;
                     });
}

// Counts only the time in which this leader was able to act, so a store outage
// does not make an item overdue.
bool Service::IsOverdue(const WaveItem& item, core::Duration timeout) {
  const core::TimePoint now = m_ports.clock.Now();
  const auto since = m_timeout_start.emplace(item.instance, now).first;
  return since->second + timeout <= now;
}

void Service::ClearItemState(const core::InstanceId& instance) {
  m_requested_actions.erase(instance);
  m_idle_entries.erase(instance);
  m_timeout_start.erase(instance);
}

void Service::PollIdle(const core::InstanceId& target) {
  const core::TimePoint now = m_ports.clock.Now();
  core::TimePoint& polled_at = m_polled_at[target];
  if (now < polled_at + kIdlePollInterval) {
    return;
  }
  polled_at = now;
  m_idle_entries[target].clear();
  m_ports.peers.AnnounceLeaving(target);
  for (const core::InstanceId& entry : m_membership->entries) {
    m_ports.peers.SendIdleQuery(entry, target);
  }
}

void Service::StartDrains() {
  const DrainSelection selection =
      SelectDrains(*m_stored.wave, {*m_lists, m_membership->targets});
  if (selection.block_reason != m_stored.wave->BlockReason() &&
      m_stored.wave->State() == WaveState::kRunning) {
    Wave updated = *m_stored.wave;
    updated.SetBlockReason(selection.block_reason);
    if (!Save(updated)) {
      return;
    }
  }
  for (const core::InstanceId& instance : selection.instances) {
    if (!Advance(instance, ItemState::kDraining)) {
      return;
    }
  }
}

bool Service::Advance(const core::InstanceId& instance, ItemState next) {
  Wave wave = *m_stored.wave;
  const bool is_allowed = core::Handle(
      [&]() -> core::Result<bool> {
        BOOST_LEAF_CHECK(wave.Advance(instance, next, m_ports.clock.WallNow()));
        return true;
      },
      [](const core::Error&) { return false; });
  if (!is_allowed || !Save(wave)) {
    return false;
  }
  Log(core::Severity::kInfo, "Instance " + instance.Text() + " is " +
                                 std::string(ItemStateName(next)) + ".");
  return true;
}

bool Service::Skip(const WaveItem& item, const std::string& reason) {
  Wave wave = *m_stored.wave;
  const bool is_allowed = core::Handle(
      [&]() -> core::Result<bool> {
        BOOST_LEAF_CHECK(
            wave.Skip(item.instance, reason, m_ports.clock.WallNow()));
        return true;
      },
      [](const core::Error&) { return false; });
  ClearItemState(item.instance);
  if (!is_allowed || !Save(wave)) {
    return false;
  }
  Log(core::Severity::kWarning,
      "Instance " + item.instance.Text() + " is skipped: " + reason + ".");
  return true;
}

bool Service::Save(const Wave& wave) {
  if (!MayAct()) {
    return false;
  }
  const bool is_written =
      core::Handle([&] { return m_ports.store.Write(wave, m_stored.version); },
                   [](const core::Error&) { return false; });
  if (!is_written) {
    m_is_loaded = false;
    return false;
  }
  m_stored.wave = wave;
  m_stored.version = WaveVersion(m_stored.version.Count() + 1);
  return MayAct();
}

void Service::RunAndLogError(
    const std::string& action_name,
    const std::function<core::Result<void>()>& action) {
  core::Handle(action, [&](const core::Error& error) {
    Log(core::Severity::kWarning,
        "Failed to " + action_name + ". " + core::Describe(error) + ".");
  });
}

void Service::Log(core::Severity severity, const std::string& sentence) {
  m_ports.logger.Write({core::Component::kMaintenance, severity, sentence, {}});
}

}  // namespace crocusmast::maintenance
