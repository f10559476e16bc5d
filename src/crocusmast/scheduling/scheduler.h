#ifndef CROCUSMAST_SCHEDULING_SCHEDULER_H_
#define CROCUSMAST_SCHEDULING_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "crocusmast/capacity/demand_meter.h"
#include "crocusmast/capacity/pool_load.h"
#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/execution/worker.h"
#include "crocusmast/execution/worker_port.h"
#include "crocusmast/job/job.h"
#include "crocusmast/job/job_book.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/queue/directory.h"
#include "crocusmast/scheduling/committer.h"
#include "crocusmast/scheduling/messages.h"
#include "crocusmast/scheduling/run_time_estimator.h"
#include "crocusmast/scheduling/ticket_cache.h"
#include "crocusmast/upkeep/worker_keeper.h"

namespace crocusmast::scheduling {

/** @brief How long a worker may run on without being looked at: a death of
 * the holder (2 s of its lease, then a takeover) must not end what runs. */
inline constexpr std::chrono::milliseconds kWorkerLeaseLength{4500};
/** @brief How long a look waits for an end; well below kWorkerLeaseLength. */
inline constexpr std::chrono::milliseconds kPollWait{1000};
/** @brief The pause after a look that went wrong. */
inline constexpr std::chrono::milliseconds kPollRetryDelay{150};
/** @brief The pause before a look that only acknowledges ends. */
inline constexpr std::chrono::milliseconds kAcknowledgeDelay{250};
/** @brief The pause between looks while ends can't be recorded. */
inline constexpr std::chrono::milliseconds kUnrecordedPollDelay{300};
/** @brief A worker that refused or did not answer gets no start for this. */
inline constexpr std::chrono::milliseconds kWorkerBackoff{500};
/** @brief A worker on which this many runs in a row failed is avoided. */
inline constexpr std::uint32_t kFailedRunsForBackoff{3};
/** @brief For how long it is avoided, for each such failure. */
inline constexpr std::chrono::milliseconds kFailedRunBackoff{1500};
/** @brief A stop without an answer is sent again after this. */
inline constexpr std::chrono::milliseconds kStopRetryDelay{250};
/** @brief What is due with time is looked for this often; well below the
 * shortest time that matters, kPollRetryDelay. */
inline constexpr std::chrono::milliseconds kSweepInterval{25};
/** @brief Tasks that could not be placed are tried again this often, as workers
 * that were avoided are used again without an event. */
inline constexpr std::chrono::milliseconds kPlacementRetryInterval{250};
/** @brief A final state is kept this long after its end; from the job
 * interface. */
inline constexpr std::chrono::seconds kKeepEnded{150};

/** @brief What the scheduler uses; all outlive it. */
struct SchedulerPorts {
  execution::WorkerPort& workers;
  job::JobStore& store;
  WorkerFeed& feed;
  TicketPort& tickets;
  const core::Clock& clock;
  core::Logger& logger;
  core::Meter& meter;
};

/** @brief What a hold of the duty begins with. */
struct SchedulingTerm {
  core::FencingToken token;
  /** @brief How long a holder that lost the duty may act on unknowingly. */
  std::chrono::milliseconds deposed_grace{};
};

/**
 * @brief Runs accepted jobs on workers while it holds the duty.
 *
 * The workers are the truth about what runs: a new hold looks at each worker
 * that the earlier holder may have used, which fences it, before it starts
 * what may be running there.
 */
class Scheduler final : public upkeep::WorkerKeeper, public capacity::LoadView {
 public:
  /**
   * @brief Makes a scheduler without the duty.
   * @param ports What it uses.
   */
  explicit Scheduler(const SchedulerPorts& ports);

  /**
   * @brief Begins a hold.
   * @param reign The hold.
   * @param book All jobs, up to the claim at least.
   * @param record What the earlier holder left.
   */
  void Begin(const SchedulingTerm& reign,
             const job::JobBook& book,
             const job::HolderRecord& record);

  /** @brief Ends the hold; what runs goes on under its leases. */
  void End();

  /** @brief Returns the notes of a hold that ends now and acts no more. */
  job::HolderNotes LastNotes() const;

  /** @brief Tells whether it holds the duty. */
  bool IsActive() const { return m_is_active; }

