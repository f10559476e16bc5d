#ifndef STANDIN_MEMBERSHIP_H_
#define STANDIN_MEMBERSHIP_H_

#include <string>

#include "standin/service.h"

namespace standin {

/**
 * @brief Stands in for the platform's membership list, which lags.
 * @param listen Where it listens.
 * @param file A JSON array of the members at the start.
 * @param lag_ms How late a change shows.
 */
void RunMembership(const Listen& listen, const std::string& file, long lag_ms);

}  // namespace standin

#endif  // STANDIN_MEMBERSHIP_H_
