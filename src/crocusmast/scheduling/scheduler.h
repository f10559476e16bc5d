#ifndef CROCUSMAST_SCHEDULING_SCHEDULER_H_
#define CROCUSMAST_SCHEDULING_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "crocusmast/capacity/demand_estimator.h"
#include "crocusmast/capacity/pool_load.h"
#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/execution/worker.h"
#include "crocusmast/job/job.h"
#include "crocusmast/job/job_catalog.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/queue/queue_catalog.h"
#include "crocusmast/scheduling/active_job.h"
#include "crocusmast/scheduling/committer.h"
#include "crocusmast/scheduling/crash_attribution.h"
#include "crocusmast/scheduling/free_capacity.h"
#include "crocusmast/scheduling/incarnation_end.h"
#include "crocusmast/scheduling/inherited_workers.h"
#include "crocusmast/scheduling/job_monitor.h"
#include "crocusmast/scheduling/machine_evidence.h"
#include "crocusmast/scheduling/open_starts.h"
#include "crocusmast/scheduling/placement_log.h"
#include "crocusmast/scheduling/run_end.h"
#include "crocusmast/scheduling/run_monitor.h"
#include "crocusmast/scheduling/run_time_estimator.h"
#include "crocusmast/scheduling/scheduler_ports.h"
#include "crocusmast/scheduling/scheduling_term.h"
#include "crocusmast/scheduling/start_wait_monitor.h"
#include "crocusmast/scheduling/ticket_cache.h"
#include "crocusmast/scheduling/timing.h"
#include "crocusmast/scheduling/waiting_jobs.h"
#include "crocusmast/upkeep/worker_drain_port.h"

