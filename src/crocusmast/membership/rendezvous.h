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
 * The order depends only on the set of candidates, so that all instances agree
 * on it. Removing a candidate reassigns only the keys that it held.
 *
 * @param key The key to assign.
 * @param candidates The candidates, in any order.
 * @param count The maximum number of candidates to return.
 * @return The best candidates, in order.
 */
std::vector<core::InstanceId> RankByRendezvous(
    std::string_view key,
    const std::vector<core::InstanceId>& candidates,
    std::size_t count);

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_RENDEZVOUS_H_
