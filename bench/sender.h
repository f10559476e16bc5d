#ifndef BENCH_SENDER_H_
#define BENCH_SENDER_H_

#include <memory>
#include <string>
#include <vector>

#include "bench/mix.h"
#include "crocusmast/fleet/instance_record.h"

namespace bench {

/** @brief A request to send. */
struct LoadRequest {
  /** @brief Its id. */
  std::string id;
  /** @brief What it is like; outlives the request. */
  const MixEntry* entry = nullptr;
};

/** @brief How a request ended, as its caller sees it. */
enum class LoadOutcome {
  /** @brief A whole answer of its own. */
  kAnswered,
  /** @brief Refused as not run. */
  kRefused,
  /** @brief Unknown, by the answer's header. */
  kUnknown,
  /** @brief The connection broke before the answer. */
  kLost,
  /** @brief An answer that belongs to another request. */
  kForeign,
  /** @brief An answer with another status than 200. */
  kFailed,
};

/** @brief The number of outcomes. */
inline constexpr std::size_t kLoadOutcomes = 6;

/**
 * @brief Names an outcome.
 * @param outcome The outcome.
 */
std::string LoadOutcomeName(LoadOutcome outcome);

/** @brief Sends requests one after the other; one a thread. */
class Sender {
 public:
  virtual ~Sender() = default;
  /**
   * @brief Sends a request and waits for its end.
   * @param request The request.
   */
  virtual LoadOutcome Send(const LoadRequest& request) = 0;
};

/** @brief Where and how requests are sent. */
struct SenderSettings {
  /** @brief The entry instances, or the target. */
  std::vector<crocusmast::fleet::Endpoint> addresses;
  /** @brief The path to post to. */
  std::string path = "/requests";
  /** @brief The address to start with. */
  std::size_t first = 0;
};

/**
 * @brief Makes a sender over HTTP that takes the addresses in turn.
 *
 * An address that refuses the connection is passed over for a while, as the
 * platform's balancer does.
 *
 * @param settings The settings.
 */
std::unique_ptr<Sender> MakeHttpSender(SenderSettings settings);

}  // namespace bench

#endif  // BENCH_SENDER_H_
