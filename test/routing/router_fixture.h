#ifndef TEST_ROUTING_ROUTER_FIXTURE_H_
#define TEST_ROUTING_ROUTER_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "crocusmast/membership/rendezvous.h"
#include "crocusmast/routing/router.h"
#include "test/support/factories.h"
#include "test/support/fake_clock.h"
#include "test/support/mocks.h"

namespace test {

using namespace crocusmast;
using request::DeliveryStatus;
using request::Reason;
using request::RetrySafety;
using routing::Instruction;
using routing::InstructionRing;
using routing::RequestArrived;
using routing::SendTo;
using trompeloeil::_;

using Ring = std::shared_ptr<InstructionRing>;

inline core::InstanceId Id(const std::string& text) {
  return MakeId<core::InstanceId>(text);
}

/** @brief Fixture with the router of entry-1, two targets and mocks. */
class RouterFixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    m_fixture = std::make_unique<Fixture>();
    SetTargets(2);
    SetPlanLists(4);
    RunTicks();
  }

  void tearDown() override { m_fixture.reset(); }

 protected:
  struct Fixture {
    Fixture() {
      allowed_calls.push_back(NAMED_ALLOW_CALL(peers, SendFreeSlots(_, _)));
      allowed_calls.push_back(NAMED_ALLOW_CALL(peers, SendQuotaDemand(_, _)));
      allowed_calls.push_back(NAMED_ALLOW_CALL(peers, SendQuotaGrant(_)));
      allowed_calls.push_back(
          NAMED_ALLOW_CALL(peers, SendClaimRelease(_, _, _)));
      allowed_calls.push_back(NAMED_ALLOW_CALL(peers, SendTargetRelease(_, _)));
    }

    test::MockPeerNotifier peers;
    test::MockTargetLeavingListener leaving;
    std::vector<std::unique_ptr<trompeloeil::expectation>> allowed_calls;
    test::NullLogger logger;
    test::CountingMeter meter;
    test::FakeClock clock;
    membership::MembershipView membership_view;
    routing::Router router{{Id("entry-1"), MakeId<core::ZoneId>("zone-1"), 1},
                           {peers, leaving, logger, meter, clock}};
  };

  void SetTargets(int count) {
    membership::MembershipView& view = m_fixture->membership_view;
    view.entries = {Id("entry-1")};
    view.owned.clear();
    view.pools.clear();
    view.owner_of.clear();
    for (int index = 0; index < count; ++index) {
      view.owned.push_back(
          test::MakeTarget("t-" + std::to_string(index), "pool"));
      AddToPool(view.owned.back().id, Id("entry-1"));
    }
    for (const membership::UpPeer& peer : view.peers) {
      view.entries.push_back(peer.id);
      AddToPool(Id("far"), peer.id);
    }
    PublishMembership();
  }

  void AddToPool(const core::InstanceId& target,
                 const core::InstanceId& owner) {
    m_fixture->membership_view.pools[MakeId<core::PoolId>("pool")].push_back(
        target);
    m_fixture->membership_view.owner_of[target] = owner;
  }

  // A peer that does not become the lender of the plan's quota.
  static core::InstanceId PeerId() {
    int number = 2;
    core::InstanceId peer = Id("entry-2");
    while (membership::RankByRendezvous("plan/kind", {Id("entry-1"), peer}, 1)
               .front() == peer) {
      peer = Id("entry-" + std::to_string(++number));
    }
    return peer;
  }

  void AddPeer() {
    m_fixture->membership_view.peers = {
        {PeerId(), MakeId<core::ZoneId>("zone-2")}};
    SetTargets(2);
  }

  // The target "far" of the peer becomes the only one, owned by this instance.
  void TakeOverTarget() {
    AddPeer();
    m_fixture->membership_view.owned = {test::MakeTarget("far", "pool")};
    m_fixture->membership_view.owner_of = {{Id("far"), Id("entry-1")}};
    m_fixture->membership_view.pools[MakeId<core::PoolId>("pool")] = {
        Id("far")};
    PublishMembership();
  }

  void RemovePeer() {
    m_fixture->membership_view.peers.clear();
    SetTargets(2);
  }

  void PublishMembership() {
    m_fixture->router.Handle(routing::MembershipChanged{
        std::make_shared<const membership::MembershipView>(
            m_fixture->membership_view)});
  }

  void SetPlanLists(std::uint64_t slots) {
    m_fixture->router.Handle(routing::PlanListsChanged{
        core::Revision(1),
        std::make_shared<const configuration::PlanLists>(
            configuration::PlanLists::Create(
                {test::MakePlan("plan"),
                 test::MakeAllowance("plan", "kind", "pool", slots)})
                .value())});
  }

  void RunTicks() {
    constexpr int kTicks = 60;
    for (int tick = 0; tick < kTicks; ++tick) {
      m_fixture->clock.Advance(std::chrono::milliseconds(100));
      m_fixture->router.Tick();
    }
  }

  request::RequestSpec Spec(const std::string& id,
                            RetrySafety retry_safety) const {
    return test::MakeRequestSpec(
        id, m_fixture->clock.Now() + std::chrono::seconds(10), retry_safety);
  }

  Ring ArriveWith(const request::RequestSpec& spec) {
    const Ring ring = std::make_shared<InstructionRing>(2);
    m_fixture->router.Handle(RequestArrived{spec, false, ring});
    return ring;
  }

  Ring Arrive(const std::string& id,
              RetrySafety retry_safety = RetrySafety::kRepeatable) {
    return ArriveWith(Spec(id, retry_safety));
  }

  static std::optional<Instruction> Next(const Ring& ring) {
    return ring->PopFor(core::Duration::zero());
  }

  void Finish(const SendTo& send,
              DeliveryStatus delivery,
              bool is_failure = false) {
    routing::AttemptReport report;
    report.delivery = delivery;
    report.is_failure = is_failure || delivery == DeliveryStatus::kUnknown;
    m_fixture->router.Handle(routing::AttemptFinished{
        send.key, send.choice.target, report, Reason::kNone});
  }

  routing::RouterStatus Status() {
    const auto reply =
        std::make_shared<core::BoundedRing<routing::RouterStatus>>(1);
    m_fixture->router.Handle(routing::StatusQuery{reply});
    return *reply->PopFor(core::Duration::zero());
  }

  std::unique_ptr<Fixture> m_fixture;
};

}  // namespace test

#endif  // TEST_ROUTING_ROUTER_FIXTURE_H_
