#include "crocusmast/adapters/records/job_records.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "test/support/job_fakes.h"

namespace {

using namespace crocusmast;
namespace records = adapters::records;
using test::MakeId;
using test::MakeStep;

class JobRecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobRecordsTest);
  CPPUNIT_TEST(JobsComeBackWhole);
  CPPUNIT_TEST(ProgressComesBackWhole);
  CPPUNIT_TEST(AnEndIsToldFromAJob);
  CPPUNIT_TEST(NotesComeBackWhole);
  CPPUNIT_TEST(DamageIsAnError);
  CPPUNIT_TEST_SUITE_END();

 public:
  static job::AcceptedJob Whole() {
    job::Step step = MakeStep(4, 500, {0});
    step.room.accelerators = core::Accelerators(2);
    step.checkpointing = true;
    step.gang = true;
    step.same_rack = true;
    step.speculative = true;
    step.long_running = true;
    step.is_filler = true;
    step.required_label = "kind";
    step.near_rack = "rack-1";
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

  void JobsComeBackWhole() {
    const std::string bytes = records::EncodeJob(Whole());
    const job::AcceptedJob read = records::DecodeJob(bytes).value();
    CPPUNIT_ASSERT(read.spec.steps[1].max_unavailable == 1U);
    CPPUNIT_ASSERT(!read.spec.steps[0].max_unavailable);
    CPPUNIT_ASSERT(read.accepted_at == Whole().accepted_at);
    // Every field is written again as it was.
    CPPUNIT_ASSERT(records::EncodeJob(read) == bytes);
  }

  void AnEndIsToldFromAJob() {
    const auto queue = MakeId<core::QueueId>("queue");
    const std::string bytes = records::EncodeEnd(queue, job::JobState::kFailed);
    CPPUNIT_ASSERT(records::IsEnd(bytes));
    CPPUNIT_ASSERT(!records::IsEnd(records::EncodeJob(Whole())));
    CPPUNIT_ASSERT(!records::IsEnd(""));
    const job::JobEnded end = records::DecodeEnd(bytes).value();
    CPPUNIT_ASSERT(end.queue == queue);
    CPPUNIT_ASSERT(end.state == job::JobState::kFailed);
    CPPUNIT_ASSERT(!records::DecodeEnd("\x83\x01\x09\x61q"));
    CPPUNIT_ASSERT(!records::DecodeEnd(bytes.substr(0, bytes.size() - 2)));
  }

  void ProgressComesBackWhole() {
    job::JobProgress progress;
    progress.state = job::JobState::kRunning;
    progress.opened = 2;
    progress.open = {
        {1,
         {{{true, false, true},
           {{1, core::Attempt(7), {core::Attempt(3)}, "saved"}}}}}};
    const std::string bytes = records::EncodeProgress(progress);
    const job::JobProgress read = records::DecodeProgress(bytes).value();
    CPPUNIT_ASSERT(read.open[0].steps[0].done ==
                   std::vector<bool>({true, false, true}));
    CPPUNIT_ASSERT_EQUAL(std::string("saved"),
                         read.open[0].steps[0].tasks[0].checkpoint);
    CPPUNIT_ASSERT(records::EncodeProgress(read) == bytes);
  }

  void NotesComeBackWhole() {
    job::HolderNotes notes;
    notes.workers = {{MakeId<core::InstanceId>("w-1"), core::Incarnation(5),
                      MakeId<core::PoolId>("pool"),
                      std::chrono::milliseconds(4321)}};
    notes.fleet.waves = {
        {core::WaveNumber(3), {MakeId<core::MachineId>("m-1")}}};
    notes.fleet.pools = {{MakeId<core::PoolId>("pool"), 9}};
    const job::HolderNotes read =
        records::DecodeNotes(records::EncodeNotes(notes)).value();
    CPPUNIT_ASSERT(read.workers[0].lease_left ==
                   std::chrono::milliseconds(4321));
    CPPUNIT_ASSERT(read.fleet.waves[0].begun == notes.fleet.waves[0].begun);
    CPPUNIT_ASSERT_EQUAL(9U, read.fleet.pools[0].machines);
    const leadership::Holder holder{"instance", "life"};
    CPPUNIT_ASSERT(
        records::DecodeHolder(records::EncodeHolder(holder)).value() == holder);
  }

  // Any bytes give a record or an error, and nothing else.
  void DamageIsAnError() {
    const std::string whole = records::EncodeJob(Whole());
    std::mt19937 random(7);
    for (int round = 0; round < 20000; ++round) {
      std::string damaged = whole.substr(0, random() % (whole.size() + 1));
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
