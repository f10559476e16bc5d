#include "crocusmast/daemon/daemon.h"

#include <string>
#include <utility>

#include "crocusmast/adapters/admin_server.h"
#include "crocusmast/adapters/caller_server.h"
#include "crocusmast/adapters/change_store_client.h"
#include "crocusmast/adapters/membership_client.h"
#include "crocusmast/adapters/metrics_registry.h"
#include "crocusmast/adapters/peer_messenger.h"
#include "crocusmast/adapters/platform_client.h"
#include "crocusmast/adapters/target_client.h"
#include "crocusmast/adapters/wave_store_client.h"
#include "crocusmast/configuration/service.h"
#include "crocusmast/core/message_thread_pool.h"
#include "crocusmast/daemon/membership_poller.h"
#include "crocusmast/daemon/store_watcher.h"
#include "crocusmast/daemon/update_dispatcher.h"
#include "crocusmast/maintenance/service.h"
#include "crocusmast/membership/service.h"
#include "crocusmast/routing/request_executor.h"
#include "crocusmast/routing/router.h"

namespace crocusmast::daemon {
namespace internal {

constexpr std::size_t kRingCapacity = 4096;
// Maximum number of messages that one thread that serves requests has in the
// ring of the routing thread at any time.
constexpr std::size_t kMessagesPerThread = 4;
constexpr std::chrono::milliseconds kRouterTickInterval{50};
constexpr std::chrono::milliseconds kMembershipTickInterval{100};
constexpr std::chrono::milliseconds kMaintenanceTickInterval{250};
constexpr std::chrono::milliseconds kConfigurationTickInterval{1000};
constexpr std::chrono::milliseconds kSenderTickInterval{250};
constexpr std::chrono::milliseconds kPollTickInterval{1000};
constexpr std::chrono::milliseconds kWatchTickInterval{100};
constexpr std::chrono::milliseconds kDrainCheckInterval{100};
// Within this time all peers receive the announcement of the shutdown and stop
// forwarding requests to this instance.
constexpr std::chrono::milliseconds kMinDrainTime{1500};

std::size_t RouterRingCapacity(const Settings& settings) {
  return kRingCapacity + kMessagesPerThread * (settings.caller_threads +
                                               settings.forward_threads);
}

// Derived from the wall clock, so that the numbers are higher than those of any
// earlier run of this instance.
std::uint64_t FirstSequenceNumber(const core::Clock& clock) {
  constexpr unsigned kNumbersPerMillisecondBits = 12;
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          clock.WallNow().time_since_epoch());
  return static_cast<std::uint64_t>(since_epoch.count())
         << kNumbersPerMillisecondBits;
}

}  // namespace internal

/**
 * @brief Threads, services and adapters, each declared after those that it
 * uses.
 */
struct Daemon::Components {
  explicit Components(const Settings& daemon_settings);

  core::Result<void> Start();
  core::Result<void> StartServers();
  void StartThreads();
  void ServeForwarded(const adapters::ForwardedRequest& forwarded);
  void AddGauges();
  template <typename Message>
  void AddRingGauges(const std::string& thread_name,
                     core::BoundedRing<Message>& ring);
  void Drain();
  std::size_t RequestsInProgress();
  void Stop();

  Settings settings;
  core::SystemClock clock;
  std::unique_ptr<adapters::BoostLogger> logger;
  std::unique_ptr<adapters::MetricsRegistry> metrics;
  core::MessageThread<routing::Message> router_thread;
  core::MessageThread<configuration::Message> configuration_thread;
  core::MessageThread<membership::Message> membership_thread;
  core::MessageThread<maintenance::Message> maintenance_thread;
  core::MessageThread<adapters::OutgoingMessage> sender_thread;
  core::MessageThread<std::monostate> poll_thread;
  core::MessageThread<std::monostate> watch_thread;
  core::MessageThreadPool<adapters::ForwardedRequest> forward_threads;
  UpdateDispatcher dispatcher;
  adapters::PeerMessenger peer_messenger;
  std::unique_ptr<adapters::ChangeStoreClient> change_store;
  std::unique_ptr<adapters::ChangeStoreClient> watcher_store;
  std::unique_ptr<adapters::WaveStoreClient> wave_store;
  std::unique_ptr<adapters::PlatformClient> platform_client;
  std::unique_ptr<adapters::MembershipClient> membership_client;
  std::unique_ptr<adapters::TargetClient> target_client;
  configuration::Service configuration;
  membership::Service membership;
  maintenance::Service maintenance;
  routing::Router router;
  routing::RequestExecutor executor;
  MembershipPoller poller;
  StoreWatcher watcher;
  std::unique_ptr<adapters::CallerServer> caller_server;
  std::unique_ptr<adapters::AdminServer> admin_server;
};

