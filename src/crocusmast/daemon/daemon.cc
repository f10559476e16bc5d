#include "crocusmast/daemon/daemon.h"

#include <string>
#include <utility>

#include "crocusmast/adapters/admin_server.h"
#include "crocusmast/adapters/caller_server.h"
#include "crocusmast/adapters/membership_client.h"
#include "crocusmast/adapters/metrics_registry.h"
#include "crocusmast/adapters/peer_link.h"
#include "crocusmast/adapters/platform_client.h"
#include "crocusmast/adapters/store_client.h"
#include "crocusmast/adapters/target_client.h"
#include "crocusmast/adapters/wave_client.h"
#include "crocusmast/configuration/service.h"
#include "crocusmast/core/worker_pool.h"
#include "crocusmast/daemon/duty_wiring.h"
#include "crocusmast/daemon/membership_poller.h"
#include "crocusmast/daemon/store_watcher.h"
#include "crocusmast/maintenance/service.h"
#include "crocusmast/membership/service.h"
#include "crocusmast/routing/driver.h"
#include "crocusmast/routing/router.h"

namespace crocusmast::daemon {
namespace internal {

constexpr std::size_t kRingCapacity = 4096;
// Every thread that serves a request has at most this many messages in the
// router's ring.
constexpr std::size_t kMessagesPerThread = 4;
constexpr std::chrono::milliseconds kRouterTick{50};
constexpr std::chrono::milliseconds kMembershipTick{100};
constexpr std::chrono::milliseconds kMaintenanceTick{250};
constexpr std::chrono::milliseconds kConfigurationTick{1000};
constexpr std::chrono::milliseconds kOutgoingTick{250};
constexpr std::chrono::milliseconds kPollInterval{1000};
constexpr std::chrono::milliseconds kWatchInterval{100};
constexpr std::chrono::milliseconds kDrainCheck{100};
// Peers have heard of the stop after this, and send nothing new.
constexpr std::chrono::milliseconds kDrainAtLeast{1500};

std::size_t RouterCapacity(const Settings& settings) {
  return kRingCapacity + kMessagesPerThread * (settings.caller_threads +
                                               settings.forward_threads);
}

// Numbers of an earlier run stay below those of this one.
std::uint64_t FirstNumber(const core::Clock& clock) {
  constexpr unsigned kNumbersPerMillisecondBits = 12;
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          clock.WallNow().time_since_epoch());
  return static_cast<std::uint64_t>(since_epoch.count())
         << kNumbersPerMillisecondBits;
}

}  // namespace internal

/** @brief The duties and adapters, in the order of their making. */
struct Daemon::Parts {
  explicit Parts(const Settings& chosen);

  core::Result<void> Start();
  core::Result<void> StartServers();
  void StartDuties();
  void ServeForwarded(const adapters::ForwardedWork& work);
  void AddGauges();
  template <typename Message>
  void AddRingGauges(const std::string& duty, core::BoundedRing<Message>& ring);
  void Drain();
  std::size_t RequestsInService();
  void Stop();

  Settings settings;
  core::SystemClock clock;
  std::unique_ptr<adapters::BoostLogger> logger;
  std::unique_ptr<adapters::MetricsRegistry> metrics;
  core::Duty<routing::Message> router_duty;
  core::Duty<configuration::Message> configuration_duty;
  core::Duty<membership::Message> membership_duty;
  core::Duty<maintenance::Message> maintenance_duty;
  core::Duty<adapters::OutgoingMessage> outgoing_duty;
  core::Duty<std::monostate> poll_duty;
  core::Duty<std::monostate> watch_duty;
  core::WorkerPool<adapters::ForwardedWork> forward_workers;
  DutyWiring wiring;
  adapters::PeerLink peers;
  std::unique_ptr<adapters::StoreClient> store;
  std::unique_ptr<adapters::StoreClient> watched_store;
  std::unique_ptr<adapters::WaveClient> waves;
  std::unique_ptr<adapters::PlatformClient> platform;
  std::unique_ptr<adapters::MembershipClient> list;
  std::unique_ptr<adapters::TargetClient> targets;
  configuration::Service configuration;
  membership::Service membership;
  maintenance::Service maintenance;
  routing::Router router;
  routing::Driver driver;
  MembershipPoller poller;
  StoreWatcher watcher;
  std::unique_ptr<adapters::CallerServer> callers;
  std::unique_ptr<adapters::AdminServer> admin;
};

