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
/** @brief Numbers a request within one entry instance. */
using RequestKey = Quantity<struct RequestKeyTag>;

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_UNITS_H_
