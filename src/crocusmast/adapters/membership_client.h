#ifndef CROCUSMAST_ADAPTERS_MEMBERSHIP_CLIENT_H_
#define CROCUSMAST_ADAPTERS_MEMBERSHIP_CLIENT_H_

#include <memory>

#include "crocusmast/adapters/http_client.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/membership/membership_source.h"

namespace crocusmast::adapters {

/** @brief Reads the platform's membership list over HTTP. */
class MembershipClient final : public membership::MembershipSource {
 public:
  /**
   * @brief Creates a client.
   * @param address Address of the membership service.
   * @param meter Counts calls and bytes; must outlive the client.
   */
  static std::unique_ptr<MembershipClient> Create(
      const fleet::Endpoint& address,
      core::Meter& meter);

  core::Result<membership::MembershipUpdate> ReadAfter(
      membership::MembershipVersion after) override;

 private:
  MembershipClient(std::unique_ptr<HttpClient> http, core::Meter& meter);

  std::unique_ptr<HttpClient> m_http;
  core::Meter& m_meter;
};

/**
 * @brief Parses an update of the membership list.
 * @param text JSON text.
 * @return The update, or an error that names the invalid field.
 */
core::Result<membership::MembershipUpdate> ParseMembershipUpdate(
    std::string_view text);

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_MEMBERSHIP_CLIENT_H_
