#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <set>

#include "crocusmast/membership/rendezvous.h"
#include "crocusmast/routing/quota_manager.h"
#include "test/support/factories.h"
#include "test/support/fake_clock.h"

namespace {

using namespace crocusmast;
using routing::OutgoingGrant;
using routing::QuotaBorrower;
using routing::QuotaDemand;
using routing::QuotaGrant;
using routing::QuotaKey;
using routing::QuotaLender;
using routing::QuotaManager;
using routing::QuotaSession;
using test::MakeId;

const QuotaKey kKey{MakeId<core::PlanId>("plan"), MakeId<core::KindId>("kind")};

core::InstanceId Entry(std::size_t index) {
  return MakeId<core::InstanceId>("entry-" + std::to_string(index));
}

/** @brief Borrowers, a lender, and ordered links with delay and loss. */
class Network {
 public:
  Network(std::size_t borrowers, std::uint64_t limit, core::TimePoint now)
      : m_limit(limit) {
    m_lender.emplace(kKey, now, std::set<core::InstanceId>());
    for (std::size_t index = 0; index < borrowers; ++index) {
      m_borrowers.emplace_back(QuotaSession(1 + 1000 * index));
    }
    m_demands.resize(borrowers);
    m_grants.resize(borrowers);
    Send(m_lender->SetLimit(core::Slots(limit)));
  }

  QuotaBorrower& Borrower(std::size_t index) { return m_borrowers[index]; }

  void CollectDemands(std::size_t index, core::TimePoint now) {
    for (const QuotaDemand& demand : m_borrowers[index].TakeDemands(now)) {
      m_demands[index].push_back(demand);
    }
  }

  void DeliverDemand(std::size_t index, core::TimePoint now) {
    if (!m_demands[index].empty()) {
      const QuotaDemand demand = m_demands[index].front();
      m_demands[index].pop_front();
      Send(m_lender->HandleDemand(Entry(index), demand, now));
    }
  }

  void DeliverGrant(std::size_t index) {
    if (!m_grants[index].empty()) {
      m_borrowers[index].HandleGrant(m_grants[index].front());
      m_grants[index].pop_front();
    }
  }

  void LoseGrant(std::size_t index) {
    if (!m_grants[index].empty()) {
      m_grants[index].pop_front();
    }
  }

  void LoseDemand(std::size_t index) {
    if (!m_demands[index].empty()) {
      m_demands[index].pop_front();
    }
  }

  void DeliverAll(core::TimePoint now) {
    for (int round = 0; round < 100; ++round) {
      for (std::size_t index = 0; index < m_borrowers.size(); ++index) {
        m_borrowers[index].MarkAllDirty();
        CollectDemands(index, now);
        while (!m_demands[index].empty()) {
          DeliverDemand(index, now);
        }
      }
      for (std::size_t index = 0; index < m_borrowers.size(); ++index) {
        while (!m_grants[index].empty()) {
          DeliverGrant(index);
        }
      }
    }
  }

  // Replaces the lender and drops the messages in transit. Each borrower
  // reports the slots that it keeps to the new lender.
  void ChangeLender(core::TimePoint now) {
    std::set<core::InstanceId> expected_borrowers;
    for (std::size_t index = 0; index < m_borrowers.size(); ++index) {
      expected_borrowers.insert(Entry(index));
    }
    m_lender.emplace(kKey, now + routing::kLenderTakeoverDelay,
                     expected_borrowers);
    Send(m_lender->SetLimit(core::Slots(m_limit)));
    for (std::size_t index = 0; index < m_borrowers.size(); ++index) {
      m_demands[index].clear();
      m_grants[index].clear();
      m_borrowers[index].ChangeLender(kKey);
      CollectDemands(index, now);
      DeliverDemand(index, now);
    }
  }

  std::uint64_t InUse() const {
    std::uint64_t in_use = 0;
    for (const QuotaBorrower& borrower : m_borrowers) {
      in_use += borrower.InUse(kKey).Count();
    }
    return in_use;
  }

