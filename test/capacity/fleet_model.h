#ifndef TEST_CAPACITY_FLEET_MODEL_H_
#define TEST_CAPACITY_FLEET_MODEL_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "crocusmast/capacity/balancer.h"
#include "crocusmast/capacity/demand_estimator.h"
#include "crocusmast/scheduling/job_order.h"
#include "crocusmast/scheduling/start_limits.h"
#include "test/capacity/fleet_result.h"
#include "test/capacity/fleet_settings.h"
#include "test/capacity/leader_view.h"
#include "test/capacity/model_leader.h"
#include "test/capacity/turn_traffic.h"
#include "test/support/factories.h"
#include "test/support/fake_clock.h"
#include "test/support/mocks.h"

namespace test {

namespace upkeep = crocusmast::upkeep;

/**
 * @brief Pools whose demand comes in turns, with the balancer between them, in
 * virtual time.
 *
 * In its turn a pool is asked for a multiple of its mean demand, which is more
 * than its own machines can do, and for a twentieth of it otherwise. Tasks are
 * placed without delay, in the order of scheduling::JobRank, each on the
 * machine that it fits on best.
 */
class FleetModel final : public upkeep::MachinePort,
                         public upkeep::WorkerDrainPort,
                         public capacity::PoolLoadSource {
 public:
  using Settings = FleetSettings;

  /**
   * @brief Returns the mean of several plays.
   * @param seeds Number of plays.
   * @param settings The fleet.
   */
  static FleetResult Mean(unsigned seeds, const Settings& settings) {
    FleetResult mean;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
      mean.Add(FleetModel(seed, settings).Play(), 1.0 / seeds);
    }
    return mean;
  }

  void RequestMachineList() override { m_is_list_requested = true; }
  void Move(core::FencingToken,
            const core::MachineId& id,
            const core::PoolId& pool) override {
    m_commands.push_back(id);
    Machine& machine = m_machines[m_machine_index.at(id)];
    ++m_result.moves;
    m_result.unused_moves += machine.has_moved && !machine.has_run ? 1 : 0;
    machine.has_moved = true;
    machine.has_run = false;
    machine.pool = static_cast<std::size_t>(
        std::find(m_pools.begin(), m_pools.end(), pool) - m_pools.begin());
    machine.up_at = Seconds() + kMoveSeconds;
    machine.ready_at = machine.up_at + kJoinSeconds;
    machine.is_drained = false;
    ++machine.generation;
  }
  void TakeDown(core::FencingToken,
                const core::MachineId&,
                core::WaveNumber) override {}
  void WriteWaveStatus(core::FencingToken, core::WaveNumber, bool) override {}
  upkeep::WorkerUsage UsageOf(const core::InstanceId&) const override {
    return {};
  }
  void DrainWorker(const core::InstanceId& worker) override {
    m_machines[m_worker_index.at(worker)].is_drained = true;
  }
  bool IsConfirmedIdle(const core::InstanceId& worker) const override {
    return m_machines[m_worker_index.at(worker)].runs == 0;
  }

  std::vector<capacity::PoolLoad> PoolLoads() const override {
    std::vector<capacity::PoolLoad> loads(m_pools.size());
    for (std::size_t pool = 0; pool < m_pools.size(); ++pool) {
      loads[pool].pool = m_pools[pool];
      loads[pool].is_standby = IsStandby(pool);
      const auto rates = m_demand.RatesOf(m_pools[pool], m_clock.Now());
      loads[pool].arriving_cores = rates.peak;
      loads[pool].steady_cores = rates.steady;
    }
    for (const Machine& machine : m_machines) {
      if (IsReady(machine)) {
        capacity::PoolLoad& load = loads[machine.pool];
        load.capacity_cores += kMachineCores;
        ++load.ready_workers;
        load.running_cores += kMachineCores - machine.free_cores;
      }
    }
    for (std::size_t pool = 0; pool < m_waiting.size(); ++pool) {
      for (const std::size_t index : m_waiting[pool]) {
        m_view.AddWaitingJob(m_jobs[index], RankOf(m_jobs[index]).timeliness,
                             loads[pool]);
      }
    }
    return loads;
  }

 private:
  using Job = TurnJob;

  static constexpr double kMoveSeconds = 1.5;
  /** @brief From the time a machine is up until its worker is known. */
  static constexpr double kJoinSeconds = 0.8;
  static constexpr double kPlaySeconds = 55;
  static constexpr std::chrono::milliseconds kTick{20};

  struct Machine {
    core::MachineId id;
    std::size_t pool = 0;
    std::size_t generation = 0;
    double free_cores = kMachineCores;
    std::size_t runs = 0;
    bool is_drained = false;
    bool has_moved = false;
    bool has_run = false;
    double up_at = 0;
    double ready_at = 0;
  };
  struct Run {
    std::size_t job = 0;
    std::size_t machine = 0;
    double seconds = 0;
  };

