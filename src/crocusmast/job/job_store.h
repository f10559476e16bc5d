#ifndef CROCUSMAST_JOB_JOB_STORE_H_
#define CROCUSMAST_JOB_JOB_STORE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"
#include "crocusmast/job/job_book.h"
#include "crocusmast/job/job_spec.h"
#include "crocusmast/job/progress.h"

namespace crocusmast::job {

/** @brief Numbers a caller's request within one process. */
using ExchangeId = core::Quantity<struct ExchangeTag>;

/** @brief How a call to the store went. */
enum class StoreOutcome {
  kDone,
  /** @brief The condition does not hold: the key exists, or has changed. */
  kConflict,
  /** @brief There is nothing under the key. */
  kAbsent,
  /** @brief The store refused or was not reached; nothing was done. */
  kRefused,
  /** @brief No answer; it may have been done, or may be done later. */
  kUnknown,
};

/**
 * @brief Names an outcome for logs.
 * @param outcome The outcome.
 */
constexpr std::string_view StoreOutcomeName(StoreOutcome outcome) {
  switch (outcome) {
    case StoreOutcome::kDone:
      return "done";
    case StoreOutcome::kConflict:
      return "conflict";
    case StoreOutcome::kAbsent:
      return "absent";
    case StoreOutcome::kRefused:
      return "refused";
    case StoreOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

/** @brief The answer to JobStore::Create and JobStore::Cancel. */
struct JobWritten {
  ExchangeId exchange;
  StoreOutcome outcome = StoreOutcome::kUnknown;
};

/** @brief The answer to JobStore::Read. */
struct JobRead {
  ExchangeId exchange;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /** @brief What the store holds of the job, in order. */
  std::vector<JobEvent> events;
};

/** @brief A worker that may hold a lease of the holder. */
struct GrantedWorker {
  core::InstanceId worker;
  core::Incarnation incarnation;
  core::PoolId pool;
  /** @brief The longest that what runs there can outlast the holder. */
  std::chrono::milliseconds lease_left{};
};

/** @brief The machines of a wave whose upkeep has begun. */
struct WaveNote {
  core::WaveNumber wave;
  std::vector<core::MachineId> begun;
};

/** @brief How many machines a pool has when none is lent. */
struct PoolNote {
  core::PoolId pool;
  std::uint32_t machines = 0;
};

/** @brief A machine that another holder must not order yet. */
struct OrderNote {
  core::MachineId machine;
  std::chrono::milliseconds closed_for{};
};

/** @brief What a successor has to know of machines. */
struct FleetNotes {
  /** @brief The waves that are under way. */
  std::vector<WaveNote> waves;
  /** @brief The pools; empty before they were first listed. */
  std::vector<PoolNote> pools;
  /** @brief The last orders; absent unless the holder gave the duty up. */
  std::optional<std::vector<OrderNote>> last_orders;
};

/** @brief What a successor has to know besides the jobs. */
struct HolderNotes {
  /** @brief The workers that may hold leases. */
  std::vector<GrantedWorker> workers;
  FleetNotes fleet;
};

/** @brief What a new holder finds of the earlier one. */
struct HolderRecord {
  HolderNotes notes;
  /** @brief The store's revision of the last commit; 0 for none. */
  core::Revision last_commit;
};

/**
 * @brief Progress of a job to store.
 *
 * Of a job in a final state only the state is kept.
 */
struct ProgressWrite {
  core::JobId id;
  core::QueueId queue;
  JobProgress progress;
};

/** @brief Writes of a holder; all of them or none are done. */
struct Commit {
  /** @brief Numbers the commits of this process. */
  std::uint64_t sequence = 0;
  /** @brief The holder's claim; a deposed holder's commit fails. */
  core::FencingToken token;
  /** @brief The revision of the last commit; one that others have overtaken
   * fails. */
  core::Revision after;
  std::vector<ProgressWrite> progress;
  /** @brief The holder's notes; absent: as they are. */
  std::optional<HolderNotes> notes;
};

/** @brief The answer to a commit. */
struct CommitReply {
  std::uint64_t sequence = 0;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /** @brief The store's revision of the last commit; after a conflict, of the
   * one that was found. */
  core::Revision revision;
  /** @brief After a conflict: the holder's claim still stands. */
  bool is_still_holder = true;
};

/** @brief Keeps jobs in the store; answers come back as messages. */
class JobStore {
 public:
  virtual ~JobStore() = default;
  /** @brief Stores a job if its id is new; answered by JobWritten. */
  virtual void Create(ExchangeId exchange, const AcceptedJob& job) = 0;
  /** @brief Stores that a job is cancelled; answered by JobWritten. */
  virtual void Cancel(ExchangeId exchange, const core::JobId& id) = 0;
  /** @brief Reads a job; answered by JobRead. */
  virtual void Read(ExchangeId exchange, const core::JobId& id) = 0;
  /** @brief Stores a holder's writes; answered by CommitReply. */
  virtual void Write(Commit commit) = 0;
  /** @brief Gives the duty up together with the last notes; not answered. */
  virtual void HandOver(core::FencingToken token, const HolderNotes& notes) = 0;
  /**
   * @brief Sets how closely changes are followed: a holder starts what is
   * new, others only show it.
   */
  virtual void SetHurry(bool is_hurried) = 0;
  /** @brief Reads all that is stored anew; answered by the whole list with
   * the holder's record. */
  virtual void Refresh() = 0;
  /** @brief Removes what is stored of jobs; not answered. */
  virtual void Remove(core::FencingToken token,
                      const std::vector<core::JobId>& ids) = 0;
};

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_JOB_STORE_H_
