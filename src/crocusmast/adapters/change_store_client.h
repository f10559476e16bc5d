#ifndef CROCUSMAST_ADAPTERS_CHANGE_STORE_CLIENT_H_
#define CROCUSMAST_ADAPTERS_CHANGE_STORE_CLIENT_H_

#include <memory>
#include <string>
#include <vector>

#include "crocusmast/adapters/store_http_client.h"
#include "crocusmast/configuration/change_store.h"

namespace crocusmast::adapters {

/**
 * @brief Stores configuration changes in the platform's store over HTTP.
 *
 * Each revision has its own key, which is written only if it is absent. When
 * several instances write the same revision, the first write wins. Not
 * thread-safe, except for Stop.
 */
class ChangeStoreClient final : public configuration::ChangeStore {
 public:
  /**
   * @brief Creates a client.
   * @param address Address of the store.
   * @param meter Counts calls, failures and bytes; must outlive the client.
   */
  static std::unique_ptr<ChangeStoreClient> Create(
      const fleet::Endpoint& address,
      core::Meter& meter);

  core::Result<configuration::AppendOutcome> Append(
      const configuration::Change& change) override;
  core::Result<std::vector<configuration::Change>> ReadAfter(
      core::Revision after,
      core::Duration wait) override;
  core::Result<std::optional<configuration::Snapshot>> ReadSnapshot() override;
  core::Result<void> WriteSnapshot(
      const configuration::Snapshot& snapshot) override;

  /** @brief Aborts a call in progress; may be called from another thread. */
  void Stop() { m_http.Stop(); }

 private:
  ChangeStoreClient(const fleet::Endpoint& address, core::Meter& meter);

  core::Result<configuration::AppendOutcome> ResolveAppend(
      const configuration::Change& change);

  StoreHttpClient m_http;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_CHANGE_STORE_CLIENT_H_
