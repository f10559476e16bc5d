#include "crocusmast/core/bounded_ring.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>
#include <vector>

#include "crocusmast/core/duty.h"
#include "crocusmast/core/worker_pool.h"

namespace {

using crocusmast::core::BoundedRing;
using crocusmast::core::Duty;
using crocusmast::core::DutyHandler;
using crocusmast::core::SystemClock;
using crocusmast::core::WorkerPool;

constexpr std::chrono::milliseconds kShort{5};
constexpr std::chrono::seconds kLong{30};

class SummingHandler final : public DutyHandler<int> {
 public:
  void Handle(int&& message) override { m_sum += message; }
  void Tick() override { ++m_ticks; }
  long Sum() const { return m_sum; }
  long Ticks() const { return m_ticks; }

 private:
  long m_sum = 0;
  long m_ticks = 0;
};

class BoundedRingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BoundedRingTest);
  CPPUNIT_TEST(FullRingRefusesAndCounts);
  CPPUNIT_TEST(ClosedRingGivesOutTheRest);
  CPPUNIT_TEST(WaitHasABound);
  CPPUNIT_TEST(ManyThreadsLoseNothing);
  CPPUNIT_TEST(DutyHandlesAllBeforeItStops);
  CPPUNIT_TEST(WorkersShareOneRing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FullRingRefusesAndCounts() {
    BoundedRing<int> ring(2);
    CPPUNIT_ASSERT(ring.TryPush(1));
    CPPUNIT_ASSERT(ring.TryPush(2));
    CPPUNIT_ASSERT(!ring.TryPush(3));
    CPPUNIT_ASSERT(!ring.PushFor(4, kShort));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, ring.Drops());
    CPPUNIT_ASSERT_EQUAL(1, *ring.PopFor(kShort));
    CPPUNIT_ASSERT(ring.TryPush(5));
    CPPUNIT_ASSERT_EQUAL(2, *ring.PopFor(kShort));
    CPPUNIT_ASSERT_EQUAL(5, *ring.PopFor(kShort));
  }

  void ClosedRingGivesOutTheRest() {
    BoundedRing<int> ring(2);
    ring.TryPush(1);
    ring.Close();
    CPPUNIT_ASSERT(!ring.TryPush(2));
    CPPUNIT_ASSERT_EQUAL(1, *ring.PopFor(kLong));
    CPPUNIT_ASSERT(!ring.PopFor(kLong));
  }

  void WaitHasABound() {
    BoundedRing<int> ring(1);
    CPPUNIT_ASSERT(!ring.PopFor(kShort));
  }

  void ManyThreadsLoseNothing() {
    constexpr int kEach = 2000;
    constexpr int kThreads = 4;
    BoundedRing<int> ring(8);
    std::atomic<long> sum{0};
    std::vector<std::thread> threads;
    for (int index = 0; index < kThreads; ++index) {
      threads.emplace_back([&] {
        for (int value = 1; value <= kEach; ++value) {
          ring.PushFor(int{value}, kLong);
        }
      });
    }
    std::thread reader([&] {
      for (int count = 0; count < kEach * kThreads; ++count) {
        sum += ring.PopFor(kLong).value_or(0);
      }
    });
    for (std::thread& thread : threads) {
      thread.join();
    }
    reader.join();
    CPPUNIT_ASSERT_EQUAL(long{kThreads} * kEach * (kEach + 1) / 2, sum.load());
  }

  void DutyHandlesAllBeforeItStops() {
    SystemClock clock;
    SummingHandler handler;
    Duty<int> duty("sum", 100, kLong);
    for (int value = 1; value <= 100; ++value) {
      CPPUNIT_ASSERT(duty.Ring().TryPush(int{value}));
    }
    duty.Start(handler, clock);
    duty.Stop();
    CPPUNIT_ASSERT_EQUAL(5050L, handler.Sum());
    CPPUNIT_ASSERT(handler.Ticks() >= 1);
  }

  void WorkersShareOneRing() {
    std::atomic<int> sum{0};
    WorkerPool<int> pool("workers", 16);
    pool.Start(3, [&](int&& value) { sum += value; });
    for (int value = 1; value <= 100; ++value) {
      CPPUNIT_ASSERT(pool.Ring().PushFor(int{value}, kLong));
    }
    pool.Stop();
    CPPUNIT_ASSERT_EQUAL(5050, sum.load());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(BoundedRingTest, "core");

}  // namespace
