#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <websocketpp/base64/base64.hpp>

#include "crocusmast/adapters/records/job_records.h"
#include "platform/keys.h"
#include "platform/store_replies.h"
#include "test/support/factories.h"
#include "test/support/mocks.h"

namespace {

using namespace crocusmast;
using adapters::records::EncodeCommandedMachines;
using adapters::records::EncodeHandoverState;
using test::MakeId;
using Json = nlohmann::json;

/** @brief The state of an earlier leader, as a new leader reads it. */
class StoredHandoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoredHandoverTest);
  CPPUNIT_TEST(MachinesOfTheLeaderAreKnown);
  CPPUNIT_TEST(DamagedRecordMeansAnyMachine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MachinesOfTheLeaderAreKnown() {
    job::CommandedMachines machines;
    machines.leader = core::FencingToken(7);
    machines.open = {MakeId<core::MachineId>("m-1")};
    const auto stored = Read(EncodeCommandedMachines(machines));
    CPPUNIT_ASSERT(stored);
    const job::CommandedMachines* known = stored->MachinesCommandedByLeader();
    CPPUNIT_ASSERT(known != nullptr && known->open == machines.open);
  }

  // The handover state beside it counts, and the new leader holds all machines.
  void DamagedRecordMeansAnyMachine() {
    const auto stored = Read("damaged");
    CPPUNIT_ASSERT(stored);
    CPPUNIT_ASSERT(stored->handover.leader == core::FencingToken(7));
    CPPUNIT_ASSERT(stored->MachinesCommandedByLeader() == nullptr);
  }

 private:
  static Json MakeItem(const char* key, const std::string& value) {
    return {{"key", key},
            {"revision", 8},
            {"value", websocketpp::base64_encode(value)}};
  }

  static std::optional<job::StoredHandover> Read(const std::string& record) {
    job::HandoverState handover;
    handover.leader = core::FencingToken(7);
    const Json page{
        {"items",
         {MakeItem(platform::keys::kCommandedMachines, record),
          MakeItem(platform::keys::kHandover, EncodeHandoverState(handover))}},
        {"at_rev", 9}};
    platform::KvReply reply;
    reply.status = platform::KvStatus::kDone;
    reply.body = page.dump();
    test::NullLogger logger;
    return platform::DecodeStoredHandover(reply, logger);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoredHandoverTest, "platform");

}  // namespace
