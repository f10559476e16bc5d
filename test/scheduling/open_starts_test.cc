#include <cppunit/extensions/HelperMacros.h>

#include "crocusmast/scheduling/open_starts.h"
#include "test/support/factories.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using scheduling::OpenStarts;
using std::chrono::milliseconds;
using test::MakeId;

constexpr core::TimePoint kNow{std::chrono::seconds(1000)};
constexpr milliseconds kLease{6180};

/** @brief Start commands that may still be executed, without their runs. */
class OpenStartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OpenStartsTest);
  CPPUNIT_TEST(FindsEachEndedRunOnce);
  CPPUNIT_TEST(ForgetsCommandsThatCannotArriveAnyMore);
  CPPUNIT_TEST(DropsTheOldestWhenThereAreTooMany);
  CPPUNIT_TEST(FindsTheStartsOfATaskOnEachWorker);
  CPPUNIT_TEST(AbsenceSettlesOnlyStartsThatWereSentBefore);
  CPPUNIT_TEST(AbsenceDoesNotShortenTheTimeOfAStart);
  CPPUNIT_TEST(PollAfterItsTimeShowsWhatAStartBegan);
  CPPUNIT_TEST(ExecutedStartIsRemoved);
  CPPUNIT_TEST(AnotherWorkerAtTheAddressRejectsAStart);
  CPPUNIT_TEST(TimeThatIsLeftShrinksFromTermToTerm);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindsEachEndedRunOnce() {
    Add(1, kNow);
    Add(1, kNow);
    Add(2, kNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, OfWorker(kNow).size());
  }

  void ForgetsCommandsThatCannotArriveAnyMore() {
    Add(1, kNow);
    const core::TimePoint last =
        kNow + execution::kMaxCommandDelay - milliseconds(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, OfWorker(last).size());
    CPPUNIT_ASSERT(OfWorker(kNow + execution::kMaxCommandDelay).empty());
    const core::TimePoint settled_at =
        kNow + execution::kMaxCommandDelay + kLease;
    m_starts.RemoveSettled(settled_at - milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.OfTask(Task(1)).size());
    m_starts.RemoveSettled(settled_at);
    CPPUNIT_ASSERT(m_starts.OfTask(Task(1)).empty());
    CPPUNIT_ASSERT(m_starts.IsEmpty());
  }

  void DropsTheOldestWhenThereAreTooMany() {
    for (std::size_t index = 0; index <= scheduling::kMaxOpenStarts; ++index) {
      Add(static_cast<std::uint32_t>(index),
          kNow + std::chrono::microseconds(index));
    }
    const auto starts = OfWorker(kNow);
    CPPUNIT_ASSERT_EQUAL(scheduling::kMaxOpenStarts, starts.size());
    CPPUNIT_ASSERT_EQUAL(1U, starts.front().key.task.key.index);
    CPPUNIT_ASSERT(m_starts.OfTask(Task(0)).empty());
  }

  void FindsTheStartsOfATaskOnEachWorker() {
    Add(1, kNow, "w-1");
    Add(1, kNow, "w-2");
    Add(2, kNow, "w-2");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_starts.OfTask(Task(1)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.OfTask(Task(2)).size());
    CPPUNIT_ASSERT(m_starts.OfTask(Task(3)).empty());
  }

  void AbsenceSettlesOnlyStartsThatWereSentBefore() {
    Add(1, kNow);
    Add(2, kNow + milliseconds(1000));
    CPPUNIT_ASSERT(
        m_starts.HandleAbsence(kWorker, {kNow + milliseconds(500)}, kLease));
    CPPUNIT_ASSERT(kNow + kLease == m_starts.OfTask(Task(1))[0].settled_at);
    CPPUNIT_ASSERT(kNow + milliseconds(1000) + execution::kMaxCommandDelay +
                       kLease ==
                   m_starts.OfTask(Task(2))[0].settled_at);
    CPPUNIT_ASSERT(
        !m_starts.HandleAbsence(kWorker, {kNow + milliseconds(500)}, kLease));
    // Another incarnation of the worker may execute both.
    m_starts.HandleLaterIncarnation(kWorker, kLease);
    CPPUNIT_ASSERT(kNow + execution::kMaxCommandDelay + kLease ==
                   m_starts.OfTask(Task(1))[0].settled_at);
  }

  // Issue 64, TWICE: a machine without the worker may have it again.
  void AbsenceDoesNotShortenTheTimeOfAStart() {
    Add(1, kNow);
    m_starts.HandleAbsence(kWorker, {kNow}, kLease);
    CPPUNIT_ASSERT(kNow + execution::kMaxCommandDelay ==
                   m_starts.OfTask(Task(1))[0].BlocksUntil(nullptr));
    execution::Absence absence{kNow + milliseconds(500)};
    absence.is_final = true;
    CPPUNIT_ASSERT(m_starts.HandleAbsence(kWorker, absence, kLease));
    CPPUNIT_ASSERT(absence.at ==
                   m_starts.OfTask(Task(1))[0].BlocksUntil(nullptr));
    CPPUNIT_ASSERT(!m_starts.HandleAbsence(kWorker, absence, kLease));
  }

  void PollAfterItsTimeShowsWhatAStartBegan() {
    Add(1, kNow);
    const core::TimePoint until = kNow + execution::kMaxCommandDelay;
    const scheduling::OpenStart start = m_starts.OfTask(Task(1))[0];
    execution::Worker worker(test::MakeWorker("w-1"), kNow);
    CPPUNIT_ASSERT(until + kLease == start.BlocksUntil(&worker));
    CPPUNIT_ASSERT(
        !m_starts.HasUnobserved(kWorker, kNow, until - milliseconds(1)));
    CPPUNIT_ASSERT(m_starts.HasUnobserved(kWorker, kNow, until));
    worker.runs_known_at = until;
    CPPUNIT_ASSERT(until == start.BlocksUntil(&worker));
    CPPUNIT_ASSERT(!m_starts.HasUnobserved(kWorker, until, until));
  }

  void ExecutedStartIsRemoved() {
    Add(1, kNow);
    Add(2, kNow);
    CPPUNIT_ASSERT(m_starts.Remove(kWorker, m_starts.OfTask(Task(1))[0].key));
    CPPUNIT_ASSERT(m_starts.OfTask(Task(1)).empty());
    CPPUNIT_ASSERT(m_starts.Remove(kWorker, m_starts.OfTask(Task(2))[0].key));
    CPPUNIT_ASSERT(m_starts.IsEmpty());
  }

  // It names the worker that was there.
  void AnotherWorkerAtTheAddressRejectsAStart() {
    Add(1, kNow);
    m_starts.HandleReplacement(kWorker, kNow + milliseconds(100));
    CPPUNIT_ASSERT(kNow + milliseconds(100) ==
                   m_starts.OfTask(Task(1))[0].BlocksUntil(nullptr));
  }

  // Issue 61, LOST: each leader counted the time of an open start anew.
  void TimeThatIsLeftShrinksFromTermToTerm() {
    Add(1, kNow);
    core::TimePoint ended_at = kNow;
    for (int term = 0; term < 4; ++term) {
      ended_at += milliseconds(2500);
      job::HandoverState stored;
      m_starts.AppendTo(ended_at, stored.open_starts);
      m_starts = OpenStarts::Restore(stored, ended_at);
    }
    const scheduling::OpenStart start = m_starts.OfTask(Task(1)).at(0);
    CPPUNIT_ASSERT(kNow + execution::kMaxCommandDelay == start.until);
    CPPUNIT_ASSERT(kNow + execution::kMaxCommandDelay + kLease ==
                   start.settled_at);
  }

 private:
  static job::TaskId Task(std::uint32_t index) {
    return {MakeId<core::JobId>("0123456789abcdef"), {0, 0, index}};
  }

  void Add(std::uint32_t index,
           core::TimePoint sent_at,
           const char* worker = "w-1") {
    const core::TimePoint until = sent_at + execution::kMaxCommandDelay;
    m_starts.Add({MakeId<core::InstanceId>(worker),
                  {Task(index), core::Attempt(1)},
                  until,
                  until + kLease});
  }

  std::vector<scheduling::OpenStart> OfWorker(core::TimePoint now) const {
    return m_starts.OfWorker(kWorker, now);
  }

  const core::InstanceId kWorker = MakeId<core::InstanceId>("w-1");
  OpenStarts m_starts;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(OpenStartsTest, "scheduling");

}  // namespace
