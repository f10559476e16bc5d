#ifndef CROCUSMAST_ADAPTERS_RECORDS_JOB_RECORDS_H_
#define CROCUSMAST_ADAPTERS_RECORDS_JOB_RECORDS_H_

#include <string>
#include <string_view>
#include <vector>

#include "crocusmast/core/error.h"
#include "crocusmast/job/job_spec.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/job/progress.h"
#include "crocusmast/leadership/lease_port.h"

/**
 * @brief Encoding of the records in the store, as CBOR.
 *
 * Each record contains the version of its format. Fields with their default
 * value are omitted.
 */
namespace crocusmast::adapters::records {

/** @brief Encodes an accepted job. */
std::string EncodeJob(const job::AcceptedJob& job);
/** @brief Decodes an accepted job; an error describes the fault. */
core::Result<job::AcceptedJob> DecodeJob(std::string_view bytes);

/** @brief Encodes the progress of a job. */
std::string EncodeProgress(const job::JobProgress& progress);
/** @brief Decodes the progress of a job; an error describes the fault. */
core::Result<job::JobProgress> DecodeProgress(std::string_view bytes);

/**
 * @brief Encodes the final state of a job; the record does not contain its id.
 */
std::string EncodeJobEnd(const core::QueueId& queue, job::JobState state);
/**
 * @brief Returns whether a record is the final state of a job rather than an
 * accepted job.
 */
bool IsJobEnd(std::string_view bytes);
/**
 * @brief Decodes the final state of a job, without its id; an error describes
 * the fault.
 */
core::Result<job::JobEnded> DecodeJobEnd(std::string_view bytes);

/** @brief Encodes the state that a holder records for its successor. */
std::string EncodeHandoverState(const job::HandoverState& handover);
/**
 * @brief Decodes the state that a holder recorded for its successor; an error
 * describes the fault.
 */
core::Result<job::HandoverState> DecodeHandoverState(std::string_view bytes);

/** @brief Encodes the holder of a leadership lease. */
std::string EncodeHolder(const leadership::HolderIdentity& holder);
/**
 * @brief Decodes the holder of a leadership lease; an error describes the
 * fault.
 */
core::Result<leadership::HolderIdentity> DecodeHolder(std::string_view bytes);

}  // namespace crocusmast::adapters::records

#endif  // CROCUSMAST_ADAPTERS_RECORDS_JOB_RECORDS_H_
