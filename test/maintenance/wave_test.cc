#include "crocusmast/maintenance/wave.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "crocusmast/adapters/wave_codec.h"
#include "crocusmast/maintenance/budget.h"
#include "test/support/factories.h"

namespace {

using namespace crocusmast;
using fleet::InstanceRecord;
using fleet::InstanceState;
using maintenance::DrainSelection;
using maintenance::ItemState;
using maintenance::SelectDrains;
using maintenance::Wave;
using maintenance::WaveState;
using test::MakeId;

const core::PoolId kPool = MakeId<core::PoolId>("pool");

std::vector<InstanceRecord> MakeTargets(int count) {
  std::vector<InstanceRecord> targets;
  for (int index = 0; index < count; ++index) {
    targets.push_back(test::MakeTarget("t-" + std::to_string(index), "pool",
                                       "zone-" + std::to_string(index % 3)));
    targets.back().rack =
        MakeId<core::RackId>("rack-" + std::to_string(index / 4));
  }
  return targets;
}

configuration::PlanLists MakeLists(std::uint64_t slots) {
  return configuration::PlanLists::Create(
             {test::MakePlan("a"),
              test::MakeAllowance("a", "k", "pool", slots)})
      .value();
}

bool Succeeds(const core::Result<void>& result) {
  return static_cast<bool>(result);
}

class WaveTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaveTest);
  CPPUNIT_TEST(StatesAdvanceInOneDirection);
  CPPUNIT_TEST(TooManySkippedInstancesPauseTheWave);
  CPPUNIT_TEST(PoolWithoutTargetsIsAnError);
  CPPUNIT_TEST(WaveRoundTripsThroughTheCodec);
  CPPUNIT_TEST(FailedTargetsCountAgainstTheBudget);
  CPPUNIT_TEST(DrainsAreSpreadOverRacksAndZones);
  CPPUNIT_TEST(SelectionUsesTheFullBudgetAndNoMore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StatesAdvanceInOneDirection() {
    Wave wave = MakeWave(1);
    const auto id = MakeId<core::InstanceId>("t-0");
    CPPUNIT_ASSERT(!Succeeds(wave.Advance(id, ItemState::kRebooting, {})));
    CPPUNIT_ASSERT(Succeeds(wave.Advance(id, ItemState::kDraining, {})));
    CPPUNIT_ASSERT(!Succeeds(wave.Advance(id, ItemState::kDraining, {})));
    CPPUNIT_ASSERT(Succeeds(wave.Advance(id, ItemState::kRebooting, {})));
    CPPUNIT_ASSERT(Succeeds(wave.Advance(id, ItemState::kDone, {})));
    CPPUNIT_ASSERT(wave.State() == WaveState::kDone);
    CPPUNIT_ASSERT(!Succeeds(wave.Skip(id, "late", {})));
    CPPUNIT_ASSERT(!Succeeds(wave.SetPaused(true)));
  }

  void TooManySkippedInstancesPauseTheWave() {
    Wave wave = MakeWave(4);
    for (std::size_t index = 0; index < Wave::kMaxSkipped; ++index) {
      const auto id = MakeId<core::InstanceId>("t-" + std::to_string(index));
      CPPUNIT_ASSERT(Succeeds(wave.Skip(id, "did not come back", {})));
    }
    CPPUNIT_ASSERT(wave.State() == WaveState::kPaused);
    CPPUNIT_ASSERT_EQUAL(
        std::string("Paused: too many instances were skipped. Last: t-1, did "
                    "not come back."),
        wave.BlockReason());
    CPPUNIT_ASSERT(Succeeds(wave.SetPaused(false)));
    CPPUNIT_ASSERT(wave.State() == WaveState::kRunning);
  }

  void PoolWithoutTargetsIsAnError() {
    CPPUNIT_ASSERT(!Wave::Create({}, {kPool}, {}));
  }

  void WaveRoundTripsThroughTheCodec() {
    Wave wave = MakeWave(3);
    wave.Advance(MakeId<core::InstanceId>("t-0"), ItemState::kDraining,
                 core::WallTime(std::chrono::milliseconds(77)))
        .value();
    wave.SetBlockReason("blocked");
    const std::string text = adapters::FormatWave(wave);
    CPPUNIT_ASSERT_EQUAL(
        text, adapters::FormatWave(adapters::ParseWave(text).value()));
  }

  void FailedTargetsCountAgainstTheBudget() {
    std::vector<InstanceRecord> targets = MakeTargets(10);
    const configuration::PlanLists lists = MakeLists(80);
    const Wave wave = Wave::Create(targets, {kPool}, {}).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         SelectDrains(wave, {lists, targets}).instances.size());
    targets[9].state = InstanceState::kLeaving;
    const DrainSelection selection = SelectDrains(wave, {lists, targets});
    CPPUNIT_ASSERT(selection.instances.empty());
    CPPUNIT_ASSERT_EQUAL(
        std::string("Pool pool is blocked: 72 slots are live, its plans are "
                    "guaranteed 72. "),
        selection.block_reason);
    targets.pop_back();
    CPPUNIT_ASSERT(SelectDrains(wave, {lists, targets}).instances.empty());
  }

  void DrainsAreSpreadOverRacksAndZones() {
    const std::vector<InstanceRecord> targets = MakeTargets(12);
    const configuration::PlanLists lists = MakeLists(80);
    const Wave wave = Wave::Create(targets, {kPool}, {}).value();
    const DrainSelection selection = SelectDrains(wave, {lists, targets});
    std::set<core::RackId> racks;
    std::set<core::ZoneId> zones;
    for (const InstanceRecord& target : targets) {
      for (const core::InstanceId& chosen : selection.instances) {
        if (target.id == chosen) {
          racks.insert(target.rack);
          zones.insert(target.zone);
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, selection.instances.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, racks.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, zones.size());
  }

  // Computes the expected number of drains directly from the live slots.
  void SelectionUsesTheFullBudgetAndNoMore() {
    CPPUNIT_ASSERT(rc::check("live slots cover the guaranteed slots", [] {
      const int count = *rc::gen::inRange(1, 12);
      std::vector<InstanceRecord> targets = MakeTargets(count);
      const auto slots = *rc::gen::inRange<std::uint64_t>(1, 100);
      const configuration::PlanLists lists = MakeLists(slots);
      const std::uint64_t guaranteed = (slots * 90 + 99) / 100;
      Wave wave = Wave::Create(targets, {kPool}, {}).value();
      std::map<core::InstanceId, int> draining;
      for (InstanceRecord& target : targets) {
        switch (*rc::gen::inRange(0, 5)) {
          case 0:
            target.state = InstanceState::kLeaving;
            break;
          case 1:
            wave.Advance(target.id, ItemState::kDraining, {}).value();
            ++draining[target.id];
            break;
          default:
            break;
        }
      }
      const DrainSelection selection = SelectDrains(wave, {lists, targets});
      std::uint64_t live = 0;
      std::size_t pending = 0;
      for (const InstanceRecord& target : targets) {
        const bool is_live = target.state == InstanceState::kLive &&
                             draining.count(target.id) == 0;
        live += is_live ? 8 : 0;
        pending += is_live ? 1 : 0;
      }
      const std::uint64_t expected =
          live < guaranteed
              ? 0
              : std::min<std::uint64_t>(pending, (live - guaranteed) / 8);
      RC_ASSERT(selection.instances.size() == expected);
      RC_ASSERT(selection.block_reason.empty() == (expected == pending));
    }));
  }

 private:
  static Wave MakeWave(int count) {
    return Wave::Create(MakeTargets(count), {kPool}, {}).value();
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(WaveTest, "maintenance");

}  // namespace
