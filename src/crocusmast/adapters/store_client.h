#ifndef CROCUSMAST_ADAPTERS_STORE_CLIENT_H_
#define CROCUSMAST_ADAPTERS_STORE_CLIENT_H_

#include <memory>
#include <string>
#include <vector>

#include "crocusmast/adapters/store_http.h"
#include "crocusmast/configuration/change_store.h"

namespace crocusmast::adapters {

/**
 * @brief Keeps changes in the platform's store over HTTP.
 *
 * Each change is a key of its own, created only if absent; so the creation
 * decides which change takes a revision. One thread at a time uses it.
 */
class StoreClient final : public configuration::ChangeStore {
 public:
  /**
   * @brief Makes a client.
   * @param address The store.
   * @param meter Counts calls and bytes; outlives the client.
   */
  static std::unique_ptr<StoreClient> Create(const fleet::Endpoint& address,
                                             core::Meter& meter);

  core::Result<configuration::AppendOutcome> Append(
      const configuration::Change& change) override;
  core::Result<std::vector<configuration::Change>> ReadAfter(
      core::Revision after,
      core::Duration wait) override;
  core::Result<std::optional<configuration::Snapshot>> ReadSnapshot() override;
  core::Result<void> WriteSnapshot(
      const configuration::Snapshot& snapshot) override;

  /** @brief Ends a call under way; may be called by another thread. */
  void Stop() { m_http.Stop(); }

 private:
  StoreClient(const fleet::Endpoint& address, core::Meter& meter);

  core::Result<configuration::AppendOutcome> ReadBack(
      const configuration::Change& change);

  StoreHttp m_http;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_STORE_CLIENT_H_
