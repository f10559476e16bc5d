#ifndef CROCUSMAST_ADAPTERS_WAVE_CLIENT_H_
#define CROCUSMAST_ADAPTERS_WAVE_CLIENT_H_

#include <memory>
#include <string>

#include "crocusmast/adapters/http_client.h"
#include "crocusmast/core/meter.h"
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
  WaveClient(std::unique_ptr<HttpClient> http,
             const core::RegionId& region,
             core::Meter& meter);

  core::Result<HttpAnswer> Get(const std::string& path);
  core::Result<HttpAnswer> Put(const std::string& path,
                               const std::string& body);
  core::Result<HttpAnswer> Count(core::Result<HttpAnswer> answer);

  std::unique_ptr<HttpClient> m_http;
  const std::string m_folder;
  core::Meter& m_meter;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_WAVE_CLIENT_H_
