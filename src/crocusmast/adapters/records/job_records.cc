#include "crocusmast/adapters/records/job_records.h"

#include <utility>

#include "crocusmast/adapters/records/cbor.h"

namespace crocusmast::adapters::records {
namespace internal {

std::int64_t ToMilliseconds(core::Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::int64_t ToMilliseconds(core::WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

core::WallTime ToWallTime(std::int64_t milliseconds) {
  return core::WallTime(std::chrono::milliseconds(milliseconds));
}

template <typename T>
void AddUnlessDefault(Json& json,
                      const char* name,
                      const T& value,
                      const T& default_value) {
  if (!(value == default_value)) {
    json[name] = value;
  }
}

Json EncodeStep(const job::Step& step) {
  Json json{{"n", step.count},
            {"cpu", step.resources.processor.Count()},
            {"mem", step.resources.memory.Count()},
            {"ms", ToMilliseconds(step.estimate)}};
  AddUnlessDefault<std::uint64_t>(json, "acc",
                                  step.resources.accelerators.Count(), 0);
  AddUnlessDefault(json, "after", step.depends_on, {});
  AddUnlessDefault(json, "save", step.writes_checkpoints, false);
  AddUnlessDefault(json, "gang", step.is_gang, false);
  AddUnlessDefault(json, "one_rack", step.same_rack, false);
  AddUnlessDefault(json, "copies", step.is_speculative, false);
  AddUnlessDefault(json, "lasts", step.is_long_running, false);
  AddUnlessDefault(json, "fills", step.is_best_effort, false);
  AddUnlessDefault<std::string>(json, "label", step.required_label, "");
  AddUnlessDefault<std::string>(json, "rack", step.preferred_rack, "");
  AddUnlessDefault(json, "per_worker", step.max_per_worker, 0U);
  if (step.max_unavailable) {
    json["away"] = *step.max_unavailable;
  }
  AddUnlessDefault<std::string>(json, "image", step.image, "");
  AddUnlessDefault<std::int64_t>(json, "tail_ms",
                                 ToMilliseconds(step.latency_target), 0);
  return json;
}

job::Step DecodeStep(const Json& json) {
  job::Step step;
  step.count = json.at("n");
  step.resources.processor = core::MilliCores(json.at("cpu"));
  step.resources.memory = core::Megabytes(json.at("mem"));
  step.resources.accelerators =
      core::Accelerators(json.value("acc", std::uint64_t{0}));
  step.estimate = std::chrono::milliseconds(json.at("ms").get<std::int64_t>());
  step.depends_on = json.value("after", step.depends_on);
  step.writes_checkpoints = json.value("save", false);
  step.is_gang = json.value("gang", false);
  step.same_rack = json.value("one_rack", false);
  step.is_speculative = json.value("copies", false);
  step.is_long_running = json.value("lasts", false);
  step.is_best_effort = json.value("fills", false);
  step.required_label = json.value("label", "");
  step.preferred_rack = json.value("rack", "");
  step.max_per_worker = json.value("per_worker", 0U);
  if (json.contains("away")) {
    step.max_unavailable = json.at("away").get<std::uint32_t>();
  }
  step.image = json.value("image", "");
  step.latency_target =
      std::chrono::milliseconds(json.value("tail_ms", std::int64_t{0}));
  return step;
}

}  // namespace internal

using internal::Json;

std::string EncodeJob(const job::AcceptedJob& job) {
  Json steps = Json::array();
  for (const job::Step& step : job.spec.steps) {
    steps.push_back(internal::EncodeStep(step));
  }
  Json json{{"v", internal::kFormatVersion},
            {"id", job.id.Text()},
            {"queue", job.queue.Text()},
            {"at", internal::ToMilliseconds(job.accepted_at)},
            {"payload", job.spec.payload},
            {"steps", std::move(steps)}};
  if (job.spec.schedule.occurrence_count > 0) {
    json["times"] = {job.spec.schedule.occurrence_count,
                     internal::ToMilliseconds(job.spec.schedule.first),
                     job.spec.schedule.interval.count()};
  }
  return internal::ToCbor(json);
}

core::Result<job::AcceptedJob> DecodeJob(std::string_view bytes) {
  return internal::Decode<job::AcceptedJob>(
      bytes, "job record",
      [](const Json& json) -> core::Result<job::AcceptedJob> {
        job::AcceptedJob job;
        BOOST_LEAF_ASSIGN(
            job.id, core::JobId::Create(json.at("id").get<std::string>()));
        BOOST_LEAF_ASSIGN(job.queue, core::QueueId::Create(
                                         json.at("queue").get<std::string>()));
        job.accepted_at = internal::ToWallTime(json.at("at"));
        job.spec.payload = json.at("payload");
        for (const Json& step : json.at("steps")) {
          job.spec.steps.push_back(internal::DecodeStep(step));
        }
        if (json.contains("times")) {
          const Json& times = json.at("times");
          job.spec.schedule.occurrence_count = times.at(0);
          job.spec.schedule.first = internal::ToWallTime(times.at(1));
          job.spec.schedule.interval =
              std::chrono::milliseconds(times.at(2).get<std::int64_t>());
        }
        BOOST_LEAF_CHECK(job::Validate(job.spec));
        return job;
      });
}

std::string EncodeJobEnd(const core::QueueId& queue, job::JobState state) {
  // An array, whose first byte distinguishes it from an accepted job, which is
  // a map. Kept short, since most records in the store are of ended jobs.
  return internal::ToCbor(
      {internal::kFormatVersion, static_cast<int>(state), queue.Text()});
}

bool IsJobEnd(std::string_view bytes) {
  constexpr int kMajorTypeShift = 5;
  constexpr int kArrayMajorType = 4;
  return !bytes.empty() &&
         static_cast<unsigned char>(bytes.front()) >> kMajorTypeShift ==
             kArrayMajorType;
}

core::Result<job::JobEnded> DecodeJobEnd(std::string_view bytes) {
  try {
    const Json json = Json::from_cbor(bytes.begin(), bytes.end());
    job::JobEnded end;
    const int state = json.at(1);
    if (json.at(0) != internal::kFormatVersion || state < 0 ||
        state > internal::kLastState) {
      return core::Fail(core::Operation::kDecodeMessage, "end record",
                        "unknown format version or state");
    }
    end.state = static_cast<job::JobState>(state);
    BOOST_LEAF_ASSIGN(end.queue,
                      core::QueueId::Create(json.at(2).get<std::string>()));
    return end;
  } catch (const Json::exception& error) {
    return core::Fail(core::Operation::kDecodeMessage, "end record",
                      error.what());
  }
}

namespace internal {

Json EncodeCooldowns(const std::vector<job::MachineCooldown>& cooldowns) {
  Json rows = Json::array();
  for (const job::MachineCooldown& item : cooldowns) {
    rows.push_back({item.machine.Text(), item.cooldown_remaining.count()});
  }
  return rows;
}

core::Result<std::vector<job::MachineCooldown>> DecodeCooldowns(
    const Json& rows) {
  std::vector<job::MachineCooldown> cooldowns;
  cooldowns.reserve(rows.size());
  for (const Json& row : rows) {
    BOOST_LEAF_AUTO(machine,
                    core::MachineId::Create(row.at(0).get<std::string>()));
    cooldowns.push_back(
        {std::move(machine),
         std::chrono::milliseconds(row.at(1).get<std::int64_t>())});
  }
  return cooldowns;
}

Json EncodeOpenStart(const job::OpenStart& start) {
  return {start.task.job.Text(),        start.task.key.occurrence,
          start.task.key.step,          start.task.key.index,
          start.attempt.Count(),        start.worker.Text(),
          start.executable_for.count(), start.settled_in.count()};
}

}  // namespace internal

std::string EncodeHandoverState(const job::HandoverState& handover) {
  Json workers = Json::array();
  for (const job::LeasedWorker& worker : handover.workers) {
    workers.push_back({worker.worker.Text(), worker.incarnation.Count(),
                       worker.pool.Text(), worker.lease_remaining.count()});
  }
  Json waves = Json::array();
  for (const job::WaveProgress& wave : handover.fleet.waves) {
    Json started_machines = Json::array();
    for (const core::MachineId& machine : wave.started_machines) {
      started_machines.push_back(machine.Text());
    }
    waves.push_back({wave.wave.Count(), std::move(started_machines)});
  }
  Json pools = Json::array();
  for (const job::PoolSize& pool : handover.fleet.pools) {
    pools.push_back({pool.pool.Text(), pool.machines});
  }
  Json json{{"v", internal::kFormatVersion},
            {"workers", std::move(workers)},
            {"waves", std::move(waves)},
            {"pools", std::move(pools)}};
  internal::AddUnlessDefault(json, "placed", handover.has_current_placements,
                             false);
  internal::AddUnlessDefault(json, "leader", handover.leader.Count(),
                             std::uint64_t{0});
  if (!handover.open_starts.empty()) {
    Json& starts = json["starts"] = Json::array();
    for (const job::OpenStart& start : handover.open_starts) {
      starts.push_back(internal::EncodeOpenStart(start));
    }
  }
  internal::AddUnlessDefault(json, "all_starts", handover.has_all_open_starts,
                             false);
  if (handover.fleet.machine_cooldowns) {
    json["orders"] =
        internal::EncodeCooldowns(*handover.fleet.machine_cooldowns);
  }
  return internal::ToCbor(json);
}

namespace internal {

core::Result<job::LeasedWorker> DecodeLeasedWorker(const Json& row) {
  job::LeasedWorker worker;
  BOOST_LEAF_ASSIGN(worker.worker,
                    core::InstanceId::Create(row.at(0).get<std::string>()));
  worker.incarnation = core::Incarnation(row.at(1).get<std::uint64_t>());
  BOOST_LEAF_ASSIGN(worker.pool,
                    core::PoolId::Create(row.at(2).get<std::string>()));
  worker.lease_remaining =
      std::chrono::milliseconds(row.at(3).get<std::int64_t>());
  return worker;
}

core::Result<job::OpenStart> DecodeOpenStart(const Json& row) {
  std::size_t next = 0;
  job::OpenStart start;
  BOOST_LEAF_ASSIGN(start.task.job,
                    core::JobId::Create(row.at(next++).get<std::string>()));
  start.task.key.occurrence = row.at(next++);
  start.task.key.step = row.at(next++);
  start.task.key.index = row.at(next++);
  start.attempt = core::Attempt(row.at(next++).get<std::uint64_t>());
  BOOST_LEAF_ASSIGN(start.worker, core::InstanceId::Create(
                                      row.at(next++).get<std::string>()));
  start.executable_for =
      std::chrono::milliseconds(row.at(next++).get<std::int64_t>());
  start.settled_in =
      std::chrono::milliseconds(row.at(next++).get<std::int64_t>());
  return start;
}

core::Result<job::WaveProgress> DecodeWaveProgress(const Json& row) {
  job::WaveProgress progress;
  progress.wave = core::WaveNumber(row.at(0).get<std::uint64_t>());
  for (const Json& machine : row.at(1)) {
    BOOST_LEAF_AUTO(id, core::MachineId::Create(machine.get<std::string>()));
    progress.started_machines.push_back(std::move(id));
  }
  return progress;
}

}  // namespace internal

core::Result<job::HandoverState> DecodeHandoverState(std::string_view bytes) {
  return internal::Decode<job::HandoverState>(
      bytes, "handover state record",
      [](const Json& json) -> core::Result<job::HandoverState> {
        job::HandoverState handover;
        handover.has_current_placements = json.value("placed", false);
        handover.leader =
            core::FencingToken(json.value("leader", std::uint64_t{0}));
        for (const Json& row : json.at("workers")) {
          BOOST_LEAF_AUTO(worker, internal::DecodeLeasedWorker(row));
          handover.workers.push_back(std::move(worker));
        }
        // Versions that store no open starts leave both out.
        if (json.contains("starts")) {
          for (const Json& row : json.at("starts")) {
            BOOST_LEAF_AUTO(start, internal::DecodeOpenStart(row));
            handover.open_starts.push_back(std::move(start));
          }
        }
        handover.has_all_open_starts = json.value("all_starts", false);
        for (const Json& row : json.at("waves")) {
          BOOST_LEAF_AUTO(progress, internal::DecodeWaveProgress(row));
          handover.fleet.waves.push_back(std::move(progress));
        }
        if (json.contains("orders")) {
          BOOST_LEAF_ASSIGN(handover.fleet.machine_cooldowns,
                            internal::DecodeCooldowns(json.at("orders")));
        }
        for (const Json& row : json.at("pools")) {
          BOOST_LEAF_AUTO(pool,
                          core::PoolId::Create(row.at(0).get<std::string>()));
          handover.fleet.pools.push_back(
              {std::move(pool), row.at(1).get<std::uint32_t>()});
        }
        return handover;
      });
}

namespace internal {

Json EncodeMachineIds(const std::vector<core::MachineId>& machines) {
  Json ids = Json::array();
  for (const core::MachineId& machine : machines) {
    ids.push_back(machine.Text());
  }
  return ids;
}

core::Result<std::vector<core::MachineId>> DecodeMachineIds(const Json& ids) {
  std::vector<core::MachineId> machines;
  machines.reserve(ids.size());
  for (const Json& text : ids) {
    BOOST_LEAF_AUTO(id, core::MachineId::Create(text.get<std::string>()));
    machines.push_back(std::move(id));
  }
  return machines;
}

}  // namespace internal

std::string EncodeCommandedMachines(const job::CommandedMachines& machines) {
  return internal::ToCbor(
      {{"v", internal::kFormatVersion},
       {"leader", machines.leader.Count()},
       {"open", internal::EncodeMachineIds(machines.open)},
       {"answered", internal::EncodeCooldowns(machines.answered)},
       {"others", machines.may_include_others}});
}

core::Result<job::CommandedMachines> DecodeCommandedMachines(
    std::string_view bytes) {
  return internal::Decode<job::CommandedMachines>(
      bytes, "commanded machines record",
      [](const Json& json) -> core::Result<job::CommandedMachines> {
        job::CommandedMachines machines;
        machines.leader =
            core::FencingToken(json.at("leader").get<std::uint64_t>());
        BOOST_LEAF_ASSIGN(machines.open,
                          internal::DecodeMachineIds(json.at("open")));
        BOOST_LEAF_ASSIGN(machines.answered,
                          internal::DecodeCooldowns(json.at("answered")));
        machines.may_include_others = json.at("others").get<bool>();
        return machines;
      });
}

std::string EncodeHolder(const leadership::HolderIdentity& holder) {
  return internal::ToCbor({{"v", internal::kFormatVersion},
                           {"instance", holder.instance},
                           {"life", holder.incarnation}});
}

core::Result<leadership::HolderIdentity> DecodeHolder(std::string_view bytes) {
  return internal::Decode<leadership::HolderIdentity>(
      bytes, "holder record",
      [](const Json& json) -> core::Result<leadership::HolderIdentity> {
        return leadership::HolderIdentity{json.at("instance"), json.at("life")};
      });
}

}  // namespace crocusmast::adapters::records
