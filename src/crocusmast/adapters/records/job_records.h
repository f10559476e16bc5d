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
 * @brief The records of this system in a store, as CBOR.
 *
 * Each begins with the version of its layout; fields with their usual value are
 * left out.
 */
namespace crocusmast::adapters::records {

/** @brief Encodes an accepted job. */
std::string EncodeJob(const job::AcceptedJob& job);
/** @brief Decodes an accepted job; an error names what is wrong. */
core::Result<job::AcceptedJob> DecodeJob(std::string_view bytes);

/** @brief Encodes a job's progress. */
std::string EncodeProgress(const job::JobProgress& progress);
/** @brief Decodes a job's progress; an error names what is wrong. */
core::Result<job::JobProgress> DecodeProgress(std::string_view bytes);

/** @brief Encodes the end of a job; its id is not part of the record. */
std::string EncodeEnd(const core::QueueId& queue, job::JobState state);
/** @brief Tells whether a record is of a job's end, not of the whole job. */
bool IsEnd(std::string_view bytes);
/** @brief Decodes the end of a job, without its id; an error names what is
 * wrong. */
core::Result<job::JobEnded> DecodeEnd(std::string_view bytes);

/** @brief Encodes a holder's notes. */
std::string EncodeNotes(const job::HolderNotes& notes);
/** @brief Decodes a holder's notes. */
core::Result<job::HolderNotes> DecodeNotes(std::string_view bytes);

/** @brief Encodes who holds a duty. */
std::string EncodeHolder(const leadership::Holder& holder);
/** @brief Decodes who holds a duty. */
core::Result<leadership::Holder> DecodeHolder(std::string_view bytes);

}  // namespace crocusmast::adapters::records

#endif  // CROCUSMAST_ADAPTERS_RECORDS_JOB_RECORDS_H_
