#ifndef STANDIN_STORE_H_
#define STANDIN_STORE_H_

#include "standin/service.h"

namespace standin {

/**
 * @brief Stands in for the platform's configuration store.
 *
 * Keys with versions, compare-and-swap, leases, watches on ranges of keys,
 * counters of calls, and switches for outages, lost answers and slowness.
 *
 * @param listen Where it listens.
 */
void RunStore(const Listen& listen);

}  // namespace standin

#endif  // STANDIN_STORE_H_
