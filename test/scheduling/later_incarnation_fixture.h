#ifndef TEST_SCHEDULING_LATER_INCARNATION_FIXTURE_H_
#define TEST_SCHEDULING_LATER_INCARNATION_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "test/scheduling/scheduler_fixture.h"

namespace test {

/** @brief A worker that starts again under its id. Its later incarnation
 * executes calls that were meant for the earlier one until it has had a call of
 * its own. */
class LaterIncarnationFixture : public CppUnit::TestFixture {
 public:
  static constexpr char kJob[] = "0123456789abcdef";

 protected:
  execution::StartCommand Begin(const job::Step& step) {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1")});
    m_fixture.scheduler.AddJob(MakeJob(kJob, {step}));
    m_fixture.RunCycles();
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-2")});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    return m_fixture.worker_port.starts[0];
  }

  execution::StartCommand BeginWithOneTask() { return Begin(MakeStep(1)); }

  /** @brief Begins with a task whose start is repeated if it gets no reply. */
  execution::StartCommand BeginWithLongRunningTask() {
    job::Step step = MakeStep(1);
    step.is_long_running = true;
    return Begin(step);
  }

  execution::StartCommand StartOn(const char* id) const {
    const auto& starts = m_fixture.worker_port.starts;
    const auto found =
        std::find_if(starts.begin(), starts.end(), [id](const auto& start) {
          return start.to.worker == MakeId<core::InstanceId>(id);
        });
    CPPUNIT_ASSERT(found != starts.end());
    return *found;
  }

  execution::PollReply ReplyToLastPollOf(const char* id) const {
    const auto& polls = m_fixture.worker_port.polls;
    const auto found =
        std::find_if(polls.rbegin(), polls.rend(), [id](const auto& poll) {
          return poll.to.worker == MakeId<core::InstanceId>(id);
        });
    CPPUNIT_ASSERT(found != polls.rend());
    execution::PollReply reply;
    reply.worker = found->to.worker;
    reply.incarnation = found->to.incarnation;
    reply.sequence = found->sequence;
    return reply;
  }

  const execution::PollCommand& LastPollOf(const char* id) const {
    const auto& polls = m_fixture.worker_port.polls;
    const auto found =
        std::find_if(polls.rbegin(), polls.rend(), [id](const auto& poll) {
          return poll.to.worker == MakeId<core::InstanceId>(id);
        });
    CPPUNIT_ASSERT(found != polls.rend());
    return *found;
  }

  void ReplyToPollOf(const char* id,
                     std::vector<execution::EndedRunReport> ended,
                     execution::WorkerCallOutcome outcome =
                         execution::WorkerCallOutcome::kDone,
                     std::vector<execution::RunReport> running = {}) {
    execution::PollReply reply = ReplyToLastPollOf(id);
    reply.outcome = outcome;
    reply.ended = std::move(ended);
    reply.running = std::move(running);
    m_fixture.scheduler.Handle(reply);
  }

  void ReplyFromLaterIncarnation(std::uint64_t incarnation) {
    execution::PollReply reply = ReplyToLastPollOf("w-1");
    reply.outcome = execution::WorkerCallOutcome::kDone;
    reply.replying_incarnation = core::Incarnation(incarnation);
    m_fixture.scheduler.Handle(reply);
  }

  void ListMachineWithoutWorker() {
    m_fixture.clock.Advance(std::chrono::milliseconds(50));
    upkeep::MachineListReceived list;
    list.is_known = true;
    list.is_single_page = true;
    list.requested_at = m_fixture.clock.Now();
    upkeep::Machine machine;
    machine.id = MakeId<core::MachineId>("m-1");
    machine.pool = MakeId<core::PoolId>("pool");
    machine.state = upkeep::MachineState::kDown;
    list.machines.push_back(machine);
    m_fixture.scheduler.Handle(list);
  }

  /** @brief Checks that a call to a later incarnation makes it reject all calls
   * to earlier ones. */
  void ExpectHighestToken(const execution::CommandDestination& to) const {
    const auto check = [&to](const auto& commands) {
      for (const auto& command : commands) {
        CPPUNIT_ASSERT(command.to.worker != to.worker ||
                       !(command.to.incarnation < to.incarnation) ||
                       command.to.token < to.token);
      }
    };
    check(m_fixture.worker_port.starts);
    check(m_fixture.worker_port.stops);
    check(m_fixture.worker_port.polls);
  }

  /** @brief Checks that the task starts again only after the later incarnation
   * has replied to a poll that makes it reject earlier commands, and gets
   * nothing else before. */
  void ExpectReplyBeforeNextStart(const execution::StartCommand& start,
                                  std::uint64_t incarnation) {
    ExpectStartAfterReply(incarnation);
    CPPUNIT_ASSERT(start.attempt < m_fixture.worker_port.starts.back().attempt);
  }

  /** @brief Checks the same of a start command that may still be executed: it
   * is repeated to the same worker, as the same run. */
  void ExpectReplyBeforeRepeat(const execution::StartCommand& start,
                               std::uint64_t incarnation) {
    ExpectStartAfterReply(incarnation);
    const execution::StartCommand& last = m_fixture.worker_port.starts.back();
    CPPUNIT_ASSERT(start.attempt == last.attempt);
    CPPUNIT_ASSERT(start.task == last.task);
    CPPUNIT_ASSERT(start.to.worker == last.to.worker);
    CPPUNIT_ASSERT_EQUAL(incarnation, last.to.incarnation.Count());
    ExpectHighestToken(last.to);
  }

  SchedulerFixture m_fixture;

 private:
  void ExpectStartAfterReply(std::uint64_t incarnation) {
    const std::size_t starts = m_fixture.worker_port.starts.size();
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(starts, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(m_fixture.worker_port.stops.empty());
    const execution::PollCommand first = LastPollOf("w-1");
    CPPUNIT_ASSERT_EQUAL(incarnation, first.to.incarnation.Count());
    ExpectHighestToken(first.to);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(starts, m_fixture.worker_port.starts.size());
    ReplyToPollOf("w-1", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(starts + 1, m_fixture.worker_port.starts.size());
  }
};

}  // namespace test

#endif  // TEST_SCHEDULING_LATER_INCARNATION_FIXTURE_H_
