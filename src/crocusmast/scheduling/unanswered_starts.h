#ifndef CROCUSMAST_SCHEDULING_UNANSWERED_STARTS_H_
#define CROCUSMAST_SCHEDULING_UNANSWERED_STARTS_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/execution/worker.h"

namespace crocusmast::scheduling {

/** @brief How long after it was sent a command without a reply may be executed;
 * above the delays of seconds that the worker interface allows. */
inline constexpr std::chrono::seconds kMaxCommandDelay{15};
/** @brief The most start commands that are remembered. */
inline constexpr std::size_t kMaxUnansweredStarts = 4096;

/**
 * @brief Start commands without a reply, which may still be executed.
 *
 * A later incarnation of the worker executes such a command too, even if the
 * run that it was for has ended on the earlier one. The oldest commands are
 * dropped when there are too many.
 */
class UnansweredStarts {
 public:
  /**
   * @brief Remembers a command that got no reply.
   * @param worker The worker to which it was sent.
   * @param key The run.
   * @param now The current time.
   */
  void Add(const core::InstanceId& worker,
           const execution::RunKey& key,
           core::TimePoint now);

  /**
   * @brief Returns the runs that commands to a worker may still start, without
   * duplicates.
   * @param worker The worker.
   * @param now The current time.
   */
  std::vector<execution::RunKey> Find(const core::InstanceId& worker,
                                      core::TimePoint now) const;

  /** @brief Forgets all commands. */
  void Clear() { m_commands.clear(); }

 private:
  struct Command {
    core::InstanceId worker;
    execution::RunKey key;
    core::TimePoint forget_at;
  };

  /** @brief In the order in which they are forgotten. */
  std::deque<Command> m_commands;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_UNANSWERED_STARTS_H_