Daemon::Components::Components(const Settings& daemon_settings)
    : settings(daemon_settings),
      logger(adapters::BoostLogger::Create(settings.log_format,
                                           settings.log_level)),
      metrics(adapters::MetricsRegistry::Create()),
      router_thread("router",
                    internal::RouterRingCapacity(settings),
                    internal::kRouterTickInterval),
      configuration_thread("configuration",
                           internal::kRingCapacity,
                           internal::kConfigurationTickInterval),
      membership_thread("membership",
                        internal::kRingCapacity,
                        internal::kMembershipTickInterval),
      maintenance_thread("maintenance",
                         internal::kRingCapacity,
                         internal::kMaintenanceTickInterval),
      sender_thread("peer-out",
                    internal::kRingCapacity,
                    internal::kSenderTickInterval),
      poll_thread("member-poll", 1, internal::kPollTickInterval),
      watch_thread("store-watch", 1, internal::kWatchTickInterval),
      forward_threads("forwarded", settings.forward_threads),
      dispatcher(router_thread.Ring(), maintenance_thread.Ring()),
      peer_messenger(settings.id,
                     {router_thread.Ring(), configuration_thread.Ring(),
                      membership_thread.Ring(), maintenance_thread.Ring(),
                      forward_threads.Ring(), sender_thread.Ring(), *logger,
                      *metrics, clock}),
      change_store(
          adapters::ChangeStoreClient::Create(settings.store, *metrics)),
      watcher_store(
          adapters::ChangeStoreClient::Create(settings.store, *metrics)),
      wave_store(adapters::WaveStoreClient::Create(settings.store,
                                                   settings.region,
                                                   *metrics)),
      platform_client(adapters::PlatformClient::Create(settings.platform)),
      membership_client(
          adapters::MembershipClient::Create(settings.membership, *metrics)),
      target_client(adapters::TargetClient::Create()),
      configuration({*change_store, peer_messenger, dispatcher, *logger,
                     *metrics, clock}),
      membership({settings.id, settings.region, settings.zone},
                 dispatcher,
                 *logger,
                 clock),
      maintenance(
          settings.id,
          internal::FirstSequenceNumber(clock),
          {*wave_store, *platform_client, peer_messenger, *logger, clock}),
      router({settings.id, settings.zone, internal::FirstSequenceNumber(clock)},
             {peer_messenger, dispatcher, *logger, *metrics, clock}),
      executor({router_thread.Ring(), *target_client, peer_messenger, *metrics,
                clock}),
      poller(*membership_client, membership_thread.Ring(), *logger),
      watcher(*watcher_store,
              configuration_thread.Ring(),
              dispatcher,
              *logger,
              clock) {
  dispatcher.SetPeerMessenger(peer_messenger);
}

core::Result<void> Daemon::Components::Start() {
  BOOST_LEAF_CHECK(
      peer_messenger.Start({settings.id, settings.peer, settings.peer_token}));
  StartThreads();
  AddGauges();
  BOOST_LEAF_CHECK(StartServers());
  logger->Write(
      {core::Component::kDaemon,
       core::Severity::kInfo,
       "Instance " + settings.id.Text() + " started.",
       {{"instance", settings.id.Text()}, {"zone", settings.zone.Text()}}});
  return {};
}

void Daemon::Components::StartThreads() {
  router_thread.Start(router, clock);
  configuration_thread.Start(configuration, clock);
  membership_thread.Start(membership, clock);
  maintenance_thread.Start(maintenance, clock);
  sender_thread.Start(peer_messenger, clock);
  poll_thread.Start(poller, clock);
  watch_thread.Start(watcher, clock);
  forward_threads.Start(settings.forward_threads,
                        [this](adapters::ForwardedRequest&& forwarded) {
                          ServeForwarded(forwarded);
                        });
}

core::Result<void> Daemon::Components::StartServers() {
  BOOST_LEAF_ASSIGN(
      admin_server,
      adapters::AdminServer::Create(
          settings.admin, {settings.id, settings.zone, settings.operator_token,
                           configuration_thread.Ring(), router_thread.Ring(),
                           maintenance_thread.Ring(),
                           [this] { return metrics->Format(); }, *logger}));
  BOOST_LEAF_ASSIGN(
      caller_server,
      adapters::CallerServer::Create(
          settings.listen, settings.caller_threads,
          {executor, clock, [this] { return dispatcher.IsReady(); }}));
  return {};
}

