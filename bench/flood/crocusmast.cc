#include <algorithm>
#include <list>
#include <optional>
#include <utility>
#include <variant>

#include "bench/flood/fleet.h"
#include "bench/flood/members.h"
#include "crocusmast/membership/roster.h"
#include "crocusmast/routing/router.h"

namespace bench::flood {
namespace internal {

namespace core = crocusmast::core;
namespace fleet = crocusmast::fleet;
namespace membership = crocusmast::membership;
namespace request = crocusmast::request;
namespace routing = crocusmast::routing;

constexpr std::chrono::microseconds kLink{1500};
constexpr std::chrono::milliseconds kTick{50};

/** @brief Keeps nothing. */
class NullSinks final : public core::Logger, public core::Meter {
 public:
  bool IsEnabled(core::Severity severity) const override { return false; }
  void Write(core::LogRecord record) override {}
  void Add(core::Counter counter, std::uint64_t amount) override {}
  void Observe(core::Timing timing, core::Duration value) override {}
};

class Crocusmast;

/** @brief One entry instance: a router and the requests that it serves. */
class Node final : public routing::PeerNews, public routing::LeavingListener {
 public:
  Node(Crocusmast& fleet, std::size_t index, Events& events);

  /** @brief A request that is served here. */
  struct Call {
    Request request;
    std::shared_ptr<routing::InstructionRing> ring;
    std::function<void(request::Delivery)> reply;
  };

  void Serve(const Request& request,
             bool is_forwarded,
             std::function<void(request::Delivery)> reply);
  void Handle(routing::Message message);
  void Tick();
  std::size_t Waiting(const std::string& pool);

  // routing::PeerNews
  void SendLoads(const std::vector<core::InstanceId>& peers,
                 const std::vector<routing::PoolLoad>& loads) override;
  void SendWant(const core::InstanceId& lender,
                const routing::ShareWant& want) override;
  void SendGrant(const routing::AddressedGrant& grant) override;
  void SendClaimReply(const core::InstanceId& peer,
                      routing::CallNumber call,
                      request::ClaimOutcome outcome) override;
  void SendRelease(const core::InstanceId& holder,
                   const core::RequestId& id,
                   const request::ClaimToken& token) override;
  void SendReleased(const std::vector<core::InstanceId>& peers,
                    const routing::Released& released) override {}
  void SendIdle(const core::InstanceId& peer,
                const core::InstanceId& target,
                bool is_idle) override {}
  // routing::LeavingListener
  void TargetLeaves(const core::InstanceId& target) override {}

 private:
  using CallPlace = std::list<Call>::iterator;

  void Poll();
  bool Follow(CallPlace call, const routing::Instruction& instruction);
  void Send(const Call& call, const routing::SendTo& send);
  void Forward(const Call& call, const routing::ForwardTo& forward);
  void Claim(const Call& call, const routing::ClaimAt& claim);
  void Answer(const std::shared_ptr<routing::InstructionRing>& ring);
  void Report(core::RequestKey key,
              const core::InstanceId& source,
              request::Delivery delivery,
              core::TimePoint sent_at);

  Crocusmast& m_fleet;
  const core::InstanceId m_id;
  Events& m_events;
  NullSinks m_sinks;
  routing::Router m_router;
  std::list<Call> m_calls;
  bool m_is_polling = false;
};

/** @brief All entry instances. */
class Crocusmast final : public Policy {
 public:
  Crocusmast(const Workload& workload,
             std::size_t entries,
             Events& events,
             Targets& targets);

  void Arrive(Request request) override;
  std::size_t Waiting(const std::string& pool) const override;
  Node& At(const core::InstanceId& id) { return *m_by_id.at(id); }
  Targets& TargetsOf() { return m_targets; }

  /**
   * @brief Delivers a message to a peer after the link's delay.
   * @param peer The peer.
   * @param message The message.
   */
  void Deliver(const core::InstanceId& peer, routing::Message message) {
    auto shared = std::make_shared<routing::Message>(std::move(message));
    m_events.After(
        kLink, [this, peer, shared] { At(peer).Handle(std::move(*shared)); });
  }

 private:
  void TickAll();

