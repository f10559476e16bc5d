#ifndef STANDIN_STORE_H_
#define STANDIN_STORE_H_

#include "standin/service.h"

namespace standin {

/**
 * @brief Simulates the platform's configuration store.
 *
 * Supports versioned keys, compare-and-swap, leases, watches on key prefixes
 * and counters of calls. Faults can be injected: outages, lost responses and
 * delays. Runs until the process ends.
 *
 * @param listen The listen settings.
 */
void RunStore(const ListenSettings& listen);

}  // namespace standin

#endif  // STANDIN_STORE_H_
