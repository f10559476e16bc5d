#ifndef CROCUSMAST_MAINTENANCE_WAVE_STORE_H_
#define CROCUSMAST_MAINTENANCE_WAVE_STORE_H_

#include <optional>
#include <string>

#include "crocusmast/core/error.h"
#include "crocusmast/maintenance/wave.h"

namespace crocusmast::maintenance {

/** @brief Version of the stored wave; zero if there is none. */
using WaveVersion = core::Quantity<struct WaveVersionTag>;

/** @brief Stored wave with its version. */
struct StoredWave {
  /** @brief The wave; empty if none was ever stored. */
  std::optional<Wave> wave;
  /** @brief Version of the wave. */
  WaveVersion version;
};

/** @brief Port to the store of the wave and the leader lease. */
class WaveStore {
 public:
  virtual ~WaveStore() = default;

  /** @brief Reads the wave; an error if the store is unavailable. */
  virtual core::Result<StoredWave> Read() = 0;

  /**
   * @brief Writes the wave if its version is unchanged (compare-and-swap).
   * @param wave Wave to write.
   * @param expected Version that was read.
   * @return True if written, false if the stored version differs; an error
   * after which the outcome is unknown.
   */
  virtual core::Result<bool> Write(const Wave& wave, WaveVersion expected) = 0;

  /**
   * @brief Tries to acquire the leader lease.
   * @param holder Identity of this instance and run.
   * @param duration Duration of the lease.
   * @return True if this instance holds the lease now; false if another one
   * does.
   */
  virtual core::Result<bool> Acquire(const std::string& holder,
                                     core::Duration duration) = 0;

  /**
   * @brief Renews the leader lease.
   * @param holder Identity that the lease was acquired with.
   * @param duration Duration of the lease.
   * @return False if the lease has expired.
   */
  virtual core::Result<bool> Renew(const std::string& holder,
                                   core::Duration duration) = 0;
};

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_WAVE_STORE_H_
