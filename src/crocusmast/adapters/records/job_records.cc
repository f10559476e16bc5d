#include "crocusmast/adapters/records/job_records.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace crocusmast::adapters::records {
namespace internal {

using Json = nlohmann::json;

constexpr int kLayout = 1;

std::string ToBytes(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

/** @brief Decodes CBOR with a reader that may throw on a wrong type. */
template <typename T, typename Read>
core::Result<T> Decode(std::string_view bytes, const char* what, Read read) {
  try {
    const Json json = Json::from_cbor(bytes.begin(), bytes.end());
    if (!json.is_object() || json.at("v") != kLayout) {
      return core::Fail(core::Step::kDecodeMessage, what, "unknown layout");
    }
    return read(json);
  } catch (const Json::exception& problem) {
    return core::Fail(core::Step::kDecodeMessage, what, problem.what());
  }
}

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
void PutUnless(Json& json, const char* name, const T& value, const T& usual) {
  if (!(value == usual)) {
    json[name] = value;
  }
}

Json EncodeStep(const job::Step& step) {
  Json json{{"n", step.count},
            {"cpu", step.room.processor.Count()},
            {"mem", step.room.memory.Count()},
            {"ms", ToMilliseconds(step.estimate)}};
  PutUnless<std::uint64_t>(json, "acc", step.room.accelerators.Count(), 0);
  PutUnless(json, "after", step.after, {});
  PutUnless(json, "save", step.checkpointing, false);
  PutUnless(json, "gang", step.gang, false);
  PutUnless(json, "one_rack", step.same_rack, false);
  PutUnless(json, "copies", step.speculative, false);
  PutUnless(json, "lasts", step.long_running, false);
  PutUnless(json, "fills", step.is_filler, false);
  PutUnless<std::string>(json, "label", step.required_label, "");
  PutUnless<std::string>(json, "rack", step.near_rack, "");
  PutUnless(json, "per_worker", step.max_per_worker, 0U);
  if (step.max_unavailable) {
    json["away"] = *step.max_unavailable;
  }
  PutUnless<std::string>(json, "image", step.image, "");
  PutUnless<std::int64_t>(json, "tail_ms", ToMilliseconds(step.latency_target),
                          0);
  return json;
}

job::Step DecodeStep(const Json& json) {
  job::Step step;
  step.count = json.at("n");
  step.room.processor = core::MilliCores(json.at("cpu"));
  step.room.memory = core::Megabytes(json.at("mem"));
  step.room.accelerators =
      core::Accelerators(json.value("acc", std::uint64_t{0}));
  step.estimate = std::chrono::milliseconds(json.at("ms").get<std::int64_t>());
  step.after = json.value("after", step.after);
  step.checkpointing = json.value("save", false);
  step.gang = json.value("gang", false);
  step.same_rack = json.value("one_rack", false);
  step.speculative = json.value("copies", false);
  step.long_running = json.value("lasts", false);
  step.is_filler = json.value("fills", false);
  step.required_label = json.value("label", "");
  step.near_rack = json.value("rack", "");
  step.max_per_worker = json.value("per_worker", 0U);
  if (json.contains("away")) {
    step.max_unavailable = json.at("away").get<std::uint32_t>();
  }
  step.image = json.value("image", "");
  step.latency_target =
      std::chrono::milliseconds(json.value("tail_ms", std::int64_t{0}));
  return step;
}

Json EncodeTask(const job::TaskProgress& task) {
  Json failed = Json::array();
  for (const core::Attempt attempt : task.failed) {
    failed.push_back(attempt.Count());
  }
  return {task.index, task.attempt.Count(), std::move(failed), task.checkpoint};
}

job::TaskProgress DecodeTask(const Json& json) {
  job::TaskProgress task;
  task.index = json.at(0);
  task.attempt = core::Attempt(json.at(1).get<std::uint64_t>());
  for (const Json& attempt : json.at(2)) {
    task.failed.emplace_back(attempt.get<std::uint64_t>());
  }
  task.checkpoint = json.at(3);
  return task;
}

Json EncodeStep(const job::StepProgress& step) {
  Json tasks = Json::array();
  for (const job::TaskProgress& task : step.tasks) {
    tasks.push_back(EncodeTask(task));
  }
  std::string done;
  done.reserve(step.done.size());
  for (const bool is_done : step.done) {
    done.push_back(is_done ? '1' : '0');
  }
  return {done, tasks};
}

job::StepProgress DecodeStepProgress(const Json& json) {
  job::StepProgress step;
  for (const char is_done : json.at(0).get<std::string>()) {
    step.done.push_back(is_done == '1');
  }
  for (const Json& task : json.at(1)) {
    step.tasks.push_back(DecodeTask(task));
  }
  return step;
}

constexpr int kLastState = static_cast<int>(job::JobState::kCancelled);

}  // namespace internal

using internal::Json;

std::string EncodeJob(const job::AcceptedJob& job) {
  Json steps = Json::array();
  for (const job::Step& step : job.spec.steps) {
    steps.push_back(internal::EncodeStep(step));
  }
  Json json{{"v", internal::kLayout},
            {"id", job.id.Text()},
            {"queue", job.queue.Text()},
            {"at", internal::ToMilliseconds(job.accepted_at)},
            {"payload", job.spec.payload},
            {"steps", std::move(steps)}};
  if (job.spec.schedule.times > 0) {
    json["times"] = {job.spec.schedule.times,
                     internal::ToMilliseconds(job.spec.schedule.first),
                     job.spec.schedule.interval.count()};
  }
  return internal::ToBytes(json);
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
          job.spec.schedule.times = times.at(0);
          job.spec.schedule.first = internal::ToWallTime(times.at(1));
          job.spec.schedule.interval =
              std::chrono::milliseconds(times.at(2).get<std::int64_t>());
        }
        BOOST_LEAF_CHECK(job::Validate(job.spec));
        return job;
      });
}

