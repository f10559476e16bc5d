#include "crocusmast/core/logger.h"

namespace crocusmast::core {

std::string_view ComponentPrefix(Component component) {
  switch (component) {
    case Component::kRouting:
      return "route";
    case Component::kConfiguration:
      return "config";
    case Component::kMembership:
      return "member";
    case Component::kMaintenance:
      return "maintain";
    case Component::kPeer:
      return "peer";
    case Component::kHttp:
      return "http";
    case Component::kDaemon:
      return "daemon";
    case Component::kIntake:
      return "intake";
    case Component::kScheduling:
      return "schedule";
    case Component::kLeadership:
      return "lead";
    case Component::kStore:
      return "store";
    case Component::kWorker:
      return "worker";
    case Component::kUpkeep:
      return "upkeep";
    case Component::kCapacity:
      return "capacity";
  }
  return "unknown";
}

std::string_view SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return "debug";
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "unknown";
}

}  // namespace crocusmast::core
