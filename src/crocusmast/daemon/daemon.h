#ifndef CROCUSMAST_DAEMON_DAEMON_H_
#define CROCUSMAST_DAEMON_DAEMON_H_

#include <memory>

#include "crocusmast/core/error.h"
#include "crocusmast/daemon/settings.h"

namespace crocusmast::daemon {

/** @brief All duties of an entry instance. */
class Daemon {
 public:
  /**
   * @brief Starts all duties.
   * @param settings The settings.
   * @return The daemon, or an error if an address is not free.
   */
  static core::Result<std::unique_ptr<Daemon>> Create(const Settings& settings);

  ~Daemon();

  /** @brief Refuses new requests, lets others finish, then ends the duties. */
  void Drain();

 private:
  struct Parts;

  explicit Daemon(std::unique_ptr<Parts> parts);

  std::unique_ptr<Parts> m_parts;
};

}  // namespace crocusmast::daemon

#endif  // CROCUSMAST_DAEMON_DAEMON_H_
