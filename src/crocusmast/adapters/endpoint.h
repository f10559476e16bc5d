#ifndef CROCUSMAST_ADAPTERS_ENDPOINT_H_
#define CROCUSMAST_ADAPTERS_ENDPOINT_H_

#include <string>
#include <string_view>

#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::adapters {

/**
 * @brief Reads an address.
 * @param name The setting's name, for errors.
 * @param text Host and port with a colon between.
 */
core::Result<fleet::Endpoint> ParseEndpoint(std::string_view name,
                                            const std::string& text);

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_ENDPOINT_H_
