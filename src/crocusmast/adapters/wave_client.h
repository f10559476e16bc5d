#ifndef CROCUSMAST_ADAPTERS_WAVE_CLIENT_H_
#define CROCUSMAST_ADAPTERS_WAVE_CLIENT_H_

#include <memory>
#include <string>

#include "crocusmast/adapters/store_http.h"
#include "crocusmast/maintenance/wave_store.h"

namespace crocusmast::adapters {

/** @brief Keeps the wave and the holder's lease in the store over HTTP. */
class WaveClient final : public maintenance::WaveStore {
 public:
  /**
   * @brief Makes a client.
   * @param address The store.
   * @param region Each region has waves of its own.
   * @param meter Counts calls and bytes; outlives the client.
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

  StoreHttp m_http;
  const std::string m_folder;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_WAVE_CLIENT_H_
