#include <utility>

#include "crocusmast/adapters/records/cbor.h"
#include "crocusmast/adapters/records/job_records.h"

// Records of the progress of jobs.

namespace crocusmast::adapters::records {
namespace internal {

Json EncodeTaskProgress(const job::TaskProgress& task) {
  Json failed_attempts = Json::array();
  for (const core::Attempt attempt : task.failed_attempts) {
    failed_attempts.push_back(attempt.Count());
  }
  Json json{task.index, task.attempt.Count(), std::move(failed_attempts),
            task.checkpoint};
  if (!task.crashed_attempts.empty()) {
    Json& crashed_attempts = json.emplace_back(Json::array());
    for (const core::Attempt attempt : task.crashed_attempts) {
      crashed_attempts.push_back(attempt.Count());
    }
  }
  return json;
}

job::TaskProgress DecodeTaskProgress(const Json& json) {
  job::TaskProgress task;
  task.index = json.at(0);
  task.attempt = core::Attempt(json.at(1).get<std::uint64_t>());
  for (const Json& attempt : json.at(2)) {
    task.failed_attempts.emplace_back(attempt.get<std::uint64_t>());
  }
  task.checkpoint = json.at(3);
  // Records without crashed attempts have no fifth element.
  constexpr std::size_t kCrashedAttempts = 4;
  if (json.size() > kCrashedAttempts) {
    for (const Json& attempt : json.at(kCrashedAttempts)) {
      task.crashed_attempts.emplace_back(attempt.get<std::uint64_t>());
    }
  }
  return task;
}

Json EncodeStepProgress(const job::StepProgress& step) {
  Json tasks = Json::array();
  for (const job::TaskProgress& task : step.tasks) {
    tasks.push_back(EncodeTaskProgress(task));
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
    step.tasks.push_back(DecodeTaskProgress(task));
  }
  return step;
}

Json EncodePlacement(const job::TaskPlacement& placement) {
  Json json{placement.task.occurrence, placement.task.step,
            placement.task.index, placement.worker.Text(),
            placement.incarnation.Count()};
  if (placement.open_attempt) {
    json.push_back(placement.open_attempt->Count());
  }
  return json;
}

core::Result<job::TaskPlacement> DecodePlacement(const Json& row) {
  job::TaskPlacement placement;
  placement.task = {row.at(0).get<std::uint32_t>(),
                    row.at(1).get<std::uint32_t>(),
                    row.at(2).get<std::uint32_t>()};
  BOOST_LEAF_ASSIGN(placement.worker,
                    core::InstanceId::Create(row.at(3).get<std::string>()));
  placement.incarnation = core::Incarnation(row.at(4).get<std::uint64_t>());
  // Rows without an open start have no sixth element.
  constexpr std::size_t kOpenAttempt = 5;
  if (row.size() > kOpenAttempt) {
    placement.open_attempt =
        core::Attempt(row.at(kOpenAttempt).get<std::uint64_t>());
  }
  return placement;
}

}  // namespace internal

using internal::Json;

std::string EncodeProgress(const job::JobProgress& progress) {
  Json open_occurrences = Json::array();
  for (const job::OccurrenceProgress& occurrence : progress.open_occurrences) {
    Json steps = Json::array();
    for (const job::StepProgress& step : occurrence.steps) {
      steps.push_back(internal::EncodeStepProgress(step));
    }
    open_occurrences.push_back({occurrence.number, std::move(steps)});
  }
  Json json{{"v", internal::kFormatVersion},
            {"state", static_cast<int>(progress.state)},
            {"opened", progress.opened_count},
            {"open", std::move(open_occurrences)}};
  if (!progress.has_begun) {
    json["begun"] = false;
  }
  if (progress.placements) {
    Json& placements = json["placed"] = Json::array();
    for (const job::TaskPlacement& placement : *progress.placements) {
      placements.push_back(internal::EncodePlacement(placement));
    }
  }
  if (progress.pools) {
    Json& pools = json["pools"] = Json::array();
    for (const core::PoolId& pool : *progress.pools) {
      pools.push_back(pool.Text());
    }
  }
  return internal::ToCbor(json);
}

core::Result<job::JobProgress> DecodeProgress(std::string_view bytes) {
  return internal::Decode<job::JobProgress>(
      bytes, "progress record",
      [](const Json& json) -> core::Result<job::JobProgress> {
        job::JobProgress progress;
        const int state = json.at("state");
        if (state < 0 || state > internal::kLastState) {
          return core::Fail(core::Operation::kDecodeMessage, "progress record",
                            "unknown state " + std::to_string(state));
        }
        progress.state = static_cast<job::JobState>(state);
        progress.has_begun = json.value("begun", true);
        progress.opened_count = json.at("opened");
        for (const Json& occurrence_json : json.at("open")) {
          job::OccurrenceProgress& occurrence =
              progress.open_occurrences.emplace_back();
          occurrence.number = occurrence_json.at(0);
          for (const Json& step : occurrence_json.at(1)) {
            occurrence.steps.push_back(internal::DecodeStepProgress(step));
          }
        }
        if (json.contains("placed")) {
          progress.placements.emplace();
          for (const Json& row : json.at("placed")) {
            BOOST_LEAF_AUTO(placement, internal::DecodePlacement(row));
            progress.placements->push_back(std::move(placement));
          }
        }
        if (json.contains("pools")) {
          progress.pools.emplace();
          for (const Json& name : json.at("pools")) {
            BOOST_LEAF_AUTO(pool,
                            core::PoolId::Create(name.get<std::string>()));
            progress.pools->push_back(std::move(pool));
          }
        }
        return progress;
      });
}

std::string EncodeBatch(const std::vector<job::ProgressWrite>& batch) {
  Json jobs = Json::array();
  for (const job::ProgressWrite& write : batch) {
    job::JobProgress end;
    end.state = write.progress.state;
    const std::string progress =
        EncodeProgress(job::IsFinal(end.state) ? end : write.progress);
    // Bytes of their own, so that a damaged entry does not affect the others.
    jobs.push_back(
        {write.id.Text(), Json::binary({progress.begin(), progress.end()})});
  }
  return internal::ToCbor(
      {{"v", internal::kFormatVersion}, {"jobs", std::move(jobs)}});
}

namespace internal {

core::Result<job::ProgressStored> DecodeBatchEntry(const Json& entry) {
  try {
    job::ProgressStored stored;
    BOOST_LEAF_ASSIGN(stored.id,
                      core::JobId::Create(entry.at(0).get<std::string>()));
    const Json::binary_t& bytes = entry.at(1).get_binary();
    BOOST_LEAF_ASSIGN(stored.progress,
                      DecodeProgress(std::string(bytes.begin(), bytes.end())));
    return stored;
  } catch (const Json::exception& error) {
    return core::Fail(core::Operation::kDecodeMessage, "batch entry",
                      error.what());
  }
}

}  // namespace internal

DecodedBatch DecodeBatch(std::string_view bytes) {
  DecodedBatch batch;
  const auto add_error = [&batch](const core::Error& error) {
    batch.errors.push_back(Describe(error));
  };
  core::Handle(
      [&]() -> core::Result<void> {
        BOOST_LEAF_AUTO(jobs, internal::Decode<Json>(
                                  bytes, "batch record",
                                  [](const Json& json) -> core::Result<Json> {
                                    return json.at("jobs");
                                  }));
        for (const Json& entry : jobs) {
          core::Handle(
              [&]() -> core::Result<void> {
                BOOST_LEAF_AUTO(stored, internal::DecodeBatchEntry(entry));
                batch.progress.push_back(std::move(stored));
                return {};
              },
              add_error);
        }
        return {};
      },
      add_error);
  return batch;
}

}  // namespace crocusmast::adapters::records
