#ifndef CROCUSMAST_MANAGER_JOB_MANAGER_H_
#define CROCUSMAST_MANAGER_JOB_MANAGER_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "crocusmast/capacity/balancer.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/message_thread.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/intake/request_handler.h"
#include "crocusmast/job/job_catalog.h"
#include "crocusmast/leadership/leader_elector.h"
#include "crocusmast/manager/messages.h"
#include "crocusmast/manager/resignation.h"
#include "crocusmast/scheduling/scheduler.h"
#include "crocusmast/upkeep/upkeep_controller.h"

namespace crocusmast::manager {

/**
 * @brief Age of the known store state from which on this instance is not ready.
 */
inline constexpr std::chrono::milliseconds kMaxStoreStaleness{2500};

/** @brief Reports the readiness of this instance to the load balancer. */
class ReadinessPort {
 public:
  virtual ~ReadinessPort() = default;
  /**
   * @brief Sets whether new requests may be routed to this instance.
   * @param is_ready True if they may.
   */
  virtual void SetReady(bool is_ready) = 0;
};

/** @brief Dependencies of the manager; all outlive it. */
struct JobManagerPorts {
  leadership::LeasePort& leases;
  job::JobStore& store;
  execution::WorkerPort& workers;
  scheduling::WorkerWatch& worker_watch;
  scheduling::TicketPort& tickets;
  upkeep::MachinePort& machines;
  intake::ResponsePort& responses;
  ReadinessPort& readiness;
  const core::Clock& clock;
  core::Logger& logger;
  core::Meter& meter;
};

/** @brief Identity and limits of the manager. */
struct JobManagerSettings {
  /** @brief Identity of this process. */
  leadership::HolderIdentity self;
  /**
   * @brief Time for which the leadership must be vacant before this instance
   * claims it.
   */
  std::chrono::milliseconds claim_delay{};
  /**
   * @brief Minimum time between the commands of two leaders to the same
   * machine.
   */
  std::chrono::milliseconds machine_command_cooldown{};
  /** @brief The longest lease that a worker grants. */
  std::chrono::milliseconds max_worker_lease{6000};
};

/**
 * @brief Message handler of the thread that owns the jobs of one entry
 * instance.
 *
 * It handles callers' requests. While this instance is the scheduling leader,
 * it also schedules the jobs and manages the machines.
 */
class JobManager final : public core::MessageHandler<Message> {
 public:
  /**
   * @brief Creates the manager.
   * @param settings Identity and limits.
   * @param ports Dependencies.
   */
  JobManager(JobManagerSettings settings, const JobManagerPorts& ports);

  void Handle(Message&& message) override;
  void Tick() override;
  void OnRingEmpty() override;
  void OnMessagesLost() override;

  /**
   * @brief Returns the time up to which, at least, the known state of the store
   * is complete; called on any thread.
   */
  core::TimePoint ViewCompleteAt() const { return m_view_complete_at.load(); }

  /** @brief Tells whether this instance, after ShutdownRequested, holds no
   * leadership that is still to be handed over; called on any thread. */
  bool HasResigned() const { return m_has_resigned.load(); }

 private:
  void On(ShutdownRequested&& message);
  void On(job::HandoverReply&& reply);
  void On(StoreListReceived&& list);
  void On(StoreChangesReceived&& changes);
  void On(StoreConnectionChanged&& message);
  void On(QueueCatalogLoaded&& loaded);
  void On(StartReplyReceived&& message);
  void On(StopReplyReceived&& message);
  void On(CpuShareReplyReceived&& message);
  void On(upkeep::MachineListReceived&& list);
  void On(upkeep::MachineCommandReply&& reply);
  void On(job::CommitReply&& reply);
  template <typename Content>
  void On(Content&& content);

  void SetStoreView(core::Revision revision, core::TimePoint complete_at);
  void Apply(StoreEvent&& event);
  void ApplyJob(job::JobEvent&& event);
  void UpdateLeadership();
  void BeginResignation();
  void FinishResignation();
  void ManageMachines();
  void LogBlockedMachines() const;
  void UpdateReadiness();
  void RemoveFinishedJobs();
  void Log(core::Severity severity,
           std::string sentence,
           std::vector<core::LogField> fields) const;

  JobManagerSettings m_settings;
  JobManagerPorts m_ports;
  job::JobCatalog m_job_catalog;
  job::StoredHandover m_stored_handover;
  /**
   * @brief Revision of the last complete list that was received with a leader's
   * handover state.
   */
  core::Revision m_stored_handover_revision;
  scheduling::StoreView m_store_view;
  std::atomic<core::TimePoint> m_view_complete_at{core::TimePoint()};
  core::TimePoint m_next_cleanup_at;
  std::shared_ptr<const queue::QueueCatalog> m_queue_catalog;
  leadership::LeaderElector m_elector;
  Resignation m_resignation;
  scheduling::Scheduler m_scheduler;
  upkeep::CooldownMachinePort m_machine_port;
  upkeep::UpkeepController m_upkeep;
  capacity::Balancer m_balancer;
  intake::RequestHandler m_request_handler;
  core::FencingToken m_token;
  /** @brief Token of the term for which a complete list was requested. */
  core::FencingToken m_refresh_requested_for;
  bool m_is_ready = false;
  bool m_is_stopping = false;
  std::atomic<bool> m_has_resigned{false};
};

}  // namespace crocusmast::manager

#endif  // CROCUSMAST_MANAGER_JOB_MANAGER_H_
