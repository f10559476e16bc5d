#include "crocusmast/core/wall_time.h"

#include <ctime>

namespace crocusmast::core {

std::string FormatTime(WallTime time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[sizeof "2000-01-01T00:00:00Z"];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

}  // namespace crocusmast::core