Daemon::Parts::Parts(const Settings& chosen)
    : settings(chosen),
      logger(adapters::BoostLogger::Create(settings.log_format,
                                           settings.log_level)),
      metrics(adapters::MetricsRegistry::Create()),
      router_duty("router",
                  internal::RouterCapacity(settings),
                  internal::kRouterTick),
      configuration_duty("configuration",
                         internal::kRingCapacity,
                         internal::kConfigurationTick),
      membership_duty("membership",
                      internal::kRingCapacity,
                      internal::kMembershipTick),
      maintenance_duty("maintenance",
                       internal::kRingCapacity,
                       internal::kMaintenanceTick),
      outgoing_duty("peer-out",
                    internal::kRingCapacity,
                    internal::kOutgoingTick),
      poll_duty("member-poll", 1, internal::kPollInterval),
      watch_duty("store-watch", 1, internal::kWatchInterval),
      forward_workers("forwarded", settings.forward_threads),
      wiring(router_duty.Ring(), maintenance_duty.Ring()),
      peers(settings.id,
            {router_duty.Ring(), configuration_duty.Ring(),
             membership_duty.Ring(), maintenance_duty.Ring(),
             forward_workers.Ring(), outgoing_duty.Ring(), *logger, *metrics,
             clock}),
      store(adapters::StoreClient::Create(settings.store, *metrics)),
      watched_store(adapters::StoreClient::Create(settings.store, *metrics)),
      waves(adapters::WaveClient::Create(settings.store,
                                         settings.region,
                                         *metrics)),
      platform(adapters::PlatformClient::Create(settings.platform)),
      list(adapters::MembershipClient::Create(settings.membership, *metrics)),
      targets(adapters::TargetClient::Create()),
      configuration({*store, peers, wiring, *logger, *metrics, clock}),
      membership({settings.id, settings.region, settings.zone},
                 wiring,
                 *logger,
                 clock),
      maintenance(settings.id,
                  internal::FirstNumber(clock),
                  {*waves, *platform, peers, *logger, clock}),
      router({settings.id, settings.zone, internal::FirstNumber(clock)},
             {peers, wiring, *logger, *metrics, clock}),
      driver({router_duty.Ring(), *targets, peers, *metrics, clock}),
      poller(*list, membership_duty.Ring(), *logger),
      watcher(*watched_store,
              configuration_duty.Ring(),
              wiring,
              *logger,
              clock) {
  wiring.SetPeerLink(peers);
}

core::Result<void> Daemon::Parts::Start() {
  BOOST_LEAF_CHECK(
      peers.Start({settings.id, settings.peer, settings.peer_token}));
  StartDuties();
  AddGauges();
  BOOST_LEAF_CHECK(StartServers());
  logger->Write(
      {core::Part::kDaemon,
       core::Severity::kInfo,
       "Instance " + settings.id.Text() + " is up.",
       {{"instance", settings.id.Text()}, {"zone", settings.zone.Text()}}});
  return {};
}

void Daemon::Parts::StartDuties() {
  router_duty.Start(router, clock);
  configuration_duty.Start(configuration, clock);
  membership_duty.Start(membership, clock);
  maintenance_duty.Start(maintenance, clock);
  outgoing_duty.Start(peers, clock);
  poll_duty.Start(poller, clock);
  watch_duty.Start(watcher, clock);
  forward_workers.Start(
      settings.forward_threads,
      [this](adapters::ForwardedWork&& work) { ServeForwarded(work); });
}

core::Result<void> Daemon::Parts::StartServers() {
  BOOST_LEAF_ASSIGN(
      admin,
      adapters::AdminServer::Create(
          settings.admin, {settings.id, settings.zone, settings.operator_token,
                           configuration_duty.Ring(), router_duty.Ring(),
                           maintenance_duty.Ring(),
                           [this] { return metrics->Format(); }, *logger}));
  BOOST_LEAF_ASSIGN(callers,
                    adapters::CallerServer::Create(
                        settings.listen, settings.caller_threads,
                        {driver, clock, [this] { return wiring.IsReady(); }}));
  return {};
}

