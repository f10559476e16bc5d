#include "crocusmast/membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace crocusmast::membership {
namespace internal {

using ScoredCandidate = std::pair<std::uint64_t, const core::InstanceId*>;

bool RanksBefore(const ScoredCandidate& left, const ScoredCandidate& right) {
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
  std::vector<internal::ScoredCandidate> scored;
  scored.reserve(candidates.size());
  for (const core::InstanceId& candidate : candidates) {
    const std::string& text = candidate.Text();
    scored.emplace_back(XXH3_64bits_withSeed(text.data(), text.size(), seed),
                        &candidate);
  }
  const std::size_t kept_count = std::min(count, scored.size());
  const auto kept_end =
      scored.begin() + static_cast<std::ptrdiff_t>(kept_count);
  std::partial_sort(scored.begin(), kept_end, scored.end(),
                    internal::RanksBefore);
  std::vector<core::InstanceId> best;
  best.reserve(kept_count);
  for (std::size_t index = 0; index < kept_count; ++index) {
    best.push_back(*scored[index].second);
  }
  return best;
}

}  // namespace crocusmast::membership
