#include "crocusmast/intake/request_handler.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/fake_clock.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using intake::JobOperation;
using intake::ResponseStatus;
using job::StoreOutcome;
using test::MakeJob;
using test::MakeStep;

constexpr char kJob[] = "0123456789abcdef";

class RequestHandlerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestHandlerTest);
  CPPUNIT_TEST(JobIsAcceptedOnceStored);
  CPPUNIT_TEST(RefusedWriteIsReportedAsTemporarilyUnavailable);
  CPPUNIT_TEST(UnconfirmedWriteIsRetriedThenReportedAsUnknown);
  CPPUNIT_TEST(RetriesBackOffUntilTheDeadline);
  CPPUNIT_TEST(RepeatedSubmitCreatesOneJob);
  CPPUNIT_TEST(InvalidRequestsStoreNothing);
  CPPUNIT_TEST(RequestsAreRejectedBeforeAConfigurationIsLoaded);
  CPPUNIT_TEST(UnknownJobIsReadFromTheStore);
  CPPUNIT_TEST(UnreachableStoreIsNotReportedAsJobNotFound);
  CPPUNIT_TEST(CancelIsStored);
  CPPUNIT_TEST(CancelOfAFinishedJobSucceedsWithoutAWrite);
  CPPUNIT_TEST(StaleQueuedCountIsNotReturned);
  CPPUNIT_TEST(RequestWithLostStoreReplyEnds);
  CPPUNIT_TEST(ResponseIsLoggedWithItsStoreFailures);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock.Advance(std::chrono::seconds(100));
    m_handler.SetQueueCatalog(m_queue_catalog);
    m_handler.SetJobsCompleteAt(m_clock.Now());
  }

  void JobIsAcceptedOnceStored() {
    SendRequest(JobOperation::kSubmit, Path());
    CPPUNIT_ASSERT(m_responses.responses.empty());
    CompleteWrite(StoreOutcome::kDone);
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kAccepted);
    SendRequest(JobOperation::kGet, Path());
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kJobState);
  }

  void RefusedWriteIsReportedAsTemporarilyUnavailable() {
    SendRequest(JobOperation::kSubmit, Path());
    CompleteWrite(StoreOutcome::kRefused);
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kTemporarilyUnavailable);
    CPPUNIT_ASSERT(m_responses.responses.back().retry_after.count() > 0);
  }

  void UnconfirmedWriteIsRetriedThenReportedAsUnknown() {
    SendRequest(JobOperation::kSubmit, Path());
    CompleteWrite(StoreOutcome::kUnknown);
    CPPUNIT_ASSERT(m_responses.responses.empty());
    m_clock.Advance(intake::kInitialRetryDelay);
    m_handler.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_store.created.size());
    m_clock.Advance(std::chrono::milliseconds(2800));
    // The retry is refused, but the first write may still be applied.
    CompleteWrite(StoreOutcome::kRefused);
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kUnknown);
  }

  // Guards against retries without a delay: when the store reset every
  // connection immediately, an instance made thousands of calls within a
  // second.
  void RetriesBackOffUntilTheDeadline() {
    SendRequest(JobOperation::kSubmit, Path());
    std::vector<int> call_times_ms;
    int ms = 0;
    for (; m_responses.responses.empty() && ms < 3000; ++ms) {
      if (call_times_ms.size() < m_store.created.size()) {
        call_times_ms.push_back(ms);
        CompleteWrite(StoreOutcome::kUnknown);
      }
      m_clock.Advance(std::chrono::milliseconds(1));
      m_handler.Tick();
    }
    const std::vector<int> expected{0,    100,  300,  700, 1100,
                                    1500, 1900, 2300, 2700};
    CPPUNIT_ASSERT(expected == call_times_ms);
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kUnknown);
    CPPUNIT_ASSERT_EQUAL(2900, ms);
  }

  void RepeatedSubmitCreatesOneJob() {
    SendRequest(JobOperation::kSubmit, Path());
    CompleteWrite(StoreOutcome::kConflict);
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kAccepted);
    m_job_catalog.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
    SendRequest(JobOperation::kSubmit, Path());
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_store.created.size());
  }

  void InvalidRequestsStoreNothing() {
    SendRequest(JobOperation::kSubmit, "/nowhere/" + std::string(kJob));
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kQueueNotFound);
    SendRequest(JobOperation::kSubmit, "/jobs/0123");
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kBadRequest);
    SendRequest(JobOperation::kSubmit, "/jobs/0123456789abcdeg");
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kBadRequest);
    m_spec.reset();
    SendRequest(JobOperation::kSubmit, Path());
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kBadRequest);
    m_spec = job::JobSpec();
    SendRequest(JobOperation::kSubmit, Path());
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kBadRequest);
    m_spec->steps = {MakeStep(1, 100, {3})};
    SendRequest(JobOperation::kSubmit, Path());
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kBadRequest);
    CPPUNIT_ASSERT(m_store.created.empty());
  }

  void RequestsAreRejectedBeforeAConfigurationIsLoaded() {
    const queue::QueueCatalog none;
    m_handler.SetQueueCatalog(none);
    SendRequest(JobOperation::kSubmit, Path());
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kTemporarilyUnavailable);
  }

  void UnknownJobIsReadFromTheStore() {
    SendRequest(JobOperation::kGet, Path());
    CPPUNIT_ASSERT(m_responses.responses.empty());
    m_handler.Handle(job::JobReadReply{m_exchange, StoreOutcome::kAbsent, {}});
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kJobNotFound);
    SendRequest(JobOperation::kGet, Path());
    m_handler.Handle(
        job::JobReadReply{m_exchange,
                          StoreOutcome::kDone,
                          {job::JobStored{MakeJob(kJob, {MakeStep(1)})}}});
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kJobState);
  }

  void UnreachableStoreIsNotReportedAsJobNotFound() {
    SendRequest(JobOperation::kGet, Path());
    m_handler.Handle(job::JobReadReply{m_exchange, StoreOutcome::kRefused, {}});
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kTemporarilyUnavailable);
  }

  void CancelIsStored() {
    m_job_catalog.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
    SendRequest(JobOperation::kCancel, Path());
    CPPUNIT_ASSERT(m_responses.responses.empty());
    CompleteWrite(StoreOutcome::kDone);
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kCancelled);
    CPPUNIT_ASSERT_EQUAL(std::string("12"),
                         m_logger.Field("answered", "revision"));
    SendRequest(JobOperation::kGet, Path());
    CPPUNIT_ASSERT(m_responses.responses.back().state ==
                   job::JobState::kCancelled);
  }

  void CancelOfAFinishedJobSucceedsWithoutAWrite() {
    job::JobProgress ended;
    ended.state = job::JobState::kSucceeded;
    m_job_catalog.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
    m_job_catalog.Apply(
        job::ProgressStored{MakeJob(kJob, {}).id, ended, core::Revision(3)},
        {});
    SendRequest(JobOperation::kCancel, Path());
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kCancelled);
    CPPUNIT_ASSERT(m_store.cancelled.empty());
  }

  void StaleQueuedCountIsNotReturned() {
    m_job_catalog.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
    SendRequest(JobOperation::kGet, "/jobs/");
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kQueuedCount);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_responses.responses.back().count);
    m_clock.Advance(std::chrono::seconds(2));
    SendRequest(JobOperation::kGet, "/jobs/");
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kTemporarilyUnavailable);
  }

  // Guards against a request that is kept forever because the reply of the
  // store was lost: its caller got no response, and a shutdown waited for it.
  void RequestWithLostStoreReplyEnds() {
    SendRequest(JobOperation::kSubmit, Path());
    m_clock.Advance(std::chrono::milliseconds(3999));
    m_handler.Tick();
    CPPUNIT_ASSERT(m_responses.responses.empty());
    m_clock.Advance(std::chrono::milliseconds(1));
    m_handler.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_responses.responses.size());
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kUnknown);
    CompleteWrite(StoreOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_responses.responses.size());
    SendRequest(JobOperation::kGet, Path());
    m_clock.Advance(std::chrono::seconds(4));
    m_handler.Tick();
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kTemporarilyUnavailable);
  }

  void ResponseIsLoggedWithItsStoreFailures() {
    SendRequest(JobOperation::kSubmit, Path());
    CompleteWrite(StoreOutcome::kUnknown, job::StoreFailure::kTimedOut);
    m_clock.Advance(intake::kInitialRetryDelay);
    m_handler.Tick();
    m_clock.Advance(std::chrono::milliseconds(2900));
    CompleteWrite(StoreOutcome::kRefused, job::StoreFailure::kNotSent);
    CPPUNIT_ASSERT(LastStatus() == ResponseStatus::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         m_logger.Field("answered", "store_writes"));
    CPPUNIT_ASSERT_EQUAL(std::string("timed out"),
                         m_logger.Field("answered", "first_failure"));
    CPPUNIT_ASSERT_EQUAL(std::string("not sent"),
                         m_logger.Field("answered", "last_failure"));
  }

 private:
  static std::string Path() { return std::string("/jobs/") + kJob; }

  void SendRequest(JobOperation operation, const std::string& path) {
    m_exchange = job::ExchangeId(m_exchange.Count() + 1);
    intake::CallerRequest request;
    request.exchange = m_exchange;
    request.operation = operation;
    request.host = "host.example";
    request.path = path;
    request.spec = m_spec;
    request.parse_error = "the body is invalid";
    request.deadline = m_clock.Now() + std::chrono::seconds(3);
    m_handler.Handle(std::move(request));
  }

  void CompleteWrite(StoreOutcome outcome,
                     job::StoreFailure failure = job::StoreFailure::kNone) {
    const core::Revision revision(outcome == StoreOutcome::kDone ? 12 : 0);
    m_handler.Handle(
        job::JobWriteReply{m_exchange, outcome, revision, failure});
  }

  ResponseStatus LastStatus() const {
    return m_responses.responses.back().status;
  }

  test::FakeClock m_clock;
  test::RecordingLogger m_logger;
  test::CountingMeter m_meter;
  test::RecordingJobStore m_store;
  test::RecordingResponsePort m_responses;
  job::JobCatalog m_job_catalog;
  const queue::QueueCatalog m_queue_catalog = test::MakeQueueCatalog();
  std::optional<job::JobSpec> m_spec = MakeJob(kJob, {MakeStep(1)}).spec;
  job::ExchangeId m_exchange;
  intake::RequestHandler m_handler{
      {m_store, m_responses, m_clock, m_logger, m_meter},
      m_job_catalog};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RequestHandlerTest, "intake");

}  // namespace
