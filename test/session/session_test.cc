#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

#include "crocusmast/configuration/service.h"
#include "crocusmast/membership/service.h"
#include "crocusmast/routing/router.h"
#include "test/support/factories.h"
#include "test/support/fake_clock.h"
#include "test/support/mocks.h"

namespace {

using namespace crocusmast;
using request::DeliveryStatus;
using request::RetrySafety;
using routing::Instruction;
using test::MakeId;

core::InstanceId Id(const std::string& text) {
  return MakeId<core::InstanceId>(text);
}

/**
 * @brief An entry instance that runs without threads, codecs and network.
 *
 * It records the messages at its ports, each with the virtual time in
 * milliseconds.
 */
class Session final : public configuration::ChangeStore,
                      public configuration::PeerPort,
                      public configuration::ConfigurationListener,
                      public membership::MembershipListener,
                      public routing::PeerNotifier,
                      public routing::TargetLeavingListener {
 public:
  std::string Transcript() const { return m_transcript.str(); }

  void Advance(std::chrono::milliseconds step) {
    constexpr std::chrono::milliseconds kTick{50};
    for (; step.count() > 0; step -= kTick) {
      m_clock.Advance(kTick);
      m_router.Tick();
      m_membership.Tick();
    }
  }

  void ReceiveMembership(membership::MembershipUpdate update) {
    Record("in  list version " + std::to_string(update.version.Count()));
    m_membership.Handle(
        membership::MembershipUpdateReceived{std::move(update)});
  }

  void LinkUp(const std::string& peer) {
    Record("in  link up " + peer);
    m_membership.Handle(membership::LinkUp{Id(peer)});
  }

  void LinkDown(const std::string& peer) {
    Record("in  link down " + peer);
    m_membership.Handle(membership::LinkDown{Id(peer)});
  }

  void Apply(const configuration::Edit& edit) {
    Record("in  edit " + edit.origin.id.Text() + " on " +
           std::to_string(edit.base.Count()));
    const auto reply =
        std::make_shared<core::BoundedRing<configuration::ApplyReply>>(1);
    m_configuration.Handle(configuration::ApplyEdit{edit, reply});
    const auto apply_reply = *reply->PopFor(core::Duration::zero());
    if (const auto* error = std::get_if<core::Error>(&apply_reply)) {
      Record("out edit refused: " + core::Describe(*error));
    } else {
      Record("out edit is revision " +
             std::to_string(std::get<core::Revision>(apply_reply).Count()));
    }
  }

  void SubmitRequest(const std::string& id, RetrySafety retry_safety) {
    Record("in  request " + id);
    m_ring = std::make_shared<routing::InstructionRing>(2);
    m_router.Handle(routing::RequestArrived{
        test::MakeRequestSpec(id, m_clock.Now() + std::chrono::seconds(2),
                              retry_safety),
        false, m_ring});
    RecordInstructions();
  }

  void FinishAttempt(DeliveryStatus delivery, bool is_leaving = false) {
    Record("in  attempt ended " + std::to_string(static_cast<int>(delivery)));
    routing::AttemptReport report;
    report.delivery = delivery;
    report.is_failure = delivery != DeliveryStatus::kAnswered;
    report.is_leaving = is_leaving;
    m_router.Handle(routing::AttemptFinished{m_key, m_destination, report,
                                             request::Reason::kNone});
    RecordInstructions();
  }

  void FinishClaim(std::optional<request::ClaimOutcome> outcome) {
    Record("in  claim ended");
    m_router.Handle(routing::ClaimFinished{m_key, m_destination, outcome});
    RecordInstructions();
  }

  void ReceiveFreeSlots(const std::string& peer, std::uint64_t free) {
    Record("in  loads of " + peer);
    m_router.Handle(routing::FreeSlotsReceived{
        Id(peer), {{MakeId<core::PoolId>("pool"), core::Slots(free)}}});
    RecordInstructions();
  }

  void RecordInstructions() {
    while (m_ring != nullptr) {
      const auto instruction = m_ring->PopFor(core::Duration::zero());
      if (!instruction) {
        return;
      }
      std::visit([this](const auto& content) { RecordInstruction(content); },
                 *instruction);
    }
  }

  void SetStoreDown(bool is_down) { m_is_store_down = is_down; }

  // configuration::ChangeStore
  core::Result<configuration::AppendOutcome> Append(
      const configuration::Change& change) override {
    Record("out store append " + std::to_string(change.revision.Count()));
    if (m_is_store_down) {
      return core::Fail(core::Operation::kConnect, "store", "down");
    }
    return configuration::AppendOutcome::kAppended;
  }
  core::Result<std::vector<configuration::Change>> ReadAfter(
      core::Revision after,
      core::Duration wait) override {
    Record("out store read after " + std::to_string(after.Count()));
    return std::vector<configuration::Change>();
  }
  core::Result<std::optional<configuration::Snapshot>> ReadSnapshot() override {
    return std::optional<configuration::Snapshot>();
  }
  core::Result<void> WriteSnapshot(
      const configuration::Snapshot& snapshot) override {
    return {};
  }

  // configuration::PeerPort
  void BroadcastChange(const configuration::Change& change) override {
    Record("out announce " + std::to_string(change.revision.Count()));
  }
  void RequestChanges(const core::InstanceId& peer,
                      core::Revision after) override {
    Record("out pull from " + peer.Text());
  }
  void SendChanges(const core::InstanceId& peer,
                   const std::vector<configuration::Change>&) override {
    Record("out changes to " + peer.Text());
  }
  void SendSnapshot(const core::InstanceId& peer,
                    const configuration::Snapshot&) override {
    Record("out snapshot to " + peer.Text());
  }

  // configuration::Publisher and membership::MembershipListener
  void OnConfigurationChanged(
      core::Revision revision,
      std::shared_ptr<const configuration::PlanLists> lists) override {
    m_router.Handle(routing::PlanListsChanged{revision, std::move(lists)});
  }
  void OnMembershipChanged(
      std::shared_ptr<const membership::MembershipView> view) override {
    Record("    owns " + std::to_string(view->owned.size()) + " targets of " +
           std::to_string(view->entries.size()) + " instances");
    m_router.Handle(routing::MembershipChanged{std::move(view)});
  }
  void OnPeersChanged(std::vector<membership::PeerAddress> peers) override {}

  // routing::PeerNotifier and routing::TargetLeavingListener
  void SendFreeSlots(
      const std::vector<core::InstanceId>& peers,
      const std::vector<routing::PoolFreeSlots>& free_slots) override {
    Record("out loads " + std::to_string(free_slots.front().free.Count()) +
           " to " + std::to_string(peers.size()));
  }
  void SendQuotaDemand(const core::InstanceId& lender,
                       const routing::QuotaDemand& demand) override {
    Record("out want " + std::to_string(demand.wanted.Count()) + " of " +
           lender.Text());
  }
  void SendQuotaGrant(const routing::OutgoingGrant& grant) override {
    Record("out grant to " + grant.borrower.Text());
  }
  void SendClaimReply(const core::InstanceId& peer,
                      routing::CallNumber call,
                      request::ClaimOutcome outcome) override {
    Record("out claim reply to " + peer.Text());
  }
  void SendTargetRelease(const std::vector<core::InstanceId>& peers,
                         const routing::ReleasedTarget& released) override {
    Record("out released " + released.target.Text());
  }
  void SendIdleReply(const core::InstanceId& peer,
                     const core::InstanceId& target,
                     bool is_idle) override {
    Record("out idle " + std::to_string(is_idle ? 1 : 0));
  }
  void SendClaimRelease(const core::InstanceId& replica,
                        const core::RequestId& id,
                        const request::ClaimToken& token) override {
    Record("out release " + id.Text() + " at " + replica.Text());
  }
  void OnTargetLeaving(const core::InstanceId& target) override {
    Record("out leaving " + target.Text());
  }

 private:
  void Record(const std::string& text) {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_clock.Now().time_since_epoch() - std::chrono::hours(1));
    m_transcript << now.count() << " " << text << "\n";
  }

