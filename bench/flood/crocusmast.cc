#include <algorithm>
#include <list>
#include <optional>
#include <utility>
#include <variant>

#include "bench/flood/fleet.h"
#include "bench/flood/members.h"
#include "crocusmast/membership/membership_table.h"
#include "crocusmast/routing/router.h"

namespace bench::flood {
namespace internal {

namespace core = crocusmast::core;
namespace fleet = crocusmast::fleet;
namespace membership = crocusmast::membership;
namespace request = crocusmast::request;
namespace routing = crocusmast::routing;

constexpr std::chrono::microseconds kNetworkDelay{1500};
constexpr std::chrono::milliseconds kTickInterval{50};

/** @brief A logger and meter that discard everything. */
class NullSinks final : public core::Logger, public core::Meter {
 public:
  bool IsEnabled(core::Severity severity) const override { return false; }
  void Write(core::LogRecord record) override {}
  void Add(core::Counter counter, std::uint64_t amount) override {}
  void Observe(core::Timing timing, core::Duration value) override {}
  void ObserveSize(core::Size size, std::uint64_t bytes) override {}
};

class CrocusmastPolicy;

/** @brief A simulated entry instance: a router and its open requests. */
class EntryInstance final : public routing::PeerNotifier,
                            public routing::TargetLeavingListener {
 public:
  EntryInstance(CrocusmastPolicy& policy,
                std::size_t index,
                EventQueue& events);

  /** @brief An open request of this instance. */
  struct Call {
    Request request;
    std::shared_ptr<routing::InstructionRing> ring;
    std::function<void(request::DeliveryStatus)> reply;
  };

  void Serve(const Request& request,
             bool is_forwarded,
             std::function<void(request::DeliveryStatus)> reply);
  void Handle(routing::Message message);
  void Tick();
  std::size_t CountWaiting(const std::string& pool);

  // routing::PeerNotifier
  void SendFreeSlots(
      const std::vector<core::InstanceId>& peers,
      const std::vector<routing::PoolFreeSlots>& free_slots) override;
  void SendQuotaDemand(const core::InstanceId& lender,
                       const routing::QuotaDemand& demand) override;
  void SendQuotaGrant(const routing::OutgoingGrant& grant) override;
  void SendClaimReply(const core::InstanceId& peer,
                      routing::CallNumber call,
                      request::ClaimOutcome outcome) override;
  void SendClaimRelease(const core::InstanceId& replica,
                        const core::RequestId& id,
                        const request::ClaimToken& token) override;
  void SendTargetRelease(const std::vector<core::InstanceId>& peers,
                         const routing::ReleasedTarget& released) override {}
  void SendIdleReply(const core::InstanceId& peer,
                     const core::InstanceId& target,
                     bool is_idle) override {}
  // routing::TargetLeavingListener
  void OnTargetLeaving(const core::InstanceId& target) override {}

 private:
  using CallIterator = std::list<Call>::iterator;

  void ExecuteInstructions();
  bool ExecuteInstruction(CallIterator call,
                          const routing::Instruction& instruction);
  void Send(const Call& call, const routing::SendTo& send);
  void Forward(const Call& call, const routing::ForwardTo& forward);
  void Claim(const Call& call, const routing::ClaimAt& claim);
  void CompleteCall(const std::shared_ptr<routing::InstructionRing>& ring);
  void ReportAttempt(core::RequestKey key,
                     const core::InstanceId& source,
                     request::DeliveryStatus delivery,
                     core::TimePoint sent_at);

  CrocusmastPolicy& m_policy;
  const core::InstanceId m_id;
  EventQueue& m_events;
  NullSinks m_sinks;
  routing::Router m_router;
  std::list<Call> m_calls;
  bool m_is_executing = false;
};

/** @brief The simulated entry instances with crocusmast's routers. */
class CrocusmastPolicy final : public Policy {
 public:
  CrocusmastPolicy(const Workload& workload,
                   std::size_t entry_count,
                   EventQueue& events,
                   Targets& targets);

  void HandleRequest(Request request) override;
  std::size_t CountWaiting(const std::string& pool) const override;
  EntryInstance& InstanceOf(const core::InstanceId& id) {
    return *m_instances_by_id.at(id);
  }
  Targets& GetTargets() { return m_targets; }

  /**
   * @brief Delivers a message to a peer after the network delay.
   * @param peer The peer.
   * @param message The message.
   */
  void Deliver(const core::InstanceId& peer, routing::Message message) {
    auto shared = std::make_shared<routing::Message>(std::move(message));
    m_events.Schedule(kNetworkDelay, [this, peer, shared] {
      InstanceOf(peer).Handle(std::move(*shared));
    });
  }

 private:
  void TickAll();

