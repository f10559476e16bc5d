#include "crocusmast/membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace crocusmast::membership {
namespace internal {

using Scored = std::pair<std::uint64_t, const core::InstanceId*>;

bool IsBetter(const Scored& left, const Scored& right) {
  if (left.first != right.first) {
    return left.first > right.first;
  }
  return *left.second < *right.second;
}

}  // namespace internal

std::vector<core::InstanceId> RankByRendezvous(
    std::string_view key,
    const std::vector<core::InstanceId>& candidates,
    std::size_t count) {
  const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
  std::vector<internal::Scored> scored;
  scored.reserve(candidates.size());
  for (const core::InstanceId& candidate : candidates) {
    const std::string& text = candidate.Text();
    scored.emplace_back(XXH3_64bits_withSeed(text.data(), text.size(), seed),
                        &candidate);
  }
  const std::size_t kept = std::min(count, scored.size());
  const auto middle = scored.begin() + static_cast<std::ptrdiff_t>(kept);
  std::partial_sort(scored.begin(), middle, scored.end(), internal::IsBetter);
  std::vector<core::InstanceId> best;
  best.reserve(kept);
  for (std::size_t index = 0; index < kept; ++index) {
    best.push_back(*scored[index].second);
  }
  return best;
}

}  // namespace crocusmast::membership
