#ifndef CROCUSMAST_CORE_METER_H_
#define CROCUSMAST_CORE_METER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "crocusmast/core/clock.h"

namespace crocusmast::core {

/** @brief Counters of events and bytes. */
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

/** @brief Histograms of durations. */
enum class Timing : std::size_t {
  kRequest,
  kTargetCall,
  kQueueWait,
  /** @brief Time of a message in the ring of the jobs' manager. */
  kManagerRingWait,
  /** @brief Time of a task in the ring of the network thread. */
  kNetworkRingWait,
  /** @brief Delay of a timer of the network thread. */
  kEventLoopLag,
  kCount,
};

/** @brief Receives metrics: counters and durations. */
class Meter {
 public:
  virtual ~Meter() = default;
  /**
   * @brief Adds to a counter.
   * @param counter The counter.
   * @param amount The increment.
   */
  virtual void Add(Counter counter, std::uint64_t amount) = 0;
  /**
   * @brief Adds a duration to a histogram.
   * @param timing The histogram.
   * @param value The duration.
   */
  virtual void Observe(Timing timing, Duration value) = 0;
};

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_METER_H_