  void RecordInstruction(const std::monostate& ignored) {}
  void RecordInstruction(const routing::SendTo& send) {
    m_key = send.key;
    m_destination = send.choice.target;
    Record("out send to " + send.choice.target.Text());
  }
  void RecordInstruction(const routing::ForwardTo& forward) {
    m_key = forward.key;
    m_destination = forward.peer;
    Record("out forward to " + forward.peer.Text());
  }
  void RecordInstruction(const routing::ClaimAt& claim) {
    m_key = claim.key;
    m_destination = claim.peer;
    Record("out claim at " + claim.peer.Text());
  }
  void RecordInstruction(const routing::ReturnError& error) {
    Record("out " + std::string(request::OutcomeName(error.outcome)) + " (" +
           std::string(request::ReasonName(error.reason)) + ") retry after " +
           std::to_string(error.retry_after.count() > 0 ? 1 : 0));
  }
  void RecordInstruction(const routing::ReturnAnswer& ignored) {
    Record("out answer");
  }

  std::ostringstream m_transcript;
  test::FakeClock m_clock;
  test::NullLogger m_logger;
  test::CountingMeter m_meter;
  bool m_is_store_down = false;
  std::shared_ptr<routing::InstructionRing> m_ring;
  core::RequestKey m_key;
  core::InstanceId m_destination;
  routing::Router m_router{{Id("entry-1"), MakeId<core::ZoneId>("zone-1"), 1},
                           {*this, *this, m_logger, m_meter, m_clock}};
  configuration::Service m_configuration{
      {*this, *this, *this, m_logger, m_meter, m_clock}};
  membership::Service m_membership{
      {Id("entry-1"), MakeId<core::RegionId>("region-1"),
       MakeId<core::ZoneId>("zone-1")},
      *this,
      m_logger,
      m_clock};
};

