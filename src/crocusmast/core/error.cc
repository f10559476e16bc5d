#include "crocusmast/core/error.h"

namespace crocusmast::core {

std::string_view OperationName(Operation operation) {
  switch (operation) {
    case Operation::kParseId:
      return "parse id";
    case Operation::kParseSettings:
      return "parse settings";
    case Operation::kParseLists:
      return "parse lists";
    case Operation::kValidateLists:
      return "validate lists";
    case Operation::kMergeEdit:
      return "merge edit";
    case Operation::kReadStore:
      return "read store";
    case Operation::kWriteStore:
      return "write store";
    case Operation::kReadMembership:
      return "read membership";
    case Operation::kDecodeMessage:
      return "decode message";
    case Operation::kDecodeHeaders:
      return "decode headers";
    case Operation::kListen:
      return "listen";
    case Operation::kConnect:
      return "connect";
    case Operation::kAdministration:
      return "administration";
    case Operation::kChangeState:
      return "change state";
    case Operation::kReadFile:
      return "read file";
    case Operation::kValidateJob:
      return "validate job";
    case Operation::kCallWorker:
      return "call worker";
    case Operation::kCallPlatform:
      return "call platform";
  }
  return "unknown";
}

std::string Describe(const Error& error) {
  std::string text(OperationName(error.operation));
  if (!error.subject.empty()) {
    text += " (" + error.subject + ")";
  }
  return text + ": " + error.detail;
}

}  // namespace crocusmast::core
