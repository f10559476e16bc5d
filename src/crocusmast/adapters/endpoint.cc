#include "crocusmast/adapters/endpoint.h"

#include <cstdint>
#include <limits>

namespace crocusmast::adapters {

core::Result<fleet::Endpoint> ParseEndpoint(std::string_view name,
                                            const std::string& text) {
  constexpr std::size_t kMaxDigits = 5;
  const std::size_t colon = text.rfind(':');
  const std::string port =
      colon == std::string::npos ? "" : text.substr(colon + 1);
  const bool is_number =
      !port.empty() && port.size() <= kMaxDigits &&
      port.find_first_not_of("0123456789") == std::string::npos;
  const unsigned long number = is_number ? std::stoul(port) : 0;
  if (colon == 0 || number < 1 ||
      number > std::numeric_limits<std::uint16_t>::max()) {
    return core::Fail(
        core::Operation::kParseSettings, std::string(name),
        "value '" + text + "'; allowed: HOST:PORT with a port of 1 to 65535");
  }
  return fleet::Endpoint{text.substr(0, colon),
                         static_cast<std::uint16_t>(number)};
}

}  // namespace crocusmast::adapters