 private:
  void Send(const std::vector<OutgoingGrant>& grants) {
    for (const OutgoingGrant& grant : grants) {
      for (std::size_t index = 0; index < m_borrowers.size(); ++index) {
        if (Entry(index) == grant.borrower) {
          m_grants[index].push_back(grant.grant);
        }
      }
    }
  }

  const std::uint64_t m_limit;
  std::optional<QuotaLender> m_lender;
  std::vector<QuotaBorrower> m_borrowers;
  std::vector<std::deque<QuotaDemand>> m_demands;
  std::vector<std::deque<QuotaGrant>> m_grants;
};

class QuotaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaTest);
  CPPUNIT_TEST(LimitHoldsDespiteDelayAndLoss);
  CPPUNIT_TEST(WaitingRequestsGetAllSlots);
  CPPUNIT_TEST(LateBorrowerGetsFairShare);
  CPPUNIT_TEST(RemovedBorrowersSlotsAreReclaimed);
  CPPUNIT_TEST(NewLenderCountsSlotsAlreadyInUse);
  CPPUNIT_TEST(NewLenderGrantsOnceAllBorrowersReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LimitHoldsDespiteDelayAndLoss() {
    CPPUNIT_ASSERT(rc::check("slots in use never exceed the limit", [this] {
      const auto borrowers = *rc::gen::inRange<std::size_t>(1, 5);
      const auto limit = *rc::gen::inRange<std::uint64_t>(1, 9);
      Network network(borrowers, limit, m_clock.Now());
      const int steps = *rc::gen::inRange(1, 60);
      for (int step = 0; step < steps; ++step) {
        const auto index = *rc::gen::inRange<std::size_t>(0, borrowers);
        QuotaBorrower& borrower = network.Borrower(index);
        switch (*rc::gen::inRange(0, 10)) {
          case 0:
          case 1:
            borrower.TryAcquire(kKey, m_clock.Now());
            break;
          case 2:
            borrower.Release(kKey);
            break;
          case 3:
            borrower.SetWaiting(kKey, *rc::gen::inRange<std::uint64_t>(0, 6));
            break;
          case 4:
            m_clock.Advance(std::chrono::milliseconds(400));
            borrower.MarkAllDirty();
            break;
          case 5:
            network.DeliverGrant(index);
            break;
          case 6:
            network.LoseGrant(index);
            break;
          case 7:
            network.LoseDemand(index);
            break;
          case 8:
            network.ChangeLender(m_clock.Now());
            break;
          default:
            network.CollectDemands(index, m_clock.Now());
            network.DeliverDemand(index, m_clock.Now());
            break;
        }
        RC_ASSERT(network.InUse() <= limit);
      }
    }));
  }

  void WaitingRequestsGetAllSlots() {
    CPPUNIT_ASSERT(rc::check("no slot is idle while requests wait", [this] {
      const auto borrowers = *rc::gen::inRange<std::size_t>(1, 5);
      const auto limit = *rc::gen::inRange<std::uint64_t>(1, 12);
      Network network(borrowers, limit, m_clock.Now());
      const auto busy = *rc::gen::inRange<std::size_t>(0, borrowers);
      network.Borrower(busy).SetWaiting(kKey, limit);
      network.DeliverAll(m_clock.Now());
      while (network.Borrower(busy).TryAcquire(kKey, m_clock.Now())) {
      }
      RC_ASSERT(network.InUse() == limit);
    }));
  }

  void LateBorrowerGetsFairShare() {
    Network network(2, 8, m_clock.Now());
    network.Borrower(0).SetWaiting(kKey, 100);
    network.DeliverAll(m_clock.Now());
    while (network.Borrower(0).TryAcquire(kKey, m_clock.Now())) {
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, network.InUse());
    network.Borrower(1).SetWaiting(kKey, 100);
    for (int round = 0; round < 20; ++round) {
      network.DeliverAll(m_clock.Now());
      network.Borrower(0).Release(kKey);
      network.Borrower(0).TryAcquire(kKey, m_clock.Now());
      network.DeliverAll(m_clock.Now());
      network.Borrower(1).TryAcquire(kKey, m_clock.Now());
      CPPUNIT_ASSERT(network.InUse() <= 8);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4},
                         network.Borrower(1).InUse(kKey).Count());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, network.InUse());
  }

  void RemovedBorrowersSlotsAreReclaimed() {
    const std::vector<core::InstanceId> ranked =
        membership::RankByRendezvous("plan/kind", {Entry(0), Entry(1)}, 2);
    QuotaManager manager = MakeManager(ranked, 4);
    manager.HandleDemand(
        ranked[1], {kKey, core::Slots(0), core::Slots(4), {}, QuotaSession(7)},
        m_clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, manager.TakeOutgoingGrants().size());
    CPPUNIT_ASSERT(!Acquire(manager));
    manager.SetEntries({ranked[0]}, m_clock.Now());
    m_clock.Advance(routing::kLenderTakeoverDelay -
                    std::chrono::milliseconds(1));
    CPPUNIT_ASSERT(!Acquire(manager));
    m_clock.Advance(std::chrono::milliseconds(1));
    CPPUNIT_ASSERT(Acquire(manager));
  }

  void NewLenderCountsSlotsAlreadyInUse() {
    QuotaManager manager(Entry(0), QuotaSession(1));
    manager.SetEntries({Entry(0)}, m_clock.Now());
    manager.SetPlanLists(ListsOf(2), m_clock.Now());
    CPPUNIT_ASSERT(!Acquire(manager));
    manager.HandleDemand(
        Entry(1), {kKey, core::Slots(2), core::Slots(2), {}, QuotaSession(7)},
        m_clock.Now());
    m_clock.Advance(routing::kLenderTakeoverDelay);
    CPPUNIT_ASSERT(!Acquire(manager));
  }

  void NewLenderGrantsOnceAllBorrowersReported() {
    QuotaLender lender(kKey, m_clock.Now() + routing::kLenderTakeoverDelay,
                       {Entry(0), Entry(1)});
    lender.SetLimit(core::Slots(4));
    const QuotaDemand demand{
        kKey, core::Slots(1), core::Slots(4), {}, QuotaSession(1)};
    CPPUNIT_ASSERT(
        lender.HandleDemand(Entry(0), demand, m_clock.Now()).empty());
    CPPUNIT_ASSERT(
        lender.HandleDemand(Entry(0), demand, m_clock.Now()).empty());
    CPPUNIT_ASSERT(
        !lender.HandleDemand(Entry(1), demand, m_clock.Now()).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, lender.Occupied().Count());
  }

 private:
  static std::shared_ptr<const configuration::PlanLists> ListsOf(
      std::uint64_t slots) {
    return std::make_shared<const configuration::PlanLists>(
        configuration::PlanLists::Create(
            {test::MakePlan("plan"),
             test::MakeAllowance("plan", "kind", "pool", slots)})
            .value());
  }

  QuotaManager MakeManager(const std::vector<core::InstanceId>& entries,
                           std::uint64_t slots) {
    QuotaManager manager(entries.front(), QuotaSession(1));
    manager.SetEntries(entries, m_clock.Now());
    manager.SetPlanLists(ListsOf(slots), m_clock.Now());
    m_clock.Advance(routing::kLenderTakeoverDelay);
    return manager;
  }

  bool Acquire(QuotaManager& manager) {
    manager.Borrower().SetWaiting(kKey, 1);
    manager.Borrower().MarkAllDirty();
    manager.ProcessDemands(m_clock.Now());
    return manager.Borrower().TryAcquire(kKey, m_clock.Now());
  }

  test::FakeClock m_clock;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(QuotaTest, "routing");

}  // namespace
