#ifndef CROCUSMAST_ADAPTERS_WAVE_CLIENT_H_
#define CROCUSMAST_ADAPTERS_WAVE_CLIENT_H_

#include <memory>
#include <string>

#include "crocusmast/adapters/store_http_client.h"
#include "crocusmast/maintenance/wave_store.h"

namespace crocusmast::adapters {

/**
 * @brief Stores the maintenance wave and the holder's lease in the store over
 * HTTP.
 */
class WaveClient final : public maintenance::WaveStore {
 public:
  /**
   * @brief Creates a client.
   * @param address Address of the store.
   * @param region Region whose wave is stored; regions have separate waves.
   * @param meter Counts calls and bytes; must outlive the client.
   */
  static std::unique_ptr<WaveClient> Create(const fleet::Endpoint& address,
                                            const core::RegionId& region,
                                            core::Meter& meter);

  core::Result<maintenance::StoredWave> Read() override;
  core::Result<bool> Write(const maintenance::Wave& wave,
                           maintenance::WaveVersion expected) override;
  core::Result<bool> Acquire(const std::string& holder,
                             core::Duration length) override;
  core::Result<bool> Renew(const std::string& holder,
                           core::Duration length) override;

 private:
  WaveClient(const fleet::Endpoint& address,
             const core::RegionId& region,
             core::Meter& meter);

  StoreHttpClient m_http;
  const std::string m_key_prefix;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_WAVE_CLIENT_H_
