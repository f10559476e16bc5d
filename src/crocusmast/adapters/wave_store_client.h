#ifndef CROCUSMAST_ADAPTERS_WAVE_STORE_CLIENT_H_
#define CROCUSMAST_ADAPTERS_WAVE_STORE_CLIENT_H_

#include <memory>
#include <string>

#include "crocusmast/adapters/store_http_client.h"
#include "crocusmast/maintenance/wave_store.h"

namespace crocusmast::adapters {

/**
 * @brief Stores the maintenance wave and the leader lease in the platform's
 * store over HTTP.
 */
class WaveStoreClient final : public maintenance::WaveStore {
 public:
  /**
   * @brief Creates a client.
   * @param address Address of the store.
   * @param region Region whose wave is stored; regions have separate waves.
   * @param meter Counts calls, failures and bytes; must outlive the client.
   */
  static std::unique_ptr<WaveStoreClient> Create(const fleet::Endpoint& address,
                                                 const core::RegionId& region,
                                                 core::Meter& meter);

  core::Result<maintenance::StoredWave> Read() override;
  core::Result<bool> Write(const maintenance::Wave& wave,
                           maintenance::WaveVersion expected) override;
  core::Result<bool> Acquire(const std::string& holder,
                             core::Duration duration) override;
  core::Result<bool> Renew(const std::string& holder,
                           core::Duration duration) override;

 private:
  WaveStoreClient(const fleet::Endpoint& address,
                  const core::RegionId& region,
                  core::Meter& meter);

  StoreHttpClient m_http;
  const std::string m_key_prefix;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_WAVE_STORE_CLIENT_H_