std::string EncodeProgress(const job::JobProgress& progress) {
  Json open = Json::array();
  for (const job::OccurrenceProgress& occurrence : progress.open) {
    Json steps = Json::array();
    for (const job::StepProgress& step : occurrence.steps) {
      steps.push_back(internal::EncodeStep(step));
    }
    open.push_back({occurrence.number, std::move(steps)});
  }
  return internal::ToBytes({{"v", internal::kLayout},
                            {"state", static_cast<int>(progress.state)},
                            {"opened", progress.opened},
                            {"open", std::move(open)}});
}

core::Result<job::JobProgress> DecodeProgress(std::string_view bytes) {
  return internal::Decode<job::JobProgress>(
      bytes, "progress record",
      [](const Json& json) -> core::Result<job::JobProgress> {
        job::JobProgress progress;
        const int state = json.at("state");
        if (state < 0 || state > internal::kLastState) {
          return core::Fail(core::Step::kDecodeMessage, "progress record",
                            "unknown state " + std::to_string(state));
        }
        progress.state = static_cast<job::JobState>(state);
        progress.opened = json.at("opened");
        for (const Json& open : json.at("open")) {
          job::OccurrenceProgress& occurrence = progress.open.emplace_back();
          occurrence.number = open.at(0);
          for (const Json& step : open.at(1)) {
            occurrence.steps.push_back(internal::DecodeStepProgress(step));
          }
        }
        return progress;
      });
}

std::string EncodeEnd(const core::QueueId& queue, job::JobState state) {
  // An array, so that it is told apart from a job by its first byte, and short:
  // most of what the store holds are ended jobs.
  return internal::ToBytes(
      {internal::kLayout, static_cast<int>(state), queue.Text()});
}

bool IsEnd(std::string_view bytes) {
  constexpr int kMajorTypeShift = 5;
  constexpr int kArray = 4;
  return !bytes.empty() &&
         static_cast<unsigned char>(bytes.front()) >> kMajorTypeShift == kArray;
}

core::Result<job::JobEnded> DecodeEnd(std::string_view bytes) {
  try {
    const Json json = Json::from_cbor(bytes.begin(), bytes.end());
    job::JobEnded end;
    const int state = json.at(1);
    if (json.at(0) != internal::kLayout || state < 0 ||
        state > internal::kLastState) {
      return core::Fail(core::Step::kDecodeMessage, "end record",
                        "unknown layout or state");
    }
    end.state = static_cast<job::JobState>(state);
    BOOST_LEAF_ASSIGN(end.queue,
                      core::QueueId::Create(json.at(2).get<std::string>()));
    return end;
  } catch (const Json::exception& problem) {
    return core::Fail(core::Step::kDecodeMessage, "end record", problem.what());
  }
}

