#ifndef TEST_SUPPORT_SCRIPTED_TCP_SERVER_H_
#define TEST_SUPPORT_SCRIPTED_TCP_SERVER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace test {

/** @brief A TCP server on the loopback interface; the test's handler reads and
 * writes the bytes of each connection. */
class ScriptedTcpServer {
 public:
  /** @brief Handles one accepted connection, which is closed on return. */
  using ConnectionHandler = std::function<void(int socket)>;

  /**
   * @brief Starts the server on a free port.
   * @param handler Handles the connections, one at a time.
   * @param receive_buffer The size of a connection's receive buffer, in bytes;
   * 0 for the system's default.
   */
  explicit ScriptedTcpServer(ConnectionHandler handler, int receive_buffer = 0)
      : m_handler(std::move(handler)) {
    m_socket = socket(AF_INET, SOCK_STREAM, 0);
    if (receive_buffer > 0) {
      setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof receive_buffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    bind(m_socket, reinterpret_cast<sockaddr*>(&address), size);
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    listen(m_socket, 16);
    m_thread = std::thread([this] { Run(); });
  }

  ~ScriptedTcpServer() {
    shutdown(m_socket, SHUT_RDWR);
    close(m_socket);
    m_thread.join();
  }

  ScriptedTcpServer(const ScriptedTcpServer&) = delete;
  ScriptedTcpServer& operator=(const ScriptedTcpServer&) = delete;

  std::uint16_t Port() const { return m_port; }
  int AcceptedConnections() const { return m_accepted; }

  /** @brief Reads until the end of a request's header, or of the connection. */
  static std::string ReadRequest(int socket) {
    std::string bytes;
    char buffer[4096];
    while (bytes.find("\r\n\r\n") == std::string::npos) {
      const ssize_t count = recv(socket, buffer, sizeof buffer, 0);
      if (count <= 0) {
        return bytes;
      }
      bytes.append(buffer, static_cast<std::size_t>(count));
    }
    return bytes;
  }

  static void Write(int socket, const std::string& bytes) {
    send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

 private:
  void Run() {
    while (true) {
      const int accepted = accept(m_socket, nullptr, nullptr);
      if (accepted < 0) {
        return;
      }
      ++m_accepted;
      m_handler(accepted);
      close(accepted);
    }
  }

  ConnectionHandler m_handler;
  int m_socket = -1;
  std::uint16_t m_port = 0;
  std::atomic<int> m_accepted{0};
  std::thread m_thread;
};

/**
 * @brief Returns a port of the loopback interface on which nobody listens.
 *
 * It lies outside the range from which the system takes ports for outgoing
 * connections, and processes begin at different ports, so that it is still free
 * when it is used.
 */
inline std::uint16_t FindFreePort() {
  constexpr std::uint16_t kFirstPort = 20000;
  constexpr std::uint16_t kPortCount = 10000;
  constexpr std::uint16_t kPortsPerProcess = 50;
  static std::atomic<std::uint32_t> next{static_cast<std::uint32_t>(getpid()) *
                                         kPortsPerProcess};
  while (true) {
    const auto port =
        static_cast<std::uint16_t>(kFirstPort + next++ % kPortCount);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    const bool is_free =
        bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(probe);
    if (is_free) {
      return port;
    }
  }
}

}  // namespace test

#endif  // TEST_SUPPORT_SCRIPTED_TCP_SERVER_H_
