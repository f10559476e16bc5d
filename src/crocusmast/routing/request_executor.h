#ifndef CROCUSMAST_ROUTING_REQUEST_EXECUTOR_H_
#define CROCUSMAST_ROUTING_REQUEST_EXECUTOR_H_

#include <memory>
#include <optional>
#include <string>

#include "crocusmast/core/bounded_ring.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/routing/messages.h"
#include "crocusmast/routing/peer_port.h"
#include "crocusmast/routing/target_port.h"

namespace crocusmast::routing {

/** @brief The result of a request, as returned to the caller. */
struct RequestResult {
  /** @brief Answered, refused (did not run) or unknown. */
  request::Outcome outcome = request::Outcome::kRefused;
  /** @brief Why there is no answer. */
  request::Reason reason = request::Reason::kNone;
  /** @brief Time after which the caller may retry, if there is no answer. */
  std::chrono::seconds retry_after{};
  /** @brief The answer, if there is one. */
  Answer answer;
  /** @brief The target or peer that answered. */
  core::InstanceId source;
};

/** @brief The interfaces that an executor uses; all must outlive it. */
struct RequestExecutorPorts {
  /** @brief Inbox of the router. */
  core::BoundedRing<Message>& router;
  /** @brief Sends requests to targets. */
  TargetPort& targets;
  /** @brief Sends requests to other entry instances. */
  PeerClient& peers;
  /** @brief The metrics. */
  core::Meter& meter;
  /** @brief The clock. */
  const core::Clock& clock;
};

/**
 * @brief Executes requests on the threads of their connections.
 *
 * A thread sends the request to the router, carries out its instructions and
 * reports their results, until the request has ended.
 */
class RequestExecutor {
 public:
  /**
   * @brief Constructs an executor.
   * @param ports The interfaces to use.
   */
  explicit RequestExecutor(RequestExecutorPorts ports) : m_ports(ports) {}

  /**
   * @brief Executes one request. Thread-safe.
   * @param spec The request's properties.
   * @param body The request body.
   * @param is_forwarded True if a peer forwarded the request.
   * @return The result for the caller.
   */
  RequestResult Run(const request::RequestSpec& spec,
                    const std::string& body,
                    bool is_forwarded) const;

 private:
  /** @brief The state of one call of Run. */
  struct Call {
    const request::RequestSpec& spec;
    const std::string& body;
    std::shared_ptr<InstructionRing> instructions;
    RequestResult reply;
    bool was_sent = false;
    bool is_done = false;
  };

  void Execute(Call& call, const std::monostate& nothing) const {}
  void Execute(Call& call, const SendTo& instruction) const;
  void Execute(Call& call, const ForwardTo& instruction) const;
  void Execute(Call& call, const ClaimAt& instruction) const;
  void Execute(Call& call, const ReturnError& instruction) const;
  void Execute(Call& call, const ReturnAnswer& instruction) const;

  void Report(Call& call,
              core::RequestKey key,
              const core::InstanceId& source,
              AttemptResult result) const;
  void Abandon(Call& call) const;
  void Post(Message message) const;
  core::Duration RemainingTime(const Call& call) const;

  RequestExecutorPorts m_ports;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_REQUEST_EXECUTOR_H_
