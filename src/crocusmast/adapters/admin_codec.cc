#include "crocusmast/adapters/admin_codec.h"

#include <utility>

#include "crocusmast/adapters/configuration_codec.h"
#include "crocusmast/adapters/json_reader.h"

namespace crocusmast::adapters {

using core::Operation;
using internal::Json;

std::string FormatError(const core::Error& error) {
  return Json{{"error", core::Describe(error)},
              {"step", core::OperationName(error.operation)},
              {"peer", error.subject},
              {"detail", error.detail}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string ParseError(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_object() && json.contains("error") && json["error"].is_string()) {
    return json["error"].get<std::string>();
  }
  return std::string(text);
}

std::string FormatRevision(core::Revision revision) {
  return Json{{"revision", revision.Count()}}.dump();
}

core::Result<core::Revision> ParseRevision(std::string_view text) {
  BOOST_LEAF_AUTO(json, internal::ParseStrictJson(text, "answer",
                                                  Operation::kAdministration));
  const internal::JsonObjectReader reader(json, "answer",
                                          Operation::kAdministration);
  BOOST_LEAF_AUTO(revision, reader.Number("revision"));
  return core::Revision(revision);
}

std::string FormatChanges(const std::vector<configuration::Change>& changes) {
  Json json = Json::array();
  for (const configuration::Change& change : changes) {
    json.push_back(FormatChange(change));
  }
  return json.dump();
}

core::Result<std::vector<configuration::Change>> ParseChanges(
    std::string_view text) {
  BOOST_LEAF_AUTO(json, internal::ParseStrictJson(text, "answer",
                                                  Operation::kAdministration));
  std::vector<configuration::Change> changes;
  for (const Json& item : json) {
    if (!item.is_string()) {
      return core::Fail(Operation::kAdministration, "answer",
                        "a change is not a string");
    }
    BOOST_LEAF_AUTO(change, ParseChange(item.get<std::string>()));
    changes.push_back(std::move(change));
  }
  return changes;
}

std::string FormatDecisions(const std::vector<request::Decision>& decisions) {
  Json json = Json::array();
  for (const request::Decision& decision : decisions) {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
        decision.at.time_since_epoch());
    json.push_back(Json{{"at_ms", at.count()},
                        {"decision", request::DecisionName(decision.kind)},
                        {"destination", decision.destination.Text()},
                        {"reason", request::ReasonName(decision.reason)},
                        {"sentence", request::Describe(decision)}});
  }
  return json.dump();
}

std::string FormatStatus(const InstanceStatus& status) {
  Json pools = Json::array();
  for (const routing::PoolStatus& pool : status.router.pools) {
    pools.push_back(Json{{"pool", pool.pool.Text()},
                         {"free", pool.free.Count()},
                         {"in_flight", pool.in_flight.Count()},
                         {"waiting", pool.waiting}});
  }
  Json peers = Json::array();
  for (const core::InstanceId& peer : status.router.peers) {
    peers.push_back(peer.Text());
  }
  return Json{{"instance", status.id.Text()},
              {"zone", status.zone.Text()},
              {"revision", status.router.revision.Count()},
              {"requests", status.router.requests},
              {"peers", std::move(peers)},
              {"pools", std::move(pools)}}
      .dump();
}

}  // namespace crocusmast::adapters
