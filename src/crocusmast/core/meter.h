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
  /** @brief Terms that ended with the final handover state stored. */
  kHandoversStored,
  /** @brief Terms whose final handover state was not stored; the successor
   * assumes the longest leases. */
  kHandoversFailed,
  /** @brief Workers that crashed right after the start of a run. */
  kWorkersCrashed,
  /** @brief Tasks that were given up because workers crashed under them. */
  kTasksGivenUp,
  /** @brief Start commands without a reply that are not repeated, as their
   * tasks must not run twice. */
  kStartsAwaited,
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
  /** @brief A watch of the store that returned changes, from call to reply;
   * includes the store's wait for the first change. */
  kStoreWatch,
  /** @brief A page of keys of the store, from call to reply. */
  kStoreList,
  /** @brief A write of jobs to the store, from call to reply. */
  kStoreWrite,
  /** @brief From the handling of a cancellation to the last stop acknowledged
   * or run ended of its job. */
  kCancelSettled,
  /** @brief From the placement of a task to its start command; includes the
   * commit that the command waits for. */
  kRunStartWait,
  /** @brief From a start command to the handling of its confirmation. */
  kRunStartReply,
  /** @brief A run that succeeded, on its worker's clock. */
  kRunTime,
  /** @brief From the confirmation of a run that succeeded to the handling of
   * its end, less its run time. */
  kRunEndReport,
  /** @brief From a start command of kStartsAwaited to its execution, or until
   * it can't be executed any more or its run is given up. */
  kStartWaited,
  kCount,
};

/** @brief Histograms of sizes in bytes. */
enum class Size : std::size_t {
  /** @brief Reply to a watch of the store. */
  kStoreWatchReply,
  kCount,
};

/** @brief Receives metrics: counters, durations and sizes. */
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
  /**
   * @brief Adds a size to a histogram.
   * @param size The histogram.
   * @param bytes The size.
   */
  virtual void ObserveSize(Size size, std::uint64_t bytes) = 0;
};

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_METER_H_
