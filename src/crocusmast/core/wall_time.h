#ifndef CROCUSMAST_CORE_WALL_TIME_H_
#define CROCUSMAST_CORE_WALL_TIME_H_

#include <string>

#include "crocusmast/core/clock.h"

namespace crocusmast::core {

/**
 * @brief Formats a calendar time in UTC with a resolution of one second.
 * @param time The time.
 * @return ISO 8601 text such as 2000-01-01T00:00:00Z.
 */
std::string FormatTime(WallTime time);

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_WALL_TIME_H_
