#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using Fixture = test::SchedulerFixture;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr char kJob[] = "0123456789abcdef";

class TermChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TermChangeTest);
  CPPUNIT_TEST(ReplyToPollOfEarlierTermIsIgnored);
  CPPUNIT_TEST(RunOfUnknownJobOccupiesItsWorker);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A reply to a poll of an earlier term of the same instance must not count as
  // a look at the worker with the token of the present term.
  void ReplyToPollOfEarlierTermIsIgnored() {
    Fixture fixture;
    const job::HandoverState handover = HandoverWithWorker();
    fixture.BeginTerm(10, handover);
    fixture.SetWorkers({MakeWorker("w-1")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.polls.size());
    const execution::PollCommand old_poll = fixture.worker_port.polls[0];
    fixture.BeginTerm(11, handover);
    fixture.SetWorkers({MakeWorker("w-1")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.polls.size());
    execution::PollReply reply;
    reply.worker = old_poll.to.worker;
    reply.incarnation = old_poll.to.incarnation;
    reply.sequence = old_poll.sequence;
    reply.outcome = execution::WorkerCallOutcome::kDone;
    fixture.scheduler.Handle(reply);
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    fixture.ReplyToPoll({}, {});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
  }

  // A run of a job that this leader doesn't know must not be counted as using
  // nothing, or the worker is overloaded until the run is stopped.
  void RunOfUnknownJobOccupiesItsWorker() {
    Fixture fixture;
    fixture.BeginTerm(10, HandoverWithWorker());
    fixture.SetWorkers({MakeWorker("w-1")});
    execution::RunReport unknown;
    unknown.task.job = MakeId<core::JobId>("fedcba9876543210");
    unknown.attempt = core::Attempt(3);
    fixture.ReplyToPoll({unknown}, {});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.stops.size());
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    fixture.ReplyToPoll({}, {{core::RunEndNumber(1), unknown.task,
                              unknown.attempt, job::RunOutcome::kStopped, ""}});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
  }

 private:
  static job::HandoverState HandoverWithWorker() {
    const execution::WorkerRecord worker = MakeWorker("w-1");
    job::HandoverState handover;
    handover.workers.push_back(
        {worker.id, worker.incarnation, worker.pool, std::chrono::seconds(10)});
    return handover;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TermChangeTest, "scheduling");

}  // namespace
