#include "crocusmast/core/error.h"

namespace crocusmast::core {

std::string_view StepName(Step step) {
  switch (step) {
    case Step::kParseId:
      return "parse id";
    case Step::kParseSettings:
      return "parse settings";
    case Step::kParseLists:
      return "parse lists";
    case Step::kValidateLists:
      return "validate lists";
    case Step::kMergeEdit:
      return "merge edit";
    case Step::kReadStore:
      return "read store";
    case Step::kWriteStore:
      return "write store";
    case Step::kReadMembership:
      return "read membership";
    case Step::kDecodeMessage:
      return "decode message";
    case Step::kDecodeHeaders:
      return "decode headers";
    case Step::kListen:
      return "listen";
    case Step::kConnect:
      return "connect";
    case Step::kAdministration:
      return "administration";
    case Step::kChangeState:
      return "change state";
    case Step::kReadFile:
      return "read file";
    case Step::kValidateJob:
      return "validate job";
    case Step::kCallWorker:
      return "call worker";
    case Step::kCallPlatform:
      return "call platform";
  }
  return "unknown";
}

std::string Describe(const Error& error) {
  std::string text(StepName(error.step));
  if (!error.peer.empty()) {
    text += " (" + error.peer + ")";
  }
  return text + ": " + error.detail;
}

}  // namespace crocusmast::core
