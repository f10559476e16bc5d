#ifndef CROCUSMAST_MANAGER_RESIGNATION_H_
#define CROCUSMAST_MANAGER_RESIGNATION_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/core/units.h"
#include "crocusmast/job/job_store.h"

namespace crocusmast::manager {

/** @brief Delay before a handover that was refused is sent again. */
inline constexpr std::chrono::milliseconds kHandoverRetryDelay{100};
/** @brief Time after which a handover without a reply is sent again; above the
 * time limit of a call to the store, 900 ms. */
inline constexpr std::chrono::milliseconds kHandoverReplyTimeout{1100};
/** @brief Time after which a resignation gives up; an instance has 4.5 s of its
 * grace period to stop. */
inline constexpr std::chrono::milliseconds kResignationTimeout{4000};

/** @brief Collaborators of a resignation; all outlive it. */
struct ResignationPorts {
  job::JobStore& store;
  const core::Clock& clock;
  core::Logger& logger;
  core::Meter& meter;
};

/**
 * @brief Hands a scheduling leader's term over to its successor.
 *
 * The final handover state is sent until the store has answered. The leader's
 * lease must not be released before that: its release removes the claim that
 * the handover is conditional on, and calls may overtake each other.
 */
class Resignation {
 public:
  /**
   * @brief Creates a resignation that is not in progress.
   * @param ports Its collaborators.
   */
  explicit Resignation(const ResignationPorts& ports) : m_ports(ports) {}

  /**
   * @brief Begins to hand over a term. The leader has stopped acting, so its
   * workers' leases only get shorter.
   * @param token The fencing token of the term.
   * @param handover The final handover state.
   */
  void Begin(core::FencingToken token, job::HandoverState handover);

  /** @brief Processes the reply to a handover. */
  void Handle(const job::HandoverReply& reply);

  /** @brief Sends the handover again when it is due, or gives up. */
  void Tick();

  /** @brief Tells whether the outcome is still open. */
  bool IsPending() const { return m_handover.has_value(); }

 private:
  void Send();
  /** @brief What is known of the final handover state. */
  enum class Outcome { kStored, kUnconfirmed, kFailed };

  void End(Outcome outcome, const char* reason);

  ResignationPorts m_ports;
  core::FencingToken m_token;
  /** @brief The state at m_began_at; absent while not in progress. */
  std::optional<job::HandoverState> m_handover;
  core::TimePoint m_began_at;
  core::TimePoint m_next_send_at;
  std::uint32_t m_sent_count = 0;
};

}  // namespace crocusmast::manager

#endif  // CROCUSMAST_MANAGER_RESIGNATION_H_
