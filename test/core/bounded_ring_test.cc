#include "crocusmast/core/bounded_ring.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>
#include <vector>

#include "crocusmast/core/message_thread.h"
#include "crocusmast/core/message_thread_pool.h"
#include "test/support/fake_clock.h"

namespace {

using crocusmast::core::BoundedRing;
using crocusmast::core::MessageHandler;
using crocusmast::core::MessageObserver;
using crocusmast::core::MessageThread;
using crocusmast::core::MessageThreadPool;
using crocusmast::core::PoppedMessage;
using crocusmast::core::SystemClock;

constexpr std::chrono::milliseconds kShortWait{5};
constexpr std::chrono::seconds kLongWait{30};

class SummingHandler final : public MessageHandler<int> {
 public:
  void Handle(int&& message) override { m_sum += message; }
  void Tick() override { ++m_ticks; }
  long Sum() const { return m_sum; }
  long Ticks() const { return m_ticks; }

 private:
  long m_sum = 0;
  long m_ticks = 0;
};

/** @brief Keeps the depths of the ring after each message. */
class DepthObserver final : public MessageObserver<int> {
 public:
  void OnPopped(const PoppedMessage<int>& popped) override {
    m_depths.push_back(popped.depth);
  }
  const std::vector<std::size_t>& Depths() const { return m_depths; }

 private:
  std::vector<std::size_t> m_depths;
};

class BoundedRingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BoundedRingTest);
  CPPUNIT_TEST(FullRingRefusesMessagesAndCountsDrops);
  CPPUNIT_TEST(ClosedRingDeliversRemainingMessages);
  CPPUNIT_TEST(PopTimesOutOnEmptyRing);
  CPPUNIT_TEST(ConcurrentProducersLoseNoMessages);
  CPPUNIT_TEST(StopHandlesRemainingMessages);
  CPPUNIT_TEST(PoolThreadsShareOneRing);
  CPPUNIT_TEST(WaitIsMeasuredFromPushToPop);
  CPPUNIT_TEST(ObserverSeesMessagesBeforeTheHandler);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FullRingRefusesMessagesAndCountsDrops() {
    BoundedRing<int> ring(2);
    CPPUNIT_ASSERT(ring.TryPush(1));
    CPPUNIT_ASSERT(ring.TryPush(2));
    CPPUNIT_ASSERT(!ring.TryPush(3));
    CPPUNIT_ASSERT(!ring.PushFor(4, kShortWait));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, ring.Drops());
    CPPUNIT_ASSERT_EQUAL(1, *ring.PopFor(kShortWait));
    CPPUNIT_ASSERT(ring.TryPush(5));
    CPPUNIT_ASSERT_EQUAL(2, *ring.PopFor(kShortWait));
    CPPUNIT_ASSERT_EQUAL(5, *ring.PopFor(kShortWait));
  }

  void ClosedRingDeliversRemainingMessages() {
    BoundedRing<int> ring(2);
    ring.TryPush(1);
    ring.Close();
    CPPUNIT_ASSERT(!ring.TryPush(2));
    CPPUNIT_ASSERT_EQUAL(1, *ring.PopFor(kLongWait));
    CPPUNIT_ASSERT(!ring.PopFor(kLongWait));
  }

  void PopTimesOutOnEmptyRing() {
    BoundedRing<int> ring(1);
    CPPUNIT_ASSERT(!ring.PopFor(kShortWait));
  }

  void ConcurrentProducersLoseNoMessages() {
    constexpr int kMessagesPerThread = 2000;
    constexpr int kThreads = 4;
    BoundedRing<int> ring(8);
    std::atomic<long> sum{0};
    std::vector<std::thread> threads;
    for (int index = 0; index < kThreads; ++index) {
      threads.emplace_back([&] {
        for (int value = 1; value <= kMessagesPerThread; ++value) {
          ring.PushFor(int{value}, kLongWait);
        }
      });
    }
    std::thread reader([&] {
      for (int count = 0; count < kMessagesPerThread * kThreads; ++count) {
        sum += ring.PopFor(kLongWait).value_or(0);
      }
    });
    for (std::thread& thread : threads) {
      thread.join();
    }
    reader.join();
    CPPUNIT_ASSERT_EQUAL(
        long{kThreads} * kMessagesPerThread * (kMessagesPerThread + 1) / 2,
        sum.load());
  }

  void StopHandlesRemainingMessages() {
    SystemClock clock;
    SummingHandler handler;
    MessageThread<int> message_thread("sum", 100, kLongWait);
    for (int value = 1; value <= 100; ++value) {
      CPPUNIT_ASSERT(message_thread.Ring().TryPush(int{value}));
    }
    message_thread.Start(handler, clock);
    message_thread.Stop();
    CPPUNIT_ASSERT_EQUAL(5050L, handler.Sum());
    CPPUNIT_ASSERT(handler.Ticks() >= 1);
  }

  void PoolThreadsShareOneRing() {
    std::atomic<int> sum{0};
    MessageThreadPool<int> pool("workers", 16);
    pool.Start(3, [&](int&& value) { sum += value; });
    for (int value = 1; value <= 100; ++value) {
      CPPUNIT_ASSERT(pool.Ring().PushFor(int{value}, kLongWait));
    }
    pool.Stop();
    CPPUNIT_ASSERT_EQUAL(5050, sum.load());
  }

  void WaitIsMeasuredFromPushToPop() {
    test::FakeClock clock;
    BoundedRing<int> ring(2, &clock);
    ring.TryPush(1);
    clock.Advance(std::chrono::milliseconds(30));
    ring.TryPush(2);
    ring.TryPush(3);
    clock.Advance(std::chrono::milliseconds(20));
    const auto first = ring.PopWithWait(kShortWait);
    CPPUNIT_ASSERT_EQUAL(1, first->message);
    CPPUNIT_ASSERT(first->waited == std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first->depth);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, first->drops);
    const auto second = ring.PopWithWait(kShortWait);
    CPPUNIT_ASSERT(second->waited == std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(!ring.PopWithWait(kShortWait));
  }

  void ObserverSeesMessagesBeforeTheHandler() {
    SystemClock clock;
    SummingHandler handler;
    DepthObserver observer;
    MessageThread<int> message_thread("sum", 3, kLongWait, &clock);
    for (int value = 1; value <= 3; ++value) {
      CPPUNIT_ASSERT(message_thread.Ring().TryPush(int{value}));
    }
    message_thread.Start(handler, clock, &observer);
    message_thread.Stop();
    CPPUNIT_ASSERT_EQUAL(6L, handler.Sum());
    CPPUNIT_ASSERT(observer.Depths() == std::vector<std::size_t>({2, 1, 0}));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(BoundedRingTest, "core");

}  // namespace