  FleetModel(unsigned seed, Settings settings)
      : m_traffic(seed, settings.traffic), m_settings(std::move(settings)) {
    for (std::size_t pool = 0; pool < m_settings.traffic.pools.size(); ++pool) {
      m_pools.push_back(MakeId<core::PoolId>("pool-" + std::to_string(pool)));
      AddMachines(pool, m_settings.traffic.pools[pool].machines);
    }
    m_pools.push_back(MakeId<core::PoolId>("standby"));
    AddMachines(m_settings.traffic.pools.size(), m_settings.standby_machines);
    m_waiting.resize(m_settings.traffic.pools.size());
    m_job_count.resize(m_settings.traffic.pools.size());
    m_result.served.resize(m_settings.traffic.pools.size());
    m_began_at = m_clock.Now();
    m_balancer.BeginTerm(m_leader.Token(), {});
  }

  void ChangeLeader() {
    m_leader.Change(m_settings.are_changes_planned);
    m_demand.Clear();
    for (Machine& machine : m_machines) {
      machine.is_drained = false;
    }
    m_balancer.BeginTerm(m_leader.Token(), m_balancer.PoolSizes());
  }

  FleetResult Play() {
    std::size_t changes = 0;
    while (Seconds() < kPlaySeconds) {
      if (changes < m_settings.leader_changes.size() &&
          m_settings.leader_changes[changes] <= Seconds()) {
        ++changes;
        ChangeLeader();
      }
      EndRuns();
      AddArrivals();
      for (std::size_t pool = 0; pool < m_settings.traffic.pools.size();
           ++pool) {
        PlaceTasks(pool);
      }
      if (m_settings.has_balancer) {
        m_balancer.RunCycle(true, [](const core::MachineId&) { return false; });
        m_leader.Store();
        m_balancer.RequestAnnouncedMoves(true);
      }
      AnswerBalancer();
      for (const Machine& machine : m_machines) {
        m_result.machine_seconds += IsStandby(machine.pool) ? 0 : TickSeconds();
      }
      m_clock.Advance(kTick);
    }
    for (std::size_t pool = 0; pool < m_settings.traffic.pools.size(); ++pool) {
      m_result.served[pool] /= static_cast<double>(m_job_count[pool]);
    }
    return m_result;
  }

  static double TickSeconds() {
    return std::chrono::duration<double>(kTick).count();
  }
  double Seconds() const {
    return std::chrono::duration<double>(m_clock.Now() - m_began_at).count();
  }
  bool IsStandby(std::size_t pool) const {
    return pool == m_settings.traffic.pools.size();
  }
  bool IsReady(const Machine& machine) const {
    return !IsStandby(machine.pool) && !machine.is_drained &&
           machine.ready_at <= Seconds();
  }

