#include "crocusmast/membership/membership_table.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "crocusmast/membership/rendezvous.h"
#include "test/support/factories.h"
#include "test/support/fake_clock.h"

namespace {

using namespace crocusmast;
using membership::MembershipTable;
using membership::MembershipUpdate;
using membership::MembershipVersion;
using membership::MembershipView;
using test::MakeEntryInstance;
using test::MakeId;
using test::MakeTarget;

core::InstanceId Id(const std::string& text) {
  return MakeId<core::InstanceId>(text);
}

MembershipTable MakeTable(const std::string& self, const std::string& zone) {
  return MembershipTable({Id(self), MakeId<core::RegionId>("region-1"),
                          MakeId<core::ZoneId>(zone)});
}

MembershipUpdate MakeThreeZones() {
  MembershipUpdate update{MembershipVersion(1), true, {}, {}};
  for (int zone = 1; zone <= 3; ++zone) {
    const std::string name = "zone-" + std::to_string(zone);
    for (int index = 1; index <= 2; ++index) {
      const std::string suffix =
          std::to_string(zone) + "-" + std::to_string(index);
      update.changed.push_back(MakeEntryInstance("entry-" + suffix, name));
    }
    for (int index = 1; index <= 8; ++index) {
      update.changed.push_back(MakeTarget(
          "target-" + std::to_string(zone) + "-" + std::to_string(index),
          "pool", name));
    }
  }
  return update;
}

class MembershipTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTableTest);
  CPPUNIT_TEST(EachTargetHasOneOwnerInItsZone);
  CPPUNIT_TEST(DownPeerLosesItsTargets);
  CPPUNIT_TEST(TargetsOfZoneWithoutEntryInstancesAreOwnedByOtherZones);
  CPPUNIT_TEST(OneEntryInstancePerZoneWatchesStore);
  CPPUNIT_TEST(LeavingNoticeOverridesOutdatedList);
  CPPUNIT_TEST(RankingIsStableAndOrderIndependent);
  CPPUNIT_TEST(LinksToOnePeerOfEachOtherRegion);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EachTargetHasOneOwnerInItsZone() {
    std::map<core::InstanceId, int> owners;
    for (int zone = 1; zone <= 3; ++zone) {
      for (int index = 1; index <= 2; ++index) {
        const std::string name = "zone-" + std::to_string(zone);
        MembershipTable table = MakeTable(
            "entry-" + std::to_string(zone) + "-" + std::to_string(index),
            name);
        table.Apply(MakeThreeZones(), m_clock.Now());
        for (const auto& target : table.View().owned) {
          CPPUNIT_ASSERT_EQUAL(name, target.zone.Text());
          ++owners[target.id];
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{24}, owners.size());
    for (const auto& [target, count] : owners) {
      CPPUNIT_ASSERT_EQUAL(1, count);
    }
  }

  void DownPeerLosesItsTargets() {
    MembershipTable table = MakeTable("entry-1-1", "zone-1");
    table.Apply(MakeThreeZones(), m_clock.Now());
    table.RecordLinkUp(Id("entry-1-2"));
    const std::size_t before = table.View().owned.size();
    CPPUNIT_ASSERT(before < 8);
    table.RecordLinkDown(Id("entry-1-2"), m_clock.Now());
    CPPUNIT_ASSERT(!table.ExpireLinks(m_clock.Now()));
    m_clock.Advance(membership::kPeerDownTimeout);
    CPPUNIT_ASSERT(table.ExpireLinks(m_clock.Now()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, table.View().owned.size());
    CPPUNIT_ASSERT(table.RecordLinkUp(Id("entry-1-2")));
    CPPUNIT_ASSERT_EQUAL(before, table.View().owned.size());
  }

  void TargetsOfZoneWithoutEntryInstancesAreOwnedByOtherZones() {
    MembershipTable table = MakeTable("entry-1-1", "zone-1");
    MembershipUpdate update = MakeThreeZones();
    update.changed.erase(
        std::remove_if(update.changed.begin(), update.changed.end(),
                       [](const fleet::InstanceRecord& record) {
                         return record.role == fleet::Role::kEntry &&
                                record.zone.Text() == "zone-3";
                       }),
        update.changed.end());
    table.Apply(update, m_clock.Now());
    const MembershipView view = table.View();
    std::set<core::InstanceId> owners;
    for (const auto& [target, owner] : view.owner_of) {
      owners.insert(owner);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{24}, view.owner_of.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, owners.size());
  }

  void OneEntryInstancePerZoneWatchesStore() {
    int watchers = 0;
    for (int index = 1; index <= 2; ++index) {
      MembershipTable table =
          MakeTable("entry-2-" + std::to_string(index), "zone-2");
      table.Apply(MakeThreeZones(), m_clock.Now());
      watchers += table.View().watches_store ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, watchers);
  }

  void LeavingNoticeOverridesOutdatedList() {
    MembershipTable table = MakeTable("entry-1-1", "zone-1");
    table.Apply(MakeThreeZones(), m_clock.Now());
    CPPUNIT_ASSERT(table.MarkLeaving(Id("target-1-1")));
    CPPUNIT_ASSERT(!table.MarkLeaving(Id("target-1-1")));
    CPPUNIT_ASSERT(!table.MarkLeaving(Id("nobody")));
    table.Apply(MakeThreeZones(), m_clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         table.View().owner_of.count(Id("target-1-1")));
  }

  void RankingIsStableAndOrderIndependent() {
    CPPUNIT_ASSERT(rc::check("removal keeps the others in order", [] {
      const auto count = *rc::gen::inRange<std::size_t>(2, 9);
      std::vector<core::InstanceId> candidates;
      for (std::size_t index = 0; index < count; ++index) {
        candidates.push_back(Id("entry-" + std::to_string(index)));
      }
      const std::string key =
          "key-" + std::to_string(*rc::gen::inRange(0, 1000));
      const auto ranked = membership::RankByRendezvous(key, candidates, count);
      std::reverse(candidates.begin(), candidates.end());
      RC_ASSERT(ranked == membership::RankByRendezvous(key, candidates, count));
      const auto removed = *rc::gen::inRange<std::size_t>(0, count);
      std::vector<core::InstanceId> expected = ranked;
      expected.erase(expected.begin() + static_cast<std::ptrdiff_t>(removed));
      candidates.erase(
          std::find(candidates.begin(), candidates.end(), ranked[removed]));
      RC_ASSERT(expected ==
                membership::RankByRendezvous(key, candidates, count));
    }));
  }

  void LinksToOnePeerOfEachOtherRegion() {
    MembershipTable table = MakeTable("entry-1-1", "zone-1");
    MembershipUpdate update = MakeThreeZones();
    for (int index = 0; index < 4; ++index) {
      fleet::InstanceRecord far =
          MakeEntryInstance("far-" + std::to_string(index), "zone-9");
      far.region = MakeId<core::RegionId>("region-2");
      update.changed.push_back(far);
    }
    table.Apply(update, m_clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, table.LinkedPeers().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, table.View().entries.size());
  }

 private:
  test::FakeClock m_clock;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(MembershipTableTest, "membership");

}  // namespace