std::string EncodeNotes(const job::HolderNotes& notes) {
  Json workers = Json::array();
  for (const job::GrantedWorker& grant : notes.workers) {
    workers.push_back({grant.worker.Text(), grant.incarnation.Count(),
                       grant.pool.Text(), grant.lease_left.count()});
  }
  Json waves = Json::array();
  for (const job::WaveNote& note : notes.fleet.waves) {
    Json begun = Json::array();
    for (const core::MachineId& machine : note.begun) {
      begun.push_back(machine.Text());
    }
    waves.push_back({note.wave.Count(), std::move(begun)});
  }
  Json pools = Json::array();
  for (const job::PoolNote& note : notes.fleet.pools) {
    pools.push_back({note.pool.Text(), note.machines});
  }
  Json json{{"v", internal::kLayout},
            {"workers", std::move(workers)},
            {"waves", std::move(waves)},
            {"pools", std::move(pools)}};
  if (notes.fleet.last_orders) {
    Json& orders = json["orders"] = Json::array();
    for (const job::OrderNote& order : *notes.fleet.last_orders) {
      orders.push_back({order.machine.Text(), order.closed_for.count()});
    }
  }
  return internal::ToBytes(json);
}

namespace internal {

core::Result<job::GrantedWorker> DecodeGrant(const Json& row) {
  job::GrantedWorker grant;
  BOOST_LEAF_ASSIGN(grant.worker,
                    core::InstanceId::Create(row.at(0).get<std::string>()));
  grant.incarnation = core::Incarnation(row.at(1).get<std::uint64_t>());
  BOOST_LEAF_ASSIGN(grant.pool,
                    core::PoolId::Create(row.at(2).get<std::string>()));
  grant.lease_left = std::chrono::milliseconds(row.at(3).get<std::int64_t>());
  return grant;
}

core::Result<job::WaveNote> DecodeWave(const Json& row) {
  job::WaveNote note;
  note.wave = core::WaveNumber(row.at(0).get<std::uint64_t>());
  for (const Json& machine : row.at(1)) {
    BOOST_LEAF_AUTO(id, core::MachineId::Create(machine.get<std::string>()));
    note.begun.push_back(std::move(id));
  }
  return note;
}

}  // namespace internal

core::Result<job::HolderNotes> DecodeNotes(std::string_view bytes) {
  return internal::Decode<job::HolderNotes>(
      bytes, "holder's notes",
      [](const Json& json) -> core::Result<job::HolderNotes> {
        job::HolderNotes notes;
        for (const Json& row : json.at("workers")) {
          BOOST_LEAF_AUTO(grant, internal::DecodeGrant(row));
          notes.workers.push_back(std::move(grant));
        }
        for (const Json& row : json.at("waves")) {
          BOOST_LEAF_AUTO(note, internal::DecodeWave(row));
          notes.fleet.waves.push_back(std::move(note));
        }
        if (json.contains("orders")) {
          notes.fleet.last_orders.emplace();
          for (const Json& row : json.at("orders")) {
            BOOST_LEAF_AUTO(
                machine, core::MachineId::Create(row.at(0).get<std::string>()));
            notes.fleet.last_orders->push_back(
                {std::move(machine),
                 std::chrono::milliseconds(row.at(1).get<std::int64_t>())});
          }
        }
        for (const Json& row : json.at("pools")) {
          BOOST_LEAF_AUTO(pool,
                          core::PoolId::Create(row.at(0).get<std::string>()));
          notes.fleet.pools.push_back(
              {std::move(pool), row.at(1).get<std::uint32_t>()});
        }
        return notes;
      });
}

std::string EncodeHolder(const leadership::Holder& holder) {
  return internal::ToBytes({{"v", internal::kLayout},
                            {"instance", holder.instance},
                            {"life", holder.life}});
}

core::Result<leadership::Holder> DecodeHolder(std::string_view bytes) {
  return internal::Decode<leadership::Holder>(
      bytes, "holder record",
      [](const Json& json) -> core::Result<leadership::Holder> {
        return leadership::Holder{json.at("instance"), json.at("life")};
      });
}

}  // namespace crocusmast::adapters::records
