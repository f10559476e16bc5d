#ifndef CROCUSMAST_ROUTING_DRIVER_H_
#define CROCUSMAST_ROUTING_DRIVER_H_

#include <memory>
#include <optional>
#include <string>

#include "crocusmast/core/bounded_ring.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/routing/messages.h"
#include "crocusmast/routing/peer_port.h"
#include "crocusmast/routing/target_port.h"

namespace crocusmast::routing {

/** @brief What a caller is told. */
struct Reply {
  /** @brief Answered, refused as not run, or unknown. */
  request::Outcome outcome = request::Outcome::kRefused;
  /** @brief Why, if not answered. */
  request::Reason reason = request::Reason::kNone;
  /** @brief When the caller may come back, if not answered. */
  std::chrono::seconds retry_after{};
  /** @brief The answer, if answered. */
  Answer answer;
  /** @brief The target or peer that answered. */
  core::InstanceId source;
};

/** @brief The ports that a driver uses; all outlive it. */
struct RequestExecutorPorts {
  /** @brief Feeds the routing duty. */
  core::BoundedRing<Message>& router;
  /** @brief The targets. */
  TargetPort& targets;
  /** @brief The other entry instances. */
  PeerCalls& peers;
  /** @brief The metrics. */
  core::Meter& meter;
  /** @brief The time. */
  const core::Clock& clock;
};

/**
 * @brief Serves requests on the threads of their connections.
 *
 * A thread asks the routing duty what to do, does it, and reports, until the
 * request has ended.
 */
class Driver {
 public:
  /**
   * @brief Makes a driver.
   * @param ports The ports.
   */
  explicit Driver(RequestExecutorPorts ports) : m_ports(ports) {}

  /**
   * @brief Serves one request; may be called by many threads at once.
   * @param spec What the caller said.
   * @param body The body.
   * @param is_forwarded True if a peer handed the request on.
   * @return What to tell the caller.
   */
  Reply Run(const request::RequestSpec& spec,
            const std::string& body,
            bool is_forwarded) const;

 private:
  /** @brief The state of one call of Run. */
  struct Call {
    const request::RequestSpec& spec;
    const std::string& body;
    std::shared_ptr<InstructionRing> instructions;
    Reply reply;
    bool was_sent = false;
    bool is_done = false;
  };

  void Execute(Call& call, const std::monostate& nothing) const {}
  void Execute(Call& call, const SendTo& instruction) const;
  void Execute(Call& call, const ForwardTo& instruction) const;
  void Execute(Call& call, const ClaimAt& instruction) const;
  void Execute(Call& call, const GiveUp& instruction) const;
  void Execute(Call& call, const ReturnAnswer& instruction) const;

  void Report(Call& call,
              core::RequestKey key,
              const core::InstanceId& source,
              SendResult result) const;
  void Abandon(Call& call) const;
  void Post(Message message) const;
  core::Duration RemainingTime(const Call& call) const;

  RequestExecutorPorts m_ports;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_DRIVER_H_