  void AddMachines(std::size_t pool, std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      Machine machine;
      machine.id =
          MakeId<core::MachineId>("m-" + std::to_string(m_machines.size()));
      machine.pool = pool;
      m_machine_index.emplace(machine.id, m_machines.size());
      m_machines.push_back(std::move(machine));
    }
  }

  void AddArrivals() {
    for (const Job& job : m_traffic.Arrivals(Seconds(), TickSeconds())) {
      m_demand.Add(m_pools[job.pool],
                   static_cast<double>(job.steps * job.width) * job.cores *
                       m_view.ExpectedSeconds(job),
                   m_clock.Now());
      ++m_job_count[job.pool];
      m_waiting[job.pool].push_back(m_jobs.size());
      m_jobs.push_back(job);
    }
  }

  scheduling::JobRank RankOf(const Job& job) const {
    return m_view.RankOf(job, m_began_at, m_clock.Now());
  }

  static core::MilliCores ToMilliCores(double cores) {
    return core::MilliCores(static_cast<std::uint64_t>(cores * 1000));
  }

  scheduling::StartLimits LimitsOf(std::size_t pool,
                                   double capacity_cores) const {
    scheduling::StartLimits limits{ToMilliCores(capacity_cores), std::nullopt};
    const auto& late = m_balancer.LimitsOfLateJobs();
    if (const auto limit = late.find(m_pools[pool]); limit != late.end()) {
      limits.late_limit = limit->second;
    }
    return limits;
  }

  void PlaceTasks(std::size_t pool) {
    std::vector<std::pair<scheduling::JobRank, std::size_t>> order;
    for (const std::size_t index : m_waiting[pool]) {
      order.emplace_back(RankOf(m_jobs[index]), index);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& left, const auto& right) {
                       return left.first < right.first;
                     });
    std::multimap<double, std::size_t> free;
    double capacity_cores = 0;
    double free_cores = 0;
    for (std::size_t index = 0; index < m_machines.size(); ++index) {
      const Machine& machine = m_machines[index];
      if (machine.pool == pool && IsReady(machine)) {
        free.emplace(machine.free_cores, index);
        capacity_cores += kMachineCores;
        free_cores += machine.free_cores;
      }
    }
    const scheduling::StartLimits limits = LimitsOf(pool, capacity_cores);
    for (const auto& [rank, index] : order) {
      Job& job = m_jobs[index];
      while (job.ready > 0) {
        const auto best = free.lower_bound(job.cores);
        const bool may_start = limits.MayStart(
            rank.timeliness, ToMilliCores(capacity_cores - free_cores));
        if (best == free.end() || !may_start) {
          break;
        }
        const std::size_t machine = best->second;
        free.erase(best);
        Start(index, machine);
        free_cores -= job.cores;
        free.emplace(m_machines[machine].free_cores, machine);
      }
    }
    std::vector<std::size_t>& waiting = m_waiting[pool];
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                                 [this](std::size_t index) {
                                   return m_jobs[index].ready == 0;
                                 }),
                  waiting.end());
  }

  void Start(std::size_t job_index, std::size_t machine_index) {
    Job& job = m_jobs[job_index];
    Machine& machine = m_machines[machine_index];
    --job.ready;
    ++job.running;
    job.is_started = true;
    machine.free_cores -= job.cores;
    ++machine.runs;
    machine.has_run = true;
    const double seconds = m_traffic.DrawRunSeconds(job);
    m_runs.emplace(Seconds() + seconds, Run{job_index, machine_index, seconds});
  }

  void EndRuns() {
    while (!m_runs.empty() && m_runs.begin()->first <= Seconds()) {
      const Run run = m_runs.begin()->second;
      m_runs.erase(m_runs.begin());
      Job& job = m_jobs[run.job];
      Machine& machine = m_machines[run.machine];
      m_view.Observe(job, run.seconds);
      machine.free_cores += job.cores;
      if (--machine.runs == 0) {
        machine.free_cores = kMachineCores;
      }
      if (--job.running > 0 || job.ready > 0) {
        continue;
      }
      if (++job.step < job.steps) {
        job.ready = job.width;
        m_waiting[job.pool].push_back(run.job);
      } else if (Seconds() <= job.arrival + job.ObjectiveFor(job.run_seconds)) {
        m_result.served[job.pool] += 1;
      }
    }
  }

  void AnswerBalancer() {
    if (std::exchange(m_is_list_requested, false)) {
      upkeep::MachineListReceived list;
      list.is_known = true;
      for (std::size_t index = 0; index < m_machines.size(); ++index) {
        list.machines.push_back(Describe(index));
      }
      m_balancer.Handle(list);
    }
    for (const core::MachineId& id : std::exchange(m_commands, {})) {
      const upkeep::MachineCommandReply reply{
          id, upkeep::MachineCommandOutcome::kDone, std::nullopt};
      m_leader.Port().Handle(reply);
      m_balancer.Handle(reply);
    }
  }

  upkeep::Machine Describe(std::size_t index) {
    const Machine& machine = m_machines[index];
    upkeep::Machine listed;
    listed.id = machine.id;
    listed.pool = m_pools[machine.pool];
    const bool is_up = machine.up_at <= Seconds();
    listed.state =
        is_up ? upkeep::MachineState::kUp : upkeep::MachineState::kMoving;
    if (is_up && !IsStandby(machine.pool)) {
      listed.worker =
          MakeId<core::InstanceId>("w-" + std::to_string(index) + "-" +
                                   std::to_string(machine.generation));
      m_worker_index[listed.worker] = index;
    }
    return listed;
  }

  TurnTraffic m_traffic;
  const Settings m_settings;
  FakeClock m_clock;
  core::TimePoint m_began_at;
  NullLogger m_logger;
  /** @brief The pools of the settings, then the standby pool. */
  std::vector<core::PoolId> m_pools;
  std::vector<Machine> m_machines;
  std::map<core::MachineId, std::size_t> m_machine_index;
  std::map<core::InstanceId, std::size_t> m_worker_index;
  std::deque<Job> m_jobs;
  /** @brief Jobs of each pool that have tasks to be placed. */
  std::vector<std::vector<std::size_t>> m_waiting;
  /** @brief Active runs by the time of their end. */
  std::multimap<double, Run> m_runs;
  std::vector<std::size_t> m_job_count;
  capacity::DemandEstimator m_demand;
  LeaderView m_view;
  bool m_is_list_requested = false;
  std::vector<core::MachineId> m_commands;
  FleetResult m_result;
  ModelLeader m_leader{*this, m_clock};
  capacity::Balancer m_balancer{
      {m_leader.Port(), *this, *this, m_clock, m_logger}};
};

}  // namespace test

#endif  // TEST_CAPACITY_FLEET_MODEL_H_
