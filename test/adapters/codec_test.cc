#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <random>

#include "crocusmast/adapters/admin_codec.h"
#include "crocusmast/adapters/caller_headers.h"
#include "crocusmast/adapters/configuration_codec.h"
#include "crocusmast/adapters/membership_client.h"
#include "crocusmast/adapters/peer_codec.h"
#include "test/support/factories.h"

namespace {

using namespace crocusmast;
using adapters::PeerMessage;
using test::MakeId;

constexpr std::uint64_t kFuzzSeed = 20261204;
constexpr int kFuzzRounds = 20000;

constexpr char kPlans[] =
    R"({"plans":[{"plan":"a","customer":"A","availability":90,"headroom":20}]})";
constexpr char kAllowances[] =
    R"({"allowances":[{"plan":"a","kind":"k","pool":"p","instances":1,)"
    R"("slots":2,"connections":3}]})";

/** @brief Returns the error of a function, or an empty string. */
template <typename Function>
std::string ErrorOf(Function&& function) {
  return core::Handle(
      [&]() -> core::Result<std::string> {
        BOOST_LEAF_CHECK(function());
        return std::string();
      },
      [](const core::Error& error) { return core::Describe(error); });
}

std::string FilesError(const std::string& plans,
                       const std::string& allowances) {
  return ErrorOf([&] {
    return adapters::ParseConfigurationFiles({plans, allowances});
  });
}

std::vector<PeerMessage> AllMessages() {
  using namespace adapters;
  const auto peer = MakeId<core::InstanceId>("entry-1");
  const routing::QuotaKey key{MakeId<core::PlanId>("a"),
                              MakeId<core::KindId>("k")};
  const request::ClaimToken token{peer, core::RequestKey(7)};
  const auto id = MakeId<core::RequestId>("r");
  const configuration::Row row = test::MakePlan("a");
  const configuration::Change change{
      core::Revision(3),
      {MakeId<core::ChangeId>("c"), "ann", "why", {}},
      {{configuration::KeyOf(row), std::nullopt, row}}};
  return {
      HelloMessage{peer, core::Revision(1)},
      HeartbeatMessage{core::Revision(2)},
      FreeSlotsMessage{{{MakeId<core::PoolId>("p"), core::Slots(5)}}},
      QuotaDemandMessage{{key, core::Slots(1), core::Slots(2), {}, {}}},
      QuotaGrantMessage{{key, core::Slots(3), {}, {}}},
      ClaimMessage{routing::CallNumber(1), id, token},
      ClaimReplyMessage{routing::CallNumber(1),
                        request::ClaimOutcome::kAlreadyClaimed},
      ClaimReleaseMessage{id, token},
      ForwardMessage{routing::CallNumber(2), test::MakeRequestSpec("r", {}),
                     std::chrono::milliseconds(500),
                     std::string("\0\xff body", 7)},
      ForwardReplyMessage{routing::CallNumber(2),
                          request::DeliveryStatus::kAnswered,
                          request::Reason::kNone,
                          {200, "text/plain", "answer"}},
      ChangesMessage{{change}},
      ChangesRequestMessage{core::Revision(4)},
      SnapshotMessage{
          {core::Revision(9),
           configuration::PlanLists::Create({test::MakePlan("a")}).value()}},
      InstanceLeavingMessage{peer},
      IdleQueryMessage{peer},
      IdleReplyMessage{peer, true},
      TargetReleaseMessage{{peer, core::Incarnation(2)}}};
}

/** @brief Overwrites, truncates, duplicates or erases some bytes. */
std::string Mutate(std::string bytes, std::mt19937_64& random) {
  const auto pick = [&](std::size_t bound) {
    return static_cast<std::size_t>(random() % std::max<std::size_t>(bound, 1));
  };
  const std::size_t changes = 1 + pick(4);
  for (std::size_t change = 0; change < changes && !bytes.empty(); ++change) {
    const std::size_t at = pick(bytes.size());
    switch (pick(4)) {
      case 0:
        bytes[at] = static_cast<char>(random());
        break;
      case 1:
        bytes.resize(at);
        break;
      case 2:
        bytes.insert(at, bytes.substr(at, pick(16)));
        break;
      default:
        bytes.erase(at, 1);
        break;
    }
  }
  return bytes;
}

void Fuzz(const std::vector<std::string>& seeds,
          const std::function<bool(const std::string&)>& decode) {
  std::mt19937_64 random(kFuzzSeed);
  int accepted = 0;
  for (int round = 0; round < kFuzzRounds; ++round) {
    const std::string& seed = seeds[random() % seeds.size()];
    accepted += decode(Mutate(seed, random)) ? 1 : 0;
  }
  CPPUNIT_ASSERT(accepted < kFuzzRounds);
}

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(ValidFilesAreParsed);
  CPPUNIT_TEST(ErrorNamesInvalidFieldOfFiles);
  CPPUNIT_TEST(OversizedFileIsRefused);
  CPPUNIT_TEST(FilesRoundTrip);
  CPPUNIT_TEST(ChangeRoundTrips);
  CPPUNIT_TEST(PeerMessagesRoundTrip);
  CPPUNIT_TEST(InvalidPeerMessagesAreRejected);
  CPPUNIT_TEST(CallerHeadersAreValidated);
  CPPUNIT_TEST(FuzzedPeerMessagesDoNotCrash);
  CPPUNIT_TEST(FuzzedFilesDoNotCrash);
  CPPUNIT_TEST(FuzzedHeadersDoNotCrash);
  CPPUNIT_TEST(FuzzedMembershipListsDoNotCrash);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ValidFilesAreParsed() {
    CPPUNIT_ASSERT_EQUAL(std::string(), FilesError(kPlans, kAllowances));
  }

