#include "crocusmast/adapters/records/job_records.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <random>

#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
namespace records = adapters::records;
using test::MakeId;
using test::MakeStep;

class JobRecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobRecordsTest);
  CPPUNIT_TEST(JobRoundTrips);
  CPPUNIT_TEST(ProgressRoundTrips);
  CPPUNIT_TEST(ProgressWithoutPlacementsIsDecoded);
  CPPUNIT_TEST(ProgressWithPlacementsIsReadableByEarlierVersions);
  CPPUNIT_TEST(CrashedAttemptsRoundTrip);
  CPPUNIT_TEST(StartedPoolsRoundTrip);
  CPPUNIT_TEST(JobEndIsDistinguishedFromJob);
  CPPUNIT_TEST(BatchRoundTrips);
  CPPUNIT_TEST(DamagedBatchEntryLosesItselfAlone);
  CPPUNIT_TEST(HandoverStateAndHolderRoundTrip);
  CPPUNIT_TEST(OpenStartsRoundTrip);
  CPPUNIT_TEST(CommandedMachinesRoundTrip);
  CPPUNIT_TEST(DamagedBytesGiveJobOrError);
  CPPUNIT_TEST_SUITE_END();

 public:
  static job::AcceptedJob MakeJobWithAllFields() {
    job::Step step = MakeStep(4, 500, {0});
    step.resources.accelerators = core::Accelerators(2);
    step.writes_checkpoints = true;
    step.is_gang = true;
    step.same_rack = true;
    step.is_speculative = true;
    step.is_long_running = true;
    step.is_best_effort = true;
    step.required_label = "kind";
    step.preferred_rack = "rack-1";
    step.max_per_worker = 2;
    step.max_unavailable = 1;
    step.image = "image";
    step.latency_target = std::chrono::milliseconds(70);
    job::AcceptedJob job =
        test::MakeJob("0123456789abcdef", {MakeStep(1), step});
    job.accepted_at = core::WallTime(std::chrono::milliseconds(1234567));
    job.spec.schedule = {3, core::WallTime(std::chrono::milliseconds(99)),
                         std::chrono::milliseconds(50)};
    return job;
  }

  static std::vector<job::ProgressWrite> MakeBatch() {
    job::ProgressWrite running;
    running.id = MakeId<core::JobId>("0123456789abcdef");
    running.progress.state = job::JobState::kRunning;
    running.progress.opened_count = 1;
    running.progress.open_occurrences.push_back({0, {{{true, false}, {}}}});
    job::ProgressWrite ended = running;
    ended.id = MakeId<core::JobId>("00000000000000ff");
    ended.progress.state = job::JobState::kSucceeded;
    return {running, ended};
  }

  void JobRoundTrips() {
    const std::string bytes = records::EncodeJob(MakeJobWithAllFields());
    const job::AcceptedJob decoded = records::DecodeJob(bytes).value();
    CPPUNIT_ASSERT(decoded.spec.steps[1].max_unavailable == 1U);
    CPPUNIT_ASSERT(!decoded.spec.steps[0].max_unavailable);
    CPPUNIT_ASSERT(decoded.accepted_at == MakeJobWithAllFields().accepted_at);
    // Encoding the decoded job again compares every field.
    CPPUNIT_ASSERT(records::EncodeJob(decoded) == bytes);
  }

  void BatchRoundTrips() {
    const records::DecodedBatch decoded =
        records::DecodeBatch(records::EncodeBatch(MakeBatch()));
    CPPUNIT_ASSERT(decoded.errors.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decoded.progress.size());
    CPPUNIT_ASSERT(decoded.progress[0].id.Text() == "0123456789abcdef");
    CPPUNIT_ASSERT(records::EncodeProgress(decoded.progress[0].progress) ==
                   records::EncodeProgress(MakeBatch()[0].progress));
    CPPUNIT_ASSERT(decoded.progress[1].progress.state ==
                   job::JobState::kSucceeded);
    // Of an ended job only the state is stored.
    CPPUNIT_ASSERT(decoded.progress[1].progress.open_occurrences.empty());
  }

  void DamagedBatchEntryLosesItselfAlone() {
    std::string bytes = records::EncodeBatch(MakeBatch());
    const std::string id = "0123456789abcdef";
    // An id that is too short for a job, in text of the same length.
    bytes.replace(bytes.find(id), id.size(), std::string(id.size(), ' '));
    const records::DecodedBatch decoded = records::DecodeBatch(bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded.errors.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded.progress.size());
    CPPUNIT_ASSERT(decoded.progress[0].id.Text() == "00000000000000ff");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         records::DecodeBatch("no record").errors.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         records::DecodeBatch("").errors.size());
  }

  void JobEndIsDistinguishedFromJob() {
    const auto queue = MakeId<core::QueueId>("queue");
    const std::string bytes =
        records::EncodeJobEnd(queue, job::JobState::kFailed);
    CPPUNIT_ASSERT(records::IsJobEnd(bytes));
    CPPUNIT_ASSERT(
        !records::IsJobEnd(records::EncodeJob(MakeJobWithAllFields())));
    CPPUNIT_ASSERT(!records::IsJobEnd(""));
    const job::JobEnded end = records::DecodeJobEnd(bytes).value();
    CPPUNIT_ASSERT(end.queue == queue);
    CPPUNIT_ASSERT(end.state == job::JobState::kFailed);
    // Format version 1, the unknown state 9, the queue "q".
    CPPUNIT_ASSERT(!records::DecodeJobEnd("\x83\x01\x09\x61q"));
    CPPUNIT_ASSERT(!records::DecodeJobEnd(bytes.substr(0, bytes.size() - 2)));
  }

  void ProgressRoundTrips() {
    job::JobProgress progress;
    progress.state = job::JobState::kRunning;
    progress.opened_count = 2;
    progress.open_occurrences = {
        {1,
         {{{true, false, true},
           {{1, core::Attempt(7), {core::Attempt(3)}, "saved", {}}}}}}};
    const std::string bytes = records::EncodeProgress(progress);
    const job::JobProgress decoded = records::DecodeProgress(bytes).value();
    CPPUNIT_ASSERT(decoded.open_occurrences[0].steps[0].done ==
                   std::vector<bool>({true, false, true}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("saved"),
        decoded.open_occurrences[0].steps[0].tasks[0].checkpoint);
    CPPUNIT_ASSERT(records::EncodeProgress(decoded) == bytes);
    CPPUNIT_ASSERT(!decoded.placements);
    CPPUNIT_ASSERT(decoded.has_begun);
    progress.has_begun = false;
    CPPUNIT_ASSERT(!records::DecodeProgress(records::EncodeProgress(progress))
                        .value()
                        .has_begun);
    progress.placements.emplace();
    CPPUNIT_ASSERT(records::DecodeProgress(records::EncodeProgress(progress))
                       .value()
                       .placements->empty());
    progress.placements->push_back(
        {{1, 0, 2}, MakeId<core::InstanceId>("w-1"), core::Incarnation(5)});
    const std::string placed = records::EncodeProgress(progress);
    const job::JobProgress with_placements =
        records::DecodeProgress(placed).value();
    const job::TaskPlacement& placement = with_placements.placements->at(0);
    CPPUNIT_ASSERT(placement.task == job::TaskKey({1, 0, 2}));
    CPPUNIT_ASSERT(placement.worker == MakeId<core::InstanceId>("w-1"));
    CPPUNIT_ASSERT(placement.incarnation == core::Incarnation(5));
    CPPUNIT_ASSERT(!placement.open_attempt);
    CPPUNIT_ASSERT(records::EncodeProgress(with_placements) == placed);
    progress.placements->front().open_attempt = core::Attempt(3);
    const job::JobProgress with_open_start =
        records::DecodeProgress(records::EncodeProgress(progress)).value();
    CPPUNIT_ASSERT(core::Attempt(3) ==
                   *with_open_start.placements->at(0).open_attempt);
  }

  // A record as earlier versions wrote it.
  void ProgressWithoutPlacementsIsDecoded() {
    std::string bytes;
    nlohmann::json::to_cbor(nlohmann::json::parse(R"({
      "v": 1, "state": 1, "opened": 1,
      "open": [[0, [["00", [[1, 7, [3], "saved"]]]]]]
    })"),
                            bytes);
    const job::JobProgress decoded = records::DecodeProgress(bytes).value();
    CPPUNIT_ASSERT(!decoded.placements);
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{7},
        decoded.open_occurrences[0].steps[0].tasks[0].attempt.Count());
  }

  // Earlier versions read four fields by name and ignore further ones.
  void ProgressWithPlacementsIsReadableByEarlierVersions() {
    job::JobProgress progress;
    progress.state = job::JobState::kRunning;
    progress.placements.emplace();
    const std::string bytes = records::EncodeProgress(progress);
    const nlohmann::json json = nlohmann::json::from_cbor(bytes);
    CPPUNIT_ASSERT_EQUAL(1, json.at("v").get<int>());
    for (const char* name : {"state", "opened", "open"}) {
      CPPUNIT_ASSERT(json.contains(name));
    }
  }

  void StartedPoolsRoundTrip() {
    job::JobProgress progress;
    progress.state = job::JobState::kRunning;
    const auto decode = [&progress] {
      return records::DecodeProgress(records::EncodeProgress(progress))
          .value()
          .pools;
    };
    CPPUNIT_ASSERT(!decode());
    progress.pools = {MakeId<core::PoolId>("pool"),
                      MakeId<core::PoolId>("other")};
    CPPUNIT_ASSERT(decode() == progress.pools);
  }

  // A successor counted the crashes under a task from zero.
  void CrashedAttemptsRoundTrip() {
    job::JobProgress progress;
    progress.state = job::JobState::kRunning;
    progress.open_occurrences = {
        {0, {{{false}, {{0, core::Attempt(7), {}, "", {}}}}}}};
    const std::string without = records::EncodeProgress(progress);
    const auto decode = [](const std::string& bytes) {
      return records::DecodeProgress(bytes)
          .value()
          .open_occurrences[0]
          .steps[0]
          .tasks[0]
          .crashed_attempts;
    };
    CPPUNIT_ASSERT(decode(without).empty());
    const std::vector<core::Attempt> attempts{core::Attempt(5),
                                              core::Attempt(7)};
    progress.open_occurrences[0].steps[0].tasks[0].crashed_attempts = attempts;
    const std::string with = records::EncodeProgress(progress);
    CPPUNIT_ASSERT(with.size() > without.size());
    CPPUNIT_ASSERT(decode(with) == attempts);
  }

  void HandoverStateAndHolderRoundTrip() {
    job::HandoverState handover;
    handover.workers = {{MakeId<core::InstanceId>("w-1"), core::Incarnation(5),
                         MakeId<core::PoolId>("pool"),
                         std::chrono::milliseconds(4321)}};
    handover.fleet.waves = {
        {core::WaveNumber(3), {MakeId<core::MachineId>("m-1")}}};
    handover.fleet.pools = {{MakeId<core::PoolId>("pool"), 9}};
    const job::HandoverState decoded =
        records::DecodeHandoverState(records::EncodeHandoverState(handover))
            .value();
    CPPUNIT_ASSERT(!decoded.has_current_placements);
    handover.has_current_placements = true;
    CPPUNIT_ASSERT(
        records::DecodeHandoverState(records::EncodeHandoverState(handover))
            .value()
            .has_current_placements);
    CPPUNIT_ASSERT(decoded.workers[0].lease_remaining ==
                   std::chrono::milliseconds(4321));
    CPPUNIT_ASSERT(decoded.fleet.waves[0].started_machines ==
                   handover.fleet.waves[0].started_machines);
    CPPUNIT_ASSERT_EQUAL(9U, decoded.fleet.pools[0].machines);
    const leadership::HolderIdentity holder{"instance", "life"};
    CPPUNIT_ASSERT(
        records::DecodeHolder(records::EncodeHolder(holder)).value() == holder);
  }

  // Versions that store no open starts leave them out.
  void OpenStartsRoundTrip() {
    job::HandoverState handover;
    const std::string without = records::EncodeHandoverState(handover);
    const job::HandoverState earlier =
        records::DecodeHandoverState(without).value();
    CPPUNIT_ASSERT(earlier.open_starts.empty());
    CPPUNIT_ASSERT(!earlier.has_all_open_starts);
    handover.open_starts = {
        {{MakeId<core::JobId>("0123456789abcdef"), {1, 2, 3}},
         core::Attempt(7),
         MakeId<core::InstanceId>("w-1"),
         std::chrono::milliseconds(14000),
         std::chrono::milliseconds(20180)}};
    handover.has_all_open_starts = true;
    const job::HandoverState decoded =
        records::DecodeHandoverState(records::EncodeHandoverState(handover))
            .value();
    CPPUNIT_ASSERT(decoded.has_all_open_starts);
    const job::OpenStart& start = decoded.open_starts.at(0);
    CPPUNIT_ASSERT(start.task == handover.open_starts[0].task);
    CPPUNIT_ASSERT(core::Attempt(7) == start.attempt);
    CPPUNIT_ASSERT(MakeId<core::InstanceId>("w-1") == start.worker);
    CPPUNIT_ASSERT(std::chrono::milliseconds(14000) == start.executable_for);
    CPPUNIT_ASSERT(std::chrono::milliseconds(20180) == start.settled_in);
  }

  void CommandedMachinesRoundTrip() {
    job::HandoverState handover;
    handover.leader = core::FencingToken(7);
    CPPUNIT_ASSERT(
        records::DecodeHandoverState(records::EncodeHandoverState(handover))
            .value()
            .leader == handover.leader);
    job::CommandedMachines machines;
    machines.leader = core::FencingToken(7);
    machines.open = {MakeId<core::MachineId>("m-1"),
                     MakeId<core::MachineId>("m-2")};
    machines.answered = {
        {MakeId<core::MachineId>("m-3"), std::chrono::milliseconds(2500)}};
    machines.may_include_others = true;
    const job::CommandedMachines decoded =
        records::DecodeCommandedMachines(
            records::EncodeCommandedMachines(machines))
            .value();
    CPPUNIT_ASSERT(decoded.leader == machines.leader);
    CPPUNIT_ASSERT(decoded.open == machines.open);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded.answered.size());
    CPPUNIT_ASSERT(decoded.answered[0].machine == machines.answered[0].machine);
    CPPUNIT_ASSERT(decoded.answered[0].cooldown_remaining ==
                   machines.answered[0].cooldown_remaining);
    CPPUNIT_ASSERT(decoded.may_include_others);
    CPPUNIT_ASSERT(!records::DecodeCommandedMachines("damaged"));
  }

  // Truncates a record and overwrites bytes of it at random: decoding must give
  // a job or an error, never an exception or a crash.
  void DamagedBytesGiveJobOrError() {
    const std::string encoded = records::EncodeJob(MakeJobWithAllFields());
    std::mt19937 random(7);
    for (int round = 0; round < 20000; ++round) {
      std::string damaged = encoded.substr(0, random() % (encoded.size() + 1));
      for (int count = 0; count < 3 && !damaged.empty(); ++count) {
        damaged[random() % damaged.size()] = static_cast<char>(random());
      }
      core::Handle(
          [&damaged]() -> core::Result<void> {
            BOOST_LEAF_CHECK(records::DecodeJob(damaged));
            return {};
          },
          [](const core::Error& error) {
            CPPUNIT_ASSERT(!error.detail.empty());
          });
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(JobRecordsTest, "adapters");

}  // namespace
