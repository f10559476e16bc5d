#ifndef BENCH_FLOOD_MEMBERS_H_
#define BENCH_FLOOD_MEMBERS_H_

#include <string>

#include "bench/flood/fleet.h"
#include "crocusmast/membership/membership_source.h"

namespace bench::flood {

/**
 * @brief Makes an id of any type.
 * @tparam Id The id's type.
 * @param text The text of the id; must be valid.
 */
template <typename Id>
Id MakeId(const std::string& text) {
  return Id::Create(text).value();
}

/**
 * @brief Returns the name of an entry instance.
 * @param index The instance's index, from zero.
 */
std::string EntryName(std::size_t index);

/**
 * @brief Returns the name of an entry instance's availability zone.
 * @param index The instance's index, from zero.
 */
std::string ZoneName(std::size_t index);

/**
 * @brief Makes a membership update that lists all instances of a deployment.
 * @param workload The deployment's pools and targets.
 * @param entry_count The number of entry instances.
 */
crocusmast::membership::MembershipUpdate MakeMembership(
    const Workload& workload,
    std::size_t entry_count);

}  // namespace bench::flood

#endif  // BENCH_FLOOD_MEMBERS_H_
