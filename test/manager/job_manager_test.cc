#include "crocusmast/manager/job_manager.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "test/support/fake_clock.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using std::chrono::milliseconds;
using test::MakeId;

constexpr char kJob[] = "0123456789abcdef";
constexpr std::uint64_t kToken = 7;
constexpr milliseconds kCommitTime{20};

class RecordingReadinessPort final : public manager::ReadinessPort {
 public:
  void SetReady(bool ready) override { is_ready = ready; }

  bool is_ready = false;
};

class JobManagerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobManagerTest);
  CPPUNIT_TEST(ViewIsAsFreshAsTheFreshestMessage);
  CPPUNIT_TEST(LogsTellTheAgeOfTheView);
  CPPUNIT_TEST(CancelSettlesWithTheLastStopOrEnd);
  CPPUNIT_TEST(CountOfOldJobsIsRefused);
  CPPUNIT_TEST(InstanceWithOldStoreStateIsNotReady);
  CPPUNIT_TEST(InheritedLeasesCountFromTheVacancy);
  CPPUNIT_TEST(InheritedLeasesOfALaterStateCountFromTheTerm);
  CPPUNIT_TEST(WorkerWithAnExpiredLeaseMayReplyToTheFirstPoll);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock.Advance(std::chrono::seconds(100));
    m_manager.Handle(manager::QueueCatalogLoaded{
        std::make_shared<queue::QueueCatalog>(test::MakeQueueCatalog())});
  }

  void ViewIsAsFreshAsTheFreshestMessage() {
    const core::TimePoint start = m_clock.Now();
    m_clock.Advance(milliseconds(400));
    m_manager.Handle(
        manager::StoreListReceived{{}, core::Revision(4), start, std::nullopt});
    CPPUNIT_ASSERT(m_manager.ViewCompleteAt() == start);
    m_manager.Handle(manager::StoreChangesReceived{
        {}, core::Revision(4), start + milliseconds(300)});
    CPPUNIT_ASSERT(m_manager.ViewCompleteAt() == start + milliseconds(300));
    m_manager.Handle(manager::StoreListReceived{
        {}, core::Revision(4), start + milliseconds(200), std::nullopt});
    CPPUNIT_ASSERT(m_manager.ViewCompleteAt() == start + milliseconds(300));
  }

  void LogsTellTheAgeOfTheView() {
    BecomeLeader();
    const core::TimePoint complete_at = m_clock.Now();
    m_clock.Advance(milliseconds(30));
    Receive(job::JobStored{test::MakeJob(kJob, {test::MakeStep(1)})}, 9,
            complete_at);
    m_manager.Handle(
        scheduling::WorkerListReceived{{test::MakeWorker("worker-1")}});
    RunCycles();
    // Tasks are placed once the commit of the handover state is stored.
    CPPUNIT_ASSERT_EQUAL(std::string("50"),
                         m_logger.Field("tasks_placed", "view_age_ms"));
    m_clock.Advance(milliseconds(2000));
    m_manager.Handle(manager::StoreConnectionChanged{true, ""});
    CPPUNIT_ASSERT_EQUAL(
        std::to_string((m_clock.Now() - complete_at) / milliseconds(1)),
        m_logger.Field("store_regained", "view_age_ms"));
    Receive(job::CancellationStored{MakeId<core::JobId>(kJob)}, 11,
            m_clock.Now() - milliseconds(150));
    CPPUNIT_ASSERT_EQUAL(std::string("150"),
                         m_logger.Field("job_cancelled", "view_age_ms"));
    CPPUNIT_ASSERT_EQUAL(std::string("11"),
                         m_logger.Field("job_cancelled", "revision"));
  }

  void CancelSettlesWithTheLastStopOrEnd() {
    BecomeLeader();
    Receive(job::JobStored{test::MakeJob(kJob, {test::MakeStep(2)})}, 9,
            m_clock.Now());
    m_manager.Handle(
        scheduling::WorkerListReceived{{test::MakeWorker("worker-1")}});
    RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_workers.starts.size());
    Receive(job::CancellationStored{MakeId<core::JobId>(kJob)}, 11,
            m_clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_workers.stops.size());
    m_clock.Advance(milliseconds(40));
    AcknowledgeStop(m_workers.stops[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_logger.Count("cancel_settled"));
    m_clock.Advance(milliseconds(50));
    AcknowledgeStop(m_workers.stops[1]);
    CPPUNIT_ASSERT_EQUAL(std::string("90"),
                         m_logger.Field("cancel_settled", "took_ms"));
    ReportEnds();
    const std::vector<core::Duration> settled =
        m_meter.Values(core::Timing::kCancelSettled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, settled.size());
    CPPUNIT_ASSERT(settled[0] == milliseconds(90));
  }

  // Replies of the store that keep coming, each a part of a growing backlog,
  // must not make a count of jobs look recent that lacks the last seconds.
  void CountOfOldJobsIsRefused() {
    ReceiveBacklogFor(intake::kMaxQueuedCountAge + milliseconds(100));
    intake::CallerRequest request;
    request.operation = intake::JobOperation::kGet;
    request.host = "host.example";
    request.path = "/jobs/";
    m_manager.Handle(std::move(request));
    CPPUNIT_ASSERT(m_responses.responses.back().status ==
                   intake::ResponseStatus::kTemporarilyUnavailable);
  }

  // Such an instance must not take requests that others answer correctly.
  void InstanceWithOldStoreStateIsNotReady() {
    ReceiveBacklogFor(milliseconds(100));
    CPPUNIT_ASSERT(m_readiness.is_ready);
    ReceiveBacklogFor(manager::kMaxStoreStaleness);
    CPPUNIT_ASSERT(!m_readiness.is_ready);
  }

  // Issue 21, soak seed 514: each change of the leader added the time without a
  // leader to the leases of workers that were gone, and their tasks waited.
  void InheritedLeasesCountFromTheVacancy() {
    InheritLease(core::Revision(6), milliseconds(1000));
    m_manager.Handle(scheduling::WorkerListReceived{});
    ConfirmLease();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_logger.Count("worker_settled"));
  }

  // A leader that was not observed may have stored it, and extended leases.
  void InheritedLeasesOfALaterStateCountFromTheTerm() {
    InheritLease(core::Revision(8), milliseconds(1000));
    m_manager.Handle(scheduling::WorkerListReceived{});
    ConfirmLease();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_logger.Count("worker_settled"));
    m_clock.Advance(milliseconds(900));
    ConfirmLease();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_logger.Count("worker_settled"));
  }

  // Ends that it has not reported yet would be lost.
  void WorkerWithAnExpiredLeaseMayReplyToTheFirstPoll() {
    InheritLease(core::Revision(6), milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_logger.Count("worker_settled"));
    m_manager.Handle(
        scheduling::WorkerListReceived{{test::MakeWorker("worker-1")}});
    ConfirmLease();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_logger.Count("worker_settled"));
    execution::PollReply silence;
    silence.worker = m_workers.polls.back().to.worker;
    silence.incarnation = m_workers.polls.back().to.incarnation;
    silence.sequence = m_workers.polls.back().sequence;
    m_manager.Handle(std::move(silence));
    ConfirmLease();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_logger.Count("worker_settled"));
  }

 private:
  /** @brief Begins a term 900 ms after another leader removed its claim at
   * revision 6, and lets 150 ms pass. */
  void InheritLease(core::Revision stored, milliseconds lease) {
    m_manager.Handle(manager::StoreListReceived{
        {leadership::LeaderObserved{{"other", "1"}, core::Revision(3)}},
        core::Revision(4),
        m_clock.Now(),
        std::nullopt});
    m_manager.Handle(manager::StoreChangesReceived{
        {leadership::LeadershipVacant{core::Revision(6)}},
        core::Revision(6),
        m_clock.Now()});
    m_clock.Advance(milliseconds(900));
    job::StoredHandover handover;
    handover.handover.workers.push_back({MakeId<core::InstanceId>("worker-1"),
                                         core::Incarnation(1),
                                         MakeId<core::PoolId>("pool"), lease});
    handover.revision = stored;
    const core::Revision claim(9);
    m_manager.Handle(
        leadership::LeaseGrantReply{leadership::LeaseOutcome::kDone,
                                    leadership::LeaseId(1), m_clock.Now()});
    m_manager.Handle(leadership::LeadershipClaimReply{
        leadership::LeaseOutcome::kDone, claim});
    m_manager.OnRingEmpty();
    m_manager.Handle(manager::StoreListReceived{
        {leadership::LeaderObserved{{"self", "1"}, claim}},
        claim,
        m_clock.Now(),
        std::move(handover)});
    m_manager.OnRingEmpty();
    m_clock.Advance(milliseconds(150));
    ConfirmLease();
  }

  void ConfirmLease() {
    m_clock.Advance(scheduling::kSweepInterval);
    m_manager.Handle(
        leadership::LeaseRenewalReply{leadership::LeaseOutcome::kDone,
                                      leadership::LeaseId(1), m_clock.Now()});
    m_manager.OnRingEmpty();
  }

  /** @brief Receives changes that don't reach up to the present. */
  void ReceiveBacklogFor(milliseconds duration) {
    const core::TimePoint complete_at = m_clock.Now();
    m_manager.Handle(manager::StoreListReceived{
        {}, core::Revision(4), complete_at, std::nullopt});
    for (milliseconds waited{}; waited < duration; waited += kCommitTime) {
      m_clock.Advance(kCommitTime);
      m_manager.Handle(
          manager::StoreChangesReceived{{}, core::Revision(4), complete_at});
    }
  }

  void AcknowledgeStop(const execution::StopCommand& command) {
    m_manager.Handle(manager::StopReplyReceived{
        {command.to.worker, command.to.incarnation, command.task,
         command.attempt, execution::WorkerCallOutcome::kDone, std::nullopt}});
  }

  /** @brief The worker reports the end of each run that was stopped. */
  void ReportEnds() {
    const execution::PollCommand& command = m_workers.polls.back();
    execution::PollReply reply;
    reply.worker = command.to.worker;
    reply.incarnation = command.to.incarnation;
    reply.sequence = command.sequence;
    reply.outcome = execution::WorkerCallOutcome::kDone;
    for (const execution::StopCommand& stop : m_workers.stops) {
      reply.ended.push_back({core::RunEndNumber(reply.ended.size() + 1),
                             stop.task, stop.attempt, job::RunOutcome::kStopped,
                             ""});
    }
    m_manager.Handle(std::move(reply));
  }

  void BecomeLeader() {
    m_manager.Handle(manager::StoreListReceived{
        {}, core::Revision(4), m_clock.Now(), std::nullopt});
    m_manager.Handle(
        leadership::LeaseGrantReply{leadership::LeaseOutcome::kDone,
                                    leadership::LeaseId(1), m_clock.Now()});
    m_manager.Handle(leadership::LeadershipClaimReply{
        leadership::LeaseOutcome::kDone, core::Revision(kToken)});
    m_manager.OnRingEmpty();
    m_manager.Handle(manager::StoreListReceived{
        {leadership::LeaderObserved{{"self", "1"}, core::Revision(kToken)}},
        core::Revision(kToken),
        m_clock.Now(),
        job::StoredHandover()});
    m_manager.OnRingEmpty();
  }

  void Receive(job::JobEvent event,
               std::uint64_t revision,
               core::TimePoint complete_at) {
    manager::StoreChangesReceived changes;
    changes.events.emplace_back(std::move(event));
    changes.revision = core::Revision(revision);
    changes.complete_at = complete_at;
    m_manager.Handle(std::move(changes));
  }

  /** @brief Runs cycles and confirms the commits of each. */
  void RunCycles() {
    m_manager.OnRingEmpty();
    for (std::size_t index = 0; index < m_store.commits.size(); ++index) {
      m_manager.Handle(job::CommitReply{m_store.commits[index].sequence,
                                        job::StoreOutcome::kDone,
                                        core::Revision(20 + index), true});
      m_clock.Advance(kCommitTime);
      m_manager.OnRingEmpty();
    }
  }

  test::FakeClock m_clock;
  test::RecordingLogger m_logger;
  test::RecordingMeter m_meter;
  test::RecordingJobStore m_store;
  test::RecordingWorkerPort m_workers;
  test::RecordingTicketPort m_tickets;
  test::RecordingResponsePort m_responses;
  RecordingReadinessPort m_readiness;
  test::MockLeasePort m_leases;
  test::MockWorkerWatch m_worker_watch;
  test::MockMachinePort m_machines;
  std::unique_ptr<trompeloeil::expectation> m_allowed_calls[4] = {
      NAMED_ALLOW_CALL(m_leases, RequestLease(trompeloeil::_)),
      NAMED_ALLOW_CALL(m_leases,
                       ClaimLeadership(trompeloeil::_, trompeloeil::_)),
      NAMED_ALLOW_CALL(m_worker_watch, Subscribe()),
      NAMED_ALLOW_CALL(m_worker_watch, Unsubscribe())};
  manager::JobManager m_manager{
      {{"self", "1"}, {}, {}},
      {m_leases, m_store, m_workers, m_worker_watch, m_tickets, m_machines,
       m_responses, m_readiness, m_clock, m_logger, m_meter}};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(JobManagerTest, "manager");

}  // namespace
