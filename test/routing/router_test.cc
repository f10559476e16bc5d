#include "test/routing/router_fixture.h"

namespace {

using namespace crocusmast;
using request::ClaimOutcome;
using request::DeliveryStatus;
using request::Outcome;
using request::Reason;
using request::RetrySafety;
using routing::ClaimAt;
using routing::ForwardTo;
using routing::ReturnAnswer;
using routing::ReturnError;
using routing::SendTo;
using test::Id;
using test::MakeId;
using test::Ring;
using trompeloeil::_;

class RouterTest : public test::RouterFixture {
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(SendsToATarget);
  CPPUNIT_TEST(UnknownPlanIsRefused);
  CPPUNIT_TEST(PlanLimitMakesRequestsWait);
  CPPUNIT_TEST(LostAtMostOnceRequestIsNotSentAgain);
  CPPUNIT_TEST(LostRepeatableRequestGoesToAnotherTarget);
  CPPUNIT_TEST(NotRunRequestIsSentToAnotherTarget);
  CPPUNIT_TEST(DuplicateRequestIdRunsOnce);
  CPPUNIT_TEST(RefusedRequestIdMayBeReused);
  CPPUNIT_TEST(ClaimIsMadeOnBothReplicas);
  CPPUNIT_TEST(UnreachableReplicaDoesNotGrantClaim);
  CPPUNIT_TEST(DeadlineRefusesWaitingRequest);
  CPPUNIT_TEST(ForwardsToPeerWithFreeSlots);
  CPPUNIT_TEST(FailedAnswerIsRetriedThenReturned);
  CPPUNIT_TEST(LateReportIsDropped);
  CPPUNIT_TEST(LeavingTargetIsAnnounced);
  CPPUNIT_TEST(StalledRouterBlocksItsTargets);
  CPPUNIT_TEST(ReleasedTargetIsUsedWithoutDelay);
  CPPUNIT_TEST(ReleaseNotFromPreviousOwnerIsIgnored);
  CPPUNIT_TEST(TargetOfAnotherOwnerIsReleasedWhenIdle);
  CPPUNIT_TEST(AbandonedRequestsFreeTheirSlots);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SendsToATarget() {
    const Ring ring = Arrive("r-1");
    const SendTo send = std::get<SendTo>(*Next(ring));
    Finish(send, DeliveryStatus::kAnswered);
    CPPUNIT_ASSERT(!Next(ring));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Status().requests);
  }

  void UnknownPlanIsRefused() {
    request::RequestSpec spec = Spec("r-1", RetrySafety::kRepeatable);
    spec.plan = MakeId<core::PlanId>("nobody");
    const ReturnError error = std::get<ReturnError>(*Next(ArriveWith(spec)));
    CPPUNIT_ASSERT(error.reason == Reason::kUnknownPlan);
    CPPUNIT_ASSERT(error.outcome == Outcome::kRefused);
  }

  void PlanLimitMakesRequestsWait() {
    std::vector<SendTo> sent;
    for (int index = 0; index < 4; ++index) {
      sent.push_back(
          std::get<SendTo>(*Next(Arrive("r-" + std::to_string(index)))));
    }
    const Ring waiting = Arrive("r-5");
    CPPUNIT_ASSERT(!Next(waiting));
    Finish(sent[0], DeliveryStatus::kAnswered);
    CPPUNIT_ASSERT(std::holds_alternative<SendTo>(*Next(waiting)));
  }

  void LostAtMostOnceRequestIsNotSentAgain() {
    const Ring ring = Arrive("r-1", RetrySafety::kAtMostOnce);
    Finish(std::get<SendTo>(*Next(ring)), DeliveryStatus::kUnknown);
    const ReturnError error = std::get<ReturnError>(*Next(ring));
    CPPUNIT_ASSERT(error.outcome == Outcome::kUnknown);
  }

  void LostRepeatableRequestGoesToAnotherTarget() {
    const Ring ring = Arrive("r-1");
    const SendTo first = std::get<SendTo>(*Next(ring));
    Finish(first, DeliveryStatus::kUnknown);
    const SendTo second = std::get<SendTo>(*Next(ring));
    CPPUNIT_ASSERT(first.choice.target != second.choice.target);
    Finish(second, DeliveryStatus::kUnknown);
    CPPUNIT_ASSERT(!Next(ring));
    m_fixture->clock.Advance(std::chrono::seconds(20));
    m_fixture->router.Tick();
    CPPUNIT_ASSERT(std::get<ReturnError>(*Next(ring)).outcome ==
                   Outcome::kUnknown);
  }

