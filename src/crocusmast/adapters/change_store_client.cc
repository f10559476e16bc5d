#include "crocusmast/adapters/change_store_client.h"

#include <cstdio>
#include <utility>

#include "crocusmast/adapters/configuration_codec.h"
#include "crocusmast/adapters/json_reader.h"

namespace crocusmast::adapters {
namespace internal {

constexpr std::chrono::seconds kCallTimeout{2};
constexpr int kOk = 200;
constexpr int kNotFound = 404;

// Zero-padded, so that the order of the keys is the order of the revisions.
std::string ChangeKey(core::Revision revision) {
  char text[sizeof "configuration/change/00000000000000000000"];
  std::snprintf(text, sizeof text, "configuration/change/%020llu",
                static_cast<unsigned long long>(revision.Count()));
  return text;
}

core::Result<std::vector<configuration::Change>> ParseRange(
    const std::string& body) {
  BOOST_LEAF_AUTO(json,
                  ParseStrictJson(body, "store", core::Operation::kReadStore));
  if (!json.is_array()) {
    return core::Fail(core::Operation::kReadStore, "store",
                      "not an array of values");
  }
  std::vector<configuration::Change> changes;
  for (const Json& value : json) {
    if (!value.is_string()) {
      return core::Fail(core::Operation::kReadStore, "store",
                        "a value is not a string");
    }
    BOOST_LEAF_AUTO(change, ParseChange(value.get<std::string>()));
    changes.push_back(std::move(change));
  }
  return changes;
}

boost::leaf::error_id UnexpectedStatus(core::Operation operation,
                                       const HttpResponse& response) {
  return core::Fail(operation, "store",
                    "responded with status " + std::to_string(response.status));
}

}  // namespace internal

using configuration::AppendOutcome;
using configuration::Change;
using configuration::Snapshot;
using core::Operation;

ChangeStoreClient::ChangeStoreClient(const fleet::Endpoint& address,
                                     core::Meter& meter)
    : m_http(address, meter) {}

std::unique_ptr<ChangeStoreClient> ChangeStoreClient::Create(
    const fleet::Endpoint& address,
    core::Meter& meter) {
  return std::unique_ptr<ChangeStoreClient>(
      new ChangeStoreClient(address, meter));
}

core::Result<AppendOutcome> ChangeStoreClient::Append(const Change& change) {
  const std::string path =
      "/keys/" + internal::ChangeKey(change.revision) + "?expect=0";
  core::Result<HttpResponse> response =
      m_http.Put(path, FormatChange(change), internal::kCallTimeout);
  if (response && response->status == internal::kOk) {
    return AppendOutcome::kAppended;
  }
  return ResolveAppend(change);
}

// Reads the key to find out whether the write took effect: its response may
// have been lost, or another instance may have written the revision first.
core::Result<AppendOutcome> ChangeStoreClient::ResolveAppend(
    const Change& change) {
  BOOST_LEAF_AUTO(response,
                  m_http.Get("/keys/" + internal::ChangeKey(change.revision),
                             internal::kCallTimeout));
  if (response.status == internal::kNotFound) {
    return core::Fail(Operation::kWriteStore, "store",
                      "the change was not stored; nothing changed, retry");
  }
  if (response.status != internal::kOk) {
    return internal::UnexpectedStatus(Operation::kWriteStore, response);
  }
  BOOST_LEAF_AUTO(stored, ParseChange(response.body));
  return stored.origin.id == change.origin.id ? AppendOutcome::kAppended
                                              : AppendOutcome::kRevisionTaken;
}

core::Result<std::vector<Change>> ChangeStoreClient::ReadAfter(
    core::Revision after,
    core::Duration wait) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const std::string path = "/range?prefix=configuration/change/&after=" +
                           internal::ChangeKey(after) +
                           "&wait_ms=" + std::to_string(wait_ms);
  BOOST_LEAF_AUTO(response, m_http.Get(path, wait + internal::kCallTimeout));
  if (response.status != internal::kOk) {
    return internal::UnexpectedStatus(Operation::kReadStore, response);
  }
  return internal::ParseRange(response.body);
}

core::Result<std::optional<Snapshot>> ChangeStoreClient::ReadSnapshot() {
  BOOST_LEAF_AUTO(response, m_http.Get("/keys/configuration/snapshot",
                                       internal::kCallTimeout));
  if (response.status == internal::kNotFound) {
    return std::optional<Snapshot>();
  }
  if (response.status != internal::kOk) {
    return internal::UnexpectedStatus(Operation::kReadStore, response);
  }
  BOOST_LEAF_AUTO(snapshot, ParseSnapshot(response.body));
  return std::optional<Snapshot>(std::move(snapshot));
}

core::Result<void> ChangeStoreClient::WriteSnapshot(const Snapshot& snapshot) {
  BOOST_LEAF_AUTO(response,
                  m_http.Put("/keys/configuration/snapshot",
                             FormatSnapshot(snapshot), internal::kCallTimeout));
  if (response.status != internal::kOk) {
    return internal::UnexpectedStatus(Operation::kWriteStore, response);
  }
  return {};
}

}  // namespace crocusmast::adapters
