#include "crocusmast/adapters/async/io_thread.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "test/support/mocks.h"

namespace {

using namespace crocusmast;
using adapters::async::IoThread;
using std::chrono::milliseconds;

constexpr milliseconds kBlockedTime{300};
constexpr milliseconds kLongLag{100};
constexpr std::chrono::seconds kMaxTestTime{20};

class IoThreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IoThreadTest);
  CPPUNIT_TEST(TimeOfTasksInTheRingIsMeasured);
  CPPUNIT_TEST(BlockedEventLoopShowsAsLag);
  CPPUNIT_TEST(DroppedTasksAreReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TimeOfTasksInTheRingIsMeasured() {
    const auto io = Create(16);
    std::promise<void> done;
    io->Post([] { std::this_thread::sleep_for(kBlockedTime); });
    io->Post([&done] { done.set_value(); });
    io->Start();
    done.get_future().wait();
    io->Stop();
    const auto waits = m_meter.Values(core::Timing::kNetworkRingWait);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, waits.size());
    CPPUNIT_ASSERT(kBlockedTime <= waits[1]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, io->Depth());
  }

  void BlockedEventLoopShowsAsLag() {
    const auto io = Create(16);
    io->Start();
    io->Post([] { std::this_thread::sleep_for(kBlockedTime); });
    WaitUntil([this] {
      const auto lags = m_meter.Values(core::Timing::kEventLoopLag);
      return std::any_of(lags.begin(), lags.end(),
                         [](core::Duration lag) { return kLongLag <= lag; });
    });
    io->Stop();
  }

  void DroppedTasksAreReported() {
    const auto io = Create(1);
    CPPUNIT_ASSERT(io->Post([] {}));
    CPPUNIT_ASSERT(!io->Post([] {}));
    CPPUNIT_ASSERT(!io->Post([] {}));
    io->Start();
    WaitUntil([this] {
      return !m_meter.Values(core::Timing::kEventLoopLag).empty();
    });
    io->Stop();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_logger.Count("ring_dropped"));
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         m_logger.Field("ring_dropped", "drops"));
    CPPUNIT_ASSERT_EQUAL(std::string("network"),
                         m_logger.Field("ring_dropped", "duty"));
  }

 private:
  std::unique_ptr<IoThread> Create(std::size_t capacity) {
    return IoThread::Create(capacity, {m_clock, m_meter, m_logger});
  }

  template <typename Condition>
  void WaitUntil(const Condition& condition) const {
    const core::TimePoint deadline = m_clock.Now() + kMaxTestTime;
    while (!condition()) {
      CPPUNIT_ASSERT(m_clock.Now() < deadline);
      std::this_thread::sleep_for(milliseconds(10));
    }
  }

  core::SystemClock m_clock;
  test::RecordingMeter m_meter;
  test::RecordingLogger m_logger;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(IoThreadTest, "adapters");

}  // namespace
