#ifndef CROCUSMAST_CORE_UNITS_H_
#define CROCUSMAST_CORE_UNITS_H_

#include "crocusmast/core/quantity.h"

namespace crocusmast::core {

/** @brief Requests that run at the same time on a target or for a plan. */
using Slots = Quantity<struct SlotsTag>;
/** @brief Open connections to a target or for a plan. */
using Connections = Quantity<struct ConnectionsTag>;
/** @brief Instances in use by a plan. */
using InstanceCount = Quantity<struct InstanceCountTag>;
/** @brief A size in bytes. */
using Bytes = Quantity<struct BytesTag>;
/** @brief The number of a configuration; it only rises. */
using Revision = Quantity<struct RevisionTag>;
/** @brief How often an instance has started anew under the same address. */
using Incarnation = Quantity<struct IncarnationTag>;
/** @brief A share in hundredths. */
using Percent = Quantity<struct PercentTag>;
/** @brief Processor time, in thousandths of a core. */
using MilliCores = Quantity<struct MilliCoresTag>;
/** @brief A size of memory in megabytes. */
using Megabytes = Quantity<struct MegabytesTag>;
/** @brief Whole accelerators. */
using Accelerators = Quantity<struct AcceleratorsTag>;
/** @brief Numbers the starts of a task; rises with each. */
using Attempt = Quantity<struct AttemptTag>;
/** @brief Orders the holders of a duty; a worker ignores lower ones. */
using FencingToken = Quantity<struct FencingTokenTag>;
/** @brief Numbers the ends that one incarnation of a worker lists. */
using EndNumber = Quantity<struct EndNumberTag>;
/** @brief Numbers a wave of upkeep. */
using WaveNumber = Quantity<struct WaveNumberTag>;
/** @brief Numbers a request within one entry instance. */
using RequestKey = Quantity<struct RequestKeyTag>;

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_UNITS_H_
