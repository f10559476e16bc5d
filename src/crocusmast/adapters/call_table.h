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
 * @brief Matches answers from peers to the threads that wait for them.
 * @tparam T The answers.
 */
template <typename T>
class CallTable {
 public:
  /** @brief Where the answer of one call arrives. */
  using Reply = std::shared_ptr<core::BoundedRing<T>>;

  /** @brief A call that was opened. */
  struct Opened {
    /** @brief Its number. */
    routing::CallNumber number;
    /** @brief Where its answer arrives. */
    Reply reply;
  };

  /**
   * @brief Opens a call.
   * @param peer The peer that answers.
   */
  Opened Open(const core::InstanceId& peer) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const routing::CallNumber number(++m_last);
    auto reply = std::make_shared<core::BoundedRing<T>>(1);
    m_calls.emplace(number.Count(), Call{peer, reply});
    return Opened{number, std::move(reply)};
  }

  /**
   * @brief Closes a call, answered or not.
   * @param number The call.
   */
  void Close(routing::CallNumber number) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_calls.erase(number.Count());
  }

  /**
   * @brief Hands an answer to its call.
   * @param peer Who answers; an answer from another peer is dropped.
   * @param number The call.
   * @param answer The answer.
   * @return False if no such call is open.
   */
  bool Answer(const core::InstanceId& peer,
              routing::CallNumber number,
              T answer) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto call = m_calls.find(number.Count());
    if (call == m_calls.end() || call->second.peer != peer) {
      return false;
    }
    return call->second.reply->TryPush(std::move(answer));
  }

  /**
   * @brief Ends the waiting for a peer that is gone.
   * @param peer The peer.
   */
  void Fail(const core::InstanceId& peer) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [number, call] : m_calls) {
      if (call.peer == peer) {
        call.reply->Close();
      }
    }
  }

 private:
  /** @brief An open call. */
  struct Call {
    core::InstanceId peer;
    Reply reply;
  };

  std::mutex m_mutex;
  std::uint64_t m_last = 0;
  std::map<std::uint64_t, Call> m_calls;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_CALL_TABLE_H_
