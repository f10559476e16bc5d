#ifndef CROCUSMAST_ADAPTERS_CALL_TABLE_H_
#define CROCUSMAST_ADAPTERS_CALL_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "crocusmast/core/bounded_ring.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/routing/peer_port.h"

namespace crocusmast::adapters {

/**
 * @brief Correlates replies from peers with the threads that wait for them.
 *
 * Thread-safe.
 * @tparam T Type of the replies.
 */
template <typename T>
class CallTable {
 public:
  /** @brief Ring that receives the reply to one call. */
  using ReplyRing = std::shared_ptr<core::BoundedRing<T>>;

  /** @brief A call that waits for its reply. */
  struct PendingCall {
    /** @brief Number of the call. */
    routing::CallNumber number;
    /** @brief Receives the reply. */
    ReplyRing reply;
  };

  /**
   * @brief Registers a call.
   * @param peer Peer that is expected to reply.
   * @return The call, with a number that is unique in this table.
   */
  PendingCall Open(const core::InstanceId& peer) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const routing::CallNumber number(++m_last_number);
    auto reply = std::make_shared<core::BoundedRing<T>>(1);
    m_calls.emplace(number.Count(), Call{peer, reply});
    return PendingCall{number, std::move(reply)};
  }

  /**
   * @brief Removes a call, with or without a reply.
   * @param number Number of the call.
   */
  void Close(routing::CallNumber number) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_calls.erase(number.Count());
  }

  /**
   * @brief Delivers a reply to the waiting thread.
   * @param peer Sender of the reply; must be the peer that was called.
   * @param number Number of the call.
   * @param reply The reply.
   * @return False if the reply was dropped because no call of this number to
   * this peer is pending.
   */
  bool Complete(const core::InstanceId& peer,
                routing::CallNumber number,
                T reply) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto call = m_calls.find(number.Count());
    if (call == m_calls.end() || call->second.peer != peer) {
      return false;
    }
    return call->second.reply->TryPush(std::move(reply));
  }

  /**
   * @brief Wakes all threads that wait for a reply from a peer whose link is
   * down.
   * @param peer The peer.
   */
  void CancelCalls(const core::InstanceId& peer) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [number, call] : m_calls) {
      if (call.peer == peer) {
        call.reply->Close();
      }
    }
  }

 private:
  /** @brief A registered call. */
  struct Call {
    core::InstanceId peer;
    ReplyRing reply;
  };

  std::mutex m_mutex;
  std::uint64_t m_last_number = 0;
  std::map<std::uint64_t, Call> m_calls;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_CALL_TABLE_H_
