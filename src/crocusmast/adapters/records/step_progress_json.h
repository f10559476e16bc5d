#ifndef CROCUSMAST_ADAPTERS_RECORDS_STEP_PROGRESS_JSON_H_
#define CROCUSMAST_ADAPTERS_RECORDS_STEP_PROGRESS_JSON_H_

#include <nlohmann/json_fwd.hpp>

#include "crocusmast/job/progress.h"

namespace crocusmast::adapters::records::internal {

/**
 * @brief Encodes the progress of a step within a progress record.
 * @param step The progress.
 */
nlohmann::json EncodeStepProgress(const job::StepProgress& step);
/**
 * @brief Decodes the progress of a step.
 * @param json The encoded progress; throws a JSON exception if it is damaged.
 */
job::StepProgress DecodeStepProgress(const nlohmann::json& json);

}  // namespace crocusmast::adapters::records::internal

#endif  // CROCUSMAST_ADAPTERS_RECORDS_STEP_PROGRESS_JSON_H_
