#include "crocusmast/routing/decision_recorder.h"

#include <string>
#include <utility>

namespace crocusmast::routing {
namespace internal {

using request::DecisionKind;

core::Severity SeverityOf(DecisionKind kind) {
  switch (kind) {
    case DecisionKind::kAnswered:
    case DecisionKind::kClaimed:
      return core::Severity::kDebug;
    case DecisionKind::kUnknown:
      return core::Severity::kWarning;
    default:
      return core::Severity::kInfo;
  }
}

core::LogRecord ToLog(const request::Decision& decision) {
  return {core::Component::kRouting,
          SeverityOf(decision.kind),
          request::Describe(decision),
          {{"request", decision.request.Text()},
           {"plan", decision.plan.Text()},
           {"decision", std::string(request::DecisionName(decision.kind))},
           {"destination", decision.destination.Text()},
           {"reason", std::string(request::ReasonName(decision.reason))}}};
}

}  // namespace internal

DecisionRecorder::DecisionRecorder(core::Logger& logger,
                                   core::Meter& meter,
                                   const core::Clock& clock)
    : m_logger(logger), m_meter(meter), m_clock(clock) {}

void DecisionRecorder::Record(const request::RequestSpec& spec,
                              request::DecisionKind kind,
                              const core::InstanceId& destination,
                              request::Reason reason) {
  Count(kind);
  request::Decision decision{spec.id,     spec.plan, kind,
                             destination, reason,    m_clock.WallNow()};
  if (m_logger.IsEnabled(internal::SeverityOf(kind))) {
    m_logger.Write(internal::ToLog(decision));
  }
  m_history.Add(std::move(decision));
}

void DecisionRecorder::Count(request::DecisionKind kind) {
  using request::DecisionKind;
  switch (kind) {
    case DecisionKind::kForwarded:
      m_meter.Add(core::Counter::kRequestsForwarded, 1);
      return;
    case DecisionKind::kRetried:
      m_meter.Add(core::Counter::kRequestsRetried, 1);
      return;
    case DecisionKind::kAnswered:
      m_meter.Add(core::Counter::kRequestsAnswered, 1);
      return;
    case DecisionKind::kRefused:
      m_meter.Add(core::Counter::kRequestsRefused, 1);
      return;
    case DecisionKind::kUnknown:
      m_meter.Add(core::Counter::kRequestsUnknown, 1);
      return;
    default:
      return;
  }
}

}  // namespace crocusmast::routing
