#include "crocusmast/membership/roster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "crocusmast/membership/rendezvous.h"
#include "test/support/fake_clock.h"
#include "test/support/make.h"

namespace {

using namespace crocusmast;
using membership::ListUpdate;
using membership::ListVersion;
using membership::Roster;
using membership::RosterView;
using test::MakeEntry;
using test::MakeId;
using test::MakeTarget;

core::InstanceId Id(const std::string& text) {
  return MakeId<core::InstanceId>(text);
}

Roster MakeRoster(const std::string& self, const std::string& zone) {
  return Roster({Id(self), MakeId<core::RegionId>("region-1"),
                 MakeId<core::ZoneId>(zone)});
}

ListUpdate ThreeZones() {
  ListUpdate update{ListVersion(1), true, {}, {}};
  for (int zone = 1; zone <= 3; ++zone) {
    const std::string name = "zone-" + std::to_string(zone);
    for (int index = 1; index <= 2; ++index) {
      const std::string suffix =
          std::to_string(zone) + "-" + std::to_string(index);
      update.changed.push_back(MakeEntry("entry-" + suffix, name));
    }
    for (int index = 1; index <= 8; ++index) {
      update.changed.push_back(MakeTarget(
          "target-" + std::to_string(zone) + "-" + std::to_string(index),
          "pool", name));
    }
  }
  return update;
}

class RosterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RosterTest);
  CPPUNIT_TEST(EachTargetHasOneOwnerInItsZone);
  CPPUNIT_TEST(DeadPeerLosesItsTargets);
  CPPUNIT_TEST(ZoneWithoutEntryInstancesIsServedByOthers);
  CPPUNIT_TEST(OneWatcherAZone);
  CPPUNIT_TEST(HintGoesBeforeALaggingList);
  CPPUNIT_TEST(OwnersAgreeOnEveryInstance);
  CPPUNIT_TEST(LinksReachOtherRegionsOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EachTargetHasOneOwnerInItsZone() {
    std::map<core::InstanceId, int> owners;
    for (int zone = 1; zone <= 3; ++zone) {
      for (int index = 1; index <= 2; ++index) {
        const std::string name = "zone-" + std::to_string(zone);
        Roster roster = MakeRoster(
            "entry-" + std::to_string(zone) + "-" + std::to_string(index),
            name);
        roster.Apply(ThreeZones(), m_clock.Now());
        for (const auto& target : roster.View().owned) {
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

  void DeadPeerLosesItsTargets() {
    Roster roster = MakeRoster("entry-1-1", "zone-1");
    roster.Apply(ThreeZones(), m_clock.Now());
    roster.LinkUp(Id("entry-1-2"));
    const std::size_t before = roster.View().owned.size();
    CPPUNIT_ASSERT(before < 8);
    roster.LinkDown(Id("entry-1-2"), m_clock.Now());
    CPPUNIT_ASSERT(!roster.ExpireLinks(m_clock.Now()));
    m_clock.Advance(membership::kPeerGrace);
    CPPUNIT_ASSERT(roster.ExpireLinks(m_clock.Now()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, roster.View().owned.size());
    CPPUNIT_ASSERT(roster.LinkUp(Id("entry-1-2")));
    CPPUNIT_ASSERT_EQUAL(before, roster.View().owned.size());
  }

  void ZoneWithoutEntryInstancesIsServedByOthers() {
    Roster roster = MakeRoster("entry-1-1", "zone-1");
    ListUpdate update = ThreeZones();
    update.changed.erase(
        std::remove_if(update.changed.begin(), update.changed.end(),
                       [](const fleet::InstanceRecord& record) {
                         return record.role == fleet::Role::kEntry &&
                                record.zone.Text() == "zone-3";
                       }),
        update.changed.end());
    roster.Apply(update, m_clock.Now());
    const RosterView view = roster.View();
    std::set<core::InstanceId> owners;
    for (const auto& [target, owner] : view.owner_of) {
      owners.insert(owner);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{24}, view.owner_of.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, owners.size());
  }

  void OneWatcherAZone() {
    int watchers = 0;
    for (int index = 1; index <= 2; ++index) {
      Roster roster = MakeRoster("entry-2-" + std::to_string(index), "zone-2");
      roster.Apply(ThreeZones(), m_clock.Now());
      watchers += roster.View().watches_store ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, watchers);
  }

  void HintGoesBeforeALaggingList() {
    Roster roster = MakeRoster("entry-1-1", "zone-1");
    roster.Apply(ThreeZones(), m_clock.Now());
    CPPUNIT_ASSERT(roster.MarkLeaving(Id("target-1-1")));
    CPPUNIT_ASSERT(!roster.MarkLeaving(Id("target-1-1")));
    CPPUNIT_ASSERT(!roster.MarkLeaving(Id("nobody")));
    roster.Apply(ThreeZones(), m_clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         roster.View().owner_of.count(Id("target-1-1")));
  }

  void OwnersAgreeOnEveryInstance() {
    CPPUNIT_ASSERT(rc::check("best of a rank is stable as others go", [] {
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
      const auto gone = *rc::gen::inRange<std::size_t>(0, count);
      std::vector<core::InstanceId> expected = ranked;
      expected.erase(expected.begin() + static_cast<std::ptrdiff_t>(gone));
      candidates.erase(
          std::find(candidates.begin(), candidates.end(), ranked[gone]));
      RC_ASSERT(expected ==
                membership::RankByRendezvous(key, candidates, count));
    }));
  }

  void LinksReachOtherRegionsOnce() {
    Roster roster = MakeRoster("entry-1-1", "zone-1");
    ListUpdate update = ThreeZones();
    for (int index = 0; index < 4; ++index) {
      fleet::InstanceRecord far =
          MakeEntry("far-" + std::to_string(index), "zone-9");
      far.region = MakeId<core::RegionId>("region-2");
      update.changed.push_back(far);
    }
    roster.Apply(update, m_clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, roster.LinkedPeers().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, roster.View().entries.size());
  }

 private:
  test::FakeClock m_clock;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RosterTest, "membership");

}  // namespace
