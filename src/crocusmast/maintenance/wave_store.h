#ifndef CROCUSMAST_MAINTENANCE_WAVE_STORE_H_
#define CROCUSMAST_MAINTENANCE_WAVE_STORE_H_

#include <optional>
#include <string>

#include "crocusmast/core/error.h"
#include "crocusmast/maintenance/wave.h"

namespace crocusmast::maintenance {

/** @brief The version of the stored wave; zero if there is none. */
using WaveVersion = core::Quantity<struct WaveVersionTag>;

/** @brief A wave as the store has it. */
struct StoredWave {
  /** @brief The wave; empty if none was ever stored. */
  std::optional<Wave> wave;
  /** @brief Its version. */
  WaveVersion version;
};

/** @brief Keeps the wave and the holder's lease; the port to the store. */
class WaveStore {
 public:
  virtual ~WaveStore() = default;

  /** @brief Reads the wave. */
  virtual core::Result<StoredWave> Read() = 0;

  /**
   * @brief Writes the wave if its version is still the one known.
   * @param wave The wave.
   * @param expected The version known.
   * @return True if written, false if the version is another; an error after
   * which the outcome is not known.
   */
  virtual core::Result<bool> Write(const Wave& wave, WaveVersion expected) = 0;

  /**
   * @brief Tries to become the holder.
   * @param holder Names this instance and run.
   * @param duration How long the lease lasts.
   * @return True if this instance is the holder.
   */
  virtual core::Result<bool> Acquire(const std::string& holder,
                                     core::Duration duration) = 0;

  /**
   * @brief Renews the holder's lease.
   * @param holder The name given when it was acquired.
   * @param duration How long the lease lasts.
   * @return False if the lease has lapsed.
   */
  virtual core::Result<bool> Renew(const std::string& holder,
                                   core::Duration duration) = 0;
};

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_WAVE_STORE_H_