  /** @brief Takes in a version of the configuration. */
  void SetDirectory(const queue::Directory& directory);

  /** @brief Takes in that the store holds a new job. */
  void AddJob(const job::AcceptedJob& job);
  /** @brief Takes in that a caller cancelled a job. */
  void CancelJob(const core::JobId& id);

  /** @brief Takes in what the membership list says. */
  void Handle(WorkersListed&& listed);
  void Handle(WorkerSeen&& seen);
  void Handle(const WorkerUnlisted& unlisted);

  /** @brief Takes in answers to orders. */
  void HandleStart(const execution::CallReply& reply);
  void HandleStop(const execution::CallReply& reply);
  void Handle(const execution::LookReply& reply);
  void Handle(const job::CommitReply& reply);
  void Handle(const TicketsAnswered& answer);

  /**
   * @brief Sets what a successor has to know of machines.
   * @param notes The notes.
   */
  void SetFleetNotes(job::FleetNotes notes);

  upkeep::Usage UsageOf(const core::InstanceId& worker) const override;
  void SetAside(const core::InstanceId& worker) override;
  bool IsEmpty(const core::InstanceId& worker) const override;
  std::vector<capacity::PoolLoad> PoolLoads() const override;

  /** @brief Tells whether the store has notes of this hold. */
  bool HasStoredNotes() const { return m_has_stored_handover; }

  /** @brief Tells whether a worker refused this holder's token. */
  bool WasFenced() const { return m_was_fenced; }

  /**
   * @brief Does what is due: leases, looks, starts, commits.
   * @param confirmed_at When the store last was asked and still named this
   * holder. A lease that lapsed later may have been extended by a successor.
   */
  void Round(core::TimePoint confirmed_at);

 private:
  /** @brief A job and what its order needs. */
  struct ActiveJob {
    explicit ActiveJob(job::Job made) : job(std::move(made)) {}

    job::Job job;
    core::PoolId pool;
    std::uint32_t priority = 0;
    std::uint32_t max_attempts = 0;
    /** @brief Its starts need tickets. */
    bool needs_tickets = false;
    /** @brief When it has to be done to meet its objective. */
    core::TimePoint deadline;
    /** @brief An earlier holder may have started tasks that are not known. */
    bool is_inherited = false;
    /** @brief The store shows that it has started: a successor has to look for
     * its runs. Nothing of it is started before. */
    bool is_start_recorded = false;
    /** @brief It may have tasks to start. */
    bool may_have_ready_tasks = true;
    /** @brief The least room that a task to start needs; empty if unknown. */
    std::optional<job::Room> min_resources;
    /** @brief How long its longest chain still takes; empty if unknown. */
    std::optional<core::Duration> remaining_critical_path;
  };

  /** @brief A worker that an earlier holder may have used. */
  struct UnreconciledWorker {
    core::Incarnation incarnation;
    core::PoolId pool;
    core::TimePoint until;
  };

  struct Candidate;

  execution::Worker* FindWorker(const core::InstanceId& id);
  ActiveJob* FindJob(const core::JobId& id);
  ActiveJob& Insert(job::Job job, core::TimePoint accepted);
  void MarkForPlacement(ActiveJob& active);
  void Sweep(core::TimePoint confirmed_at);
  void ApplyQueue(ActiveJob& active, core::TimePoint accepted);
  void MarkReconciled(const core::InstanceId& id, const char* evidence);
  void StoreHandover();
  job::HolderNotes MakeHandover(bool stays_active) const;
  void HandleHandoverStored();
  void MoveLongRunningTasks(execution::Worker& worker);
  bool MayInterrupt(const ActiveJob& active, const job::TaskKey& key) const;
  bool IsPoolReconciled(const core::PoolId& pool) const;

  void EndIncarnation(execution::Worker& worker, const char* evidence);
  void EndRun(execution::Worker& worker,
              const execution::RunKey& key,
              job::RunEnd end,
              const std::string& checkpoint);
  void ProcessEndedRuns(execution::Worker& worker,
                        const execution::LookReply& reply);
  void ProcessRunningRuns(execution::Worker& worker,
                          const execution::LookReply& reply);
  void AdoptRun(execution::Worker& worker, const execution::RunReport& report);
  void EndUnreportedRuns(execution::Worker& worker,
                         const execution::LookReply& reply);
  void TrackFailures(execution::Worker& worker, job::RunEnd end);
  void ThrottleBestEffortRuns(execution::Worker& worker,
                              const execution::LookReply& reply);
  void HandleStartRejection(execution::Worker& worker,
                            const execution::RunKey& key,
                            const execution::CallReply& reply);

