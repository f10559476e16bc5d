#include "crocusmast/maintenance/service.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

#include "test/support/factories.h"
#include "test/support/fake_clock.h"
#include "test/support/mocks.h"

namespace {

using namespace crocusmast;
using fleet::InstanceRecord;
using fleet::InstanceState;
using maintenance::Command;
using maintenance::CommandReceived;
using maintenance::CommandReply;
using maintenance::ItemState;
using maintenance::Service;
using maintenance::StoredWave;
using maintenance::Wave;
using maintenance::WaveState;
using maintenance::WaveVersion;
using test::MakeId;

core::InstanceId Id(const std::string& text) {
  return MakeId<core::InstanceId>(text);
}

/** @brief Store, platform and targets shared by all service nodes. */
class FakePorts final : public maintenance::WaveStore,
                        public maintenance::PlatformPort {
 public:
  FakePorts() {
    for (int index = 0; index < 4; ++index) {
      targets.push_back(test::MakeTarget("t-" + std::to_string(index), "pool"));
      in_flight[targets.back().id] = 0;
    }
  }

  // maintenance::WaveStore
  core::Result<StoredWave> Read() override {
    if (is_down) {
      return Unavailable();
    }
    return stored;
  }
  core::Result<bool> Write(const Wave& wave, WaveVersion expected) override {
    if (is_down) {
      return Unavailable();
    }
    if (expected != stored.version) {
      return false;
    }
    stored = StoredWave{wave, WaveVersion(expected.Count() + 1)};
    if (loses_write_responses) {
      return Unavailable();
    }
    return true;
  }
  core::Result<bool> Acquire(const std::string& name,
                             core::Duration duration) override {
    if (is_down) {
      return Unavailable();
    }
    if (!lease_holder.empty() && clock.Now() < lease_until) {
      return false;
    }
    lease_holder = name;
    lease_until = clock.Now() + duration;
    return true;
  }
  core::Result<bool> Renew(const std::string& name,
                           core::Duration duration) override {
    if (is_down) {
      return Unavailable();
    }
    if (lease_holder != name || lease_until <= clock.Now()) {
      return false;
    }
    lease_until = clock.Now() + duration;
    return true;
  }

  // maintenance::PlatformPort
  core::Result<void> Drain(const core::InstanceId& instance,
                           core::Incarnation incarnation) override {
    InstanceRecord& target = Find(instance);
    if (target.incarnation == incarnation) {
      target.state = InstanceState::kLeaving;
      ++drains;
    }
    return {};
  }
  core::Result<void> Reboot(const core::InstanceId& instance,
                            core::Incarnation incarnation) override {
    InstanceRecord& target = Find(instance);
    if (target.incarnation != incarnation) {
      return core::Fail(core::Operation::kConnect, "platform",
                        "another incarnation");
    }
    CPPUNIT_ASSERT(target.state == InstanceState::kLeaving);
    CPPUNIT_ASSERT_EQUAL(0, in_flight[instance]);
    ++reboots[instance];
    if (returns_after_reboot) {
      target.incarnation = core::Incarnation(incarnation.Count() + 1);
      target.state = InstanceState::kLive;
    }
    return {};
  }

  InstanceRecord& Find(const core::InstanceId& instance) {
    for (InstanceRecord& target : targets) {
      if (target.id == instance) {
        return target;
      }
    }
    throw std::out_of_range("no such target");
  }

  std::size_t LiveCount() const {
    std::size_t live = 0;
    for (const InstanceRecord& target : targets) {
      live += target.state == InstanceState::kLive ? 1 : 0;
    }
    return live;
  }

  test::FakeClock clock;
  StoredWave stored;
  std::string lease_holder;
  core::TimePoint lease_until;
  std::vector<InstanceRecord> targets;
  std::map<core::InstanceId, int> in_flight;
  std::map<core::InstanceId, int> reboots;
  int drains = 0;
  bool is_down = false;
  bool loses_write_responses = false;
  bool returns_after_reboot = true;

 private:
  static boost::leaf::error_id Unavailable() {
    return core::Fail(core::Operation::kConnect, "store", "down");
  }
};

/** @brief Maintenance service of one entry instance. */
class ServiceNode final : public maintenance::PeerPort {
 public:
  ServiceNode(FakePorts& fakes, const std::string& id, std::uint64_t run)
      : m_fakes(fakes),
        m_service(Id(id), run, {fakes, fakes, *this, m_logger, fakes.clock}) {
    m_service.Handle(maintenance::PlanListsChanged{
        std::make_shared<const configuration::PlanLists>(
            configuration::PlanLists::Create(
                {test::MakePlan("a"),
                 test::MakeAllowance("a", "k", "pool", 24)})
                .value())});
  }