template <typename Message>
void Daemon::Components::AddRingGauges(const std::string& thread_name,
                                       core::BoundedRing<Message>& ring) {
  const std::string label = "{duty=\"" + thread_name + "\"}";
  metrics->AddGauge("ring_depth" + label,
                    [&ring] { return static_cast<double>(ring.Depth()); });
  metrics->AddGauge("ring_drops_total" + label,
                    [&ring] { return static_cast<double>(ring.Drops()); });
}

void Daemon::Components::AddGauges() {
  AddRingGauges("router", router_thread.Ring());
  AddRingGauges("configuration", configuration_thread.Ring());
  AddRingGauges("membership", membership_thread.Ring());
  AddRingGauges("maintenance", maintenance_thread.Ring());
  AddRingGauges("peer-out", sender_thread.Ring());
  AddRingGauges("forwarded", forward_threads.Ring());
  metrics->AddGauge("configuration_revision", [this] {
    return static_cast<double>(dispatcher.CurrentRevision().Count());
  });
  metrics->AddGauge("watches_store",
                    [this] { return dispatcher.WatchesStore() ? 1.0 : 0.0; });
}

void Daemon::Components::ServeForwarded(
    const adapters::ForwardedRequest& forwarded) {
  routing::RequestResult reply =
      executor.Run(forwarded.request.spec, forwarded.request.body, true);
  adapters::ForwardReplyMessage message;
  message.call = forwarded.request.call;
  message.reason = reply.reason;
  switch (reply.outcome) {
    case request::Outcome::kAnswered:
      message.delivery = request::DeliveryStatus::kAnswered;
      break;
    case request::Outcome::kRefused:
      message.delivery = request::DeliveryStatus::kNotRun;
      break;
    case request::Outcome::kUnknown:
      message.delivery = request::DeliveryStatus::kUnknown;
      break;
  }
  message.answer = std::move(reply.answer);
  peer_messenger.SendForwardReply(forwarded.peer, std::move(message));
}

// Counts one request if the routing thread does not reply, so that a drain
// continues.
std::size_t Daemon::Components::RequestsInProgress() {
  const auto reply =
      std::make_shared<core::BoundedRing<routing::RouterStatus>>(1);
  router_thread.Ring().TryPush(routing::StatusQuery{reply});
  const std::optional<routing::RouterStatus> status =
      reply->PopFor(internal::kDrainCheckInterval);
  return caller_server->InFlight() + (status ? status->requests : 1);
}

void Daemon::Components::Drain() {
  logger->Write({core::Component::kDaemon,
                 core::Severity::kInfo,
                 "Drain started; new requests are refused.",
                 {}});
  caller_server->Drain();
  dispatcher.OnTargetLeaving(settings.id);
  const core::TimePoint started_at = clock.Now();
  const core::TimePoint drain_deadline =
      started_at + std::chrono::seconds(settings.drain_seconds);
  core::BoundedRing<std::monostate> pause(1);
  while (clock.Now() < drain_deadline) {
    pause.PopFor(internal::kDrainCheckInterval);
    const bool peers_are_notified =
        started_at + internal::kMinDrainTime <= clock.Now();
    if (peers_are_notified && RequestsInProgress() == 0) {
      break;
    }
  }
  logger->Write({core::Component::kDaemon,
                 core::Severity::kInfo,
                 "Drain finished; stopping all threads.",
                 {}});
}

void Daemon::Components::Stop() {
  if (caller_server != nullptr) {
    caller_server->Stop();
  }
  if (admin_server != nullptr) {
    admin_server->Stop();
  }
  watcher_store->Stop();
  forward_threads.Stop();
  watch_thread.Stop();
  poll_thread.Stop();
  membership_thread.Stop();
  maintenance_thread.Stop();
  configuration_thread.Stop();
  router_thread.Stop();
  sender_thread.Stop();
  peer_messenger.Stop();
}

Daemon::Daemon(std::unique_ptr<Components> components)
    : m_components(std::move(components)) {}

Daemon::~Daemon() {
  m_components->Stop();
}

core::Result<std::unique_ptr<Daemon>> Daemon::Create(const Settings& settings) {
  std::unique_ptr<Daemon> daemon(
      new Daemon(std::make_unique<Components>(settings)));
  BOOST_LEAF_CHECK(daemon->m_components->Start());
  return daemon;
}

void Daemon::Drain() {
  m_components->Drain();
}

}  // namespace crocusmast::daemon
