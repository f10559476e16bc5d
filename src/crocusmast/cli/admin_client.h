#ifndef CROCUSMAST_CLI_ADMIN_CLIENT_H_
#define CROCUSMAST_CLI_ADMIN_CLIENT_H_

#include <string>
#include <vector>

#include "crocusmast/adapters/http_client.h"
#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::cli {

/** @brief Client of the administration API of the entry instances. */
class AdminClient {
 public:
  /**
   * @brief Creates a client.
   * @param instances Administration addresses of the instances, in the order
   * in which they are tried; at least one.
   * @param token Operator's access token.
   */
  AdminClient(std::vector<fleet::Endpoint> instances, std::string token);

  /**
   * @brief Sends a GET request to the first instance that responds.
   * @param path Request path.
   * @return The response body, also for status 404, or the error that the
   * instance reports; the error of the last instance if none responds.
   */
  core::Result<std::string> Get(const std::string& path) const;

  /**
   * @brief Sends a PUT request to the first instance that responds.
   * @param path Request path.
   * @param body JSON body.
   * @return The response body, also for status 404, or the error that the
   * instance reports; the error of the last instance if none responds.
   */
  core::Result<std::string> Put(const std::string& path,
                                const std::string& body) const;

  /**
   * @brief Sends a GET request to one instance, without trying the others.
   * @param instance Address of the instance.
   * @param path Request path.
   * @return The response body, also for status 404, or an error.
   */
  core::Result<std::string> GetFrom(const fleet::Endpoint& instance,
                                    const std::string& path) const;

  /** @brief Returns the addresses of the instances. */
  const std::vector<fleet::Endpoint>& Instances() const { return m_instances; }

 private:
  std::vector<fleet::Endpoint> m_instances;
  std::string m_token;
};

}  // namespace crocusmast::cli

#endif  // CROCUSMAST_CLI_ADMIN_CLIENT_H_
