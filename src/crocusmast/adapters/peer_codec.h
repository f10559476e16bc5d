#ifndef CROCUSMAST_ADAPTERS_PEER_CODEC_H_
#define CROCUSMAST_ADAPTERS_PEER_CODEC_H_

#include <string>
#include <string_view>

#include "crocusmast/adapters/peer_message.h"

namespace crocusmast::adapters {

/** @brief Size limit of a message on a peer link, in bytes. */
inline constexpr std::size_t kMaxPeerMessageBytes =
    std::size_t{4} * 1024 * 1024;

/**
 * @brief Encodes a message as a CBOR array of the type number and the fields.
 * @param message The message; must not be std::monostate.
 * @return The CBOR bytes.
 */
std::string EncodePeerMessage(const PeerMessage& message);

/**
 * @brief Decodes a message.
 * @param bytes CBOR bytes.
 * @param peer Name of the sender, used in errors.
 * @return The message, or an error that describes the fault.
 */
core::Result<PeerMessage> DecodePeerMessage(std::string_view bytes,
                                            const std::string& peer);

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_PEER_CODEC_H_