  void NotRunRequestIsSentToAnotherTarget() {
    const Ring ring = Arrive("r-1", RetrySafety::kAtMostOnce);
    const SendTo first = std::get<SendTo>(*Next(ring));
    Finish(first, DeliveryStatus::kNotRun);
    const SendTo second = std::get<SendTo>(*Next(ring));
    CPPUNIT_ASSERT(first.choice.target != second.choice.target);
  }

  void DuplicateRequestIdRunsOnce() {
    const Ring first = Arrive("r-1", RetrySafety::kAtMostOnce);
    CPPUNIT_ASSERT(std::holds_alternative<SendTo>(*Next(first)));
    const Ring second = Arrive("r-1", RetrySafety::kAtMostOnce);
    const ReturnError error = std::get<ReturnError>(*Next(second));
    CPPUNIT_ASSERT(error.outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT(error.reason == Reason::kDuplicate);
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{1},
        m_fixture->meter.Count(core::Counter::kDuplicatesStopped));
  }

  void RefusedRequestIdMayBeReused() {
    SetTargets(0);
    const Ring first = Arrive("r-1", RetrySafety::kAtMostOnce);
    m_fixture->clock.Advance(std::chrono::seconds(20));
    m_fixture->router.Tick();
    CPPUNIT_ASSERT(std::get<ReturnError>(*Next(first)).outcome ==
                   Outcome::kRefused);
    SetTargets(2);
    RunTicks();
    const Ring second = Arrive("r-1", RetrySafety::kAtMostOnce);
    CPPUNIT_ASSERT(std::holds_alternative<SendTo>(*Next(second)));
  }

  void ClaimIsMadeOnBothReplicas() {
    AddPeer();
    const Ring ring = Arrive("r-1", RetrySafety::kAtMostOnce);
    const ClaimAt claim = std::get<ClaimAt>(*Next(ring));
    m_fixture->router.Handle(
        routing::ClaimFinished{claim.key, claim.peer, ClaimOutcome::kGranted});
    CPPUNIT_ASSERT(std::holds_alternative<SendTo>(*Next(ring)));
    const Ring other = Arrive("r-2", RetrySafety::kAtMostOnce);
    const ClaimAt second = std::get<ClaimAt>(*Next(other));
    m_fixture->router.Handle(routing::ClaimFinished{
        second.key, second.peer, ClaimOutcome::kAlreadyClaimed});
    CPPUNIT_ASSERT(std::get<ReturnError>(*Next(other)).reason ==
                   Reason::kDuplicate);
  }

  void UnreachableReplicaDoesNotGrantClaim() {
    AddPeer();
    const Ring ring = Arrive("r-1", RetrySafety::kAtMostOnce);
    const ClaimAt claim = std::get<ClaimAt>(*Next(ring));
    m_fixture->router.Handle(
        routing::ClaimFinished{claim.key, claim.peer, std::nullopt});
    CPPUNIT_ASSERT(!Next(ring));
    m_fixture->router.Tick();
    CPPUNIT_ASSERT(std::holds_alternative<ClaimAt>(*Next(ring)));
    RemovePeer();
    m_fixture->router.Handle(
        routing::ClaimFinished{claim.key, claim.peer, std::nullopt});
    m_fixture->router.Tick();
    CPPUNIT_ASSERT(std::holds_alternative<SendTo>(*Next(ring)));
  }

  void DeadlineRefusesWaitingRequest() {
    SetTargets(0);
    const Ring ring = Arrive("r-1");
    CPPUNIT_ASSERT(!Next(ring));
    m_fixture->clock.Advance(std::chrono::seconds(20));
    m_fixture->router.Tick();
    const ReturnError error = std::get<ReturnError>(*Next(ring));
    CPPUNIT_ASSERT(error.outcome == Outcome::kRefused);
    CPPUNIT_ASSERT(error.reason == Reason::kDeadline);
  }

  void ForwardsToPeerWithFreeSlots() {
    AddPeer();
    SetTargets(0);
    const Ring ring = Arrive("r-1");
    CPPUNIT_ASSERT(!Next(ring));
    m_fixture->router.Handle(routing::FreeSlotsReceived{
        PeerId(), {{MakeId<core::PoolId>("pool"), core::Slots(1)}}});
    CPPUNIT_ASSERT_EQUAL(PeerId().Text(),
                         std::get<ForwardTo>(*Next(ring)).peer.Text());
    CPPUNIT_ASSERT(!Next(Arrive("r-2")));
  }

