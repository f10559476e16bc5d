#ifndef CROCUSMAST_EXECUTION_ASSIGNED_RUN_H_
#define CROCUSMAST_EXECUTION_ASSIGNED_RUN_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/units.h"
#include "crocusmast/execution/worker_clock.h"
#include "crocusmast/job/resources.h"
#include "crocusmast/job/task_id.h"

namespace crocusmast::execution {

/** @brief How long after it was sent a command without a reply may be executed;
 * above the delays of seconds that the worker interface allows. */
inline constexpr std::chrono::seconds kMaxCommandDelay{15};

/** @brief What is known of the start of a run. */
enum class StartState {
  kUnsent,
  /** @brief A start command is in flight. */
  kInFlight,
  /** @brief A start command got no reply and may still be executed. */
  kUnanswered,
  /** @brief A reply to a start or stop command has confirmed the run. */
  kConfirmed,
  /** @brief A reply to a poll has listed the run. */
  kListed,
  /** @brief The worker replied that it did not start the run. */
  kRejected,
};

/**
 * @brief Returns the name of a state for logs.
 * @param state The state.
 */
std::string_view StartStateName(StartState state);

/** @brief A run that is assigned to a worker and may be active there. */
struct AssignedRun {
  /** @brief Resources it reserves; best-effort runs reserve no processor. */
  job::Resources resources;
  /** @brief It only uses processor time that other runs leave idle. */
  bool is_best_effort = false;
  /** @brief It runs until its job is cancelled. */
  bool is_long_running = false;
  /** @brief No start command is sent for it while an earlier one may still be
   * executed. */
  bool has_single_start = false;
  /** @brief What it uses is not known, so it reserves the whole worker. */
  bool reserves_whole_worker = false;
  /** @brief The worker has confirmed the run. */
  bool is_confirmed = false;
  /** @brief A reply to a poll has listed it. Other than a reply to a start
   * command, such a reply tells which incarnation sent it. */
  bool is_listed = false;
  /** @brief A start command is in flight. */
  bool has_start_in_flight = false;
  /** @brief A start command got no reply and may still be executed. */
  bool has_unanswered_start = false;
  /** @brief Start commands that got no reply, which a poll does not tell apart.
   */
  std::uint32_t unanswered_starts = 0;
  /** @brief A start command was answered. */
  bool has_answered_start = false;
  /** @brief The last repeat of that command could not be sent. */
  bool is_repeat_unsent = false;
  /** @brief The start command has not been sent, because a commit that a
   * successor needs to know of the run is not stored yet. */
  bool is_waiting_for_commit = false;
  /** @brief The start command has not been sent, because the known state of
   * the store was too old. */
  bool is_start_deferred = false;
  /** @brief A stop command was sent. */
  bool is_stopping = false;
  /** @brief The worker was sent the current best-effort share for it. */
  bool has_cpu_share = false;
  /** @brief The last CPU share command for it got no reply. */
  bool has_unanswered_cpu_share = false;
  /** @brief The worker has accepted the stop command. */
  bool is_stop_acknowledged = false;
  /** @brief Its incarnation has ended, but a later one may run it or start it
   * yet. */
  bool is_held = false;
  /** @brief Held: when it has ended for certain and can't start any more. */
  core::TimePoint held_until;
  /** @brief The worker reported the end of this attempt, so that it is held
   * only until the next incarnation has replied. */
  bool has_reported_end = false;
  /** @brief When the last start command for it was sent. */
  core::TimePoint start_sent_at;
  /** @brief Until when a start command that got no reply may be executed. */
  core::TimePoint unanswered_start_until;
  /** @brief When it was placed; unset for a run that an earlier leader started.
   */
  core::TimePoint placed_at;
  /** @brief When the worker's confirmation of its start was handled. */
  core::TimePoint confirmed_at;
  /** @brief Replies to polls with a higher sequence number must list it. */
  std::uint64_t confirmed_at_poll = 0;
  /** @brief When the last command for it was sent. */
  core::TimePoint command_sent_at;
  /** @brief A command for it is in flight. */
  bool is_command_pending = false;
  /** @brief Reading of the worker's clock by which the run was active; absent
   * before. */
  std::optional<WorkerTime> active_since;
  /** @brief Reading of the worker's clock in the last reply that listed it. */
  std::optional<WorkerTime> listed_at;
  /** @brief Its job was told that the worker survived its start. */
  bool has_survived_start = false;

  /** @brief Tells whether no command for it was sent, so that it can't be
   * active. */
  bool IsUnsent() const {
    return !is_confirmed && command_sent_at == core::TimePoint();
  }

  /** @brief Returns what is known of its start. */
  StartState GetStartState() const {
    if (has_start_in_flight) {
      return StartState::kInFlight;
    }
    if (is_listed) {
      return StartState::kListed;
    }
    if (is_confirmed) {
      return StartState::kConfirmed;
    }
    if (IsUnsent()) {
      return StartState::kUnsent;
    }
    return has_unanswered_start ? StartState::kUnanswered
                                : StartState::kRejected;
  }

  /** @brief Returns until when a start command for it may be executed; in the
   * past for none. */
  core::TimePoint StartableUntil() const {
    return has_start_in_flight ? std::max(start_sent_at + kMaxCommandDelay,
                                          unanswered_start_until)
                               : unanswered_start_until;
  }

  /**
   * @brief Tells whether a start command for it may still be executed, by the
   * known incarnation or by a later one.
   * @param now The current time.
   */
  bool HasOpenStart(core::TimePoint now) const {
    return now < StartableUntil();
  }

  /** @brief Registers that a start command got no reply. */
  void AddUnansweredStart() {
    ++unanswered_starts;
    unanswered_start_until = start_sent_at + kMaxCommandDelay;
    CloseExecutedStart();
  }

  /** @brief Registers that no start command sent so far was executed or may
   * still be. */
  void DiscardUnexecutedStarts() {
    unanswered_starts = 0;
    unanswered_start_until = {};
  }

  /** @brief Registers that a reply to a poll has listed it. */
  void MarkListed() {
    is_listed = true;
    is_waiting_for_commit = false;
    CloseExecutedStart();
  }

  /** @brief Closes the start of a listed run if it is the only one that was
   * sent, so that the run shows its execution. */
  void CloseExecutedStart() {
    if (is_listed && !has_answered_start && !has_start_in_flight &&
        unanswered_starts == 1) {
      unanswered_start_until = {};
    }
  }

  /** @brief Tells whether it was confirmed by an incarnation that is not known:
   * no poll has listed the run. */
  bool IsOnUnknownIncarnation() const {
    return is_confirmed && !is_listed && !is_stop_acknowledged;
  }
};

/** @brief Identifies one run of a task. */
struct RunKey {
  job::TaskId task;
  core::Attempt attempt;

  friend bool operator<(const RunKey& left, const RunKey& right) {
    return left.task == right.task ? left.attempt < right.attempt
                                   : left.task < right.task;
  }
};

}  // namespace crocusmast::execution

#endif  // CROCUSMAST_EXECUTION_ASSIGNED_RUN_H_
