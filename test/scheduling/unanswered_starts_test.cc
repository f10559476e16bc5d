#include "crocusmast/scheduling/unanswered_starts.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/factories.h"

namespace {

using namespace crocusmast;
using scheduling::UnansweredStarts;
using test::MakeId;

class UnansweredStartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnansweredStartsTest);
  CPPUNIT_TEST(FindsEachRunOfAWorkerOnce);
  CPPUNIT_TEST(ForgetsCommandsThatCannotArriveAnyMore);
  CPPUNIT_TEST(DropsTheOldestWhenThereAreTooMany);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindsEachRunOfAWorkerOnce() {
    UnansweredStarts starts;
    starts.Add(m_worker, Key(1), kNow);
    starts.Add(m_worker, Key(1), kNow);
    starts.Add(m_worker, Key(2), kNow);
    starts.Add(MakeId<core::InstanceId>("w-2"), Key(3), kNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.Find(m_worker, kNow).size());
  }

  void ForgetsCommandsThatCannotArriveAnyMore() {
    UnansweredStarts starts;
    starts.Add(m_worker, Key(1), kNow);
    const core::TimePoint last =
        kNow + scheduling::kMaxCommandDelay - std::chrono::milliseconds(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.Find(m_worker, last).size());
    CPPUNIT_ASSERT(
        starts.Find(m_worker, kNow + scheduling::kMaxCommandDelay).empty());
  }

  void DropsTheOldestWhenThereAreTooMany() {
    UnansweredStarts starts;
    for (std::size_t index = 0; index <= scheduling::kMaxUnansweredStarts;
         ++index) {
      starts.Add(m_worker, Key(static_cast<std::uint32_t>(index)), kNow);
    }
    const std::vector<execution::RunKey> found = starts.Find(m_worker, kNow);
    CPPUNIT_ASSERT_EQUAL(scheduling::kMaxUnansweredStarts, found.size());
    CPPUNIT_ASSERT_EQUAL(1U, found.front().task.key.index);
  }

 private:
  static constexpr core::TimePoint kNow{std::chrono::seconds(1000)};

  static execution::RunKey Key(std::uint32_t index) {
    return {{MakeId<core::JobId>("0123456789abcdef"), {0, 0, index}},
            core::Attempt(1)};
  }

  const core::InstanceId m_worker = MakeId<core::InstanceId>("w-1");
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(UnansweredStartsTest, "scheduling");

}  // namespace
