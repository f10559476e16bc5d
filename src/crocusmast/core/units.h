#ifndef CROCUSMAST_CORE_UNITS_H_
#define CROCUSMAST_CORE_UNITS_H_

#include "crocusmast/core/quantity.h"

namespace crocusmast::core {

/** @brief Number of concurrent requests to a target or of a plan. */
using Slots = Quantity<struct SlotsTag>;
/** @brief Number of open connections to a target or of a plan. */
using Connections = Quantity<struct ConnectionsTag>;
/** @brief Number of instances that a plan uses. */
using InstanceCount = Quantity<struct InstanceCountTag>;
/** @brief A size in bytes. */
using Bytes = Quantity<struct BytesTag>;
/** @brief Revision of a configuration or of the store; only increases. */
using Revision = Quantity<struct RevisionTag>;
/** @brief Counts restarts of an instance under one address; only increases. */
using Incarnation = Quantity<struct IncarnationTag>;
/** @brief A percentage. */
using Percent = Quantity<struct PercentTag>;
/** @brief Processor capacity in thousandths of a core. */
using MilliCores = Quantity<struct MilliCoresTag>;
/** @brief Memory size in megabytes. */
using Megabytes = Quantity<struct MegabytesTag>;
/** @brief Number of whole accelerators. */
using Accelerators = Quantity<struct AcceleratorsTag>;
/** @brief Number of a run of a task; each later run has a greater number. */
using Attempt = Quantity<struct AttemptTag>;
/** @brief Orders leadership terms; a worker rejects tokens that are lower than
 * the highest one that it has received. */
using FencingToken = Quantity<struct FencingTokenTag>;
/** @brief Sequence number of an ended run within one worker incarnation. */
using RunEndNumber = Quantity<struct RunEndNumberTag>;
/** @brief Number of a maintenance wave. */
using WaveNumber = Quantity<struct WaveNumberTag>;
/** @brief Number of a request within one entry instance. */
using RequestKey = Quantity<struct RequestKeyTag>;

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_UNITS_H_
