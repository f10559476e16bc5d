#include "crocusmast/adapters/wave_store_client.h"

#include <utility>

#include "crocusmast/adapters/wave_codec.h"

namespace crocusmast::adapters {
namespace internal {

constexpr std::chrono::seconds kWaveCallTimeout{1};
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;

std::string TtlParameter(core::Duration duration) {
  return "ttl_ms=" +
         std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(duration)
                 .count());
}

core::Result<bool> IsAccepted(const HttpResponse& response,
                              int refused_status) {
  if (response.status == kStatusOk) {
    return true;
  }
  if (response.status == refused_status) {
    return false;
  }
  return core::Fail(core::Operation::kWriteStore, "store",
                    "responded with status " + std::to_string(response.status));
}

}  // namespace internal

using core::Operation;
using maintenance::StoredWave;
using maintenance::WaveVersion;

WaveStoreClient::WaveStoreClient(const fleet::Endpoint& address,
                                 const core::RegionId& region,
                                 core::Meter& meter)
    : m_http(address, meter),
      m_key_prefix("/keys/maintenance/" + region.Text() + "/") {}

std::unique_ptr<WaveStoreClient> WaveStoreClient::Create(
    const fleet::Endpoint& address,
    const core::RegionId& region,
    core::Meter& meter) {
  return std::unique_ptr<WaveStoreClient>(
      new WaveStoreClient(address, region, meter));
}

core::Result<StoredWave> WaveStoreClient::Read() {
  BOOST_LEAF_AUTO(
      response, m_http.Get(m_key_prefix + "wave", internal::kWaveCallTimeout));
  if (response.status == internal::kStatusNotFound) {
    return StoredWave{};
  }
  if (response.status != internal::kStatusOk) {
    return core::Fail(
        Operation::kReadStore, "store",
        "responded with status " + std::to_string(response.status));
  }
  BOOST_LEAF_AUTO(wave, ParseWave(response.body));
  return StoredWave{std::move(wave), WaveVersion(response.version)};
}

core::Result<bool> WaveStoreClient::Write(const maintenance::Wave& wave,
                                          WaveVersion expected) {
  const std::string path =
      m_key_prefix + "wave?expect=" + std::to_string(expected.Count());
  BOOST_LEAF_AUTO(
      response, m_http.Put(path, FormatWave(wave), internal::kWaveCallTimeout));
  return internal::IsAccepted(response, internal::kStatusConflict);
}

core::Result<bool> WaveStoreClient::Acquire(const std::string& holder,
                                            core::Duration duration) {
  BOOST_LEAF_AUTO(lease, m_http.Put("/leases/" + holder + "?" +
                                        internal::TtlParameter(duration),
                                    "", internal::kWaveCallTimeout));
  if (lease.status != internal::kStatusOk) {
    return core::Fail(Operation::kWriteStore, "store",
                      "responded with status " + std::to_string(lease.status));
  }
  const std::string path = m_key_prefix + "holder?expect=0&lease=" + holder;
  BOOST_LEAF_AUTO(response,
                  m_http.Put(path, holder, internal::kWaveCallTimeout));
  if (response.status != internal::kStatusConflict) {
    return internal::IsAccepted(response, internal::kStatusConflict);
  }
  // This instance may already be the holder, if the response to an earlier
  // attempt was lost.
  BOOST_LEAF_AUTO(
      current, m_http.Get(m_key_prefix + "holder", internal::kWaveCallTimeout));
  return current.status == internal::kStatusOk && current.body == holder;
}

core::Result<bool> WaveStoreClient::Renew(const std::string& holder,
                                          core::Duration duration) {
  BOOST_LEAF_AUTO(response, m_http.Put("/leases/" + holder + "?renew=1&" +
                                           internal::TtlParameter(duration),
                                       "", internal::kWaveCallTimeout));
  return internal::IsAccepted(response, internal::kStatusNotFound);
}

}  // namespace crocusmast::adapters
