#include "crocusmast/manager/ring_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

#include "test/support/fake_clock.h"
#include "test/support/mocks.h"

namespace {

using namespace crocusmast;
using manager::Message;
using std::chrono::milliseconds;

class RingMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RingMonitorTest);
  CPPUNIT_TEST(LongWaitIsReportedOnceASecond);
  CPPUNIT_TEST(DropsSinceTheLastReportAreCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LongWaitIsReportedOnceASecond() {
    Pop(manager::StoreChangesReceived(), manager::kLongRingWait);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_logger.Count("ring_wait_long"));
    Pop(manager::StoreChangesReceived(), milliseconds(700));
    Pop(job::JobWriteReply(), milliseconds(650));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_logger.Count("ring_wait_long"));
    CPPUNIT_ASSERT_EQUAL(std::string("StoreChangesReceived"),
                         m_logger.Field("ring_wait_long", "kind"));
    CPPUNIT_ASSERT_EQUAL(std::string("700"),
                         m_logger.Field("ring_wait_long", "wait_ms"));
    CPPUNIT_ASSERT_EQUAL(std::string("7"),
                         m_logger.Field("ring_wait_long", "depth"));
    m_clock.Advance(manager::kRingLogInterval);
    Pop(job::JobWriteReply(), milliseconds(650));
    CPPUNIT_ASSERT_EQUAL(std::string("JobWriteReply"),
                         m_logger.Field("ring_wait_long", "kind"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                         m_meter.Values(core::Timing::kManagerRingWait).size());
  }

  void DropsSinceTheLastReportAreCounted() {
    Pop(manager::ShutdownRequested(), {}, 3);
    Pop(manager::ShutdownRequested(), {}, 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_logger.Count("ring_dropped"));
    CPPUNIT_ASSERT_EQUAL(std::string("3"),
                         m_logger.Field("ring_dropped", "drops"));
    m_clock.Advance(manager::kRingLogInterval);
    Pop(manager::ShutdownRequested(), {}, 5);
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         m_logger.Field("ring_dropped", "drops"));
    m_clock.Advance(manager::kRingLogInterval);
    Pop(manager::ShutdownRequested(), {}, 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_logger.Count("ring_dropped"));
  }

 private:
  void Pop(Message message, core::Duration waited, std::uint64_t drops = 0) {
    m_monitor.OnPopped({std::move(message), waited, 7, drops});
  }

  test::FakeClock m_clock;
  test::RecordingLogger m_logger;
  test::RecordingMeter m_meter;
  manager::RingMonitor m_monitor{{m_clock, m_logger, m_meter}};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RingMonitorTest, "manager");

}  // namespace
