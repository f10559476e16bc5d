#ifndef STANDIN_MEMBERSHIP_H_
#define STANDIN_MEMBERSHIP_H_

#include <string>

#include "standin/service.h"

namespace standin {

/**
 * @brief Simulates the platform's membership list, which shows changes after a
 * delay.
 *
 * Runs until the process ends.
 * @param listen The listen address.
 * @param members_file A file with a JSON array of the initial members.
 * @param lag_ms The delay until a change is visible, in milliseconds.
 */
void RunMembership(const ListenSettings& listen,
                   const std::string& members_file,
                   long lag_ms);

}  // namespace standin

#endif  // STANDIN_MEMBERSHIP_H_