membership::MembershipUpdate InitialMembership() {
  membership::MembershipUpdate update{
      membership::MembershipVersion(1), true, {}, {}};
  update.changed = {test::MakeEntryInstance("entry-1", "zone-1"),
                    test::MakeEntryInstance("entry-2", "zone-1"),
                    test::MakeEntryInstance("entry-3", "zone-2")};
  for (int index = 1; index <= 4; ++index) {
    update.changed.push_back(
        test::MakeTarget("t-" + std::to_string(index), "pool",
                         index <= 2 ? "zone-1" : "zone-2", 1));
  }
  return update;
}

configuration::PlanLists MakePlanLists(std::uint64_t slots) {
  return configuration::PlanLists::Create(
             {test::MakePlan("plan"),
              test::MakeAllowance("plan", "kind", "pool", slots)})
      .value();
}

void RunScenario(Session& session) {
  session.ReceiveMembership(InitialMembership());
  session.LinkUp("entry-2");
  session.LinkUp("entry-3");
  session.Apply(test::MakeEdit("c1", 0, MakePlanLists(4)));
  session.SubmitRequest("too-early", RetrySafety::kRepeatable);
  session.Advance(std::chrono::milliseconds(2500));
  session.RecordInstructions();
  session.LinkDown("entry-2");
  session.LinkDown("entry-3");
  session.Advance(std::chrono::milliseconds(5500));
  session.SubmitRequest("plain", RetrySafety::kRepeatable);
  session.Advance(std::chrono::milliseconds(100));
  session.FinishAttempt(DeliveryStatus::kAnswered);
  session.SubmitRequest("charge", RetrySafety::kAtMostOnce);
  session.FinishAttempt(DeliveryStatus::kUnknown);
  session.SubmitRequest("charge", RetrySafety::kAtMostOnce);
  session.SubmitRequest("moves", RetrySafety::kRepeatable);
  session.FinishAttempt(DeliveryStatus::kNotRun);
  session.FinishAttempt(DeliveryStatus::kAnswered, true);
  session.SetStoreDown(true);
  session.Apply(test::MakeEdit("c2", 1, MakePlanLists(5)));
  session.SetStoreDown(false);
  session.Apply(test::MakeEdit("c3", 1, MakePlanLists(3)));
  session.Apply(test::MakeEdit("c4", 1, MakePlanLists(6)));
  session.LinkUp("entry-2");
  session.SubmitRequest("claimed", RetrySafety::kAtMostOnce);
  session.FinishClaim(request::ClaimOutcome::kGranted);
  session.Advance(std::chrono::milliseconds(1000));
  session.ReceiveFreeSlots("entry-2", 2);
  session.RecordInstructions();
  session.Advance(std::chrono::milliseconds(2000));
  session.RecordInstructions();
}

class SessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTest);
  CPPUNIT_TEST(TranscriptMatchesGoldenFile);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against unintended changes to the messages that an entry instance
  // sends. CROCUSMAST_UPDATE_GOLDEN=1 rewrites the golden file.
  void TranscriptMatchesGoldenFile() {
    Session session;
    RunScenario(session);
    const std::string golden_path = CROCUSMAST_GOLDEN "/session.txt";
    if (std::getenv("CROCUSMAST_UPDATE_GOLDEN") != nullptr) {
      std::ofstream(golden_path) << session.Transcript();
    }
    std::ifstream file(golden_path);
    const std::string expected((std::istreambuf_iterator<char>(file)),
                               std::istreambuf_iterator<char>());
    CPPUNIT_ASSERT_EQUAL(expected, session.Transcript());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SessionTest, "session");

}  // namespace
