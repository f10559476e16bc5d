#include "crocusmast/adapters/wave_client.h"

#include <utility>

#include "crocusmast/adapters/wave_codec.h"

namespace crocusmast::adapters {
namespace internal {

constexpr std::chrono::seconds kWaveCallTimeout{1};
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;

std::string TtlQuery(core::Duration length) {
  return "ttl_ms=" +
         std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(length)
                 .count());
}

core::Result<bool> ToBool(const HttpResponse& response, int refused_status) {
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

WaveClient::WaveClient(const fleet::Endpoint& address,
                       const core::RegionId& region,
                       core::Meter& meter)
    : m_http(address, meter),
      m_key_prefix("/keys/maintenance/" + region.Text() + "/") {}

std::unique_ptr<WaveClient> WaveClient::Create(const fleet::Endpoint& address,
                                               const core::RegionId& region,
                                               core::Meter& meter) {
  return std::unique_ptr<WaveClient>(new WaveClient(address, region, meter));
}

core::Result<StoredWave> WaveClient::Read() {
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

core::Result<bool> WaveClient::Write(const maintenance::Wave& wave,
                                     WaveVersion expected) {
  const std::string path =
      m_key_prefix + "wave?expect=" + std::to_string(expected.Count());
  BOOST_LEAF_AUTO(
      response, m_http.Put(path, FormatWave(wave), internal::kWaveCallTimeout));
  return internal::ToBool(response, internal::kStatusConflict);
}

core::Result<bool> WaveClient::Acquire(const std::string& holder,
                                       core::Duration length) {
  BOOST_LEAF_AUTO(
      lease, m_http.Put("/leases/" + holder + "?" + internal::TtlQuery(length),
                        "", internal::kWaveCallTimeout));
  if (lease.status != internal::kStatusOk) {
    return core::Fail(Operation::kWriteStore, "store",
                      "responded with status " + std::to_string(lease.status));
  }
  const std::string path = m_key_prefix + "holder?expect=0&lease=" + holder;
  BOOST_LEAF_AUTO(response,
                  m_http.Put(path, holder, internal::kWaveCallTimeout));
  if (response.status != internal::kStatusConflict) {
    return internal::ToBool(response, internal::kStatusConflict);
  }
  // This instance may already be the holder, if the response to an earlier
  // attempt was lost.
  BOOST_LEAF_AUTO(
      current, m_http.Get(m_key_prefix + "holder", internal::kWaveCallTimeout));
  return current.status == internal::kStatusOk && current.body == holder;
}

core::Result<bool> WaveClient::Renew(const std::string& holder,
                                     core::Duration length) {
  BOOST_LEAF_AUTO(response, m_http.Put("/leases/" + holder + "?renew=1&" +
                                           internal::TtlQuery(length),
                                       "", internal::kWaveCallTimeout));
  return internal::ToBool(response, internal::kStatusNotFound);
}

}  // namespace crocusmast::adapters
