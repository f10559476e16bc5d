#include "crocusmast/core/logger.h"

namespace crocusmast::core {

std::string_view PartPrefix(Part part) {
  switch (part) {
    case Part::kRouting:
      return "route";
    case Part::kConfiguration:
      return "config";
    case Part::kMembership:
      return "member";
    case Part::kMaintenance:
      return "maintain";
    case Part::kPeer:
      return "peer";
    case Part::kHttp:
      return "http";
    case Part::kDaemon:
      return "daemon";
    case Part::kIntake:
      return "intake";
    case Part::kScheduling:
      return "schedule";
    case Part::kLeadership:
      return "lead";
    case Part::kStore:
      return "store";
    case Part::kWorker:
      return "worker";
    case Part::kUpkeep:
      return "upkeep";
    case Part::kCapacity:
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
