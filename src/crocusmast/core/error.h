#ifndef CROCUSMAST_CORE_ERROR_H_
#define CROCUSMAST_CORE_ERROR_H_

#include <boost/leaf.hpp>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace crocusmast::core {

/** @brief The operation that failed with an error. */
enum class Operation {
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
 * @brief Returns the name of an operation for logs and error messages.
 * @param operation The operation.
 * @return A short name in lower case.
 */
std::string_view OperationName(Operation operation);

/** @brief An error with the operation that failed and what it concerned. */
struct Error {
  /** @brief The operation that failed. */
  Operation operation = Operation::kChangeState;
  /** @brief The process, file, address or field concerned; empty for none. */
  std::string subject;
  /** @brief The problem and the allowed values. */
  std::string detail;
};

/**
 * @brief Formats an error for logs and error messages.
 * @param error The error.
 * @return Operation, subject and detail in one line.
 */
std::string Describe(const Error& error);

/** @brief A value or an error. */
template <typename T>
using Result = boost::leaf::result<T>;

/**
 * @brief Creates an error to return from a function that returns a Result.
 * @param operation The operation that failed.
 * @param subject The process, file, address or field concerned.
 * @param detail The problem and the allowed values.
 * @return An error id that converts to any Result.
 */
inline boost::leaf::error_id Fail(Operation operation,
                                  std::string subject,
                                  std::string detail) {
  return boost::leaf::new_error(
      Error{operation, std::move(subject), std::move(detail)});
}

/**
 * @brief Calls a function and handles its error.
 * @param function A callable without parameters that returns Result<T>.
 * @param on_error A callable that takes const Error& and returns T.
 * @return The result of the function or of the error handler.
 */
template <typename Function, typename OnError>
auto Handle(Function&& function, OnError&& on_error) {
  return boost::leaf::try_handle_all(
      std::forward<Function>(function),
      [&on_error](const Error& error) { return on_error(error); },
      [&on_error] {
        return on_error(Error{Operation::kChangeState, "", "unknown error"});
      });
}

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_ERROR_H_
