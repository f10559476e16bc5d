#ifndef CROCUSMAST_CLI_ADMIN_CLIENT_H_
#define CROCUSMAST_CLI_ADMIN_CLIENT_H_

#include <string>
#include <vector>

#include "crocusmast/adapters/http_client.h"
#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::cli {

/** @brief Calls the administration API of entry instances. */
class AdminClient {
 public:
  /**
   * @brief Makes a client.
   * @param instances The instances' administration addresses.
   * @param token The operator's token.
   */
  AdminClient(std::vector<fleet::Endpoint> instances, std::string token);

  /**
   * @brief Reads a path at the first instance that answers.
   * @param path The path.
   */
  core::Result<std::string> Get(const std::string& path) const;

  /**
   * @brief Writes a path at the first instance that can be reached.
   * @param path The path.
   * @param body JSON.
   */
  core::Result<std::string> Put(const std::string& path,
                                const std::string& body) const;

  /**
   * @brief Reads a path at one instance.
   * @param instance The instance's address.
   * @param path The path.
   */
  core::Result<std::string> GetFrom(const fleet::Endpoint& instance,
                                    const std::string& path) const;

  /** @brief Returns the instances' addresses. */
  const std::vector<fleet::Endpoint>& Instances() const { return m_instances; }

 private:
  std::vector<fleet::Endpoint> m_instances;
  std::string m_token;
};

}  // namespace crocusmast::cli

#endif  // CROCUSMAST_CLI_ADMIN_CLIENT_H_
