#ifndef BENCH_SENDER_H_
#define BENCH_SENDER_H_

#include <memory>
#include <string>
#include <vector>

#include "bench/mix.h"
#include "crocusmast/fleet/instance_record.h"

namespace bench {

/** @brief A request of the load generator. */
struct LoadRequest {
  /** @brief The request id. */
  std::string id;
  /** @brief The kind of request; must outlive the request. */
  const MixEntry* entry = nullptr;
};

/** @brief The outcome of a request, as its caller sees it. */
enum class LoadOutcome {
  /** @brief A complete response with the expected body. */
  kAnswered,
  /** @brief Refused; the request did not run. */
  kRefused,
  /** @brief The response's header reports an unknown outcome. */
  kUnknown,
  /** @brief The connection failed before the response. */
  kLost,
  /** @brief The response belongs to another request. */
  kForeign,
  /** @brief The status of the response is not 200. */
  kFailed,
};

/** @brief The number of outcomes. */
inline constexpr std::size_t kLoadOutcomes = 6;

/**
 * @brief Returns the name of an outcome.
 * @param outcome The outcome.
 */
std::string LoadOutcomeName(LoadOutcome outcome);

/** @brief Sends requests one at a time; each thread has its own sender. */
class Sender {
 public:
  virtual ~Sender() = default;
  /**
   * @brief Sends a request and waits for its outcome.
   * @param request The request.
   */
  virtual LoadOutcome Send(const LoadRequest& request) = 0;
};

/** @brief The settings of a sender. */
struct SenderSettings {
  /** @brief The addresses of the entry instances, or of the target. */
  std::vector<crocusmast::fleet::Endpoint> addresses;
  /** @brief The request path. */
  std::string path = "/requests";
  /** @brief The index of the address to start with. */
  std::size_t first_address = 0;
};

/**
 * @brief Creates an HTTP sender that uses the addresses in round-robin order.
 *
 * An address that refuses the connection is skipped for 2 s, as the platform's
 * load balancer does.
 *
 * @param settings The settings.
 */
std::unique_ptr<Sender> MakeHttpSender(SenderSettings settings);

}  // namespace bench

#endif  // BENCH_SENDER_H_
