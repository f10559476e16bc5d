#ifndef TEST_PLATFORM_TEST_INSTANCE_H_
#define TEST_PLATFORM_TEST_INSTANCE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "crocusmast/adapters/metrics_registry.h"
#include "crocusmast/core/boot_clock.h"
#include "crocusmast/core/message_thread.h"
#include "crocusmast/manager/job_manager.h"
#include "platform/machine_client.h"
#include "platform/membership_watcher.h"
#include "platform/store_client.h"
#include "platform/ticket_client.h"
#include "platform/worker_client.h"

namespace test {

/** @brief The job manager of an entry instance with its threads and clients,
 * without its servers and its configuration watcher. */
class TestInstance {
 public:
  /**
   * @brief Creates an instance.
   * @param name The name of the instance.
   * @param store_port The port of the store on the loopback interface.
   * @param logger Receives its log; must outlive the instance.
   */
  TestInstance(const std::string& name,
               std::uint16_t store_port,
               crocusmast::core::Logger& logger)
      : m_kv(platform::KvClient::Create(*m_io,
                                        {"127.0.0.1", store_port},
                                        *m_metrics)),
        m_store(platform::StoreClient::Create(*m_kv,
                                              m_thread.Ring(),
                                              m_clock,
                                              logger)),
        m_workers(platform::WorkerClient::Create(*m_io,
                                                 m_thread.Ring(),
                                                 m_clock,
                                                 logger)),
        m_membership(platform::MembershipWatcher::Create(*m_kv,
                                                         m_thread.Ring(),
                                                         m_clock,
                                                         logger)),
        m_machines(platform::MachineClient::Create(*m_kv,
                                                   std::nullopt,
                                                   name,
                                                   m_thread.Ring(),
                                                   m_clock,
                                                   logger)),
        m_tickets(platform::TicketClient::Create(*m_io,
                                                 std::nullopt,
                                                 m_thread.Ring(),
                                                 logger)),
        m_manager({{name, "1"}, {}, {}},
                  {*m_store, *m_store, *m_workers, *m_membership, *m_tickets,
                   *m_machines, m_responses, m_readiness, m_clock, logger,
                   *m_metrics}) {}

  /** @brief Starts the threads, with a configuration. */
  void Start(std::shared_ptr<const crocusmast::queue::QueueCatalog> catalog) {
    m_thread.Start(m_manager, m_clock);
    Push(crocusmast::manager::QueueCatalogLoaded{std::move(catalog)});
    m_io->Post([this] { m_store->StartWatching(); });
    m_io->Start();
  }

  /** @brief Stops the threads, without a resignation. */
  void Stop() {
    m_thread.Stop();
    m_io->Stop();
  }

  /** @brief Puts a message into the manager's ring. */
  void Push(crocusmast::manager::Message message) {
    m_thread.Ring().TryPush(std::move(message));
  }

  /** @brief Returns the I/O thread. */
  crocusmast::adapters::async::IoThread& Io() { return *m_io; }

 private:
  class SilentResponsePort final : public crocusmast::intake::ResponsePort {
   public:
    void Send(crocusmast::intake::JobResponse response) override {}
  };
  class SilentReadinessPort final : public crocusmast::manager::ReadinessPort {
   public:
    void SetReady(bool is_ready) override {}
  };

  static constexpr std::size_t kRingCapacity = 8192;
  static constexpr std::size_t kIoRingCapacity = 16384;
  static constexpr std::chrono::milliseconds kTickInterval{50};

  crocusmast::core::BootClock m_clock;
  SilentResponsePort m_responses;
  SilentReadinessPort m_readiness;
  std::unique_ptr<crocusmast::adapters::MetricsRegistry> m_metrics =
      crocusmast::adapters::MetricsRegistry::Create();
  std::unique_ptr<crocusmast::adapters::async::IoThread> m_io =
      crocusmast::adapters::async::IoThread::Create(kIoRingCapacity);
  crocusmast::core::MessageThread<crocusmast::manager::Message> m_thread{
      "manager", kRingCapacity, kTickInterval};
  std::unique_ptr<platform::KvClient> m_kv;
  std::unique_ptr<platform::StoreClient> m_store;
  std::unique_ptr<platform::WorkerClient> m_workers;
  std::unique_ptr<platform::MembershipWatcher> m_membership;
  std::unique_ptr<platform::MachineClient> m_machines;
  std::unique_ptr<platform::TicketClient> m_tickets;
  crocusmast::manager::JobManager m_manager;
};

}  // namespace test

#endif  // TEST_PLATFORM_TEST_INSTANCE_H_
