#ifndef CROCUSMAST_CORE_METER_H_
#define CROCUSMAST_CORE_METER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "crocusmast/core/clock.h"

namespace crocusmast::core {

/** @brief The events that are counted. */
enum class Counter : std::size_t {
  kRequestsAnswered,
  kRequestsRefused,
  kRequestsUnknown,
  kRequestsForwarded,
  kRequestsRetried,
  kDuplicatesStopped,
  kCircuitsOpened,
  kConfigurationsAdopted,
  kStoreCalls,
  kStoreFailures,
  kStoreBytes,
  kMembershipCalls,
  kMembershipBytes,
  kPeerMessagesSent,
  kPeerBytesSent,
  kPeerControlBytesSent,
  kPeerMessagesReceived,
  kPeerBytesReceived,
  kPeerMessagesRejected,
  kPeerMessagesDropped,
  kRepliesDropped,
  kCount,
};

/** @brief The times that are kept as histograms. */
enum class Timing : std::size_t {
  kRequest,
  kTargetCall,
  kQueueWait,
  kCount,
};

/** @brief Takes counts and times. */
class Meter {
 public:
  virtual ~Meter() = default;
  /**
   * @brief Adds to a counter.
   * @param counter The counter.
   * @param amount How much to add.
   */
  virtual void Add(Counter counter, std::uint64_t amount) = 0;
  /**
   * @brief Adds one time to a histogram.
   * @param timing The histogram.
   * @param value The time.
   */
  virtual void Observe(Timing timing, Duration value) = 0;
};

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_METER_H_
