#include "crocusmast/routing/wait_queue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "test/support/factories.h"

namespace {

using namespace crocusmast;
using request::Urgency;
using routing::QuotaKey;
using routing::WaitQueue;
using routing::WaitQueueKey;
using test::MakeId;

const core::PoolId kPool = MakeId<core::PoolId>("pool");

WaitQueueKey MakeKey(Urgency urgency, int plan) {
  return {kPool,
          urgency,
          {MakeId<core::PlanId>("plan-" + std::to_string(plan)),
           MakeId<core::KindId>("kind")},
          false};
}

class WaitQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitQueueTest);
  CPPUNIT_TEST(UrgentRequestsStartFirst);
  CPPUNIT_TEST(DeferrableRequestsAreNotStarved);
  CPPUNIT_TEST(PlansAreServedRoundRobin);
  CPPUNIT_TEST(FullQueueRejectsRequests);
  CPPUNIT_TEST(EachRequestStartsOnceOrIsRemoved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UrgentRequestsStartFirst() {
    WaitQueue queue;
    queue.Push(MakeKey(Urgency::kDeferrable, 1), core::RequestKey(1));
    queue.Push(MakeKey(Urgency::kNormal, 1), core::RequestKey(2));
    queue.Push(MakeKey(Urgency::kUrgent, 1), core::RequestKey(3));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, Next(queue));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Next(queue));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Next(queue));
  }

  void DeferrableRequestsAreNotStarved() {
    WaitQueue queue;
    queue.Push(MakeKey(Urgency::kDeferrable, 1), core::RequestKey(1000));
    for (std::uint64_t key = 0; key < WaitQueue::kDeferrableFirstInterval;
         ++key) {
      queue.Push(MakeKey(Urgency::kUrgent, 1), core::RequestKey(key));
      if (Next(queue) == 1000) {
        return;
      }
    }
    CPPUNIT_FAIL("the deferrable request did not start");
  }

  void PlansAreServedRoundRobin() {
    WaitQueue queue;
    for (std::uint64_t key = 0; key < 100; ++key) {
      queue.Push(MakeKey(Urgency::kNormal, 1), core::RequestKey(key));
    }
    queue.Push(MakeKey(Urgency::kNormal, 2), core::RequestKey(200));
    Next(queue);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, Next(queue));
  }

  void FullQueueRejectsRequests() {
    WaitQueue queue;
    std::size_t accepted = 0;
    for (std::uint64_t key = 0; key < 1000; ++key) {
      const int plan = static_cast<int>(key % 10);
      accepted +=
          queue.Push(MakeKey(Urgency::kNormal, plan), core::RequestKey(key))
              ? 1
              : 0;
    }
    CPPUNIT_ASSERT_EQUAL(WaitQueue::kMaxPerPool, accepted);
    WaitQueue other;
    accepted = 0;
    for (std::uint64_t key = 0; key < 1000; ++key) {
      accepted +=
          other.Push(MakeKey(Urgency::kNormal, 1), core::RequestKey(key)) ? 1
                                                                          : 0;
    }
    CPPUNIT_ASSERT_EQUAL(WaitQueue::kMaxPerFlow, accepted);
  }

  void EachRequestStartsOnceOrIsRemoved() {
    CPPUNIT_ASSERT(rc::check("each request starts once or is removed", [] {
      WaitQueue queue;
      std::map<std::uint64_t, WaitQueueKey> waiting;
      std::uint64_t next_key = 0;
      const int steps = *rc::gen::inRange(1, 60);
      for (int step = 0; step < steps; ++step) {
        const int action = *rc::gen::inRange(0, 4);
        if (action < 2) {
          const WaitQueueKey queue_key =
              MakeKey(static_cast<Urgency>(*rc::gen::inRange(0, 3)),
                      *rc::gen::inRange(0, 3));
          RC_ASSERT(queue.Push(queue_key, core::RequestKey(next_key)));
          waiting.emplace(next_key++, queue_key);
        } else if (action == 2 && !waiting.empty()) {
          const auto removed = waiting.begin();
          queue.Remove(removed->second, core::RequestKey(removed->first));
          waiting.erase(removed);
        } else {
          const int blocked = *rc::gen::inRange(0, 4);
          bool has_startable = false;
          for (const auto& [key, queue_key] : waiting) {
            has_startable = has_startable || !IsOfPlan(queue_key, blocked);
          }
          std::uint64_t started = 0;
          const bool did_start =
              queue.StartNext(kPool, [&](core::RequestKey key) {
                started = key.Count();
                return !IsOfPlan(waiting.at(key.Count()), blocked);
              });
          RC_ASSERT(did_start == has_startable);
          if (did_start) {
            RC_ASSERT(waiting.erase(started) == 1);
          }
        }
        RC_ASSERT(queue.WaitingForPool(kPool) == waiting.size());
      }
    }));
  }

 private:
  static bool IsOfPlan(const WaitQueueKey& queue_key, int plan) {
    return queue_key.quota.plan.Text() == "plan-" + std::to_string(plan);
  }

  static std::uint64_t Next(WaitQueue& queue) {
    std::uint64_t started = 9999;
    queue.StartNext(kPool, [&](core::RequestKey key) {
      started = key.Count();
      return true;
    });
    return started;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(WaitQueueTest, "routing");

}  // namespace
