#include "crocusmast/cli/admin_client.h"

#include <memory>
#include <utility>

#include "crocusmast/adapters/admin_codec.h"

namespace crocusmast::cli {
namespace internal {

using core::Operation;

constexpr std::chrono::seconds kResponseTimeout{30};
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

Operation OperationForStatus(int status) {
  switch (status) {
    case kUnauthorized:
      return Operation::kAdministration;
    case kConflict:
      return Operation::kMergeEdit;
    case kUnavailable:
      return Operation::kConnect;
    default:
      return Operation::kValidateLists;
  }
}

core::Result<std::string> BodyOrError(const adapters::HttpResponse& response,
                                      const fleet::Endpoint& instance) {
  if (response.status == kOk || response.status == kNotFound) {
    return response.body;
  }
  return core::Fail(OperationForStatus(response.status),
                    instance.host + ":" + std::to_string(instance.port),
                    adapters::ParseError(response.body));
}

}  // namespace internal

AdminClient::AdminClient(std::vector<fleet::Endpoint> instances,
                         std::string token)
    : m_instances(std::move(instances)), m_token(std::move(token)) {}

core::Result<std::string> AdminClient::GetFrom(const fleet::Endpoint& instance,
                                               const std::string& path) const {
  const auto http = adapters::HttpClient::Create(instance, m_token);
  BOOST_LEAF_AUTO(response, http->Get(path, internal::kResponseTimeout));
  return internal::BodyOrError(response, instance);
}

core::Result<std::string> AdminClient::Get(const std::string& path) const {
  for (std::size_t index = 0; index + 1 < m_instances.size(); ++index) {
    const auto http = adapters::HttpClient::Create(m_instances[index], m_token);
    core::Result<adapters::HttpResponse> response =
        http->Get(path, internal::kResponseTimeout);
    if (response) {
      return internal::BodyOrError(*response, m_instances[index]);
    }
  }
  return GetFrom(m_instances.back(), path);
}

core::Result<std::string> AdminClient::Put(const std::string& path,
                                           const std::string& body) const {
  for (std::size_t index = 0; index + 1 < m_instances.size(); ++index) {
    const auto http = adapters::HttpClient::Create(m_instances[index], m_token);
    core::Result<adapters::HttpResponse> response =
        http->Put(path, body, internal::kResponseTimeout);
    if (response) {
      return internal::BodyOrError(*response, m_instances[index]);
    }
  }
  const auto http = adapters::HttpClient::Create(m_instances.back(), m_token);
  BOOST_LEAF_AUTO(response, http->Put(path, body, internal::kResponseTimeout));
  return internal::BodyOrError(response, m_instances.back());
}

}  // namespace crocusmast::cli