  void ExpireWorkers(core::TimePoint confirmed_at);
  void SendPolls();
  void RetryCommands();
  bool RetryWorkerCommands(execution::Worker& worker);
  void SendStart(execution::Worker& worker, const execution::RunKey& key);
  void SendDeferredStarts(ActiveJob& active);
  void SendStop(execution::Worker& worker, const execution::RunKey& key);
  void StopRuns(ActiveJob& active);
  void RemoveEndedJobs();

  void PlaceTasks();
  std::vector<Candidate> SortedCandidates();
  void AddCandidates(const core::PoolId& pool,
                     std::vector<Candidate>& candidates);
  job::Room MaxFreeResources(const core::PoolId& pool);
  void PlaceJob(ActiveJob& active);
  static void UpdateMinResources(ActiveJob& active);
  bool PlaceGang(ActiveJob& active,
                 const std::vector<job::TaskKey>& members,
                 const job::Step& step);
  execution::Worker* ChooseWorker(const ActiveJob& active,
                                  const job::TaskId& task,
                                  const job::Step& step);
  bool IsUsable(const execution::Worker& worker) const;
  void RequestTickets(const ActiveJob& active,
                      const job::TaskId& task,
                      const job::Step& step);
  void StartTask(ActiveJob& active,
                 execution::Worker& worker,
                 const job::TaskId& task,
                 core::Attempt attempt);
  void RecordPlacement(const job::TaskId& task,
                       core::Attempt attempt,
                       const execution::Worker& worker);
  void LogPlacements(const ActiveJob& active);
  double EstimateCoreSeconds(const job::AcceptedJob& job) const;
  void AddReadyTasks(const job::Job& job, capacity::PoolLoad& load) const;
  static execution::AssignedRun MakeAssignedRun(const job::Step& step);
  core::Duration RemainingCriticalPath(ActiveJob& active) const;

  execution::Addressee Address(const execution::Worker& worker) const;
  void Log(core::Severity severity,
           std::string sentence,
           std::vector<core::LogField> fields) const;

  SchedulerPorts m_ports;
  bool m_is_active = false;
  bool m_has_worker_list = false;
  bool m_has_stored_handover = false;
  bool m_was_fenced = false;
  SchedulingTerm m_term;
  std::map<core::QueueId, queue::Queue> m_queues;
  std::map<core::PoolId, queue::Pool> m_pools;
  std::unordered_map<core::JobId, ActiveJob> m_jobs;
  std::map<core::InstanceId, std::unique_ptr<execution::Worker>> m_workers;
  std::map<core::InstanceId, UnreconciledWorker> m_unreconciled;
  std::map<core::PoolId, std::vector<execution::Worker*>> m_workers_by_pool;
  std::map<core::PoolId, std::unordered_set<ActiveJob*>> m_jobs_by_pool;
  /** @brief Jobs whose occurrences come with time. */
  std::set<core::JobId> m_scheduled_jobs;
  /** @brief Jobs in a final state that may still have runs. */
  std::set<core::JobId> m_final_jobs;
  /** @brief Workers with an order that may have to be repeated. */
  std::set<core::InstanceId> m_workers_to_retry;
  core::TimePoint m_next_sweep_at;
  core::TimePoint m_next_placement_at;
  std::set<core::PoolId> m_pools_to_place;
  /** @brief Jobs that ended in this hold: news of them may still come. */
  std::unordered_set<core::JobId> m_ended_jobs;
  Committer m_committer;
  RunTimeEstimator m_run_time_estimator;
  capacity::DemandMeter m_demand;
  TicketCache m_tickets;
  job::FleetNotes m_fleet_handover;
  /** @brief For the log: the tasks of a job that were placed just now, each as
   * TASK#ATTEMPT@WORKER/FREE with what is then free, in thousandths of a core.
   */
  std::string m_placements;
  /** @brief The workers of the newest notes. */
  std::vector<job::GrantedWorker> m_handover_workers;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_SCHEDULER_H_
