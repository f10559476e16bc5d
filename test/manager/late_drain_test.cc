#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "test/manager/manager_fixture.h"

namespace {

using namespace crocusmast;
using std::chrono::milliseconds;
using Fixture = test::ManagerFixture;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;

/** @brief Time from the acknowledgement that a worker is draining until tasks
 * must not start there any more. */
constexpr milliseconds kDrainLimit{3000};
/** @brief Time after which a start command expires. */
constexpr milliseconds kStartTimeout{500};
/** @brief Replies come twice as fast as the manager handles them, until the
 * ring, which has 8,192 places, is almost full. */
constexpr std::chrono::microseconds kMessageCost{500};
constexpr std::chrono::microseconds kReplyInterval{250};
constexpr std::chrono::seconds kOverload{4};
constexpr char kJob[] = "0123456789abcdef";
constexpr char kDrainingWorker[] = "w-1";

class LateDrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateDrainTest);
  CPPUNIT_TEST(NoTaskStartsWhileDrainingWaitsBehindReplies);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A leader must not start tasks on a worker whose change to draining has
  // waited in the ring behind replies for seconds.
  void NoTaskStartsWhileDrainingWaitsBehindReplies() {
    Fixture fixture(kMessageCost, [](const auto& task) {
      return milliseconds(100 + 37 * task.key.index % 3000);
    });
    fixture.RunFor(std::chrono::seconds(2));
    fixture.Store(
        {job::JobEvent(job::JobStored{MakeJob(kJob, {MakeStep(10000)})})});
    fixture.RunFor(std::chrono::seconds(2));
    fixture.Repeat(kReplyInterval, kOverload / kReplyInterval, [&fixture] {
      execution::PollReply reply;
      reply.worker = MakeId<core::InstanceId>("gone");
      fixture.Push(std::move(reply));
    });
    fixture.RunFor(kOverload);
    const core::TimePoint draining_at = fixture.clock.Now();
    execution::WorkerRecord draining = test::MakeWorker(kDrainingWorker);
    draining.is_draining = true;
    fixture.Push(scheduling::WorkerUpdated{std::move(draining)});
    fixture.RunFor(kDrainLimit + std::chrono::seconds(3));
    core::TimePoint last;
    for (const Fixture::Sent& start : fixture.starts) {
      if (start.worker == MakeId<core::InstanceId>(kDrainingWorker)) {
        last = start.at;
      }
    }
    CPPUNIT_ASSERT_MESSAGE(
        "the last start there was sent " +
            std::to_string(
                std::chrono::duration_cast<milliseconds>(last - draining_at)
                    .count()) +
            " ms after the worker's change arrived",
        last <= draining_at + kDrainLimit - kStartTimeout);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LateDrainTest, "manager");

}  // namespace
