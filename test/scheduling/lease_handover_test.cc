#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using std::chrono::milliseconds;
using Fixture = test::SchedulerFixture;
using test::MakeId;
using test::MakeWorker;

constexpr char kJob[] = "0123456789abcdef";

/** @brief What a successor learns of the leases of workers. */
class LeaseHandoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseHandoverTest);
  CPPUNIT_TEST(PollOfUnreconciledWorkerExtendsNoLease);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 21: the first poll of a new leader extended the runs of a worker that
  // got the poll but did not reply, beyond the inherited lease after which its
  // tasks were started elsewhere.
  void PollOfUnreconciledWorkerExtendsNoLease() {
    const job::HandoverState handover{
        {{MakeId<core::InstanceId>("w-1"), core::Incarnation(1),
          MakeId<core::PoolId>("pool"), milliseconds(1500)}},
        {}};
    m_fixture.BeginTerm(11, handover);
    m_fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.polls.size());
    CPPUNIT_ASSERT(!m_fixture.worker_port.polls[0].lease_until);
    // Leases are extended from the first reply on.
    m_fixture.ReplyToPoll({{{MakeId<core::JobId>(kJob), {0, 0, 0}},
                            core::Attempt(1),
                            "",
                            50,
                            {}}},
                          {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.polls.size());
    CPPUNIT_ASSERT(m_fixture.worker_port.polls[1].lease_until);
  }

 private:
  Fixture m_fixture;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LeaseHandoverTest, "scheduling");

}  // namespace
