#ifndef CROCUSMAST_MANAGER_MANAGER_H_
#define CROCUSMAST_MANAGER_MANAGER_H_

#include <memory>
#include <string>
#include <vector>

#include "crocusmast/capacity/balancer.h"
#include "crocusmast/core/duty.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/intake/request_handler.h"
#include "crocusmast/job/job_book.h"
#include "crocusmast/leadership/leader_elector.h"
#include "crocusmast/manager/messages.h"
#include "crocusmast/scheduling/scheduler.h"
#include "crocusmast/upkeep/upkeep_controller.h"

namespace crocusmast::manager {

/** @brief Without news from the store for this long an instance is not ready.
 */
inline constexpr std::chrono::milliseconds kMaxStoreStaleness{2500};

/** @brief Takes whether this instance can serve callers. */
class ReadinessPort {
 public:
  virtual ~ReadinessPort() = default;
  /** @brief Sets whether new callers may be sent here. */
  virtual void SetReady(bool is_ready) = 0;
};

/** @brief What the manager uses; all outlive it. */
struct ManagerPorts {
  leadership::LeasePort& leases;
  job::JobStore& store;
  execution::WorkerPort& workers;
  scheduling::WorkerFeed& feed;
  scheduling::TicketPort& tickets;
  upkeep::MachinePort& machines;
  intake::AnswerPort& answers;
  ReadinessPort& readiness;
  const core::Clock& clock;
  core::Logger& logger;
  core::Meter& meter;
};

/** @brief Who the manager is, and what bounds it. */
struct ManagerSettings {
  leadership::Holder self;
  /** @brief How long a vacant duty is left to others first. */
  std::chrono::milliseconds patience{};
  /** @brief Two holders give a machine orders at least this far apart. */
  std::chrono::milliseconds machine_order_gap{};
};

/**
 * @brief The duty that owns the jobs of one entry instance.
 *
 * It serves callers, and while this instance holds the scheduling duty it runs
 * the jobs.
 */
class Manager final : public core::DutyHandler<Message> {
 public:
  /**
   * @brief Makes a manager.
   * @param settings Who it is.
   * @param ports What it uses.
   */
  Manager(ManagerSettings settings, const ManagerPorts& ports);

  void Handle(Message&& message) override;
  void Tick() override;
  void Drained() override;

 private:
  void On(StopRequested&& stop);
  void On(StoreListed&& listed);
  void On(StoreChanged&& changed);
  void On(StoreLink&& link);
  void On(DirectoryRead&& read);
  void On(StartReplied&& replied);
  void On(StopReplied&& replied);
  void On(upkeep::MachinesListed&& listed);
  void On(upkeep::MachineReplied&& replied);
  template <typename Content>
  void On(Content&& content);

  void Apply(StoreEvent&& event);
  void ApplyJob(job::JobEvent&& event);
  void MarkJobsUpdated();
  void UpdateLeadership();
  void ManageMachines();
  void UpdateReadiness();
  void RemoveFinishedJobs();
  void Log(core::Severity severity,
           std::string sentence,
           std::vector<core::LogField> fields) const;

  ManagerSettings m_settings;
  ManagerPorts m_ports;
  job::JobBook m_job_catalog;
  job::HolderRecord m_earlier_leader;
  /** @brief The revision of the newest whole list with the holder's record. */
  core::Revision m_earlier_leader_revision;
  core::TimePoint m_jobs_updated_at;
  core::TimePoint m_next_cleanup_at;
  std::shared_ptr<const queue::Directory> m_queue_catalog;
  leadership::LeaderElector m_elector;
  scheduling::Scheduler m_scheduler;
  upkeep::OrderGate m_machine_port;
  upkeep::UpkeepController m_upkeep;
  capacity::Balancer m_balancer;
  intake::RequestHandler m_request_handler;
  core::FencingToken m_token;
  /** @brief The hold for which a whole list was asked. */
  core::FencingToken m_refresh_token;
  bool m_is_ready = false;
  bool m_is_stopping = false;
};

}  // namespace crocusmast::manager

#endif  // CROCUSMAST_MANAGER_MANAGER_H_
