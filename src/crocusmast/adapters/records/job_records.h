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

/**
 * @brief Encodes an accepted job.
 * @param job The job.
 * @return CBOR bytes.
 */
std::string EncodeJob(const job::AcceptedJob& job);
/**
 * @brief Decodes and validates an accepted job.
 * @param bytes CBOR bytes.
 * @return The job, or an error that describes the fault.
 */
core::Result<job::AcceptedJob> DecodeJob(std::string_view bytes);

/**
 * @brief Encodes the progress of a job.
 * @param progress The progress.
 * @return CBOR bytes.
 */
std::string EncodeProgress(const job::JobProgress& progress);
/**
 * @brief Decodes the progress of a job.
 * @param bytes CBOR bytes.
 * @return The progress, or an error that describes the fault.
 */
core::Result<job::JobProgress> DecodeProgress(std::string_view bytes);

/**
 * @brief Encodes the progress of several jobs; of ended ones only the state.
 * @param batch The progress.
 * @return CBOR bytes.
 */
std::string EncodeBatch(const std::vector<job::ProgressWrite>& batch);
/** @brief What could be decoded of a batch. */
struct DecodedBatch {
  /** @brief The jobs; without revision and batch. */
  std::vector<job::ProgressStored> progress;
  /** @brief Describes each entry that can't be decoded, or the batch. */
  std::vector<std::string> errors;
};
/**
 * @brief Decodes a batch. An entry that can't be decoded does not affect the
 * others.
 * @param bytes CBOR bytes.
 */
DecodedBatch DecodeBatch(std::string_view bytes);

/**
 * @brief Encodes the end of a job; the record does not contain the job id.
 * @param queue Queue of the job.
 * @param state Final state of the job.
 * @return CBOR bytes.
 */
std::string EncodeJobEnd(const core::QueueId& queue, job::JobState state);
/**
 * @brief Returns whether a record is the end of a job rather than an accepted
 * job.
 * @param bytes CBOR bytes of the record.
 */
bool IsJobEnd(std::string_view bytes);
/**
 * @brief Decodes the end of a job.
 * @param bytes CBOR bytes.
 * @return Queue and final state of the job, or an error that describes the
 * fault.
 */
core::Result<job::JobEnded> DecodeJobEnd(std::string_view bytes);

/**
 * @brief Encodes the state that a leader records for its successor.
 * @param handover The state.
 * @return CBOR bytes.
 */
std::string EncodeHandoverState(const job::HandoverState& handover);
/**
 * @brief Decodes the state that a leader recorded for its successor.
 * @param bytes CBOR bytes.
 * @return The state, or an error that describes the fault.
 */
core::Result<job::HandoverState> DecodeHandoverState(std::string_view bytes);

/**
 * @brief Encodes the machines that a leader may have commanded.
 * @param machines The machines.
 * @return CBOR bytes.
 */
std::string EncodeCommandedMachines(const job::CommandedMachines& machines);
/**
 * @brief Decodes the machines that a leader may have commanded.
 * @param bytes CBOR bytes.
 * @return The machines, or an error that describes the fault.
 */
core::Result<job::CommandedMachines> DecodeCommandedMachines(
    std::string_view bytes);

/**
 * @brief Encodes the identity of the holder of a leadership lease.
 * @param holder The identity.
 * @return CBOR bytes.
 */
std::string EncodeHolder(const leadership::HolderIdentity& holder);
/**
 * @brief Decodes the identity of the holder of a leadership lease.
 * @param bytes CBOR bytes.
 * @return The identity, or an error that describes the fault.
 */
core::Result<leadership::HolderIdentity> DecodeHolder(std::string_view bytes);

}  // namespace crocusmast::adapters::records

#endif  // CROCUSMAST_ADAPTERS_RECORDS_JOB_RECORDS_H_