namespace crocusmast::scheduling {

/**
 * @brief Runs accepted jobs on workers while this instance is the leader.
 *
 * The workers are authoritative on active runs. A new leader polls each worker
 * that earlier leaders may have used, which fences the worker against them,
 * before it starts tasks that may be running there. The worker of each task is
 * stored before the task starts: a long-running one waits for this worker only,
 * a finite one for the workers of the pools in which tasks of its job were
 * started, and for a start of it that may still be executed.
 */
class Scheduler final : public upkeep::WorkerDrainPort,
                        public capacity::PoolLoadSource {
 public:
  /**
   * @brief Creates an inactive scheduler.
   * @param ports Its collaborators.
   */
  explicit Scheduler(const SchedulerPorts& ports);

  /**
   * @brief Begins a leadership term.
   * @param term The term.
   * @param catalog All jobs, at least up to the revision of the leadership
   * claim.
   * @param stored The handover state of the previous leader.
   */
  void BeginTerm(const SchedulingTerm& term,
                 const job::JobCatalog& catalog,
                 const job::StoredHandover& stored);

  /** @brief Ends the term; active runs continue under their leases. */
  void EndTerm();

  /** @brief Returns the handover state of a leader that stops now. */
  job::HandoverState FinalHandoverState() const;

  /** @brief Tells whether a leadership term is in progress. */
  bool IsActive() const { return m_is_active; }
  /**
   * @brief Sets the configured queues and pools.
   * @param catalog The queues and pools.
   */
  void SetQueueCatalog(const queue::QueueCatalog& catalog);

  /**
   * @brief Adds a job that was stored; ignored outside a term, and if the job
   * is known or has ended.
   * @param job The job.
   */
  void AddJob(const job::AcceptedJob& job);
  /** @brief Sets how fresh the known jobs are. No task is started on a state
   * older than kMaxStartViewAge, which may lack a cancellation. */
  void SetStoreView(const StoreView& view) { m_store_view = view; }
  /**
   * @brief Cancels a job and stops its runs.
   * @param id The job.
   */
  void CancelJob(const core::JobId& id);

  /** @brief Handles changes of the membership list, and lists of machines. */
  void Handle(WorkerListReceived&& list);
  void Handle(WorkerUpdated&& update);
  void Handle(const WorkerRemoved& removal);
  void Handle(const upkeep::MachineListReceived& list);
  /**
   * @brief Tells whether a list of machines may show that a worker is gone.
   * @param last_request_at When the last list was requested.
   */
  bool NeedsMachineList(core::TimePoint last_request_at) const;

  /** @brief Handles replies to commands, commits and ticket requests. */
  void HandleStartReply(const execution::WorkerCommandReply& reply);
  void HandleStopReply(const execution::WorkerCommandReply& reply);
  void HandleCpuShareReply(const execution::WorkerCommandReply& reply);
  void Handle(const execution::PollReply& reply);
  void Handle(const job::CommitReply& reply);
  void Handle(const TicketReply& reply);

  /**
   * @brief Sets the part of the handover state that describes machines.
   * @param handover The state of waves, pools and machine cooldowns.
   */
  void SetFleetHandover(job::FleetHandover handover);

  /** @brief Sets the commanded machines that the next commit stores. */
  void SetCommandedMachines(job::CommandedMachines machines) {
    m_committer.SetCommandedMachines(std::move(machines));
  }
  /** @brief Returns the record that was stored last, once. */
  std::optional<job::CommandedMachines> TakeStoredCommandedMachines() {
    return m_committer.TakeStoredCommandedMachines();
  }

  /**
   * @brief Sets how much of a pool late and expired jobs may fill, in place of
   * the last limits.
   * @param limits The limits; a pool that is missing has none.
   */
  void SetLateLimits(const capacity::LateLimits& limits);

  upkeep::WorkerUsage UsageOf(const core::InstanceId& worker) const override;
  void DrainWorker(const core::InstanceId& worker) override;
  /**
   * @brief Uses drained workers again, but for those that no machine of the
   * last list has, as theirs was moved or restarted.
   * @param needed The workers that must stay drained.
   */
  void ReleaseDrainedWorkers(const std::set<core::InstanceId>& needed);
  bool IsConfirmedIdle(const core::InstanceId& worker) const override;
  std::vector<capacity::PoolLoad> PoolLoads() const override;

  /** @brief Tells whether the handover state of this term is stored. */
  bool HasStoredHandover() const { return m_has_stored_handover; }
  /** @brief Tells whether a worker or the store rejected the fencing token. */
  bool WasFenced() const { return m_was_fenced; }

  /**
   * @brief Runs one cycle: expires leases, places tasks, polls and commits.
   * @param confirmed_at Send time of the last request to which the store
   * replied that this instance is still the leader. Worker leases that expire
   * later are not treated as expired, because a successor may have extended
   * them.
   */
  void RunCycle(core::TimePoint confirmed_at);

 private:
  struct PlacementRound;

  execution::Worker* FindWorker(const core::InstanceId& id);
  ActiveJob* FindJob(const core::JobId& id);
  ActiveJob& Insert(job::Job job, core::TimePoint accepted_at);
  void MarkForPlacement(ActiveJob& active);
  void StopWaiting(ActiveJob& active);
  void Sweep(core::TimePoint confirmed_at);
  void ApplyQueue(ActiveJob& active, core::TimePoint accepted_at);
  void MarkReconciled(const core::InstanceId& id, const char* reason);
  void StoreHandover() { m_is_handover_outdated = true; }
  void CaptureHandover();
  void FreezeLeasesOfSilentWorkers();
  std::chrono::milliseconds LongestLease() const;
  job::HandoverState MakeHandover(bool stays_active) const;
  void HandleHandoverStored(const job::HandoverState& handover,
                            core::Revision revision);
  void MoveLongRunningTasks(execution::Worker& worker);
  bool MayInterrupt(const ActiveJob& active, const job::TaskKey& key) const;
  void EndIncarnation(execution::Worker& worker, const IncarnationEnd& end);
  void HandleOtherWorker(execution::Worker& worker);
  void HandleOtherIncarnation(execution::Worker& worker,
                              core::Incarnation replying);
  void BeginIncarnation(execution::Worker& worker,
                        execution::WorkerRecord record,
                        const char* reason);
  void SettleCrash(const core::InstanceId& worker, core::Incarnation seen);
  void CountCrashes(const core::InstanceId& worker, const Blame& blame);
  void MarkStartSurvived(execution::Worker& worker,
                         const execution::RunKey& key);
  bool GiveUpExhaustedTask(ActiveJob& active);
  void ReportGivenUp(ActiveJob& active,
                     const job::TaskId& task,
                     const char* evidence);
  void HandleFinalState(ActiveJob& active, const job::TaskId& last);
  void EndRun(execution::Worker& worker,
              const execution::RunKey& key,
              const RunEnd& end);
  void LogRunEnd(execution::Worker& worker,
                 const execution::RunKey& key,
                 const RunEnd& end) const;
  void ProcessEndedRuns(execution::Worker& worker,
                        const execution::PollReply& reply);
  void MeasureRun(execution::Worker& worker,
                  const execution::EndedRunReport& end,
                  const execution::PollReply& reply);
  void LogReports();
  void ProcessRunningRuns(execution::Worker& worker,
                          const execution::PollReply& reply);
  void AdoptRun(execution::Worker& worker, const execution::RunReport& report);
  void HoldEndedRun(execution::Worker& worker,
                    const execution::RunKey& key,
                    core::TimePoint until);
  void ResumeHeldRun(execution::Worker& worker, const execution::RunKey& key);
  void EndUnreportedHeldRuns(execution::Worker& worker,
                             const execution::PollReply& reply);
  bool MustHold(const execution::Worker& worker,
                const execution::RunKey& key,
                const RunEnd& end) const;
  bool RepeatStart(execution::Worker& worker, const execution::RunKey& key);
  bool MustStartAlone(const execution::Worker& worker,
                      const job::TaskId& task) const;
  void MarkStartSettled(const execution::RunKey& key,
                        const execution::AssignedRun& run);
  void StoreAnsweredStarts();
  void AddOpenStart(const execution::Worker& worker,
                    const execution::RunKey& key);
  void AddStoredStarts(const ActiveJob& active);
  void AwaitOpenStart(execution::Worker& worker,
                      const execution::RunKey& key,
                      bool may_start);
  void HandleExecutedStart(execution::Worker& worker,
                           const execution::RunKey& key);
  bool IsReplying(const core::InstanceId& worker) const;
  std::optional<core::InstanceId> WorkerOfOpenStart(
      const ActiveJob& active,
      const job::TaskId& task) const;
  std::optional<OpenStart> FindEarlierStart(
      const ActiveJob& active,
      const job::TaskPlacement& placement) const;
  void AdoptOpenStart(const ActiveJob& active,
                      const core::InstanceId& worker,
                      const execution::RunKey& key,
                      execution::AssignedRun& run) const;
  std::vector<MachineEvidence::KnownWorker> WorkersOfOpenStarts() const;
  void SettleOpenStarts(core::TimePoint confirmed_at);
  bool MayStillStart(const ActiveJob& active,
                     const job::TaskPlacement& placement) const;
  void RepeatEarlierStarts(ActiveJob& active);
  void EndUnreportedRuns(execution::Worker& worker,
                         const execution::PollReply& reply);
  void TrackFailures(execution::Worker& worker, job::RunOutcome outcome);
  void ThrottleBestEffortRuns(execution::Worker& worker,
                              const execution::PollReply& reply);
  void HandleStartRejection(execution::Worker& worker,
                            const execution::RunKey& key,
                            const execution::WorkerCommandReply& reply);
  core::TimePoint KnownSince(const execution::Worker& worker) const;
  bool HasMachine(const execution::Worker& worker) const;
  void EndWorkersWithoutMachine(core::TimePoint confirmed_at);
  void EndSilentWorkersWithoutMachine(core::TimePoint confirmed_at);
  void ExpireWorkers(core::TimePoint confirmed_at);
  void SendPolls();
  void SendPollIfDue(execution::Worker& worker);
  bool MayStartTasks() const;
  void LogStartPermission();
  void RetryCommands();
  bool RetryWorkerCommands(execution::Worker& worker);
  void SendStart(execution::Worker& worker, const execution::RunKey& key);
  void HandleProgressStored(ActiveJob& active, job::JobState state);
  void SendDeferredStarts(ActiveJob& active);
  void GiveUpRun(execution::Worker& worker, const execution::RunKey& key);
  void GiveUpOtherGangMembers(const execution::RunKey& key);
  void GiveUpUnsentRunsOverCapacity(execution::Worker& worker);
  void SendStop(execution::Worker& worker, const execution::RunKey& key);
  void StopRuns(ActiveJob& active);
  void ReportCancelSettled(const ActiveJob& active);
  void RemoveEndedJobs();
  void PlaceTasks();
  void UpdateCapacity(execution::Worker& worker);
  void UpdateAllCapacity();
  void MoveToPool(execution::Worker& worker, const core::PoolId& from);
  void PlaceTasksIn(const core::PoolId& pool);
  void PlaceJob(ActiveJob& active, PlacementRound& round);
  bool MayStartFiniteTasks(const ActiveJob& active) const;
  void SettleEarlierPlacements(ActiveJob& active);
  bool PlaceGang(ActiveJob& active,
                 const std::vector<job::TaskKey>& members,
                 const job::Step& step,
                 PlacementRound& round);
  bool MayRunOn(const execution::Worker& worker,
                const ActiveJob& active,
                const job::TaskId& task) const;
  execution::Worker* ChooseWorker(const ActiveJob& active,
                                  const job::TaskId& task,
                                  PlacementRound& round);
  void ReserveWorker(const ActiveJob& active,
                     const job::TaskId& task,
                     PlacementRound& round);
  void RequestTickets(const ActiveJob& active, const job::TaskId& task);
  void StartTask(ActiveJob& active,
                 execution::Worker& worker,
                 const job::TaskId& task,
                 core::Attempt attempt);
  void LogPlacements(const ActiveJob& active);
  double EstimateCoreSeconds(const job::AcceptedJob& job) const;
  void AddWaitingJob(const WaitingJobs::Entry& entry,
                     capacity::PoolLoad& load) const;
  core::Duration RemainingCriticalPath(const ActiveJob& active) const;
  core::Duration PredictCriticalPath(const job::AcceptedJob& job,
                                     const std::vector<bool>& is_pending) const;
  core::TimePoint OldestDueTime(const ActiveJob& active) const;
  JobRank RankOf(const ActiveJob& active) const;
  std::string ViewAgeMs() const;
  void Log(core::Severity severity,
           std::string message,
           std::vector<core::LogField> fields) const;

  SchedulerPorts m_ports;
  bool m_is_active = false;
  bool m_has_worker_list = false;
  bool m_has_stored_handover = false;
  bool m_was_fenced = false;
  /** @brief Value of MayStartTasks that was logged last. */
  bool m_may_start_tasks = true;
  /** @brief Rises over all terms, so that no reply is taken for a later one. */
  std::uint64_t m_last_poll_sequence = 0;
  SchedulingTerm m_term;
  /** @brief Commands of earlier leaders may still be executed. */
  bool m_has_predecessor = false;
  core::TimePoint m_term_began_at;
  StoreView m_store_view;
  std::map<core::QueueId, queue::Queue> m_queues;
  std::map<core::PoolId, queue::Pool> m_pools;
  std::unordered_map<core::JobId, ActiveJob> m_jobs;
  std::map<core::InstanceId, std::unique_ptr<execution::Worker>> m_workers;
  InheritedWorkers m_inherited_workers;
  OpenStarts m_open_starts;
  MachineEvidence m_machine_evidence;
  /** @brief Jobs whose stored placements or pools may be older than their runs,
   * because a leader that stores none has led since. */
  std::set<core::JobId> m_outdated_placements;
  std::map<core::PoolId, std::vector<execution::Worker*>> m_workers_by_pool;
  /** @brief What these workers have free. */
  std::map<core::PoolId, FreeCapacity> m_free_capacity;
  std::map<core::PoolId, WaitingJobs> m_waiting_jobs;
  /** @brief Jobs with scheduled occurrences. */
  std::set<core::JobId> m_scheduled_jobs;
  /** @brief Jobs in a final state that may still have active runs. */
  std::set<core::JobId> m_final_jobs;
  /** @brief The handover state has changed since it was captured. */
  bool m_is_handover_outdated = false;
  /** @brief Jobs in a final state may have become removable. */
  bool m_may_remove_jobs = false;
  /** @brief Any worker may be due for a poll, not only m_workers_to_poll. */
  bool m_may_poll_any = false;
  /** @brief Polls of some workers may have failed since they replied last. */
  bool m_may_have_silent_workers = false;
  /** @brief Workers that events of this cycle may have made due for a poll. */
  std::set<core::InstanceId> m_workers_to_poll;
  /** @brief Workers with commands that may have to be retried. */
  std::set<core::InstanceId> m_workers_to_retry;
  std::set<core::InstanceId> m_drained_workers;
  /** @brief Jobs with answered starts, and when to store this at the latest. */
  std::deque<std::pair<core::TimePoint, core::JobId>> m_answered_jobs;
  core::TimePoint m_next_sweep_at;
  core::TimePoint m_next_placement_at;
  /** @brief Pools in which tasks may have become placeable. */
  std::set<core::PoolId> m_pools_to_place;
  /** @brief Jobs that ended in this term; late events for them are ignored. */
  std::unordered_set<core::JobId> m_ended_jobs;
  Committer m_committer;
  RunTimeEstimator m_run_time_estimator;
  RunMonitor m_run_monitor;
  StartWaitMonitor m_start_waits;
  JobMonitor m_job_monitor;
  capacity::DemandEstimator m_demand;
  capacity::LateLimits m_late_limits;
  TicketCache m_tickets;
  CrashAttribution m_crashes;
  job::FleetHandover m_fleet_handover;
  PlacementLog m_placement_log;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_SCHEDULER_H_
