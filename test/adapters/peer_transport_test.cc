#include "crocusmast/adapters/peer_transport.h"

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <mutex>
#include <set>

#include "crocusmast/adapters/peer_codec.h"
#include "test/support/make.h"
#include "test/support/raw_server.h"

namespace {

using namespace crocusmast;
using adapters::PeerTransport;
using test::MakeId;

constexpr std::chrono::seconds kLong{20};
constexpr std::chrono::milliseconds kShort{300};

core::InstanceId Id(const std::string& text) {
  return MakeId<core::InstanceId>(text);
}

/** @brief Notes what happens on a transport. */
class Listener final : public adapters::TransportListener {
 public:
  explicit Listener(core::InstanceId self) : m_self(std::move(self)) {}

  std::string OnOpen() override {
    return adapters::EncodePeerMessage(
        adapters::HelloMessage{m_self, core::Revision(0)});
  }

  core::Result<core::InstanceId> OnHello(std::string_view bytes) override {
    BOOST_LEAF_AUTO(message, adapters::DecodePeerMessage(bytes, "new"));
    return std::get<adapters::HelloMessage>(message).instance;
  }

  void OnUp(const core::InstanceId& peer) override {
    Change([&] { m_up.insert(peer); });
  }

  void OnDown(const core::InstanceId& peer) override {
    Change([&] { m_up.erase(peer); });
  }

  bool OnMessage(const core::InstanceId& peer,
                 std::string_view bytes) override {
    Change([&] { m_last = std::string(bytes); });
    return bytes != "bad";
  }

  bool WaitForUp(const core::InstanceId& peer, bool is_up) {
    return Wait([&] { return (m_up.count(peer) > 0) == is_up; }, kLong);
  }

  bool WaitForMessage(const std::string& bytes) {
    return Wait([&] { return m_last == bytes; }, kLong);
  }

  bool StaysDown() {
    return !Wait([&] { return !m_up.empty(); }, kShort);
  }

 private:
  template <typename Action>
  void Change(Action&& action) {
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
  std::set<core::InstanceId> m_up;
  std::string m_last;
};

class PeerTransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTransportTest);
  CPPUNIT_TEST(LinksSpeakBothWays);
  CPPUNIT_TEST(WrongTokenGetsNoLink);
  CPPUNIT_TEST(BadMessageClosesTheLink);
  CPPUNIT_TEST(StoppedPeerIsDown);
  CPPUNIT_TEST(PortInUseIsAnError);
  CPPUNIT_TEST(GarbageDoesNoHarm);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LinksSpeakBothWays() {
    Pair pair("token", "token");
    CPPUNIT_ASSERT(pair.a.WaitForUp(Id("b"), true));
    CPPUNIT_ASSERT(pair.b.WaitForUp(Id("a"), true));
    CPPUNIT_ASSERT(pair.first->Send(Id("b"), "from a"));
    CPPUNIT_ASSERT(pair.b.WaitForMessage("from a"));
    CPPUNIT_ASSERT(pair.second->Send(Id("a"), "from b"));
    CPPUNIT_ASSERT(pair.a.WaitForMessage("from b"));
    CPPUNIT_ASSERT(!pair.first->Send(Id("c"), "nobody"));
  }

  void WrongTokenGetsNoLink() {
    Pair pair("token", "other");
    CPPUNIT_ASSERT(pair.b.StaysDown());
    CPPUNIT_ASSERT(pair.a.StaysDown());
  }

  void BadMessageClosesTheLink() {
    Pair pair("token", "token");
    CPPUNIT_ASSERT(pair.a.WaitForUp(Id("b"), true));
    CPPUNIT_ASSERT(pair.b.WaitForUp(Id("a"), true));
    pair.first->Send(Id("b"), "bad");
    CPPUNIT_ASSERT(pair.b.WaitForUp(Id("a"), false));
    CPPUNIT_ASSERT(pair.a.WaitForUp(Id("b"), false));
  }

  void StoppedPeerIsDown() {
    Pair pair("token", "token");
    CPPUNIT_ASSERT(pair.a.WaitForUp(Id("b"), true));
    pair.second.reset();
    CPPUNIT_ASSERT(pair.a.WaitForUp(Id("b"), false));
  }

  void PortInUseIsAnError() {
    Pair pair("token", "token");
    Listener listener(Id("c"));
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

  void GarbageDoesNoHarm() {
    Pair pair("token", "token");
    CPPUNIT_ASSERT(pair.a.WaitForUp(Id("b"), true));
    const int garbage = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(pair.first_port);
    CPPUNIT_ASSERT_EQUAL(0,
                         connect(garbage, reinterpret_cast<sockaddr*>(&address),
                                 sizeof address));
    test::RawServer::Write(garbage, std::string(100000, '\xff'));
    close(garbage);
    CPPUNIT_ASSERT(pair.first->Send(Id("b"), "still here"));
    CPPUNIT_ASSERT(pair.b.WaitForMessage("still here"));
  }

 private:
  struct Pair {
    Pair(const std::string& first_token, const std::string& second_token)
        : first_port(test::FreePort()), second_port(test::FreePort()) {
      first = PeerTransport::Create(
                  {Id("a"), {"127.0.0.1", first_port}, first_token}, a)
                  .value();
      second = PeerTransport::Create(
                   {Id("b"), {"127.0.0.1", second_port}, second_token}, b)
                   .value();
      first->SetPeers({{Id("b"), {"127.0.0.1", second_port}, false}});
      second->SetPeers({{Id("a"), {"127.0.0.1", first_port}, false}});
      first->Maintain();
      second->Maintain();
    }

    Listener a{Id("a")};
    Listener b{Id("b")};
    std::uint16_t first_port;
    std::uint16_t second_port;
    std::unique_ptr<PeerTransport> first;
    std::unique_ptr<PeerTransport> second;
  };
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PeerTransportTest, "adapters");

}  // namespace
