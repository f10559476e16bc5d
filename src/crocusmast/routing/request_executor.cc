#include "crocusmast/routing/request_executor.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace crocusmast::routing {
namespace internal {

// The router ends a request at its deadline. The executor waits this much
// longer, so that it times out only if the router does not respond.
constexpr std::chrono::seconds kRouterTimeoutMargin{2};
constexpr std::chrono::milliseconds kClaimTimeout{500};
constexpr std::chrono::seconds kRetryAfterOverload{2};
// Maximum wait for space in the router's ring. Each thread has at most three
// messages in it: the arrival, the result of an attempt and the time-out.
constexpr std::chrono::seconds kPostTimeout{5};

}  // namespace internal

using request::DeliveryStatus;
using request::Outcome;
using request::Reason;

RequestResult RequestExecutor::Run(const request::RequestSpec& spec,
                                   const std::string& body,
                                   bool is_forwarded) const {
  const core::TimePoint started_at = m_ports.clock.Now();
  Call call{spec, body, std::make_shared<InstructionRing>(2), {}};
  Message arrival = RequestArrived{spec, is_forwarded, call.instructions};
  if (!m_ports.router.TryPush(std::move(arrival))) {
    call.reply.reason = Reason::kOverloaded;
    call.reply.retry_after = internal::kRetryAfterOverload;
    m_ports.meter.Add(core::Counter::kRequestsRefused, 1);
    return call.reply;
  }
  while (!call.is_done) {
    std::optional<Instruction> instruction = call.instructions->PopFor(
        RemainingTime(call) + internal::kRouterTimeoutMargin);
    if (!instruction) {
      Abandon(call);
      break;
    }
    std::visit([&](const auto& content) { Execute(call, content); },
               *instruction);
  }
  m_ports.meter.Observe(core::Timing::kRequest,
                        m_ports.clock.Now() - started_at);
  return std::move(call.reply);
}

core::Duration RequestExecutor::RemainingTime(const Call& call) const {
  return std::max(call.spec.deadline - m_ports.clock.Now(),
                  core::Duration::zero());
}

void RequestExecutor::Execute(Call& call, const SendTo& instruction) const {
  const core::InstanceId& target = instruction.choice.target;
  AttemptResult result =
      m_ports.targets.Send(target, instruction.choice.address, call.spec,
                           call.body, RemainingTime(call));
  Report(call, instruction.key, target, std::move(result));
}

void RequestExecutor::Execute(Call& call, const ForwardTo& instruction) const {
  AttemptResult result = m_ports.peers.Forward(instruction.peer, call.spec,
                                               call.body, RemainingTime(call));
  Report(call, instruction.key, instruction.peer, std::move(result));
}

void RequestExecutor::Report(Call& call,
                             core::RequestKey key,
                             const core::InstanceId& source,
                             AttemptResult result) const {
  const bool is_answered = result.report.delivery == DeliveryStatus::kAnswered;
  call.was_sent =
      call.was_sent || result.report.delivery != DeliveryStatus::kNotRun;
  call.is_done = is_answered && !result.report.is_failure;
  Post(AttemptFinished{key, source, result.report, result.reason});
  if (is_answered) {
    call.reply.outcome = Outcome::kAnswered;
    call.reply.answer = std::move(result.answer);
    call.reply.source = source;
  }
}

void RequestExecutor::Execute(Call& call, const ClaimAt& instruction) const {
  const core::Duration wait =
      std::min<core::Duration>(RemainingTime(call), internal::kClaimTimeout);
  Post(ClaimFinished{instruction.key, instruction.peer,
                     m_ports.peers.Claim(instruction.peer, call.spec.id,
                                         instruction.token, wait)});
}

void RequestExecutor::Execute(Call& call,
                              const ReturnError& instruction) const {
  call.reply = RequestResult{
      instruction.outcome, instruction.reason, instruction.retry_after, {}, {}};
  call.is_done = true;
}

void RequestExecutor::Execute(Call& call,
                              const ReturnAnswer& instruction) const {
  call.is_done = true;
}

void RequestExecutor::Abandon(Call& call) const {
  Post(RequestAbandoned{call.instructions});
  call.reply =
      RequestResult{call.was_sent ? Outcome::kUnknown : Outcome::kRefused,
                    Reason::kOverloaded,
                    internal::kRetryAfterOverload,
                    {},
                    {}};
}

void RequestExecutor::Post(Message message) const {
  m_ports.router.PushFor(std::move(message), internal::kPostTimeout);
}

}  // namespace crocusmast::routing
