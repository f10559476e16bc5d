#ifndef CROCUSMAST_ROUTING_DECISION_RECORDER_H_
#define CROCUSMAST_ROUTING_DECISION_RECORDER_H_

#include <vector>

#include "crocusmast/core/logger.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/request/decision_history.h"
#include "crocusmast/request/request_spec.h"

namespace crocusmast::routing {

/** @brief Logs, counts and stores each decision about a request. */
class DecisionRecorder {
 public:
  /**
   * @brief Constructs a recorder.
   * @param logger The logger; must outlive the recorder.
   * @param meter The metrics; must outlive the recorder.
   * @param clock The clock; must outlive the recorder.
   */
  DecisionRecorder(core::Logger& logger,
                   core::Meter& meter,
                   const core::Clock& clock);

  /**
   * @brief Records a decision.
   * @param spec The request.
   * @param kind What was decided.
   * @param destination The target or peer, or the replica of a claim; empty if
   * there is none.
   * @param reason Why the request was not answered, if so.
   */
  void Record(const request::RequestSpec& spec,
              request::DecisionKind kind,
              const core::InstanceId& destination = {},
              request::Reason reason = request::Reason::kNone);

  /**
   * @brief Returns the recorded decisions about a request.
   * @param request The request.
   */
  std::vector<request::Decision> Find(const core::RequestId& request) const {
    return m_history.Find(request);
  }

 private:
  void Count(request::DecisionKind kind);

  core::Logger& m_logger;
  core::Meter& m_meter;
  const core::Clock& m_clock;
  request::DecisionHistory m_history;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_DECISION_RECORDER_H_