  void FailedAnswerIsRetriedThenReturned() {
    const Ring ring = Arrive("r-1");
    Finish(std::get<SendTo>(*Next(ring)), DeliveryStatus::kAnswered, true);
    Finish(std::get<SendTo>(*Next(ring)), DeliveryStatus::kAnswered, true);
    CPPUNIT_ASSERT(std::holds_alternative<ReturnAnswer>(*Next(ring)));
    const Ring at_most_once = Arrive("r-2", RetrySafety::kAtMostOnce);
    Finish(std::get<SendTo>(*Next(at_most_once)), DeliveryStatus::kAnswered,
           true);
    CPPUNIT_ASSERT(std::holds_alternative<ReturnAnswer>(*Next(at_most_once)));
  }

  void LateReportIsDropped() {
    const Ring ring = Arrive("r-1");
    const SendTo send = std::get<SendTo>(*Next(ring));
    Finish(send, DeliveryStatus::kAnswered);
    Finish(send, DeliveryStatus::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_fixture->meter.Count(
                                               core::Counter::kRepliesDropped));
  }

  void LeavingTargetIsAnnounced() {
    const Ring ring = Arrive("r-1");
    const SendTo send = std::get<SendTo>(*Next(ring));
    REQUIRE_CALL(m_fixture->leaving, OnTargetLeaving(send.choice.target));
    routing::AttemptReport report;
    report.delivery = DeliveryStatus::kAnswered;
    report.is_leaving = true;
    m_fixture->router.Handle(routing::AttemptFinished{
        send.key, send.choice.target, report, Reason::kNone});
    for (int index = 0; index < 4; ++index) {
      const Ring next = Arrive("after-" + std::to_string(index));
      CPPUNIT_ASSERT(std::get<SendTo>(*Next(next)).choice.target !=
                     send.choice.target);
    }
  }

  void ReleasedTargetIsUsedWithoutDelay() {
    TakeOverTarget();
    const Ring ring = Arrive("r-1");
    CPPUNIT_ASSERT(!Next(ring));
    m_fixture->router.Handle(routing::TargetReleaseReceived{
        PeerId(), {Id("far"), core::Incarnation(1)}});
    CPPUNIT_ASSERT_EQUAL(std::string("far"),
                         std::get<SendTo>(*Next(ring)).choice.target.Text());
  }

  void ReleaseNotFromPreviousOwnerIsIgnored() {
    TakeOverTarget();
    const Ring ring = Arrive("r-1");
    m_fixture->router.Handle(routing::TargetReleaseReceived{
        Id("somebody"), {Id("far"), core::Incarnation(1)}});
    m_fixture->router.Handle(routing::TargetReleaseReceived{
        PeerId(), {Id("far"), core::Incarnation(2)}});
    CPPUNIT_ASSERT(!Next(ring));
    RunTicks();
    CPPUNIT_ASSERT(std::holds_alternative<SendTo>(*Next(ring)));
  }

  void TargetOfAnotherOwnerIsReleasedWhenIdle() {
    AddPeer();
    const Ring ring = Arrive("r-1");
    const SendTo send = std::get<SendTo>(*Next(ring));
    m_fixture->membership_view.owned.clear();
    {
      REQUIRE_CALL(m_fixture->peers, SendTargetRelease(_, _))
          .WITH(_2.target != send.choice.target);
      PublishMembership();
    }
    REQUIRE_CALL(m_fixture->peers, SendTargetRelease(_, _))
        .WITH(_2.target == send.choice.target);
    Finish(send, DeliveryStatus::kAnswered);
  }

  void StalledRouterBlocksItsTargets() {
    m_fixture->clock.Advance(routing::kStallLimit);
    const Ring ring = Arrive("r-1");
    CPPUNIT_ASSERT(!Next(ring));
    RunTicks();
    CPPUNIT_ASSERT(std::holds_alternative<SendTo>(*Next(ring)));
  }

  void AbandonedRequestsFreeTheirSlots() {
    std::vector<Ring> rings;
    for (int index = 0; index < 100; ++index) {
      rings.push_back(Arrive("r-" + std::to_string(index)));
    }
    for (const Ring& ring : rings) {
      m_fixture->router.Handle(routing::RequestAbandoned{ring});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Status().requests);
    for (int index = 0; index < 4; ++index) {
      CPPUNIT_ASSERT(std::holds_alternative<SendTo>(
          *Next(Arrive("again-" + std::to_string(index)))));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RouterTest, "routing");

}  // namespace
