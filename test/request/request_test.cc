#include "crocusmast/request/request.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

#include "crocusmast/request/claim_registry.h"
#include "crocusmast/request/decision_history.h"
#include "test/support/factories.h"
#include "test/support/fake_clock.h"

namespace {

using namespace crocusmast;
using request::ClaimOutcome;
using request::ClaimRegistry;
using request::DeliveryStatus;
using request::Outcome;
using request::Request;
using request::RequestState;
using request::RetrySafety;
using test::MakeId;

core::InstanceId Target(int index) {
  return MakeId<core::InstanceId>("t-" + std::to_string(index));
}

template <typename Attempt>
bool Succeeds(Attempt&& attempt) {
  return core::Handle(
      [&]() -> core::Result<bool> {
        BOOST_LEAF_CHECK(attempt());
        return true;
      },
      [](const core::Error&) { return false; });
}

class RequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestTest);
  CPPUNIT_TEST(PassedDeadlineIsRefused);
  CPPUNIT_TEST(LateDuplicateAndMismatchedReportsAreErrors);
  CPPUNIT_TEST(OnlyRepeatableRequestsMayRunTwice);
  CPPUNIT_TEST(RegistryGrantsOneClaimant);
  CPPUNIT_TEST(RegistryDropsClaimsAfterRetention);
  CPPUNIT_TEST(HistoryReturnsDecisionsOfRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PassedDeadlineIsRefused() {
    CPPUNIT_ASSERT(!Succeeds([&] {
      return Request::Create(test::MakeRequestSpec("r", m_clock.Now()),
                             m_clock.Now());
    }));
  }

  void LateDuplicateAndMismatchedReportsAreErrors() {
    Request request = MakeRequest(RetrySafety::kRepeatable);
    CPPUNIT_ASSERT(Succeeds([&] { return request.Send(Target(1)); }));
    CPPUNIT_ASSERT(!Succeeds([&] { return request.Send(Target(2)); }));
    CPPUNIT_ASSERT(!Succeeds([&] {
      return request.FinishAttempt(Target(2), DeliveryStatus::kAnswered);
    }));
    CPPUNIT_ASSERT(Succeeds([&] {
      return request.FinishAttempt(Target(1), DeliveryStatus::kNotRun);
    }));
    CPPUNIT_ASSERT(!Succeeds([&] {
      return request.FinishAttempt(Target(1), DeliveryStatus::kAnswered);
    }));
    CPPUNIT_ASSERT(!Succeeds([&] { return request.Send(Target(1)); }));
    CPPUNIT_ASSERT(request.Abort().value() == Outcome::kRefused);
    CPPUNIT_ASSERT(!Succeeds([&] { return request.Abort(); }));
  }

  void OnlyRepeatableRequestsMayRunTwice() {
    CPPUNIT_ASSERT(rc::check("refused exactly if it cannot have run", [this] {
      const bool is_repeatable = *rc::gen::arbitrary<bool>();
      Request request = MakeRequest(is_repeatable ? RetrySafety::kRepeatable
                                                  : RetrySafety::kAtMostOnce);
      std::set<int> may_have_run;
      bool has_answer = false;
      const int steps = *rc::gen::inRange(1, 10);
      for (int step = 0; step < steps && !request.HasEnded(); ++step) {
        const int target = *rc::gen::inRange(0, 4);
        if (!Succeeds([&] { return request.Send(Target(target)); })) {
          continue;
        }
        const auto delivery =
            static_cast<DeliveryStatus>(*rc::gen::inRange(0, 3));
        if (delivery != DeliveryStatus::kNotRun) {
          RC_ASSERT(is_repeatable || may_have_run.empty());
          may_have_run.insert(target);
        }
        has_answer = has_answer || delivery == DeliveryStatus::kAnswered;
        RC_ASSERT(Succeeds(
            [&] { return request.FinishAttempt(Target(target), delivery); }));
      }
      if (!request.HasEnded()) {
        const Outcome outcome = request.Abort().value();
        RC_ASSERT((outcome == Outcome::kRefused) == may_have_run.empty());
      }
      RC_ASSERT((request.CurrentState() == RequestState::kAnswered) ==
                has_answer);
    }));
  }

  void RegistryGrantsOneClaimant() {
    ClaimRegistry registry;
    const auto id = MakeId<core::RequestId>("r");
    const request::ClaimToken first{Target(1), core::RequestKey(1)};
    const request::ClaimToken second{Target(2), core::RequestKey(1)};
    CPPUNIT_ASSERT(registry.Claim(id, first, m_clock.Now()) ==
                   ClaimOutcome::kGranted);
    CPPUNIT_ASSERT(registry.Claim(id, first, m_clock.Now()) ==
                   ClaimOutcome::kGranted);
    CPPUNIT_ASSERT(registry.Claim(id, second, m_clock.Now()) ==
                   ClaimOutcome::kAlreadyClaimed);
    registry.Release(id, second);
    CPPUNIT_ASSERT(registry.Claim(id, second, m_clock.Now()) ==
                   ClaimOutcome::kAlreadyClaimed);
    registry.Release(id, first);
    CPPUNIT_ASSERT(registry.Claim(id, second, m_clock.Now()) ==
                   ClaimOutcome::kGranted);
  }

  void RegistryDropsClaimsAfterRetention() {
    ClaimRegistry registry;
    const request::ClaimToken token{Target(1), core::RequestKey(1)};
    for (std::size_t index = 0; index < ClaimRegistry::kCapacity; ++index) {
      registry.Claim(MakeId<core::RequestId>(std::to_string(index)), token,
                     m_clock.Now());
    }
    const auto late = MakeId<core::RequestId>("late");
    CPPUNIT_ASSERT(registry.Claim(late, token, m_clock.Now()) ==
                   ClaimOutcome::kFull);
    m_clock.Advance(ClaimRegistry::kRetentionTime);
    CPPUNIT_ASSERT(registry.Claim(late, token, m_clock.Now()) ==
                   ClaimOutcome::kGranted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.Size());
  }

  void HistoryReturnsDecisionsOfRequest() {
    request::DecisionHistory history;
    const auto id = MakeId<core::RequestId>("r");
    const auto plan = MakeId<core::PlanId>("p");
    history.Add({id,
                 plan,
                 request::DecisionKind::kSent,
                 Target(1),
                 request::Reason::kNone,
                 {}});
    history.Add({id,
                 plan,
                 request::DecisionKind::kUnknown,
                 Target(1),
                 request::Reason::kLostAnswer,
                 {}});
    const auto found = history.Find(id);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("Request r of plan p is unknown at t-1 (lost-answer)."),
        request::Describe(found[1]));
  }

 private:
  Request MakeRequest(RetrySafety retry_safety) {
    return Request::Create(
               test::MakeRequestSpec(
                   "r", m_clock.Now() + std::chrono::seconds(1), retry_safety),
               m_clock.Now())
        .value();
  }

  test::FakeClock m_clock;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RequestTest, "request");

}  // namespace
