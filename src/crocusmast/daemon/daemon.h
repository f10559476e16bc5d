#ifndef CROCUSMAST_DAEMON_DAEMON_H_
#define CROCUSMAST_DAEMON_DAEMON_H_

#include <memory>

#include "crocusmast/core/error.h"
#include "crocusmast/daemon/settings.h"

namespace crocusmast::daemon {

/** @brief Process of an entry instance, with all its threads and servers. */
class Daemon {
 public:
  /**
   * @brief Creates a daemon and starts all threads and servers.
   * @param settings The settings.
   * @return The daemon, or an error if an address is not available.
   */
  static core::Result<std::unique_ptr<Daemon>> Create(const Settings& settings);

  ~Daemon();

  /**
   * @brief Refuses new requests and waits until the requests in progress are
   * finished or the drain time is over.
   */
  void Drain();

 private:
  struct Components;

  explicit Daemon(std::unique_ptr<Components> components);

  std::unique_ptr<Components> m_components;
};

}  // namespace crocusmast::daemon

#endif  // CROCUSMAST_DAEMON_DAEMON_H_
