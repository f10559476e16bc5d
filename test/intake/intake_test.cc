#include "crocusmast/intake/intake.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/fake_clock.h"
#include "test/support/job_fakes.h"
#include "test/support/mocks.h"

namespace {

using namespace crocusmast;
using intake::AnswerKind;
using intake::Verb;
using job::StoreOutcome;
using test::MakeJob;
using test::MakeStep;

constexpr char kJob[] = "0123456789abcdef";

class IntakeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IntakeTest);
  CPPUNIT_TEST(AJobIsAcceptedOnceStored);
  CPPUNIT_TEST(ARefusedJobWasNotStored);
  CPPUNIT_TEST(AnUnknownWriteIsRepeatedThenSaidToBeUnknown);
  CPPUNIT_TEST(RepeatsAreFewAndFurtherApartEachTime);
  CPPUNIT_TEST(ARepeatedSubmitIsOneJob);
  CPPUNIT_TEST(BadInputChangesNothing);
  CPPUNIT_TEST(WithoutAConfigurationNothingIsServed);
  CPPUNIT_TEST(AnUnknownJobIsLookedUp);
  CPPUNIT_TEST(AnUnreachableStoreIsNoProofOfAbsence);
  CPPUNIT_TEST(ACancelIsStored);
  CPPUNIT_TEST(ACancelOfAnEndedJobIsDone);
  CPPUNIT_TEST(TheCountIsNotOld);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock.Advance(std::chrono::seconds(100));
    m_intake.SetDirectory(m_directory);
    m_intake.BookIsCurrent(m_clock.Now());
  }

  void AJobIsAcceptedOnceStored() {
    Ask(Verb::kSubmit, Path());
    CPPUNIT_ASSERT(m_answers.answers.empty());
    Written(StoreOutcome::kDone);
    CPPUNIT_ASSERT(Last() == AnswerKind::kAccepted);
    Ask(Verb::kShow, Path());
    CPPUNIT_ASSERT(Last() == AnswerKind::kState);
  }

  void ARefusedJobWasNotStored() {
    Ask(Verb::kSubmit, Path());
    Written(StoreOutcome::kRefused);
    CPPUNIT_ASSERT(Last() == AnswerKind::kNotNow);
    CPPUNIT_ASSERT(m_answers.answers.back().retry_after.count() > 0);
  }

  void AnUnknownWriteIsRepeatedThenSaidToBeUnknown() {
    Ask(Verb::kSubmit, Path());
    Written(StoreOutcome::kUnknown);
    CPPUNIT_ASSERT(m_answers.answers.empty());
    m_clock.Advance(intake::kRepeatPause);
    m_intake.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_store.created.size());
    m_clock.Advance(std::chrono::milliseconds(2800));
    // Refused now, but the first write may still be done.
    Written(StoreOutcome::kRefused);
    CPPUNIT_ASSERT(Last() == AnswerKind::kUnknown);
  }

  // The store resets each connection of this instance at once: thousands of
  // calls were made within a second.
  void RepeatsAreFewAndFurtherApartEachTime() {
    Ask(Verb::kSubmit, Path());
    std::vector<std::int64_t> made_at;
    for (int ms = 0; m_answers.answers.empty() && ms < 3000; ++ms) {
      if (made_at.size() < m_store.created.size()) {
        made_at.push_back(ms);
        Written(StoreOutcome::kUnknown);
      }
      m_clock.Advance(std::chrono::milliseconds(1));
      m_intake.Tick();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, made_at.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{100}, made_at[1] - made_at[0]);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, made_at[2] - made_at[1]);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{400}, made_at[3] - made_at[2]);
    CPPUNIT_ASSERT(Last() == AnswerKind::kUnknown);
  }

  void ARepeatedSubmitIsOneJob() {
    Ask(Verb::kSubmit, Path());
    Written(StoreOutcome::kConflict);
    CPPUNIT_ASSERT(Last() == AnswerKind::kAccepted);
    m_book.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
    Ask(Verb::kSubmit, Path());
    CPPUNIT_ASSERT(Last() == AnswerKind::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_store.created.size());
  }

  void BadInputChangesNothing() {
    Ask(Verb::kSubmit, "/nowhere/" + std::string(kJob));
    CPPUNIT_ASSERT(Last() == AnswerKind::kNoQueue);
    Ask(Verb::kSubmit, "/jobs/0123");
    CPPUNIT_ASSERT(Last() == AnswerKind::kBadRequest);
    Ask(Verb::kSubmit, "/jobs/0123456789abcdeg");
    CPPUNIT_ASSERT(Last() == AnswerKind::kBadRequest);
    m_spec.reset();
    Ask(Verb::kSubmit, Path());
    CPPUNIT_ASSERT(Last() == AnswerKind::kBadRequest);
    m_spec = job::JobSpec();
    Ask(Verb::kSubmit, Path());
    CPPUNIT_ASSERT(Last() == AnswerKind::kBadRequest);
    m_spec->steps = {MakeStep(1, 100, {3})};
    Ask(Verb::kSubmit, Path());
    CPPUNIT_ASSERT(Last() == AnswerKind::kBadRequest);
    CPPUNIT_ASSERT(m_store.created.empty());
  }

  void WithoutAConfigurationNothingIsServed() {
    const queue::Directory none;
    m_intake.SetDirectory(none);
    Ask(Verb::kSubmit, Path());
    CPPUNIT_ASSERT(Last() == AnswerKind::kNotNow);
  }

  void AnUnknownJobIsLookedUp() {
    Ask(Verb::kShow, Path());
    CPPUNIT_ASSERT(m_answers.answers.empty());
    m_intake.Handle(job::JobRead{m_exchange, StoreOutcome::kAbsent, {}});
    CPPUNIT_ASSERT(Last() == AnswerKind::kNoJob);
    Ask(Verb::kShow, Path());
    m_intake.Handle(
        job::JobRead{m_exchange,
                     StoreOutcome::kDone,
                     {job::JobStored{MakeJob(kJob, {MakeStep(1)})}}});
    CPPUNIT_ASSERT(Last() == AnswerKind::kState);
  }

  void AnUnreachableStoreIsNoProofOfAbsence() {
    Ask(Verb::kShow, Path());
    m_intake.Handle(job::JobRead{m_exchange, StoreOutcome::kRefused, {}});
    CPPUNIT_ASSERT(Last() == AnswerKind::kNotNow);
  }

  void ACancelIsStored() {
    m_book.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
    Ask(Verb::kCancel, Path());
    CPPUNIT_ASSERT(m_answers.answers.empty());
    Written(StoreOutcome::kDone);
    CPPUNIT_ASSERT(Last() == AnswerKind::kCancelled);
    Ask(Verb::kShow, Path());
    CPPUNIT_ASSERT(m_answers.answers.back().state == job::JobState::kCancelled);
  }

  void ACancelOfAnEndedJobIsDone() {
    job::JobProgress ended;
    ended.state = job::JobState::kSucceeded;
    m_book.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
    m_book.Apply(
        job::ProgressStored{MakeJob(kJob, {}).id, ended, core::Revision(3)},
        {});
    Ask(Verb::kCancel, Path());
    CPPUNIT_ASSERT(Last() == AnswerKind::kCancelled);
    CPPUNIT_ASSERT(m_store.cancelled.empty());
  }

  void TheCountIsNotOld() {
    m_book.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
    Ask(Verb::kShow, "/jobs/");
    CPPUNIT_ASSERT(Last() == AnswerKind::kCount);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_answers.answers.back().count);
    m_clock.Advance(std::chrono::seconds(2));
    Ask(Verb::kShow, "/jobs/");
    CPPUNIT_ASSERT(Last() == AnswerKind::kNotNow);
  }

 private:
  static std::string Path() { return std::string("/jobs/") + kJob; }

  void Ask(Verb verb, const std::string& path) {
    m_exchange = job::ExchangeId(m_exchange.Count() + 1);
    intake::CallerRequest request;
    request.exchange = m_exchange;
    request.verb = verb;
    request.host = "host.example";
    request.path = path;
    request.spec = m_spec;
    request.problem = "it can't be read";
    request.deadline = m_clock.Now() + std::chrono::seconds(3);
    m_intake.Handle(std::move(request));
  }

  void Written(StoreOutcome outcome) {
    m_intake.Handle(job::JobWritten{m_exchange, outcome});
  }

  AnswerKind Last() const { return m_answers.answers.back().kind; }

  test::FakeClock m_clock;
  test::SilentLogger m_logger;
  test::CountingMeter m_meter;
  test::StoreBook m_store;
  test::AnswerBook m_answers;
  job::JobBook m_book;
  const queue::Directory m_directory = test::MakeDirectory();
  std::optional<job::JobSpec> m_spec = MakeJob(kJob, {MakeStep(1)}).spec;
  job::ExchangeId m_exchange;
  intake::Intake m_intake{{m_store, m_answers, m_clock, m_logger, m_meter},
                          m_book};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(IntakeTest, "intake");

}  // namespace