  Events& m_events;
  Targets& m_targets;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::map<core::InstanceId, Node*> m_by_id;
  std::size_t m_next = 0;
};

Node::Node(Crocusmast& fleet, std::size_t index, Events& events)
    : m_fleet(fleet),
      m_id(MakeId<core::InstanceId>(EntryName(index))),
      m_events(events),
      m_router({m_id, MakeId<core::ZoneId>(ZoneName(index)),
                (index + 1) * 1000000000ULL},
               {*this, *this, m_sinks, m_sinks, events}) {}

void Node::Serve(const Request& request,
                 bool is_forwarded,
                 std::function<void(request::Delivery)> reply) {
  auto ring = std::make_shared<routing::InstructionRing>(2);
  m_calls.push_back(Call{request, ring, std::move(reply)});
  Handle(routing::Arrival{request.spec, is_forwarded, ring});
}

void Node::Handle(routing::Message message) {
  m_router.Handle(std::move(message));
  Poll();
}

void Node::Tick() {
  m_router.Tick();
  Poll();
}

// A call that is followed may lead to more messages for this router, which
// the same loop finds.
void Node::Poll() {
  if (m_is_polling) {
    return;
  }
  m_is_polling = true;
  for (CallPlace call = m_calls.begin(); call != m_calls.end();) {
    const auto instruction = call->ring->PopFor(core::Duration::zero());
    const bool is_over = instruction && Follow(call, *instruction);
    call = is_over ? m_calls.erase(call) : std::next(call);
  }
  m_is_polling = false;
}

bool Node::Follow(CallPlace call, const routing::Instruction& instruction) {
  if (const auto* send = std::get_if<routing::SendTo>(&instruction)) {
    Send(*call, *send);
  } else if (const auto* forward =
                 std::get_if<routing::ForwardTo>(&instruction)) {
    Forward(*call, *forward);
  } else if (const auto* claim = std::get_if<routing::ClaimAt>(&instruction)) {
    Claim(*call, *claim);
  } else if (const auto* give_up = std::get_if<routing::GiveUp>(&instruction)) {
    const bool is_refused = give_up->outcome == request::Outcome::kRefused;
    call->reply(is_refused ? request::Delivery::kNotRun
                           : request::Delivery::kUnknown);
    return true;
  }
  return false;
}

void Node::Answer(const std::shared_ptr<routing::InstructionRing>& ring) {
  const auto place =
      std::find_if(m_calls.begin(), m_calls.end(),
                   [&](const Call& call) { return call.ring == ring; });
  if (place != m_calls.end()) {
    const auto reply = place->reply;
    m_calls.erase(place);
    reply(request::Delivery::kAnswered);
  }
}

void Node::Report(core::RequestKey key,
                  const core::InstanceId& source,
                  request::Delivery delivery,
                  core::TimePoint sent_at) {
  routing::SendReport report;
  report.delivery = delivery;
  report.latency = m_events.Now() - sent_at;
  Handle(routing::SendFinished{key, source, report, request::Reason::kNone});
}

void Node::Send(const Call& call, const routing::SendTo& send) {
  const core::TimePoint sent_at = m_events.Now();
  const auto ring = call.ring;
  const bool is_taken = m_fleet.TargetsOf().Send(
      send.choice.target.Text(), call.request, [this, send, sent_at, ring] {
        Answer(ring);
        Report(send.key, send.choice.target, request::Delivery::kAnswered,
               sent_at);
      });
  if (!is_taken) {
    m_events.After({}, [this, send, sent_at] {
      Report(send.key, send.choice.target, request::Delivery::kNotRun, sent_at);
    });
  }
}

void Node::Forward(const Call& call, const routing::ForwardTo& forward) {
  const core::TimePoint sent_at = m_events.Now();
  const auto ring = call.ring;
  const auto answered = [this, forward, sent_at,
                         ring](request::Delivery delivery) {
    m_events.After(kLink, [this, forward, sent_at, ring, delivery] {
      if (delivery == request::Delivery::kAnswered) {
        Answer(ring);
      }
      Report(forward.key, forward.peer, delivery, sent_at);
    });
  };
  m_events.After(kLink, [this, request = call.request, forward, answered] {
    m_fleet.At(forward.peer).Serve(request, true, answered);
  });
}

void Node::Claim(const Call& call, const routing::ClaimAt& claim) {
  // The call's number is the request's key, which the answer has to name.
  m_fleet.Deliver(claim.peer, routing::ClaimSeen{
                                  m_id, routing::CallNumber(claim.key.Count()),
                                  call.request.spec.id, claim.token});
}

void Node::SendClaimReply(const core::InstanceId& peer,
                          routing::CallNumber call,
                          request::ClaimOutcome outcome) {
  m_fleet.Deliver(peer, routing::ClaimFinished{core::RequestKey(call.Count()),
                                               m_id, outcome});
}

void Node::SendLoads(const std::vector<core::InstanceId>& peers,
                     const std::vector<routing::PoolLoad>& loads) {
  for (const core::InstanceId& peer : peers) {
    m_fleet.Deliver(peer, routing::LoadsSeen{m_id, loads});
  }
}

void Node::SendWant(const core::InstanceId& lender,
                    const routing::ShareWant& want) {
  m_fleet.Deliver(lender, routing::WantSeen{m_id, want});
}

void Node::SendGrant(const routing::AddressedGrant& grant) {
  m_fleet.Deliver(grant.borrower, routing::GrantSeen{grant.grant});
}

void Node::SendRelease(const core::InstanceId& holder,
                       const core::RequestId& id,
                       const request::ClaimToken& token) {
  m_fleet.Deliver(holder, routing::ReleaseSeen{id, token});
}

std::size_t Node::Waiting(const std::string& pool) {
  const auto reply =
      std::make_shared<core::BoundedRing<routing::RouterStatus>>(1);
  m_router.Handle(routing::StatusQuery{reply});
  const auto answer = reply->PopFor(core::Duration::zero());
  for (const routing::PoolStatus& status : answer->pools) {
    if (status.pool.Text() == pool) {
      return status.waiting;
    }
  }
  return 0;
}

Crocusmast::Crocusmast(const Workload& workload,
                       std::size_t entries,
                       Events& events,
                       Targets& targets)
    : m_events(events), m_targets(targets) {
  const membership::ListUpdate list = MakeList(workload, entries);
  const auto lists =
      std::make_shared<const crocusmast::configuration::Lists>(workload.lists);
  for (std::size_t index = 0; index < entries; ++index) {
    m_nodes.push_back(std::make_unique<Node>(*this, index, events));
    const auto id = MakeId<core::InstanceId>(EntryName(index));
    m_by_id[id] = m_nodes.back().get();
  }
  for (std::size_t index = 0; index < entries; ++index) {
    membership::Roster roster({MakeId<core::InstanceId>(EntryName(index)),
                               MakeId<core::RegionId>("region-1"),
                               MakeId<core::ZoneId>(ZoneName(index))});
    roster.Apply(list, events.Now());
    m_nodes[index]->Handle(routing::RosterChanged{
        std::make_shared<const membership::RosterView>(roster.View())});
    m_nodes[index]->Handle(routing::ListsChanged{core::Revision(1), lists});
  }
  TickAll();
}

void Crocusmast::TickAll() {
  for (const std::unique_ptr<Node>& node : m_nodes) {
    node->Tick();
  }
  m_events.After(kTick, [this] { TickAll(); });
}

void Crocusmast::Arrive(Request request) {
  Node& node = *m_nodes[m_next++ % m_nodes.size()];
  const auto done = request.done;
  node.Serve(request, false, [done](request::Delivery delivery) {
    switch (delivery) {
      case request::Delivery::kAnswered:
        done(request::Outcome::kAnswered);
        break;
      case request::Delivery::kNotRun:
        done(request::Outcome::kRefused);
        break;
      case request::Delivery::kUnknown:
        done(request::Outcome::kUnknown);
        break;
    }
  });
}

std::size_t Crocusmast::Waiting(const std::string& pool) const {
  std::size_t waiting = 0;
  for (const std::unique_ptr<Node>& node : m_nodes) {
    waiting += node->Waiting(pool);
  }
  return waiting;
}

}  // namespace internal

std::unique_ptr<Policy> MakeCrocusmast(const Workload& workload,
                                       std::size_t entries,
                                       Events& events,
                                       Targets& targets) {
  return std::make_unique<internal::Crocusmast>(workload, entries, events,
                                                targets);
}

}  // namespace bench::flood
