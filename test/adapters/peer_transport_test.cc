#include "crocusmast/adapters/peer_transport.h"

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <mutex>
#include <set>

#include "crocusmast/adapters/peer_codec.h"
#include "test/support/factories.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace crocusmast;
using adapters::PeerTransport;
using test::MakeId;

constexpr std::chrono::seconds kEventTimeout{20};
constexpr std::chrono::milliseconds kNoLinkWait{300};

core::InstanceId Id(const std::string& text) {
  return MakeId<core::InstanceId>(text);
}

/** @brief Records the events of a transport. */
class RecordingListener final : public adapters::TransportListener {
 public:
  explicit RecordingListener(core::InstanceId self) : m_self(std::move(self)) {}

  std::string OnOpen() override {
    return adapters::EncodePeerMessage(
        adapters::HelloMessage{m_self, core::Revision(0)});
  }

  core::Result<core::InstanceId> OnHello(std::string_view bytes) override {
    BOOST_LEAF_AUTO(message, adapters::DecodePeerMessage(bytes, "new"));
    return std::get<adapters::HelloMessage>(message).instance;
  }

  void OnConnected(const core::InstanceId& peer) override {
    Update([&] { m_connected.insert(peer); });
  }

  void OnDisconnected(const core::InstanceId& peer) override {
    Update([&] { m_connected.erase(peer); });
  }

  bool OnMessage(const core::InstanceId& peer,
                 std::string_view bytes) override {
    Update([&] { m_last_message = std::string(bytes); });
    return bytes != "bad";
  }

  bool WaitForConnected(const core::InstanceId& peer, bool is_connected) {
    return Wait([&] { return (m_connected.count(peer) > 0) == is_connected; },
                kEventTimeout);
  }

  bool WaitForMessage(const std::string& bytes) {
    return Wait([&] { return m_last_message == bytes; }, kEventTimeout);
  }

  bool StaysWithoutLinks() {
    return !Wait([&] { return !m_connected.empty(); }, kNoLinkWait);
  }

 private:
  template <typename Action>
  void Update(Action&& action) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    action();
    m_changed.notify_all();
  }

  template <typename Condition>
  bool Wait(Condition&& condition, core::Duration wait) {
    std::unique_lock<std::mutex> lock(m_mutex);
    return m_changed.wait_for(lock, wait, condition);
  }

  const core::InstanceId m_self;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::set<core::InstanceId> m_connected;
  std::string m_last_message;
};

class PeerTransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTransportTest);
  CPPUNIT_TEST(LinkCarriesMessagesBothWays);
  CPPUNIT_TEST(WrongTokenIsRejected);
  CPPUNIT_TEST(RejectedMessageClosesLink);
  CPPUNIT_TEST(StoppedPeerIsReportedAsDisconnected);
  CPPUNIT_TEST(CreateFailsIfPortIsInUse);
  CPPUNIT_TEST(InvalidBytesDoNotAffectOtherLinks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LinkCarriesMessagesBothWays() {
    Pair pair("token", "token");
    CPPUNIT_ASSERT(pair.a.WaitForConnected(Id("b"), true));
    CPPUNIT_ASSERT(pair.b.WaitForConnected(Id("a"), true));
    CPPUNIT_ASSERT(pair.first->Send(Id("b"), "from a"));
    CPPUNIT_ASSERT(pair.b.WaitForMessage("from a"));
    CPPUNIT_ASSERT(pair.second->Send(Id("a"), "from b"));
    CPPUNIT_ASSERT(pair.a.WaitForMessage("from b"));
    CPPUNIT_ASSERT(!pair.first->Send(Id("c"), "no link"));
  }

  void WrongTokenIsRejected() {
    Pair pair("token", "other");
    CPPUNIT_ASSERT(pair.b.StaysWithoutLinks());
    CPPUNIT_ASSERT(pair.a.StaysWithoutLinks());
  }

  void RejectedMessageClosesLink() {
    Pair pair("token", "token");
    CPPUNIT_ASSERT(pair.a.WaitForConnected(Id("b"), true));
    CPPUNIT_ASSERT(pair.b.WaitForConnected(Id("a"), true));
    pair.first->Send(Id("b"), "bad");
    CPPUNIT_ASSERT(pair.b.WaitForConnected(Id("a"), false));
    CPPUNIT_ASSERT(pair.a.WaitForConnected(Id("b"), false));
  }

  void StoppedPeerIsReportedAsDisconnected() {
    Pair pair("token", "token");
    CPPUNIT_ASSERT(pair.a.WaitForConnected(Id("b"), true));
    pair.second.reset();
    CPPUNIT_ASSERT(pair.a.WaitForConnected(Id("b"), false));
  }

  void CreateFailsIfPortIsInUse() {
    Pair pair("token", "token");
    RecordingListener listener(Id("c"));
    const std::string error = core::Handle(
        [&]() -> core::Result<std::string> {
          BOOST_LEAF_CHECK(PeerTransport::Create(
              {Id("c"), {"127.0.0.1", pair.first_port}, "token"}, listener));
          return std::string();
        },
        [](const core::Error& failure) { return core::Describe(failure); });
    CPPUNIT_ASSERT_EQUAL(
        "listen (127.0.0.1:" + std::to_string(pair.first_port) + ")",
        error.substr(0, error.find("):") + 1));
  }

  void InvalidBytesDoNotAffectOtherLinks() {
    Pair pair("token", "token");
    CPPUNIT_ASSERT(pair.a.WaitForConnected(Id("b"), true));
    const int raw_socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(pair.first_port);
    CPPUNIT_ASSERT_EQUAL(
        0, connect(raw_socket, reinterpret_cast<sockaddr*>(&address),
                   sizeof address));
    test::ScriptedTcpServer::Write(raw_socket, std::string(100000, '\xff'));
    close(raw_socket);
    CPPUNIT_ASSERT(pair.first->Send(Id("b"), "still here"));
    CPPUNIT_ASSERT(pair.b.WaitForMessage("still here"));
  }

 private:
  struct Pair {
    Pair(const std::string& first_token, const std::string& second_token)
        : first_port(test::FindFreePort()), second_port(test::FindFreePort()) {
      first = PeerTransport::Create(
                  {Id("a"), {"127.0.0.1", first_port}, first_token}, a)
                  .value();
      second = PeerTransport::Create(
                   {Id("b"), {"127.0.0.1", second_port}, second_token}, b)
                   .value();
      first->SetPeers({{Id("b"), {"127.0.0.1", second_port}, false}});
      second->SetPeers({{Id("a"), {"127.0.0.1", first_port}, false}});
      first->RefreshLinks();
      second->RefreshLinks();
    }

    RecordingListener a{Id("a")};
    RecordingListener b{Id("b")};
    std::uint16_t first_port;
    std::uint16_t second_port;
    std::unique_ptr<PeerTransport> first;
    std::unique_ptr<PeerTransport> second;
  };
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PeerTransportTest, "adapters");

}  // namespace
