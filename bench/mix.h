#ifndef BENCH_MIX_H_
#define BENCH_MIX_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "crocusmast/core/error.h"

namespace bench {

/** @brief One kind of request in a mix. */
struct MixEntry {
  /** @brief The plan. */
  std::string plan;
  /** @brief The kind of work. */
  std::string kind;
  /** @brief The urgency, as the header says it. */
  std::string urgency;
  /** @brief Whether it is repeatable, as the header says it. */
  std::string repeatable;
  /** @brief Its part of all requests, against the other weights. */
  double weight = 1;
  /** @brief The body's size. */
  std::size_t body_bytes = 200;
  /** @brief The deadline. */
  std::chrono::milliseconds deadline{10000};
};

/**
 * @brief Reads a mix.
 * @param file_name A file with a JSON array of entries.
 * @return The entries, or an error naming file and field.
 */
crocusmast::core::Result<std::vector<MixEntry>> ReadMix(
    const std::string& file_name);

}  // namespace bench

#endif  // BENCH_MIX_H_