  void ErrorNamesInvalidFieldOfFiles() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("parse lists (plans row 1): field 'headroom': value "
                    "\"x\" is not a non-negative integer"),
        FilesError(R"({"plans":[{"plan":"a","customer":"A",)"
                   R"("availability":90,"headroom":"x"}]})",
                   kAllowances));
    CPPUNIT_ASSERT_EQUAL(
        std::string("parse lists (plans row 1): field 'color' is unknown; "
                    "allowed fields: plan, customer, availability, headroom"),
        FilesError(R"({"plans":[{"plan":"a","color":"red"}]})", kAllowances));
    CPPUNIT_ASSERT_EQUAL(
        std::string("parse lists (plans file): an object has field 'plan' "
                    "more than once"),
        FilesError(R"({"plans":[{"plan":"a","plan":"b"}]})", kAllowances));
    CPPUNIT_ASSERT_EQUAL(
        std::string("parse lists (allowances row 1): field 'plan': 'a b' is "
                    "not 1 to 64 letters, digits, '.', '_', ':', '-'"),
        FilesError(kPlans, R"({"allowances":[{"plan":"a b"}]})"));
    const std::string cut(kPlans, sizeof kPlans / 2);
    CPPUNIT_ASSERT(FilesError(cut, kAllowances)
                       .rfind("parse lists (plans file): not JSON", 0) == 0);
  }

  void OversizedFileIsRefused() {
    const std::string huge(adapters::kMaxConfigurationBytes + 1, ' ');
    CPPUNIT_ASSERT_EQUAL(
        std::string("parse lists (plans file): 8388609 bytes; allowed are "
                    "8388608"),
        FilesError(huge, kAllowances));
  }

  void FilesRoundTrip() {
    const auto parsed =
        adapters::ParseConfigurationFiles({kPlans, kAllowances}).value();
    const auto files =
        adapters::FormatConfigurationFiles({core::Revision(7), parsed.lists});
    const auto decoded = adapters::ParseConfigurationFiles(files).value();
    CPPUNIT_ASSERT(parsed.lists.DifferenceTo(decoded.lists).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, decoded.revision->Count());
  }

  void ChangeRoundTrips() {
    const configuration::Row before = test::MakeAllowance("a", "k", "p", 3);
    const configuration::Row after = test::MakeAllowance("a", "k", "p", 4);
    const configuration::Change change{
        core::Revision(3),
        {MakeId<core::ChangeId>("c"), "ann", "why",
         core::WallTime(std::chrono::milliseconds(1234))},
        {{configuration::KeyOf(after), before, after}}};
    const auto decoded =
        adapters::ParseChange(adapters::FormatChange(change)).value();
    CPPUNIT_ASSERT(decoded.rows[0].before == before);
    CPPUNIT_ASSERT(decoded.rows[0].after == after);
    CPPUNIT_ASSERT(decoded.origin.at == change.origin.at);
  }

  void PeerMessagesRoundTrip() {
    for (const PeerMessage& message : AllMessages()) {
      const std::string bytes = adapters::EncodePeerMessage(message);
      const PeerMessage decoded =
          adapters::DecodePeerMessage(bytes, "peer").value();
      CPPUNIT_ASSERT_EQUAL(message.index(), decoded.index());
      CPPUNIT_ASSERT(bytes == adapters::EncodePeerMessage(decoded));
    }
  }

  void InvalidPeerMessagesAreRejected() {
    const auto error = [](const std::string& bytes) {
      return ErrorOf(
          [&] { return adapters::DecodePeerMessage(bytes, "peer"); });
    };
    CPPUNIT_ASSERT_EQUAL(
        std::string("decode message (peer): not a CBOR array that starts "
                    "with a type number"),
        error("GET / HTTP/1.1"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("decode message (peer): type 23 is unknown"),
        error("\x81\x17"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("decode message (peer): field 1 is missing"),
        error("\x81\x02"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("decode message (peer): the message has too many fields"),
        error("\x83\x02\x01\x01"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("decode message (peer): 4194305 bytes; allowed are "
                    "4194304"),
        error(std::string(adapters::kMaxPeerMessageBytes + 1, 'x')));
  }

  void CallerHeadersAreValidated() {
    const auto error = [](const adapters::CallerHeaders& headers) {
      return ErrorOf([&] { return adapters::ParseCallerHeaders(headers, {}); });
    };
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         error({"r", "p", "k", "urgent", "yes", "100"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("decode headers (Crocusmast-Plan): value ''; allowed are "
                    "1 to 64 letters, digits, '.', '_', ':', '-'"),
        error({"r", "", "k", "", "", ""}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("decode headers (Crocusmast-Urgency): value 'now'; "
                    "allowed are urgent, normal, deferrable"),
        error({"r", "p", "k", "now", "", ""}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("decode headers (Crocusmast-Deadline-Ms): value '0'; "
                    "allowed are 1 to 600000"),
        error({"r", "p", "k", "", "", "0"}));
  }

  void FuzzedPeerMessagesDoNotCrash() {
    std::vector<std::string> seeds;
    for (const PeerMessage& message : AllMessages()) {
      seeds.push_back(adapters::EncodePeerMessage(message));
    }
    Fuzz(seeds, [](const std::string& bytes) {
      return ErrorOf([&] { return adapters::DecodePeerMessage(bytes, "peer"); })
          .empty();
    });
  }

  void FuzzedFilesDoNotCrash() {
    Fuzz({kPlans, kAllowances}, [](const std::string& text) {
      return FilesError(text, kAllowances).empty() ||
             FilesError(kPlans, text).empty();
    });
  }

  void FuzzedHeadersDoNotCrash() {
    Fuzz({"request-1", "urgent", "yes", "600000"}, [](const std::string& text) {
      return ErrorOf([&] {
               return adapters::ParseCallerHeaders(
                   {text, text, text, text, text, text}, {});
             })
          .empty();
    });
  }

  void FuzzedMembershipListsDoNotCrash() {
    const std::string list =
        R"({"version":3,"whole":1,"removed":["x"],"changed":[{"id":"t",)"
        R"("role":"target","state":"live","incarnation":1,"region":"r",)"
        R"("zone":"z","rack":"k","pool":"p","host":"127.0.0.1","port":1,)"
        R"("slots":8,"connections":64}]})";
    CPPUNIT_ASSERT(
        adapters::ParseMembershipUpdate(list).value().changed.size() == 1);
    Fuzz({list}, [](const std::string& text) {
      return ErrorOf([&] { return adapters::ParseMembershipUpdate(text); })
          .empty();
    });
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CodecTest, "adapters");

}  // namespace
