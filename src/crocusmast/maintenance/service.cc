#include "crocusmast/maintenance/service.h"

#include <algorithm>
#include <utility>

namespace crocusmast::maintenance {

Service::Service(core::InstanceId self, std::uint64_t run, ServicePorts ports)
    : m_self(std::move(self)),
      m_holder_name(m_self.Text() + "-" + std::to_string(run)),
      m_ports(ports),
      m_roster(std::make_shared<const membership::RosterView>()),
      m_lists(std::make_shared<const configuration::Lists>()) {}

void Service::Handle(Message&& message) {
  std::visit([this](const auto& content) { On(content); }, message);
}

void Service::Tick() {
  KeepLease();
  if (MayAct()) {
    Work();
  }
}

void Service::On(const RosterChanged& message) {
  m_roster = message.view;
}

void Service::On(const ListsChanged& message) {
  m_lists = message.lists;
}

void Service::On(const IdleSeen& message) {
  std::set<core::InstanceId>& idle = m_idle_at[message.target];
  if (message.is_idle) {
    idle.insert(message.entry);
  } else {
    idle.erase(message.entry);
  }
}

// Commands.

void Service::On(const CommandGiven& message) {
  CommandReply reply = core::Handle(
      [&]() -> core::Result<CommandReply> {
        BOOST_LEAF_AUTO(stored, Command(message));
        return CommandReply(std::move(stored));
      },
      [](const core::Error& error) { return CommandReply(error); });
  message.reply->TryPush(std::move(reply));
}

core::Result<StoredWave> Service::Command(const CommandGiven& message) {
  if (message.command == Command::kStatus) {
    return m_ports.store.Read();
  }
  constexpr int kAttempts = 5;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    BOOST_LEAF_AUTO(changed, Change(message));
    BOOST_LEAF_AUTO(is_written,
                    m_ports.store.Write(*changed.wave, changed.version));
    if (is_written) {
      m_has_read = false;
      return changed;
    }
  }
  return core::Fail(core::Step::kWriteStore, "store",
                    "the wave kept changing; try again");
}

core::Result<StoredWave> Service::Change(const CommandGiven& message) {
  BOOST_LEAF_AUTO(stored, m_ports.store.Read());
  const bool is_open = stored.wave && stored.wave->State() != WaveState::kDone;
  if (message.command == Command::kStart) {
    if (is_open) {
      return core::Fail(core::Step::kAdministration, "maintenance",
                        "a wave is under way; see its status");
    }
    BOOST_LEAF_AUTO(wave, Wave::Create(m_roster->targets, message.pools,
                                       m_ports.clock.WallNow()));
    stored.wave = std::move(wave);
    return stored;
  }
  if (!stored.wave) {
    return core::Fail(core::Step::kAdministration, "maintenance",
                      "there is no wave");
  }
  BOOST_LEAF_CHECK(stored.wave->SetPaused(message.command == Command::kPause));
  return stored;
}

// The lease.

bool Service::IsCandidate() const {
  return !m_roster->entries.empty() && m_roster->entries.front() == m_self;
}

void Service::KeepLease() {
  const core::TimePoint now = m_ports.clock.Now();
  const bool is_first_try = !m_lease.IsHeld();
  if (is_first_try && (!IsCandidate() || now < m_acquire_at)) {
    return;
  }
  if (!is_first_try && !m_lease.IsRenewalDue(now)) {
    return;
  }
  m_acquire_at = now + kAcquireRetry;
  const bool is_holder = core::Handle(
      [&] {
        return is_first_try ? m_ports.store.Acquire(m_holder_name,
                                                    kMaintenanceLease.length)
                            : m_ports.store.Renew(m_holder_name,
                                                  kMaintenanceLease.length);
      },
      [](const core::Error&) { return false; });
  if (!is_holder) {
    m_lease.Lose();
    return;
  }
  m_lease.Extend(now);
  if (is_first_try) {
    m_has_read = false;
    m_acted.clear();
    m_idle_at.clear();
    m_handled_since.clear();
    Log(core::Severity::kInfo, "This instance holds the maintenance duty.");
  }
}

// The wave.

void Service::Work() {
  const core::TimePoint now = m_ports.clock.Now();
  const bool is_open =
      m_stored.wave && m_stored.wave->State() != WaveState::kDone;
  if (!m_has_read || m_read_at + (is_open ? kWaveRead : kNoWaveRead) <= now) {
    m_read_at = now;
    Attempt("read the wave", [this] { return ReadWave(); });
  }
  if (!m_has_read || !m_stored.wave ||
      m_stored.wave->State() == WaveState::kDone) {
    return;
  }
  SettleIntents();
  StartDrains();
}

core::Result<void> Service::ReadWave() {
  m_has_read = false;
  BOOST_LEAF_ASSIGN(m_stored, m_ports.store.Read());
  m_has_read = true;
  return {};
}

void Service::SettleIntents() {
  const std::vector<WaveItem> items = m_stored.wave->Items();
  for (const WaveItem& item : items) {
    if (!m_has_read || !MayAct() || !SettleItem(item)) {
      return;
    }
  }
}

