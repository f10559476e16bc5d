#ifndef CROCUSMAST_ADAPTERS_PEER_CODEC_H_
#define CROCUSMAST_ADAPTERS_PEER_CODEC_H_

#include <string>
#include <string_view>

#include "crocusmast/adapters/peer_message.h"

namespace crocusmast::adapters {

/** @brief The longest message on a peer link, in bytes. */
inline constexpr std::size_t kMaxPeerMessageBytes =
    std::size_t{4} * 1024 * 1024;

/**
 * @brief Encodes a message as CBOR: an array of the type's number and fields.
 * @param message The message; not empty.
 */
std::string EncodePeerMessage(const PeerMessage& message);

/**
 * @brief Decodes a message.
 * @param bytes The CBOR.
 * @param peer Who sent it, for errors.
 * @return The message, or an error that says what is wrong with it.
 */
core::Result<PeerMessage> DecodePeerMessage(std::string_view bytes,
                                            const std::string& peer);

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_PEER_CODEC_H_
