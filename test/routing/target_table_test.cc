#include "crocusmast/routing/target_table.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

#include "test/support/factories.h"
#include "test/support/fake_clock.h"

namespace {

using namespace crocusmast;
using request::DeliveryStatus;
using routing::AttemptReport;
using routing::ChosenTarget;
using routing::CircuitBreaker;
using routing::CircuitState;
using routing::TargetCriteria;
using routing::TargetTable;
using test::MakeId;
using test::MakeTarget;

const core::PoolId kPool = MakeId<core::PoolId>("pool");

AttemptReport Answered() {
  AttemptReport report;
  report.delivery = DeliveryStatus::kAnswered;
  return report;
}

AttemptReport Failed() {
  AttemptReport report;
  report.delivery = DeliveryStatus::kAnswered;
  report.is_failure = true;
  return report;
}

std::vector<fleet::InstanceRecord> MakeTargets(int count,
                                               std::uint64_t slots = 8) {
  std::vector<fleet::InstanceRecord> targets;
  for (int index = 0; index < count; ++index) {
    targets.push_back(
        MakeTarget("t-" + std::to_string(index), "pool", "zone-1", slots));
  }
  return targets;
}

class TargetTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetTableTest);
  CPPUNIT_TEST(NewTargetIsBlockedDuringTakeoverDelay);
  CPPUNIT_TEST(FastFailingTargetIsExcludedWithinTwentyRequests);
  CPPUNIT_TEST(AllCircuitsOpenStillProbesEachTarget);
  CPPUNIT_TEST(ThrottlingIsNotAFailure);
  CPPUNIT_TEST(LongServiceTimeReservesSlotForUrgentRequests);
  CPPUNIT_TEST(LeavingTargetGetsNoRequests);
  CPPUNIT_TEST(ReplacedTargetDoesNotInheritSlots);
  CPPUNIT_TEST(BlockAllBlocksEveryTarget);
  CPPUNIT_TEST(ChoosesLeastLoadedTargetWithFreeSlot);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NewTargetIsBlockedDuringTakeoverDelay() {
    TargetTable table;
    table.SetTargets(MakeTargets(1), m_clock.Now());
    CPPUNIT_ASSERT(!Choose(table));
    m_clock.Advance(routing::kTakeoverDelay);
    CPPUNIT_ASSERT(Choose(table));
  }

  void FastFailingTargetIsExcludedWithinTwentyRequests() {
    TargetTable table = MakeTable(4);
    int failures = 0;
    for (int request = 0; request < 200; ++request) {
      const ChosenTarget choice = *Choose(table);
      const bool is_failing = choice.target.Text() == "t-0";
      failures += is_failing ? 1 : 0;
      table.Finish(choice, is_failing ? Failed() : Answered(), m_clock.Now());
    }
    CPPUNIT_ASSERT(failures <= 20);
    m_clock.Advance(CircuitBreaker::kInitialOpenTime);
    bool is_probed = false;
    for (int request = 0; request < 20; ++request) {
      const ChosenTarget choice = *Choose(table);
      is_probed = is_probed || choice.target.Text() == "t-0";
      table.Finish(choice, Answered(), m_clock.Now());
    }
    CPPUNIT_ASSERT(is_probed);
  }

  void AllCircuitsOpenStillProbesEachTarget() {
    TargetTable table = MakeTable(3);
    for (int request = 0; request < 15; ++request) {
      if (const auto choice = Choose(table)) {
        table.Finish(*choice, Failed(), m_clock.Now());
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, table.FreeSlots(kPool));
    std::vector<ChosenTarget> probes;
    while (const auto choice = Choose(table)) {
      probes.push_back(*choice);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, probes.size());
  }

  void ThrottlingIsNotAFailure() {
    TargetTable table = MakeTable(1);
    AttemptReport report = Failed();
    report.is_failure = false;
    report.is_throttled = true;
    report.backoff = std::chrono::seconds(1);
    const ChosenTarget choice = *Choose(table);
    CPPUNIT_ASSERT(!table.Finish(choice, report, m_clock.Now()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, table.FreeSlots(kPool));
    m_clock.Advance(std::chrono::seconds(1));
    table.Advance(m_clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, table.FreeSlots(kPool));
  }

  void LongServiceTimeReservesSlotForUrgentRequests() {
    TargetTable table = MakeTable(1);
    AttemptReport slow = Answered();
    slow.latency = std::chrono::seconds(60);
    table.Finish(*Choose(table), slow, m_clock.Now());
    int taken = 0;
    while (Choose(table)) {
      ++taken;
    }
    CPPUNIT_ASSERT_EQUAL(7, taken);
    CPPUNIT_ASSERT(table.Choose({kPool, request::Urgency::kUrgent, {}, {}},
                                m_clock.Now()));
  }

  void LeavingTargetGetsNoRequests() {
    TargetTable table = MakeTable(2);
    const ChosenTarget choice = *Choose(table);
    AttemptReport report = Answered();
    report.is_leaving = true;
    table.Finish(choice, report, m_clock.Now());
    for (int request = 0; request < 8; ++request) {
      CPPUNIT_ASSERT(Choose(table)->target != choice.target);
    }
    CPPUNIT_ASSERT(!Choose(table));
  }

  void ReplacedTargetDoesNotInheritSlots() {
    TargetTable table = MakeTable(1);
    const ChosenTarget old = *Choose(table);
    fleet::InstanceRecord next = MakeTarget("t-0", "pool");
    next.incarnation = core::Incarnation(2);
    table.SetTargets({next}, m_clock.Now());
    m_clock.Advance(routing::kTakeoverDelay);
    table.Advance(m_clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, table.FreeSlots(kPool));
    table.Finish(old, Answered(), m_clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, table.FreeSlots(kPool));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, table.InFlight(kPool));
  }

  void BlockAllBlocksEveryTarget() {
    TargetTable table = MakeTable(2);
    table.BlockAll(m_clock.Now() + routing::kTakeoverDelay);
    CPPUNIT_ASSERT(!Choose(table));
    m_clock.Advance(routing::kTakeoverDelay);
    CPPUNIT_ASSERT(Choose(table));
  }

  void ChoosesLeastLoadedTargetWithFreeSlot() {
    CPPUNIT_ASSERT(rc::check("least loaded target, within its slots", [this] {
      const int count = *rc::gen::inRange(1, 6);
      const auto slots = *rc::gen::inRange<std::uint64_t>(1, 5);
      TargetTable table = MakeTable(count, slots);
      std::map<core::InstanceId, std::uint64_t> expected_in_flight;
      for (int index = 0; index < count; ++index) {
        expected_in_flight[MakeId<core::InstanceId>("t-" +
                                                    std::to_string(index))] = 0;
      }
      std::vector<ChosenTarget> chosen;
      const int steps = *rc::gen::inRange(1, 40);
      for (int step = 0; step < steps; ++step) {
        if (!chosen.empty() && *rc::gen::arbitrary<bool>()) {
          const auto at = *rc::gen::inRange<std::size_t>(0, chosen.size());
          table.Finish(chosen[at], Answered(), m_clock.Now());
          --expected_in_flight[chosen[at].target];
          chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(at));
        } else {
          std::uint64_t least = slots;
          for (const auto& [target, in_flight] : expected_in_flight) {
            least = std::min(least, in_flight);
          }
          const auto choice = Choose(table);
          RC_ASSERT(choice.has_value() == (least < slots));
          if (choice) {
            RC_ASSERT(expected_in_flight[choice->target] == least);
            ++expected_in_flight[choice->target];
            chosen.push_back(*choice);
          }
        }
        std::uint64_t free = 0;
        for (const auto& [target, in_flight] : expected_in_flight) {
          free += slots - in_flight;
        }
        RC_ASSERT(table.FreeSlots(kPool) == free);
        RC_ASSERT(table.InFlight(kPool) == chosen.size());
      }
    }));
  }

 private:
  std::optional<ChosenTarget> Choose(TargetTable& table) {
    return table.Choose({kPool, request::Urgency::kNormal, {}, {}},
                        m_clock.Now());
  }

  TargetTable MakeTable(int count, std::uint64_t slots = 8) {
    TargetTable table;
    table.SetTargets(MakeTargets(count, slots), m_clock.Now());
    m_clock.Advance(routing::kTakeoverDelay);
    table.Advance(m_clock.Now());
    return table;
  }

  test::FakeClock m_clock;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TargetTableTest, "routing");

}  // namespace