bool Service::SettleItem(const WaveItem& item) {
  switch (item.state) {
    case ItemState::kDraining:
      return SettleDraining(item);
    case ItemState::kRebooting:
      return SettleRebooting(item);
    default:
      return true;
  }
}

bool Service::SettleDraining(const WaveItem& item) {
  if (m_acted.insert(item.instance).second) {
    Attempt("drain " + item.instance.Text(), [&] {
      return m_ports.platform.Drain(item.instance, item.incarnation);
    });
    m_ports.peers.TellLeaving(item.instance);
  }
  const core::WallTime now = m_ports.clock.WallNow();
  if (now < item.since + kDrainSettle) {
    return true;
  }
  if (IsIdleEverywhere(item.instance)) {
    ForgetItem(item.instance);
    return Advance(item.instance, ItemState::kRebooting);
  }
  if (IsOverdue(item, kDrainBound)) {
    return PassOver(item, "did not drain in time");
  }
  AskIdle(item.instance);
  return true;
}

bool Service::SettleRebooting(const WaveItem& item) {
  if (IsBack(item)) {
    ForgetItem(item.instance);
    return Advance(item.instance, ItemState::kDone);
  }
  if (m_acted.insert(item.instance).second) {
    Attempt("reboot " + item.instance.Text(), [&] {
      return m_ports.platform.Reboot(item.instance, item.incarnation);
    });
  }
  if (IsOverdue(item, kRebootBound)) {
    return PassOver(item, "did not come back in time");
  }
  return true;
}

bool Service::IsIdleEverywhere(const core::InstanceId& target) const {
  const auto idle = m_idle_at.find(target);
  return idle != m_idle_at.end() && !m_roster->entries.empty() &&
         std::all_of(m_roster->entries.begin(), m_roster->entries.end(),
                     [&](const core::InstanceId& entry) {
                       return idle->second.count(entry) > 0;
                     });
}

bool Service::IsBack(const WaveItem& item) const {
  return std::any_of(m_roster->targets.begin(), m_roster->targets.end(),
                     [&](const fleet::InstanceRecord& target) {
                       return target.id == item.instance &&
                              item.incarnation < target.incarnation &&
                              target.state == fleet::InstanceState::kLive;
                     });
}

// Counts the time that this holder could act, not that a store was away.
bool Service::IsOverdue(const WaveItem& item, core::Duration bound) {
  const core::TimePoint now = m_ports.clock.Now();
  const auto since = m_handled_since.emplace(item.instance, now).first;
  return since->second + bound <= now;
}

void Service::ForgetItem(const core::InstanceId& instance) {
  m_acted.erase(instance);
  m_idle_at.erase(instance);
  m_handled_since.erase(instance);
}

void Service::AskIdle(const core::InstanceId& target) {
  const core::TimePoint now = m_ports.clock.Now();
  core::TimePoint& asked_at = m_asked_at[target];
  if (now < asked_at + kIdleAsk) {
    return;
  }
  asked_at = now;
  m_idle_at[target].clear();
  m_ports.peers.TellLeaving(target);
  for (const core::InstanceId& entry : m_roster->entries) {
    m_ports.peers.AskIdle(entry, target);
  }
}

void Service::StartDrains() {
  const DrainPlan plan =
      PlanDrains(*m_stored.wave, {*m_lists, m_roster->targets});
  if (plan.note != m_stored.wave->Note() &&
      m_stored.wave->State() == WaveState::kRunning) {
    Wave noted = *m_stored.wave;
    noted.SetNote(plan.note);
    if (!Save(noted)) {
      return;
    }
  }
  for (const core::InstanceId& instance : plan.instances) {
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

bool Service::PassOver(const WaveItem& item, const std::string& reason) {
  Wave wave = *m_stored.wave;
  const bool is_allowed = core::Handle(
      [&]() -> core::Result<bool> {
        BOOST_LEAF_CHECK(
            wave.PassOver(item.instance, reason, m_ports.clock.WallNow()));
        return true;
      },
      [](const core::Error&) { return false; });
  ForgetItem(item.instance);
  if (!is_allowed || !Save(wave)) {
    return false;
  }
  Log(core::Severity::kWarning,
      "Instance " + item.instance.Text() + " is passed over: " + reason + ".");
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
    m_has_read = false;
    return false;
  }
  m_stored.wave = wave;
  m_stored.version = WaveVersion(m_stored.version.Count() + 1);
  return MayAct();
}

void Service::Attempt(const std::string& what,
                      const std::function<core::Result<void>()>& act) {
  core::Handle(act, [&](const core::Error& error) {
    Log(core::Severity::kWarning,
        "Could not " + what + ". " + core::Describe(error) + ".");
  });
}

void Service::Log(core::Severity severity, const std::string& sentence) {
  m_ports.logger.Write({core::Part::kMaintenance, severity, sentence, {}});
}

}  // namespace crocusmast::maintenance