  EventQueue& m_events;
  Targets& m_targets;
  std::vector<std::unique_ptr<EntryInstance>> m_instances;
  std::map<core::InstanceId, EntryInstance*> m_instances_by_id;
  std::size_t m_next_index = 0;
};

EntryInstance::EntryInstance(CrocusmastPolicy& policy,
                             std::size_t index,
                             EventQueue& events)
    : m_policy(policy),
      m_id(MakeId<core::InstanceId>(EntryName(index))),
      m_events(events),
      m_router({m_id, MakeId<core::ZoneId>(ZoneName(index)),
                (index + 1) * 1000000000ULL},
               {*this, *this, m_sinks, m_sinks, events}) {}

void EntryInstance::Serve(const Request& request,
                          bool is_forwarded,
                          std::function<void(request::DeliveryStatus)> reply) {
  auto ring = std::make_shared<routing::InstructionRing>(2);
  m_calls.push_back(Call{request, ring, std::move(reply)});
  Handle(routing::RequestArrived{request.spec, is_forwarded, ring});
}

void EntryInstance::Handle(routing::Message message) {
  m_router.Handle(std::move(message));
  ExecuteInstructions();
}

void EntryInstance::Tick() {
  m_router.Tick();
  ExecuteInstructions();
}

// Executing an instruction may re-enter Handle(). The nested call returns at
// once, and the outer loop goes on to the calls that it has not yet visited,
// new ones included. Instructions for calls that it has passed wait for the
// next message or tick.
void EntryInstance::ExecuteInstructions() {
  if (m_is_executing) {
    return;
  }
  m_is_executing = true;
  for (CallIterator call = m_calls.begin(); call != m_calls.end();) {
    const auto instruction = call->ring->PopFor(core::Duration::zero());
    const bool is_complete =
        instruction && ExecuteInstruction(call, *instruction);
    call = is_complete ? m_calls.erase(call) : std::next(call);
  }
  m_is_executing = false;
}

bool EntryInstance::ExecuteInstruction(
    CallIterator call,
    const routing::Instruction& instruction) {
  if (const auto* send = std::get_if<routing::SendTo>(&instruction)) {
    Send(*call, *send);
  } else if (const auto* forward =
                 std::get_if<routing::ForwardTo>(&instruction)) {
    Forward(*call, *forward);
  } else if (const auto* claim = std::get_if<routing::ClaimAt>(&instruction)) {
    Claim(*call, *claim);
  } else if (const auto* error =
                 std::get_if<routing::ReturnError>(&instruction)) {
    const bool is_refused = error->outcome == request::Outcome::kRefused;
    call->reply(is_refused ? request::DeliveryStatus::kNotRun
                           : request::DeliveryStatus::kUnknown);
    return true;
  }
  return false;
}

void EntryInstance::CompleteCall(
    const std::shared_ptr<routing::InstructionRing>& ring) {
  const auto found =
      std::find_if(m_calls.begin(), m_calls.end(),
                   [&](const Call& call) { return call.ring == ring; });
  if (found != m_calls.end()) {
    const auto reply = found->reply;
    m_calls.erase(found);
    reply(request::DeliveryStatus::kAnswered);
  }
}

void EntryInstance::ReportAttempt(core::RequestKey key,
                                  const core::InstanceId& source,
                                  request::DeliveryStatus delivery,
                                  core::TimePoint sent_at) {
  routing::AttemptReport report;
  report.delivery = delivery;
  report.latency = m_events.Now() - sent_at;
  Handle(routing::AttemptFinished{key, source, report, request::Reason::kNone});
}

void EntryInstance::Send(const Call& call, const routing::SendTo& send) {
  const core::TimePoint sent_at = m_events.Now();
  const auto ring = call.ring;
  const bool is_accepted = m_policy.GetTargets().Send(
      send.choice.target.Text(), call.request, [this, send, sent_at, ring] {
        CompleteCall(ring);
        ReportAttempt(send.key, send.choice.target,
                      request::DeliveryStatus::kAnswered, sent_at);
      });
  if (!is_accepted) {
    m_events.Schedule({}, [this, send, sent_at] {
      ReportAttempt(send.key, send.choice.target,
                    request::DeliveryStatus::kNotRun, sent_at);
    });
  }
}

void EntryInstance::Forward(const Call& call,
                            const routing::ForwardTo& forward) {
  const core::TimePoint sent_at = m_events.Now();
  const auto ring = call.ring;
  const auto on_reply = [this, forward, sent_at,
                         ring](request::DeliveryStatus delivery) {
    m_events.Schedule(kNetworkDelay, [this, forward, sent_at, ring, delivery] {
      if (delivery == request::DeliveryStatus::kAnswered) {
        CompleteCall(ring);
      }
      ReportAttempt(forward.key, forward.peer, delivery, sent_at);
    });
  };
  m_events.Schedule(
      kNetworkDelay, [this, request = call.request, forward, on_reply] {
        m_policy.InstanceOf(forward.peer).Serve(request, true, on_reply);
      });
}

void EntryInstance::Claim(const Call& call, const routing::ClaimAt& claim) {
  // The request's key serves as the call number, so that the reply can be
  // matched to the request.
  m_policy.Deliver(claim.peer, routing::ClaimReceived{
                                   m_id, routing::CallNumber(claim.key.Count()),
                                   call.request.spec.id, claim.token});
}

void EntryInstance::SendClaimReply(const core::InstanceId& peer,
                                   routing::CallNumber call,
                                   request::ClaimOutcome outcome) {
  m_policy.Deliver(peer, routing::ClaimFinished{core::RequestKey(call.Count()),
                                                m_id, outcome});
}

void EntryInstance::SendFreeSlots(
    const std::vector<core::InstanceId>& peers,
    const std::vector<routing::PoolFreeSlots>& free_slots) {
  for (const core::InstanceId& peer : peers) {
    m_policy.Deliver(peer, routing::FreeSlotsReceived{m_id, free_slots});
  }
}

void EntryInstance::SendQuotaDemand(const core::InstanceId& lender,
                                    const routing::QuotaDemand& demand) {
  m_policy.Deliver(lender, routing::QuotaDemandReceived{m_id, demand});
}

void EntryInstance::SendQuotaGrant(const routing::OutgoingGrant& grant) {
  m_policy.Deliver(grant.borrower, routing::QuotaGrantReceived{grant.grant});
}

void EntryInstance::SendClaimRelease(const core::InstanceId& replica,
                                     const core::RequestId& id,
                                     const request::ClaimToken& token) {
  m_policy.Deliver(replica, routing::ClaimReleaseReceived{id, token});
}

std::size_t EntryInstance::CountWaiting(const std::string& pool) {
  const auto reply =
      std::make_shared<core::BoundedRing<routing::RouterStatus>>(1);
  m_router.Handle(routing::StatusQuery{reply});
  const auto router_status = reply->PopFor(core::Duration::zero());
  for (const routing::PoolStatus& status : router_status->pools) {
    if (status.pool.Text() == pool) {
      return status.waiting;
    }
  }
  return 0;
}

CrocusmastPolicy::CrocusmastPolicy(const Workload& workload,
                                   std::size_t entry_count,
                                   EventQueue& events,
                                   Targets& targets)
    : m_events(events), m_targets(targets) {
  const membership::MembershipUpdate update =
      MakeMembership(workload, entry_count);
  const auto lists =
      std::make_shared<const crocusmast::configuration::PlanLists>(
          workload.lists);
  for (std::size_t index = 0; index < entry_count; ++index) {
    m_instances.push_back(
        std::make_unique<EntryInstance>(*this, index, events));
    const auto id = MakeId<core::InstanceId>(EntryName(index));
    m_instances_by_id[id] = m_instances.back().get();
  }
  for (std::size_t index = 0; index < entry_count; ++index) {
    membership::MembershipTable table(
        {MakeId<core::InstanceId>(EntryName(index)),
         MakeId<core::RegionId>("region-1"),
         MakeId<core::ZoneId>(ZoneName(index))});
    table.Apply(update, events.Now());
    m_instances[index]->Handle(routing::MembershipChanged{
        std::make_shared<const membership::MembershipView>(table.View())});
    m_instances[index]->Handle(
        routing::PlanListsChanged{core::Revision(1), lists});
  }
  TickAll();
}

void CrocusmastPolicy::TickAll() {
  for (const std::unique_ptr<EntryInstance>& instance : m_instances) {
    instance->Tick();
  }
  m_events.Schedule(kTickInterval, [this] { TickAll(); });
}

void CrocusmastPolicy::HandleRequest(Request request) {
  EntryInstance& instance = *m_instances[m_next_index++ % m_instances.size()];
  const auto on_completed = request.on_completed;
  instance.Serve(request, false,
                 [on_completed](request::DeliveryStatus delivery) {
                   switch (delivery) {
                     case request::DeliveryStatus::kAnswered:
                       on_completed(request::Outcome::kAnswered);
                       break;
                     case request::DeliveryStatus::kNotRun:
                       on_completed(request::Outcome::kRefused);
                       break;
                     case request::DeliveryStatus::kUnknown:
                       on_completed(request::Outcome::kUnknown);
                       break;
                   }
                 });
}

std::size_t CrocusmastPolicy::CountWaiting(const std::string& pool) const {
  std::size_t waiting = 0;
  for (const std::unique_ptr<EntryInstance>& instance : m_instances) {
    waiting += instance->CountWaiting(pool);
  }
  return waiting;
}

}  // namespace internal

std::unique_ptr<Policy> MakeCrocusmast(const Workload& workload,
                                       std::size_t entry_count,
                                       EventQueue& events,
                                       Targets& targets) {
  return std::make_unique<internal::CrocusmastPolicy>(workload, entry_count,
                                                      events, targets);
}

}  // namespace bench::flood
