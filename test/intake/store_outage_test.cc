#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>

#include "crocusmast/intake/request_handler.h"
#include "test/support/fake_clock.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using intake::JobOperation;
using intake::ResponseStatus;
using job::StoreOutcome;
using std::chrono::milliseconds;
using test::MakeJob;
using test::MakeStep;

constexpr milliseconds kDeadline{3000};

/** @brief Submissions while the job store is away. */
class StoreOutageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreOutageTest);
  CPPUNIT_TEST(SubmissionDuringAnOutageIsRejectedAtOnce);
  CPPUNIT_TEST(LostProbeStoresNothing);
  CPPUNIT_TEST(ProbeThatGetsNoReplyAtAllIsNotUnknown);
  CPPUNIT_TEST(ProbeThatReachesTheStoreStoresItsJob);
  CPPUNIT_TEST(ProbeThatFindsTheJobAcceptsIt);
  CPPUNIT_TEST(ReplyToAWatchEndsTheOutage);
  CPPUNIT_TEST(SlowStoreRejectsNothing);
  CPPUNIT_TEST(UnconfirmedSubmissionIsAcceptedOnceTheStoreIsBack);
  CPPUNIT_TEST(UnconfirmedWritesAreRetriedOneAtATime);
  CPPUNIT_TEST(SubmissionWhoseReplyWasLostIsAcceptedOnceAWatchShowsIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock.Advance(std::chrono::seconds(100));
    m_handler.SetQueueCatalog(m_queue_catalog);
    m_handler.SetJobsCompleteAt(m_clock.Now());
    m_clock.Advance(milliseconds(1));
  }

  // Guards against submissions that are sent to a store that does not reply:
  // they were answered as unknown, so their callers must not repeat them.
  void SubmissionDuringAnOutageIsRejectedAtOnce() {
    BeginOutage();
    Submit();  // The probe.
    Submit();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_responses.responses.size());
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kTemporarilyUnavailable);
    CPPUNIT_ASSERT(m_responses.responses.back().retry_after.count() > 0);
    CPPUNIT_ASSERT_EQUAL(m_writes_before, m_store.created.size());
  }

  void LostProbeStoresNothing() {
    BeginOutage();
    const job::ExchangeId probe = Submit();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_store.read.size());
    m_clock.Advance(milliseconds(900));
    m_handler.Handle(job::JobReadReply{probe, StoreOutcome::kUnknown, {}});
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kTemporarilyUnavailable);
    CPPUNIT_ASSERT_EQUAL(m_writes_before, m_store.created.size());
  }

  void ProbeThatGetsNoReplyAtAllIsNotUnknown() {
    BeginOutage();
    const job::ExchangeId probe = Submit();
    m_clock.Advance(kDeadline + intake::kLostReplyGrace);
    m_handler.Tick();
    CPPUNIT_ASSERT(StatusOf(probe) == ResponseStatus::kTemporarilyUnavailable);
    CPPUNIT_ASSERT_EQUAL(m_writes_before, m_store.created.size());
    m_clock.Advance(intake::StoreCircuit::kProbeInterval);
    Submit();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_store.read.size());
  }

  void ProbeThatReachesTheStoreStoresItsJob() {
    BeginOutage();
    const job::ExchangeId probe = Submit();
    m_handler.Handle(job::JobReadReply{probe, StoreOutcome::kAbsent, {}});
    CPPUNIT_ASSERT_EQUAL(m_writes_before + 1, m_store.created.size());
    CompleteWrite(probe, StoreOutcome::kDone);
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kAccepted);
    Submit();
    CPPUNIT_ASSERT_EQUAL(m_writes_before + 2, m_store.created.size());
  }

  void ProbeThatFindsTheJobAcceptsIt() {
    BeginOutage();
    const job::ExchangeId probe = Submit();
    m_handler.Handle(
        job::JobReadReply{probe,
                          StoreOutcome::kDone,
                          {job::JobStored{MakeJob(m_last_id, {MakeStep(1)})}}});
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kAccepted);
    CPPUNIT_ASSERT_EQUAL(m_writes_before, m_store.created.size());
  }

  void ReplyToAWatchEndsTheOutage() {
    BeginOutage();
    m_handler.SetJobsCompleteAt(m_clock.Now());
    Submit();
    CPPUNIT_ASSERT_EQUAL(m_writes_before + 1, m_store.created.size());
    CPPUNIT_ASSERT(m_store.read.empty());
  }

  // Guards against submissions that are rejected although the store works.
  void SlowStoreRejectsNothing() {
    for (int round = 0; round < 20; ++round) {
      std::vector<job::ExchangeId> submitted;
      for (int count = 0; count < 5; ++count) {
        submitted.push_back(Submit());
      }
      m_clock.Advance(milliseconds(850));
      m_handler.Tick();
      for (const job::ExchangeId exchange : submitted) {
        CompleteWrite(exchange, StoreOutcome::kDone);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, m_responses.responses.size());
    for (const intake::JobResponse& response : m_responses.responses) {
      CPPUNIT_ASSERT(response.status == ResponseStatus::kAccepted);
    }
  }

  // Guards against a submission that is answered as unknown although the store
  // is back before its deadline.
  void UnconfirmedSubmissionIsAcceptedOnceTheStoreIsBack() {
    const job::ExchangeId exchange = Submit();
    std::size_t completed = 0;
    const core::TimePoint back_at = m_clock.Now() + milliseconds(2400);
    while (m_responses.responses.empty()) {
      if (completed < m_store.created.size()) {
        ++completed;
        CompleteWrite(exchange, m_clock.Now() < back_at
                                    ? StoreOutcome::kUnknown
                                    : StoreOutcome::kConflict);
      }
      m_clock.Advance(milliseconds(1));
      m_handler.Tick();
    }
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kAccepted);
    CPPUNIT_ASSERT(m_clock.Now() <
                   back_at + intake::kMaxRetryDelay + milliseconds(2));
  }

  // Guards against an outage in which the retries of all pending submissions
  // occupy the connections to the store.
  void UnconfirmedWritesAreRetriedOneAtATime() {
    constexpr std::size_t kSubmissions = 50;
    for (std::size_t count = 0; count < kSubmissions; ++count) {
      Submit();
    }
    std::size_t completed = 0;
    std::size_t max_in_progress = 0;
    for (int ms = 0; ms < 3000; ++ms) {
      const std::size_t in_progress = m_store.created.size() - completed;
      if (m_store.created.size() > kSubmissions) {
        max_in_progress = std::max(max_in_progress, in_progress);
      }
      for (; completed < m_store.created.size(); ++completed) {
        CompleteWrite(m_store.created[completed].first, StoreOutcome::kUnknown);
      }
      m_clock.Advance(milliseconds(1));
      m_handler.Tick();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, max_in_progress);
    CPPUNIT_ASSERT(m_store.created.size() <=
                   kSubmissions +
                       kDeadline / intake::StoreCircuit::kProbeInterval);
    CPPUNIT_ASSERT_EQUAL(kSubmissions, m_responses.responses.size());
    for (const intake::JobResponse& response : m_responses.responses) {
      CPPUNIT_ASSERT(response.status == ResponseStatus::kUnknown);
    }
  }

  // Guards against a caller that waits for time-outs of lost replies, and may
  // get 504 in the end, although the instance knows that the job is stored.
  void SubmissionWhoseReplyWasLostIsAcceptedOnceAWatchShowsIt() {
    const job::ExchangeId exchange = Submit();
    m_handler.Tick();
    CPPUNIT_ASSERT(m_responses.responses.empty());
    m_job_catalog.Apply(job::JobStored{MakeJob(m_last_id, {MakeStep(1)})},
                        m_clock.Now());
    m_handler.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_responses.responses.size());
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kAccepted);
    CompleteWrite(exchange, StoreOutcome::kUnknown);
    m_clock.Advance(kDeadline);
    m_handler.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_responses.responses.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_store.created.size());
  }

 private:
  /** @brief Loses writes until the circuit is open; their retries are not due
   * yet. */
  void BeginOutage() {
    for (int count = 0; count < intake::StoreCircuit::kMaxConsecutiveFailures;
         ++count) {
      CompleteWrite(Submit(), StoreOutcome::kUnknown);
    }
    m_writes_before = m_store.created.size();
    CPPUNIT_ASSERT(m_responses.responses.empty());
  }

  job::ExchangeId Submit() {
    m_exchange = job::ExchangeId(m_exchange.Count() + 1);
    char id[17];
    std::snprintf(id, sizeof id, "%016llx",
                  static_cast<unsigned long long>(m_exchange.Count()));
    m_last_id = id;
    intake::CallerRequest request;
    request.exchange = m_exchange;
    request.operation = JobOperation::kSubmit;
    request.host = "host.example";
    request.path = "/jobs/" + m_last_id;
    request.spec = MakeJob(m_last_id, {MakeStep(1)}).spec;
    request.deadline = m_clock.Now() + kDeadline;
    m_handler.Handle(std::move(request));
    return m_exchange;
  }

  void CompleteWrite(job::ExchangeId exchange, StoreOutcome outcome) {
    m_handler.Handle(job::JobWriteReply{exchange, outcome});
  }

  ResponseStatus LastStatus() const {
    CPPUNIT_ASSERT(!m_responses.responses.empty());
    return m_responses.responses.back().status;
  }

  ResponseStatus StatusOf(job::ExchangeId exchange) const {
    for (const intake::JobResponse& response : m_responses.responses) {
      if (response.exchange == exchange) {
        return response.status;
      }
    }
    CPPUNIT_FAIL("no response");
    return ResponseStatus::kAccepted;
  }

  test::FakeClock m_clock;
  test::NullLogger m_logger;
  test::CountingMeter m_meter;
  test::RecordingJobStore m_store;
  test::RecordingResponsePort m_responses;
  job::JobCatalog m_job_catalog;
  const queue::QueueCatalog m_queue_catalog = test::MakeQueueCatalog();
  job::ExchangeId m_exchange;
  std::string m_last_id;
  std::size_t m_writes_before = 0;
  intake::RequestHandler m_handler{
      {m_store, m_responses, m_clock, m_logger, m_meter},
      m_job_catalog};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoreOutageTest, "intake");

}  // namespace
