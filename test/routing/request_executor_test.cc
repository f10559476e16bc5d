#include "crocusmast/routing/request_executor.h"

#include <cppunit/extensions/HelperMacros.h>

#include "crocusmast/core/message_thread.h"
#include "test/support/factories.h"
#include "test/support/fake_clock.h"
#include "test/support/mocks.h"

namespace {

using namespace crocusmast;
using request::DeliveryStatus;
using request::Outcome;
using request::Reason;
using routing::AttemptResult;
using routing::Instruction;
using routing::Message;
using routing::RequestArrived;
using routing::RequestResult;
using test::MakeId;
using trompeloeil::_;

/** @brief Fake router that gives a fixed list of instructions. */
class ScriptedRouter final : public core::MessageHandler<Message> {
 public:
  explicit ScriptedRouter(std::vector<Instruction> script)
      : m_script(std::move(script)) {}

  void Handle(Message&& message) override {
    if (RequestArrived* arrival = std::get_if<RequestArrived>(&message)) {
      m_instructions = arrival->instructions;
    }
    m_message_indexes.push_back(message.index());
    if (m_next < m_script.size()) {
      m_instructions->TryPush(Instruction(m_script[m_next++]));
    }
  }
  void Tick() override {}

  const std::vector<std::size_t>& MessageIndexes() const {
    return m_message_indexes;
  }

 private:
  std::vector<Instruction> m_script;
  std::size_t m_next = 0;
  std::shared_ptr<routing::InstructionRing> m_instructions;
  std::vector<std::size_t> m_message_indexes;
};

AttemptResult Result(DeliveryStatus delivery, bool is_failure = false) {
  AttemptResult result;
  result.report.delivery = delivery;
  result.report.is_failure = is_failure;
  result.answer = {200, "text/plain", "body"};
  return result;
}

class RequestExecutorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestExecutorTest);
  CPPUNIT_TEST(ReturnsTheAnswer);
  CPPUNIT_TEST(FollowsRetryThenReturnsError);
  CPPUNIT_TEST(ClaimsThenForwards);
  CPPUNIT_TEST(FullRingRefusesRequest);
  CPPUNIT_TEST(ReturnsFailedAnswerOnInstruction);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReturnsTheAnswer() {
    REQUIRE_CALL(m_targets, Send(_, _, _, _, _))
        .RETURN(Result(DeliveryStatus::kAnswered));
    const RequestResult reply = Run({SendToTarget("t-1")});
    CPPUNIT_ASSERT(reply.outcome == Outcome::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), reply.answer.body);
    CPPUNIT_ASSERT_EQUAL(std::string("t-1"), reply.source.Text());
  }

  void FollowsRetryThenReturnsError() {
    REQUIRE_CALL(m_targets, Send(MakeId<core::InstanceId>("t-1"), _, _, _, _))
        .RETURN(Result(DeliveryStatus::kUnknown, true));
    REQUIRE_CALL(m_targets, Send(MakeId<core::InstanceId>("t-2"), _, _, _, _))
        .RETURN(Result(DeliveryStatus::kUnknown, true));
    const RequestResult reply =
        Run({SendToTarget("t-1"), SendToTarget("t-2"),
             routing::ReturnError{Outcome::kUnknown, Reason::kLostAnswer,
                                  std::chrono::seconds(1)}});
    CPPUNIT_ASSERT(reply.outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT(reply.reason == Reason::kLostAnswer);
  }

  void ClaimsThenForwards() {
    const auto peer = MakeId<core::InstanceId>("entry-2");
    REQUIRE_CALL(m_peers, Claim(peer, _, _, _))
        .RETURN(request::ClaimOutcome::kGranted);
    REQUIRE_CALL(m_peers, Forward(peer, _, _, _))
        .RETURN(Result(DeliveryStatus::kAnswered));
    const RequestResult reply =
        Run({routing::ClaimAt{core::RequestKey(1), peer, {}},
             routing::ForwardTo{core::RequestKey(1), peer}});
    CPPUNIT_ASSERT(reply.outcome == Outcome::kAnswered);
  }

  void FullRingRefusesRequest() {
    core::BoundedRing<Message> ring(1);
    ring.TryPush(Message());
    const RequestResult reply = MakeExecutor(ring).Run(Spec(), "", false);
    CPPUNIT_ASSERT(reply.outcome == Outcome::kRefused);
    CPPUNIT_ASSERT(reply.reason == Reason::kOverloaded);
    CPPUNIT_ASSERT(reply.retry_after.count() > 0);
  }

  void ReturnsFailedAnswerOnInstruction() {
    REQUIRE_CALL(m_targets, Send(_, _, _, _, _))
        .RETURN(Result(DeliveryStatus::kAnswered, true));
    const RequestResult reply =
        Run({SendToTarget("t-1"), routing::ReturnAnswer{}});
    CPPUNIT_ASSERT(reply.outcome == Outcome::kAnswered);
    CPPUNIT_ASSERT_EQUAL(200, reply.answer.status);
  }

 private:
  static Instruction SendToTarget(const std::string& target) {
    return routing::SendTo{core::RequestKey(1),
                           {MakeId<core::InstanceId>(target),
                            core::Incarnation(1),
                            {"127.0.0.1", 1}}};
  }

  request::RequestSpec Spec() const {
    return test::MakeRequestSpec("r", m_clock.Now() + std::chrono::seconds(5));
  }

  routing::RequestExecutor MakeExecutor(core::BoundedRing<Message>& ring) {
    return routing::RequestExecutor(
        {ring, m_targets, m_peers, m_meter, m_clock});
  }

  RequestResult Run(std::vector<Instruction> script) {
    ScriptedRouter router(std::move(script));
    core::SystemClock clock;
    core::MessageThread<Message> router_thread("router", 16,
                                               std::chrono::seconds(1));
    router_thread.Start(router, clock);
    RequestResult reply =
        MakeExecutor(router_thread.Ring()).Run(Spec(), "body", false);
    router_thread.Stop();
    return reply;
  }

  test::MockTargetPort m_targets;
  test::MockPeerClient m_peers;
  test::CountingMeter m_meter;
  test::FakeClock m_clock;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RequestExecutorTest, "routing");

}  // namespace
