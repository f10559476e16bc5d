#include "bench/outcome_log.h"

#include <chrono>

namespace bench {

OutcomeLog::OutcomeLog(const std::string& file_name) {
  if (!file_name.empty()) {
    m_file.open(file_name);
  }
}

void OutcomeLog::Write(const LoadRequest& request, LoadOutcome outcome) {
  if (m_file.is_open()) {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    m_file << request.id << ' ' << request.entry->plan << ' '
           << request.entry->kind << ' ' << request.entry->repeatable << ' '
           << LoadOutcomeName(outcome) << ' ' << now.count() << '\n';
  }
}

}  // namespace bench
