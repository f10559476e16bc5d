#ifndef BENCH_FLOOD_MEMBERS_H_
#define BENCH_FLOOD_MEMBERS_H_

#include <string>

#include "bench/flood/fleet.h"
#include "crocusmast/membership/membership_list.h"

namespace bench::flood {

/**
 * @brief Makes an id of any kind.
 * @tparam Id The kind.
 * @param text A valid text.
 */
template <typename Id>
Id MakeId(const std::string& text) {
  return Id::Create(text).value();
}

/**
 * @brief Names an entry instance.
 * @param index Its number, from zero.
 */
std::string EntryName(std::size_t index);

/**
 * @brief Names the availability zone of an instance.
 * @param index The instance's number, from zero.
 */
std::string ZoneName(std::size_t index);

/**
 * @brief Makes the membership list of a deployment.
 * @param workload The pools.
 * @param entries How many entry instances.
 */
crocusmast::membership::ListUpdate MakeList(const Workload& workload,
                                            std::size_t entries);

}  // namespace bench::flood

#endif  // BENCH_FLOOD_MEMBERS_H_
