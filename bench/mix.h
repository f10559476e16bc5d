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
  /** @brief The customer's plan. */
  std::string plan;
  /** @brief The kind of work. */
  std::string kind;
  /** @brief The value of the urgency header. */
  std::string urgency;
  /** @brief The value of the header that allows or forbids retries. */
  std::string repeatable;
  /** @brief The share of all requests, relative to the other weights. */
  double weight = 1;
  /** @brief The size of the body in bytes. */
  std::size_t body_bytes = 200;
  /** @brief The time from the request to its deadline. */
  std::chrono::milliseconds deadline{10000};
};

/**
 * @brief Reads a mix.
 * @param file_name A file with a JSON array of entries.
 * @return The entries, or an error that names the file and the field.
 */
crocusmast::core::Result<std::vector<MixEntry>> ReadMix(
    const std::string& file_name);

}  // namespace bench

#endif  // BENCH_MIX_H_
