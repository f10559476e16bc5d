#ifndef CROCUSMAST_MEMBERSHIP_RENDEZVOUS_H_
#define CROCUSMAST_MEMBERSHIP_RENDEZVOUS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "crocusmast/core/ids.h"

namespace crocusmast::membership {

/**
 * @brief Ranks candidates for a key by rendezvous hashing.
 *
 * Every instance that knows the same candidates finds the same order, and a
 * candidate that goes moves only the keys that it held.
 *
 * @param key The key to place.
 * @param candidates The candidates in any order.
 * @param count How many of the best to return.
 * @return At most that many candidates, best first.
 */
std::vector<core::InstanceId> RankByRendezvous(
    std::string_view key,
    const std::vector<core::InstanceId>& candidates,
    std::size_t count);

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_RENDEZVOUS_H_
