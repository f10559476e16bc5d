#ifndef CROCUSMAST_JOB_BATCH_ID_H_
#define CROCUSMAST_JOB_BATCH_ID_H_

#include <cstdint>
#include <utility>

#include "crocusmast/core/units.h"

namespace crocusmast::job {

/** @brief Identifies a stored batch: the progress of several jobs in one
 * record. Later batches are greater. */
struct BatchId {
  /** @brief The fencing token of the leader that stored it. */
  core::FencingToken token;
  /** @brief Sequence number of its commit. */
  std::uint64_t sequence = 0;

  friend bool operator<(const BatchId& left, const BatchId& right) {
    return std::pair(left.token, left.sequence) <
           std::pair(right.token, right.sequence);
  }
  friend bool operator==(const BatchId& left, const BatchId& right) {
    return left.token == right.token && left.sequence == right.sequence;
  }
};

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_BATCH_ID_H_
