#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <random>
#include <string>

#include "platform/config_codec.h"
#include "platform/job_codec.h"
#include "platform/keys.h"
#include "platform/machine_codec.h"
#include "platform/settings.h"
#include "platform/store_codec.h"
#include "platform/worker_codec.h"
#include "test/support/factories.h"

namespace {

using namespace platform;
using execution::WorkerCallOutcome;
using test::MakeId;

constexpr char kJobBody[] =
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,)"
    R"("estimate_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,)"
    R"("mem_mb":1024,"estimate_ms":7000,"after":[0],"checkpointing":true,)"
    R"("max_unavailable":1,"target_ms":80,"utilisation":true}]})";
constexpr char kPollBody[] =
    R"({"clock_ms":482113,"born":1771897180004,)"
    R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"00bb",41,12]],)"
    R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
constexpr char kWorkerBody[] =
    R"({"service":"pool","address":"10.128.0.9:8080","zone":"zone-a",)"
    R"("version":"v1","slots":8,"state":"ready","cold_left_ms":0,)"
    R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":17})";
constexpr char kConfigurationBody[] =
    R"({"version":7,"routes":[{"name":"r-1","host":"a.example",)"
    R"("prefix":"/x/","service":"pool","priority":1,"max_attempts":4,)"
    R"("slack_factor":1.6,"target_runtime_ms":600,"kind":"unsafe"},)"
    R"({"name":"r-2","host":"a.example","prefix":"/x/y/","service":"pool"}],)"
    R"("services":[{"name":"pool","enforce_capacity":true,"standby":false}],)"
    R"("limits":{"max_body_bytes":1000}})";
constexpr char kSettingsText[] =
    R"({"node_name":"front-1","ip":"10.1.0.9","zone":"zone-a",)"
    R"("listen":{"front":"10.1.0.9:8624","readiness":"10.1.0.9:8622"},)"
    R"("platform":{"address":"10.200.1.7:8621"},"advice":"10.200.1.9:8621",)"
    R"("cloud_api":{"address":"10.200.0.107:8621"},)"
    R"("bounds":{"grace_s":6,"lease_ms":3000,"max_hold_ms":7000},"unheard_of":{"x":1}})";
constexpr char kWatchBody[] =
    R"({"events":[{"key":"my/leader","value":"bm9kZS0x","revision":412,)"
    R"("created":412,"lease":77120},)"
    R"({"key":"my/old","revision":413,"deleted":true}],"at_rev":413})";

std::string MakeBodyWithEnds(int count) {
  std::string ends;
  for (int number = 1; number <= count; ++number) {
    ends += (ends.empty() ? "[" : ",[") + std::to_string(number) +
            R"(,"5c0e7a21d94b36f8.0.1.)" + std::to_string(number) +
            R"(",1,"done",""])";
  }
  return R"({"clock_ms":1,"born":1,"running":[],"ended":[)" + ends + "]}";
}

