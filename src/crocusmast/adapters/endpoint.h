#ifndef CROCUSMAST_ADAPTERS_ENDPOINT_H_
#define CROCUSMAST_ADAPTERS_ENDPOINT_H_

#include <string>
#include <string_view>

#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::adapters {

/**
 * @brief Parses an address.
 * @param name Name of the setting, used in errors.
 * @param text The address as HOST:PORT.
 * @return The address, or an error that names the setting and its value.
 */
core::Result<fleet::Endpoint> ParseEndpoint(std::string_view name,
                                            const std::string& text);

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_ENDPOINT_H_
