#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "crocusmast/adapters/async/http_server.h"
#include "platform/machine_client.h"
#include "test/support/factories.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace crocusmast;
using adapters::async::HttpServer;
using adapters::async::IoThread;
using upkeep::MachineCommandReply;

constexpr std::size_t kIoRing = 4096;
/** @brief As many machines as a pool needs for one turn. */
constexpr int kMachines = 400;
constexpr std::chrono::milliseconds kRoundTrip{50};
constexpr std::chrono::seconds kMaxTestTime{20};

class MachineCommandRateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MachineCommandRateTest);
  CPPUNIT_TEST(MachinesOfATurnAreMovedTogether);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 54, SHORT: commands waited for one of four connections until they
  // were given up, so that most machines of a turn were moved when it was over.
  void MachinesOfATurnAreMovedTogether() {
    const std::unique_ptr<IoThread> server_io = IoThread::Create(kIoRing);
    const std::uint16_t port = test::FindFreePort();
    const auto server =
        HttpServer::Create(*server_io, {"127.0.0.1", port}, {},
                           [&server_io](auto exchange) {
                             server_io->RunAfter(kRoundTrip, [exchange] {
                               exchange->Respond({});
                             });
                           })
            .value();
    const core::SystemClock clock;
    test::NullLogger logger;
    test::CountingMeter meter;
    platform::Mailbox mailbox(kIoRing);
    const std::unique_ptr<IoThread> io = IoThread::Create(kIoRing);
    const auto kv = platform::KvClient::Create(*io, {"127.0.0.1", port}, meter);
    const auto machines =
        platform::MachineClient::Create(*kv, fleet::Endpoint{"127.0.0.1", port},
                                        "instance", mailbox, clock, logger);
    server_io->Start();
    io->Start();
    for (int number = 0; number < kMachines; ++number) {
      machines->Move(core::FencingToken(1),
                     test::MakeId<core::MachineId>(std::to_string(number)),
                     test::MakeId<core::PoolId>("pool"));
    }
    int moved = 0;
    for (int reply = 0; reply < kMachines; ++reply) {
      const std::optional<manager::Message> message =
          mailbox.PopFor(kMaxTestTime);
      CPPUNIT_ASSERT(message);
      moved += std::get<MachineCommandReply>(*message).outcome ==
                       upkeep::MachineCommandOutcome::kDone
                   ? 1
                   : 0;
    }
    io->Stop();
    server_io->Stop();
    CPPUNIT_ASSERT_EQUAL(kMachines, moved);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(MachineCommandRateTest, "platform");

}  // namespace