template <typename Message>
void Daemon::Parts::AddRingGauges(const std::string& duty,
                                  core::BoundedRing<Message>& ring) {
  const std::string label = "{duty=\"" + duty + "\"}";
  metrics->AddGauge("ring_depth" + label,
                    [&ring] { return static_cast<double>(ring.Depth()); });
  metrics->AddGauge("ring_drops_total" + label,
                    [&ring] { return static_cast<double>(ring.Drops()); });
}

void Daemon::Parts::AddGauges() {
  AddRingGauges("router", router_duty.Ring());
  AddRingGauges("configuration", configuration_duty.Ring());
  AddRingGauges("membership", membership_duty.Ring());
  AddRingGauges("maintenance", maintenance_duty.Ring());
  AddRingGauges("peer-out", outgoing_duty.Ring());
  AddRingGauges("forwarded", forward_workers.Ring());
  metrics->AddGauge("configuration_revision", [this] {
    return static_cast<double>(wiring.CurrentRevision().Count());
  });
  metrics->AddGauge("watches_store",
                    [this] { return wiring.WatchesStore() ? 1.0 : 0.0; });
}

void Daemon::Parts::ServeForwarded(const adapters::ForwardedWork& work) {
  routing::Reply reply = driver.Run(work.request.spec, work.request.body, true);
  adapters::ForwardReplyMessage message;
  message.call = work.request.call;
  message.reason = reply.reason;
  switch (reply.outcome) {
    case request::Outcome::kAnswered:
      message.delivery = request::Delivery::kAnswered;
      break;
    case request::Outcome::kRefused:
      message.delivery = request::Delivery::kNotRun;
      break;
    case request::Outcome::kUnknown:
      message.delivery = request::Delivery::kUnknown;
      break;
  }
  message.answer = std::move(reply.answer);
  peers.SendForwardReply(work.peer, std::move(message));
}

std::size_t Daemon::Parts::RequestsInService() {
  const auto reply =
      std::make_shared<core::BoundedRing<routing::RouterStatus>>(1);
  router_duty.Ring().TryPush(routing::StatusQuery{reply});
  const std::optional<routing::RouterStatus> status =
      reply->PopFor(internal::kDrainCheck);
  return callers->InFlight() + (status ? status->requests : 1);
}

void Daemon::Parts::Drain() {
  logger->Write({core::Part::kDaemon,
                 core::Severity::kInfo,
                 "Draining. New requests are refused.",
                 {}});
  callers->Drain();
  wiring.TargetLeaves(settings.id);
  const core::TimePoint started_at = clock.Now();
  const core::TimePoint latest =
      started_at + std::chrono::seconds(settings.drain_seconds);
  core::BoundedRing<std::monostate> pause(1);
  while (clock.Now() < latest) {
    pause.PopFor(internal::kDrainCheck);
    const bool peers_know = started_at + internal::kDrainAtLeast <= clock.Now();
    if (peers_know && RequestsInService() == 0) {
      break;
    }
  }
  logger->Write({core::Part::kDaemon,
                 core::Severity::kInfo,
                 "Drained. The duties end.",
                 {}});
}

void Daemon::Parts::Stop() {
  if (callers != nullptr) {
    callers->Stop();
  }
  if (admin != nullptr) {
    admin->Stop();
  }
  watched_store->Stop();
  forward_workers.Stop();
  watch_duty.Stop();
  poll_duty.Stop();
  membership_duty.Stop();
  maintenance_duty.Stop();
  configuration_duty.Stop();
  router_duty.Stop();
  outgoing_duty.Stop();
  peers.Stop();
}

Daemon::Daemon(std::unique_ptr<Parts> parts) : m_parts(std::move(parts)) {}

Daemon::~Daemon() {
  m_parts->Stop();
}

core::Result<std::unique_ptr<Daemon>> Daemon::Create(const Settings& settings) {
  std::unique_ptr<Daemon> daemon(new Daemon(std::make_unique<Parts>(settings)));
  BOOST_LEAF_CHECK(daemon->m_parts->Start());
  return daemon;
}

void Daemon::Drain() {
  m_parts->Drain();
}

}  // namespace crocusmast::daemon