template <typename T>
bool IsError(const core::Result<T>& result) {
  return !result;
}

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(DecodesJobSpec);
  CPPUNIT_TEST(RejectsInvalidJobSpecs);
  CPPUNIT_TEST(EncodesResponseStatusAndBody);
  CPPUNIT_TEST(TaskIdsRoundTrip);
  CPPUNIT_TEST(DecodesWorkerEntries);
  CPPUNIT_TEST(DecodesPollReply);
  CPPUNIT_TEST(FullListOfEndsIsNotComplete);
  CPPUNIT_TEST(EncodesCommands);
  CPPUNIT_TEST(DecodesCallOutcomes);
  CPPUNIT_TEST(DecodesConfiguration);
  CPPUNIT_TEST(ParsesSettings);
  CPPUNIT_TEST(StoreMessagesMatchWireFormat);
  CPPUNIT_TEST(DecodesMachinesAndWaves);
  CPPUNIT_TEST(JobKeysRoundTrip);
  CPPUNIT_TEST(DecodersReturnErrorsForDamagedInput);
  CPPUNIT_TEST(RejectionWithoutAReadableReasonIsUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DecodesJobSpec() {
    const job::JobSpec spec = DecodeJobSpec(kJobBody).value();
    CPPUNIT_ASSERT_EQUAL(std::string("text"), spec.payload);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, spec.steps.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), spec.steps[0].preferred_rack);
    CPPUNIT_ASSERT(spec.steps[1].is_best_effort);
    CPPUNIT_ASSERT(spec.steps[1].max_unavailable == 1U);
    CPPUNIT_ASSERT(spec.steps[1].latency_target ==
                   std::chrono::milliseconds(80));
  }

  void RejectsInvalidJobSpecs() {
    for (const char* body :
         {"", "{", "[]", R"({"spec":"x"})", R"({"steps":{}})",
          R"({"steps":[{"count":-1}]})", R"({"steps":[{"count":1.5}]})",
          R"({"steps":[{"count":5000000000}]})", R"({"steps":[{"count":"1"}]})",
          R"({"steps":[1]})", R"({"spec":7,"steps":[]})",
          R"({"steps":[{"count":1,"after":[-1]}],"times":-2})"}) {
      const bool is_rejected = core::Handle(
          [body]() -> core::Result<bool> {
            BOOST_LEAF_AUTO(spec, DecodeJobSpec(body));
            BOOST_LEAF_CHECK(job::Validate(spec));
            return false;
          },
          [](const core::Error& error) { return !error.detail.empty(); });
      CPPUNIT_ASSERT_MESSAGE(body, is_rejected);
    }
  }

  void EncodesResponseStatusAndBody() {
    intake::JobResponse response;
    response.status = intake::ResponseStatus::kTemporarilyUnavailable;
    CPPUNIT_ASSERT_EQUAL(503U, EncodeJobResponse(response).status);
    CPPUNIT_ASSERT_EQUAL(std::string("Retry-After"),
                         EncodeJobResponse(response).headers[0].first);
    // An unknown outcome must not be reported as a refusal: the caller would
    // repeat a job that may have been accepted.
    response.status = intake::ResponseStatus::kUnknown;
    CPPUNIT_ASSERT_EQUAL(504U, EncodeJobResponse(response).status);
    response.status = intake::ResponseStatus::kJobNotFound;
    CPPUNIT_ASSERT_EQUAL(410U, EncodeJobResponse(response).status);
    response.status = intake::ResponseStatus::kQueueNotFound;
    CPPUNIT_ASSERT_EQUAL(404U, EncodeJobResponse(response).status);
    response.status = intake::ResponseStatus::kJobState;
    response.state = job::JobState::kRunning;
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"running"})"),
                         EncodeJobResponse(response).body);
    response.status = intake::ResponseStatus::kQueuedCount;
    response.count = 12;
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"pending":12})"),
                         EncodeJobResponse(response).body);
  }

  void TaskIdsRoundTrip() {
    const std::string task_id = "5c0e7a21d94b36f8.3.1.17";
    CPPUNIT_ASSERT_EQUAL(task_id, EncodeTaskId(DecodeTaskId(task_id).value()));
    for (const char* invalid :
         {"", ".", "a", "a.1", "a.1.2", "a.1.2.", "a.1.2.3.4", "a.1.2.x",
          "a.1.2.-3", ".1.2.3", "a.1.2.99999999999"}) {
      CPPUNIT_ASSERT_MESSAGE(invalid, IsError(DecodeTaskId(invalid)));
    }
  }

  void DecodesWorkerEntries() {
    const core::InstanceId id = MakeId<core::InstanceId>("i-1");
    const execution::WorkerRecord worker =
        DecodeWorker(id, kWorkerBody).value();
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), worker.Rack());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{17}, worker.incarnation.Count());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{16000},
                         worker.capacity.processor.Count());
    CPPUNIT_ASSERT(!worker.is_draining);
    for (const char* invalid :
         {"", "{}", R"({"service":7})", "\xff\xfe",
          R"({"service":"pool","address":"nowhere","zone":"z","state":"ready",)"
          R"("capacity":{"cpu":1,"mem_mb":1},"labels":[],"clock_ms":1})",
          R"({"service":"pool","address":"1.2.3.4:5","zone":"z","state":"odd",)"
          R"("capacity":{"cpu":1,"mem_mb":1},"labels":[],"clock_ms":1})"}) {
      CPPUNIT_ASSERT_MESSAGE(invalid, IsError(DecodeWorker(id, invalid)));
    }
  }

  void DecodesPollReply() {
    execution::PollReply reply;
    CPPUNIT_ASSERT(!IsError(DecodePollReply(200, kPollBody, reply)));
    CPPUNIT_ASSERT_EQUAL(41U, reply.running[0].percent);
    CPPUNIT_ASSERT(reply.running[0].tail_latency ==
                   std::chrono::milliseconds(12));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{58}, reply.ended[0].number.Count());
    CPPUNIT_ASSERT(reply.ended[0].outcome == job::RunOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1771897180004},
                         reply.replying_incarnation->Count());
  }

  // Issue 36, TWICE: a run that such a list leaves out may have ended.
  void FullListOfEndsIsNotComplete() {
    execution::PollReply reply;
    CPPUNIT_ASSERT(
        !IsError(DecodePollReply(200, MakeBodyWithEnds(499), reply)));
    CPPUNIT_ASSERT(reply.lists_all_ends);
    execution::PollReply full;
    CPPUNIT_ASSERT(!IsError(DecodePollReply(200, MakeBodyWithEnds(500), full)));
    CPPUNIT_ASSERT(!full.lists_all_ends);
  }

  void EncodesCommands() {
    execution::StartCommand start_command;
    start_command.to.token = core::FencingToken(7);
    start_command.task = DecodeTaskId("5c0e7a21d94b36f8.0.1.17").value();
    start_command.attempt = core::Attempt(2);
    start_command.payload = "text";
    start_command.lease_until =
        execution::WorkerTime(std::chrono::milliseconds(486000));
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"task":"5c0e7a21d94b36f8.0.1.17","attempt":2,)"
                    R"("fencing_token":7,"until_ms":486000,"spec":"text"})"),
        EncodeStart(start_command));
    start_command.payload = "a \"text\"\n";
    start_command.checkpoint = "saved";
    start_command.ticket = "t-1";
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"task":"5c0e7a21d94b36f8.0.1.17","attempt":2,)"
                    R"("fencing_token":7,"until_ms":486000,)"
                    R"("spec":"a \"text\"\n","checkpoint":"saved",)"
                    R"("ticket":"t-1"})"),
        EncodeStart(start_command));
    execution::PollCommand poll_command;
    poll_command.to.token = core::FencingToken(7);
    poll_command.recorded = core::RunEndNumber(57);
    poll_command.max_wait = std::chrono::milliseconds(1000);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"fencing_token":7,"last_seen":57,"wait_ms":1000})"),
        EncodePoll(poll_command));
  }

  void DecodesCallOutcomes() {
    const auto outcome = [](int status, const char* body) {
      return DecodeCommandReply(status, body).outcome;
    };
    CPPUNIT_ASSERT(outcome(200, R"({"clock_ms":5})") ==
                   WorkerCallOutcome::kDone);
    CPPUNIT_ASSERT(outcome(409, R"({"reason":"fence"})") ==
                   WorkerCallOutcome::kFenced);
    CPPUNIT_ASSERT(outcome(409, R"({"reason":"room"})") ==
                   WorkerCallOutcome::kInsufficientResources);
    CPPUNIT_ASSERT(outcome(409, "what") == WorkerCallOutcome::kUnknown);
    CPPUNIT_ASSERT(outcome(421, "") == WorkerCallOutcome::kIncarnationMismatch);
    CPPUNIT_ASSERT(outcome(503, "") == WorkerCallOutcome::kUnhealthy);
    CPPUNIT_ASSERT(outcome(500, "") == WorkerCallOutcome::kUnknown);
  }

  void DecodesConfiguration() {
    const auto catalog = DecodeConfiguration(kConfigurationBody).value();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, catalog->Version().Count());
    // The queue with the longest matching prefix is chosen.
    CPPUNIT_ASSERT_EQUAL(std::string("r-2"),
                         catalog->Match("a.example", "/x/y/1")->id.Text());
    CPPUNIT_ASSERT_EQUAL(std::string("r-1"),
                         catalog->Match("a.example", "/x/z")->id.Text());
    CPPUNIT_ASSERT(catalog->Match("b.example", "/x/z") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, catalog->Limits().body.Count());
    CPPUNIT_ASSERT(IsError(DecodeConfiguration("{}")));
  }

  void ParsesSettings() {
    const Settings settings = ParseSettings(kSettingsText, "file").value();
    CPPUNIT_ASSERT_EQUAL(std::string("front-1"), settings.instance);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{8624}, settings.callers.port);
    CPPUNIT_ASSERT(settings.ticket_service.has_value());
    CPPUNIT_ASSERT(settings.shutdown_grace == std::chrono::seconds(6));
    CPPUNIT_ASSERT(settings.max_worker_lease == std::chrono::seconds(7));
    CPPUNIT_ASSERT(IsError(ParseSettings("{}", "file")));
    CPPUNIT_ASSERT(IsError(ParseSettings("not json", "file")));
  }

  void StoreMessagesMatchWireFormat() {
    const KvPage changes = DecodeWatch(kWatchBody).value();
    CPPUNIT_ASSERT_EQUAL(std::string("node-1"), *changes.items[0].value);
    CPPUNIT_ASSERT(!changes.items[1].value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{413}, changes.revision.Count());
    Transaction transaction;
    transaction.conditions.push_back({"my/leader", core::Revision(0)});
    transaction.writes.push_back(
        {"my/leader", "node-1", leadership::LeaseId(77120)});
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"deletes":[],"expected":[{"key":"my/leader",)"
                    R"("revision":0}],"writes":[{"key":"my/leader",)"
                    R"("lease":77120,"value":"bm9kZS0x"}]})"),
        EncodeTransaction(transaction));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{412},
                         DecodeRevision(R"({"revision":412})").value().Count());
  }

  void DecodesMachinesAndWaves() {
    const MachinePage page =
        DecodeMachines(R"({"machines":[{"machine_id":"m-1","pool":"p",)"
                       R"("state":"up","zone":"z","id":"i-1"},)"
                       R"({"machine_id":"m-2","pool":"p","state":"upkeep",)"
                       R"("id":null}],"next_token":null})")
            .value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, page.machines.size());
    CPPUNIT_ASSERT(page.machines[1].worker.IsEmpty());
    CPPUNIT_ASSERT(page.next_page_token.empty());
    const upkeep::WaveRequest wave =
        DecodeWave(
            R"({"wave":1,"machines":["m-1","m-2"],"deadline_s":20,"cap":1})")
            .value();
    CPPUNIT_ASSERT(wave.time_limit == std::chrono::seconds(20));
    CPPUNIT_ASSERT(DecodeMachineOutcome(409, R"({"reason":"busy"})") ==
                   upkeep::MachineCommandOutcome::kBusy);
    CPPUNIT_ASSERT(DecodeMachineOutcome(500, "") ==
                   upkeep::MachineCommandOutcome::kUnknown);
  }

  void JobKeysRoundTrip() {
    const core::JobId id = MakeId<core::JobId>("5c0e7a21d94b36f8");
    for (const keys::JobField field :
         {keys::JobField::kAccepted, keys::JobField::kCancelled,
          keys::JobField::kProgress}) {
      const auto key = keys::ParseJobKey(keys::MakeJobKey(id, field));
      CPPUNIT_ASSERT(key && key->id == id && key->field == field);
    }
    for (const char* other :
         {"", "cm/j/", "cm/j//a", "cm/j/x/z", "cm/duty", "cm/j/x"}) {
      CPPUNIT_ASSERT_MESSAGE(other, !keys::ParseJobKey(other));
    }
  }

  // The decoder of command replies runs on the network thread, where nothing
  // catches: a reason of another type ended the whole process.
  void RejectionWithoutAReadableReasonIsUnknown() {
    for (const char* body :
         {"{\"reason\":7}", "{\"reason\":null}", "{\"reason\":[\"room\"]}",
          "{\"reason\":{}}", "[\"room\"]", "7", "", "{",
          "{\"clock_ms\":\"x\",\"reason\":\"other\"}"}) {
      const WorkerReply reply = DecodeCommandReply(409, body);
      CPPUNIT_ASSERT_MESSAGE(
          body, reply.outcome == execution::WorkerCallOutcome::kUnknown);
      CPPUNIT_ASSERT_MESSAGE(body, !reply.clock);
    }
  }

  // Guards against crashes and uncaught exceptions: for any input a decoder
  // returns a value or an error.
  // Truncates valid input and overwrites up to two bytes. A decoder must return
  // a value or an error, and must not throw.
  void DecodersReturnErrorsForDamagedInput() {
    const core::InstanceId id = MakeId<core::InstanceId>("i-1");
    const std::vector<
        std::pair<std::string, std::function<bool(const std::string&)>>>
        decoders{
            {kJobBody, [](auto& text) { return IsError(DecodeJobSpec(text)); }},
            {kPollBody,
             [](auto& text) {
               execution::PollReply reply;
               return IsError(DecodePollReply(200, text, reply));
             }},
            {kWorkerBody,
             [&id](auto& text) { return IsError(DecodeWorker(id, text)); }},
            {kConfigurationBody,
             [](auto& text) { return IsError(DecodeConfiguration(text)); }},
            {kSettingsText,
             [](auto& text) { return IsError(ParseSettings(text, "f")); }},
            {kWatchBody, [](auto& text) { return IsError(DecodeWatch(text)); }},
            {kWatchBody, [](auto& text) { return IsError(DecodePage(text)); }},
            {kWatchBody,
             [](auto& text) { return IsError(DecodeMachines(text)); }}};
    std::mt19937 random(11);
    std::size_t errors = 0;
    for (const auto& [valid_input, decode] : decoders) {
      for (int round = 0; round < 2000; ++round) {
        std::string damaged =
            valid_input.substr(0, random() % (valid_input.size() + 1));
        for (int count = 0; count < 2 && !damaged.empty(); ++count) {
          damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        errors += decode(damaged) ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(errors > 0);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CodecTest, "platform");

}  // namespace
