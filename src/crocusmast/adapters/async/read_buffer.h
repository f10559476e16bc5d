#ifndef CROCUSMAST_ADAPTERS_ASYNC_READ_BUFFER_H_
#define CROCUSMAST_ADAPTERS_ASYNC_READ_BUFFER_H_

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdint>

namespace crocusmast::adapters::async {

/** @brief The most that one read operation takes from a socket; the limit of
 * Boost.Beast. */
inline constexpr std::size_t kMaxReadBytes = std::size_t{64} * 1024;
/** @brief An idle connection keeps a read buffer of at most this size. */
inline constexpr std::size_t kMaxIdleBufferBytes = std::size_t{4} * 1024;

/**
 * @brief Makes room for the rest of a message body.
 *
 * A read operation fills at most the free capacity of the buffer, initially 512
 * bytes, and takes one turn of the event loop. Without more room the time to
 * read a body would be its size in units of 512 bytes times the duration of a
 * turn, which grows with the load.
 *
 * @tparam Parser Type of the parser.
 * @param buffer The read buffer of the connection.
 * @param parser The parser of the message in progress.
 */
template <typename Parser>
void ReserveForBody(boost::beast::flat_buffer& buffer, const Parser& parser) {
  if (!parser.is_header_done()) {
    return;
  }
  const auto remaining = parser.content_length_remaining();
  const std::size_t wanted =
      remaining ? static_cast<std::size_t>(
                      std::min<std::uint64_t>(*remaining, kMaxReadBytes))
                : kMaxReadBytes;
  buffer.reserve(buffer.size() + wanted);
}

/** @brief Returns the memory of a large body; called between messages. */
inline void ShrinkIdleBuffer(boost::beast::flat_buffer& buffer) {
  if (buffer.capacity() > kMaxIdleBufferBytes) {
    buffer.shrink_to_fit();
  }
}

}  // namespace crocusmast::adapters::async

#endif  // CROCUSMAST_ADAPTERS_ASYNC_READ_BUFFER_H_
