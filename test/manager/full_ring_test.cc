#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>
#include <string>

#include "test/manager/manager_fixture.h"

namespace {

using namespace crocusmast;
using std::chrono::milliseconds;
using Fixture = test::ManagerFixture;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;

/** @brief Time from the acknowledgement of a cancel until its job's tasks must
 * not start any more, and must have been told to stop. */
constexpr milliseconds kCancelLimit{3000};
/** @brief Time after which a start command expires. */
constexpr milliseconds kStartTimeout{500};
/** @brief Replies come twice as fast as the manager handles them, until the
 * ring, which has 8,192 places, is almost full. */
constexpr std::chrono::microseconds kMessageCost{500};
constexpr std::chrono::microseconds kReplyInterval{250};
constexpr std::chrono::seconds kOverload{4};
constexpr char kJob[] = "0123456789abcdef";
constexpr std::uint32_t kLongTasks = 2;

class FullRingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FullRingTest);
  CPPUNIT_TEST(NoTaskStartsWhileCancelWaitsBehindReplies);
  CPPUNIT_TEST(RunsAreStoppedInTimeBehindReplies);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_fixture = std::make_unique<Fixture>(kMessageCost, [](const auto& task) {
      return task.key.step == 0
                 ? milliseconds(std::chrono::minutes(1))
                 : milliseconds(100 + 37 * task.key.index % 3000);
    });
    m_fixture->RunFor(std::chrono::seconds(2));
    m_fixture->Store({job::JobEvent(job::JobStored{
        MakeJob(kJob, {MakeStep(kLongTasks), MakeStep(5000)})})});
    m_fixture->RunFor(std::chrono::seconds(2));
    CPPUNIT_ASSERT(m_fixture->starts.size() > 50);
    m_fixture->Repeat(kReplyInterval, kOverload / kReplyInterval, [this] {
      execution::PollReply reply;
      reply.worker = MakeId<core::InstanceId>("gone");
      m_fixture->Push(std::move(reply));
    });
    m_fixture->RunFor(kOverload);
    m_cancelled_at = m_fixture->clock.Now();
    m_fixture->Store(
        {job::JobEvent(job::CancellationStored{MakeId<core::JobId>(kJob)})});
    m_fixture->RunFor(kCancelLimit + std::chrono::seconds(3));
  }

  void tearDown() override { m_fixture.reset(); }

  // A leader must not start tasks of a job whose cancel has waited in the ring
  // behind replies for seconds.
  void NoTaskStartsWhileCancelWaitsBehindReplies() {
    CPPUNIT_ASSERT_MESSAGE(
        "the last start was sent " + AfterCancel(m_fixture->starts.back().at),
        m_fixture->starts.back().at <=
            m_cancelled_at + kCancelLimit - kStartTimeout);
  }

  // A cancel that waits in the ring behind replies must reach the running tasks
  // of its job in time.
  void RunsAreStoppedInTimeBehindReplies() {
    std::set<std::string> stopped;
    std::string last = "never";
    for (const Fixture::Sent& stop : m_fixture->stops) {
      if (stop.task.key.step == 0) {
        last = AfterCancel(stop.at);
        if (stop.at < m_cancelled_at + kCancelLimit) {
          stopped.insert(Describe(stop.task));
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the last stop was sent " + last,
                                 std::size_t{kLongTasks}, stopped.size());
  }

 private:
  std::string AfterCancel(core::TimePoint time) const {
    return std::to_string(
               std::chrono::duration_cast<milliseconds>(time - m_cancelled_at)
                   .count()) +
           " ms after the cancel";
  }

  std::unique_ptr<Fixture> m_fixture;
  core::TimePoint m_cancelled_at;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(FullRingTest, "manager");

}  // namespace
