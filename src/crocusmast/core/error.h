#ifndef CROCUSMAST_CORE_ERROR_H_
#define CROCUSMAST_CORE_ERROR_H_

#include <boost/leaf.hpp>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace crocusmast::core {

/** @brief The step of the work at which an error arose. */
enum class Step {
  kParseId,
  kParseSettings,
  kParseLists,
  kValidateLists,
  kMergeEdit,
  kReadStore,
  kWriteStore,
  kReadMembership,
  kDecodeMessage,
  kDecodeHeaders,
  kListen,
  kConnect,
  kAdministration,
  kChangeState,
  kReadFile,
  kValidateJob,
  kCallWorker,
  kCallPlatform,
};

/**
 * @brief Names a step for logs and messages.
 * @param step The step.
 * @return A short name in lower case.
 */
std::string_view StepName(Step step);

/** @brief An error with the step and the peer at which it arose. */
struct Error {
  /** @brief The step that failed. */
  Step step = Step::kChangeState;
  /** @brief The process, file or address the step was dealing with. */
  std::string peer;
  /** @brief What was wrong, and what is allowed. */
  std::string detail;
};

/**
 * @brief Formats an error as one sentence.
 * @param error The error.
 * @return Step, peer and detail in one line.
 */
std::string Describe(const Error& error);

/** @brief A value or an error. */
template <typename T>
using Result = boost::leaf::result<T>;

/**
 * @brief Makes an error to return from a function with a Result.
 * @param step The step that failed.
 * @param peer The process, file or address concerned.
 * @param detail What was wrong.
 * @return An error id that converts to any Result.
 */
inline boost::leaf::error_id Fail(Step step,
                                  std::string peer,
                                  std::string detail) {
  return boost::leaf::new_error(
      Error{step, std::move(peer), std::move(detail)});
}

/**
 * @brief Runs an attempt and handles its error.
 * @param attempt A callable that returns Result<T>.
 * @param on_error A callable that takes const Error& and returns T.
 * @return The value of the attempt or of the handler.
 */
template <typename Attempt, typename OnError>
auto Handle(Attempt&& attempt, OnError&& on_error) {
  return boost::leaf::try_handle_all(
      std::forward<Attempt>(attempt),
      [&on_error](const Error& error) { return on_error(error); },
      [&on_error] {
        return on_error(Error{Step::kChangeState, "", "unknown error"});
      });
}

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_ERROR_H_