  void AnnounceLeaving(const core::InstanceId& target) override {}

  void SendIdleQuery(const core::InstanceId& entry,
                     const core::InstanceId& target) override {
    if (unresponsive.count(entry) == 0) {
      m_service.Handle(maintenance::IdleReplyReceived{
          entry, target, m_fakes.in_flight[target] == 0});
    }
  }

  void Tick(const std::vector<core::InstanceId>& entries) {
    membership::MembershipView view;
    view.entries = entries;
    view.targets = m_fakes.targets;
    m_service.Handle(maintenance::MembershipChanged{
        std::make_shared<const membership::MembershipView>(view)});
    m_service.Tick();
  }

  CommandReply Send(Command command) {
    const auto reply = std::make_shared<core::BoundedRing<CommandReply>>(1);
    m_service.Handle(
        CommandReceived{command, {MakeId<core::PoolId>("pool")}, reply});
    return *reply->PopFor(core::Duration::zero());
  }

  std::set<core::InstanceId> unresponsive;

 private:
  FakePorts& m_fakes;
  test::NullLogger m_logger;
  Service m_service;
};

class ServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceTest);
  CPPUNIT_TEST(WaveStaysWithinDisruptionBudget);
  CPPUNIT_TEST(InFlightRequestsDelayReboot);
  CPPUNIT_TEST(UnresponsiveEntryInstanceBlocksReboot);
  CPPUNIT_TEST(InstanceThatDoesNotDrainIsSkipped);
  CPPUNIT_TEST(InstancesThatDoNotReturnBlockTheWave);
  CPPUNIT_TEST(SuccessorFinishesWaveAfterCrashAtAnyStep);
  CPPUNIT_TEST(ResumedFormerLeaderDoesNotRepeatReboots);
  CPPUNIT_TEST(StoreOutageStartsNoDrainOrReboot);
  CPPUNIT_TEST(WaveFinishesDespiteLostWriteResponses);
  CPPUNIT_TEST(SecondStartIsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_fakes = std::make_unique<FakePorts>();
    m_first = std::make_unique<ServiceNode>(*m_fakes, "entry-1", 1);
    m_second = std::make_unique<ServiceNode>(*m_fakes, "entry-2", 1);
  }

  void WaveStaysWithinDisruptionBudget() {
    Start();
    CPPUNIT_ASSERT(RunUntilDone(*m_first, kBoth));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_fakes->reboots.size());
    for (const auto& [target, count] : m_fakes->reboots) {
      CPPUNIT_ASSERT_EQUAL(1, count);
    }
  }

  void InFlightRequestsDelayReboot() {
    for (auto& [target, count] : m_fakes->in_flight) {
      count = 1;
    }
    Start();
    Run(*m_first, kBoth, std::chrono::seconds(20));
    CPPUNIT_ASSERT(m_fakes->reboots.empty());
    for (auto& [target, count] : m_fakes->in_flight) {
      count = 0;
    }
    CPPUNIT_ASSERT(RunUntilDone(*m_first, kBoth));
  }

  void UnresponsiveEntryInstanceBlocksReboot() {
    m_first->unresponsive.insert(Id("entry-2"));
    Start();
    Run(*m_first, kBoth, std::chrono::seconds(20));
    CPPUNIT_ASSERT(m_fakes->reboots.empty());
    CPPUNIT_ASSERT(RunUntilDone(*m_first, {Id("entry-1")}));
  }

  void InstanceThatDoesNotDrainIsSkipped() {
    m_fakes->in_flight[Id("t-0")] = 1;
    Start();
    Run(*m_first, kBoth, std::chrono::minutes(4));
    CPPUNIT_ASSERT_EQUAL(
        std::string("Pool pool is blocked: 24 slots are live, its plans are "
                    "guaranteed 22. "),
        Stored().BlockReason());
    InstanceRecord& replaced = m_fakes->Find(Id("t-0"));
    replaced.state = InstanceState::kLive;
    replaced.incarnation = core::Incarnation(2);
    CPPUNIT_ASSERT(RunUntilDone(*m_first, kBoth));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Stored().Count(ItemState::kSkipped));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_fakes->reboots.count(Id("t-0")));
  }

  void InstancesThatDoNotReturnBlockTheWave() {
    m_fakes->returns_after_reboot = false;
    Start();
    Run(*m_first, kBoth, std::chrono::minutes(20));
    CPPUNIT_ASSERT(Stored().State() != WaveState::kDone);
    CPPUNIT_ASSERT(m_fakes->LiveCount() >= 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Stored().Count(ItemState::kSkipped));
  }

  void SuccessorFinishesWaveAfterCrashAtAnyStep() {
    for (int steps = 1; steps < 60; steps += 3) {
      setUp();
      Start();
      for (int step = 0; step < steps; ++step) {
        Step(*m_first, kBoth);
      }
      CPPUNIT_ASSERT(RunUntilDone(*m_second, {Id("entry-2")}));
      for (const auto& [target, count] : m_fakes->reboots) {
        CPPUNIT_ASSERT_EQUAL(1, count);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_fakes->reboots.size());
    }
  }

  void ResumedFormerLeaderDoesNotRepeatReboots() {
    for (int steps = 1; steps < 60; steps += 3) {
      setUp();
      Start();
      for (int step = 0; step < steps; ++step) {
        Step(*m_first, kBoth);
      }
      Run(*m_second, {Id("entry-2")}, std::chrono::seconds(15));
      for (int step = 0; step < 400; ++step) {
        Step(*m_first, kBoth);
        Step(*m_second, {Id("entry-2")});
      }
      CPPUNIT_ASSERT(Stored().State() == WaveState::kDone);
      for (const auto& [target, count] : m_fakes->reboots) {
        CPPUNIT_ASSERT_EQUAL(1, count);
      }
    }
  }

  void StoreOutageStartsNoDrainOrReboot() {
    Start();
    Run(*m_first, kBoth, std::chrono::seconds(1));
    m_fakes->is_down = true;
    Run(*m_first, kBoth, std::chrono::seconds(6));
    const int drains = m_fakes->drains;
    const std::size_t reboots = m_fakes->reboots.size();
    Run(*m_first, kBoth, std::chrono::hours(1));
    CPPUNIT_ASSERT_EQUAL(drains, m_fakes->drains);
    CPPUNIT_ASSERT_EQUAL(reboots, m_fakes->reboots.size());
    m_fakes->is_down = false;
    CPPUNIT_ASSERT(RunUntilDone(*m_first, kBoth));
  }

  void WaveFinishesDespiteLostWriteResponses() {
    Start();
    for (int step = 0; step < 4000 && Stored().State() != WaveState::kDone;
         ++step) {
      m_fakes->loses_write_responses = step % 3 == 0;
      Step(*m_first, kBoth);
    }
    CPPUNIT_ASSERT(Stored().State() == WaveState::kDone);
    for (const auto& [target, count] : m_fakes->reboots) {
      CPPUNIT_ASSERT_EQUAL(1, count);
    }
  }

  void SecondStartIsRejected() {
    Start();
    const CommandReply reply = m_second->Send(Command::kStart);
    CPPUNIT_ASSERT_EQUAL(
        std::string("administration (maintenance): a wave is already active; "
                    "see its status"),
        core::Describe(std::get<core::Error>(reply)));
    CPPUNIT_ASSERT(
        std::holds_alternative<StoredWave>(m_second->Send(Command::kPause)));
    CPPUNIT_ASSERT(Stored().State() == WaveState::kPaused);
    Run(*m_first, kBoth, std::chrono::seconds(10));
    CPPUNIT_ASSERT_EQUAL(0, m_fakes->drains);
    m_second->Send(Command::kResume);
    CPPUNIT_ASSERT(RunUntilDone(*m_first, kBoth));
  }

 private:
  const std::vector<core::InstanceId> kBoth{Id("entry-1"), Id("entry-2")};

  const Wave& Stored() const { return *m_fakes->stored.wave; }

  void Start() {
    m_first->Tick(kBoth);
    CPPUNIT_ASSERT(
        std::holds_alternative<StoredWave>(m_first->Send(Command::kStart)));
  }

  // A plan of 24 slots at 90% needs 22 live slots, so one of the four targets
  // with 8 slots may be unavailable.
  void Step(ServiceNode& node, const std::vector<core::InstanceId>& entries) {
    m_fakes->clock.Advance(std::chrono::milliseconds(250));
    node.Tick(entries);
    CPPUNIT_ASSERT(m_fakes->LiveCount() >= 3);
  }

  void Run(ServiceNode& node,
           const std::vector<core::InstanceId>& entries,
           core::Duration duration) {
    const core::TimePoint end = m_fakes->clock.Now() + duration;
    while (m_fakes->clock.Now() < end) {
      Step(node, entries);
    }
  }

  bool RunUntilDone(ServiceNode& node,
                    const std::vector<core::InstanceId>& entries) {
    for (int step = 0; step < 4000; ++step) {
      Step(node, entries);
      if (Stored().State() == WaveState::kDone) {
        return true;
      }
    }
    return false;
  }

  std::unique_ptr<FakePorts> m_fakes;
  std::unique_ptr<ServiceNode> m_first;
  std::unique_ptr<ServiceNode> m_second;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ServiceTest, "maintenance");

}  // namespace
