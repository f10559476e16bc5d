#ifndef CROCUSMAST_CORE_MESSAGE_THREAD_H_
#define CROCUSMAST_CORE_MESSAGE_THREAD_H_

#include <pthread.h>

#include <cstddef>
#include <string>
#include <thread>
#include <utility>

#include "crocusmast/core/bounded_ring.h"

namespace crocusmast::core {

/**
 * @brief Handles the messages of one thread.
 * @tparam Message Type of the messages.
 */
template <typename Message>
class MessageHandler {
 public:
  virtual ~MessageHandler() = default;
  /**
   * @brief Handles one message.
   * @param message The message.
   */
  virtual void Handle(Message&& message) = 0;
  /** @brief Does periodic work; called when the tick interval has passed. */
  virtual void Tick() = 0;
  /** @brief Called when the ring is empty after a message, for work that is
   * batched over several messages. */
  virtual void OnRingEmpty() {}
  /** @brief Called before a tick if a sender reported that a message to this
   * thread was lost. */
  virtual void OnMessagesLost() {}
};

/**
 * @brief Observes the messages that a thread takes from its ring.
 * @tparam Message Type of the messages.
 */
template <typename Message>
class MessageObserver {
 public:
  virtual ~MessageObserver() = default;
  /**
   * @brief Called on the thread, before the message is handled.
   * @param popped The message and the state of the ring.
   */
  virtual void OnPopped(const PoppedMessage<Message>& popped) = 0;
};

/**
 * @brief A named thread that passes messages from a bounded ring to a handler.
 * @tparam Message Type of the messages.
 */
template <typename Message>
class MessageThread {
 public:
  /**
   * @brief Creates the ring; the thread is not started.
   * @param name Name of the thread; the system shows the first 15 characters.
   * @param capacity Capacity of the ring.
   * @param interval Time between two ticks.
   * @param ring_clock Measures how long messages wait in the ring, outlives the
   * thread; null to measure nothing.
   */
  MessageThread(std::string name,
                std::size_t capacity,
                Duration interval,
                const Clock* ring_clock = nullptr)
      : m_name(std::move(name)),
        m_ring(capacity, ring_clock),
        m_interval(interval) {}

  ~MessageThread() { Stop(); }

  MessageThread(const MessageThread&) = delete;
  MessageThread& operator=(const MessageThread&) = delete;

  /**
   * @brief Starts the thread.
   * @param handler The handler; outlives the thread.
   * @param clock Clock for the ticks; outlives the thread.
   * @param observer Sees each message first, outlives the thread; may be null.
   */
  void Start(MessageHandler<Message>& handler,
             const Clock& clock,
             MessageObserver<Message>* observer = nullptr) {
    m_thread = std::thread(
        [this, &handler, &clock, observer] { Run(handler, clock, observer); });
    pthread_setname_np(m_thread.native_handle(), m_name.substr(0, 15).c_str());
  }

  /** @brief Closes the ring, handles remaining messages, joins the thread. */
  void Stop() {
    m_ring.Close();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  /** @brief Returns the ring from which the thread reads. */
  BoundedRing<Message>& Ring() { return m_ring; }

  /** @brief Returns the name of the thread. */
  const std::string& Name() const { return m_name; }

 private:
  void Run(MessageHandler<Message>& handler,
           const Clock& clock,
           MessageObserver<Message>* observer) {
    TimePoint next_tick = clock.Now();
    while (true) {
      const TimePoint now = clock.Now();
      if (now >= next_tick) {
        if (m_ring.TakeLoss()) {
          handler.OnMessagesLost();
        }
        handler.Tick();
        next_tick = now + m_interval;
      }
      std::optional<PoppedMessage<Message>> popped =
          m_ring.PopWithWait(next_tick - now);
      if (popped) {
        if (observer != nullptr) {
          observer->OnPopped(*popped);
        }
        handler.Handle(std::move(popped->message));
        if (m_ring.Depth() == 0) {
          handler.OnRingEmpty();
        }
      } else if (m_ring.IsClosed()) {
        return;
      }
    }
  }

  const std::string m_name;
  BoundedRing<Message> m_ring;
  const Duration m_interval;
  std::thread m_thread;
};

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_MESSAGE_THREAD_H_
