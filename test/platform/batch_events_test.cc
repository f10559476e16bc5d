#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

#include "crocusmast/adapters/records/job_records.h"
#include "platform/keys.h"
#include "platform/store_events.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using platform::DecodeEvents;
using platform::KvItem;
namespace keys = platform::keys;
using test::MakeId;

const job::BatchId kBatch{core::FencingToken(1234), 56};
const auto kJob = MakeId<core::JobId>("0123456789abcdef");

/** @brief What instances learn from the batches in the store. */
class BatchEventsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BatchEventsTest);
  CPPUNIT_TEST(KeysRoundTripInOrder);
  CPPUNIT_TEST(BatchTellsProgressOfItsJobs);
  CPPUNIT_TEST(UnreadableBatchIsNotKnown);
  CPPUNIT_TEST(RemovedBatchIsForgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeysRoundTripInOrder() {
    const std::string key = keys::MakeBatchKey(kBatch);
    CPPUNIT_ASSERT(keys::ParseBatchKey(key) == kBatch);
    CPPUNIT_ASSERT(key < keys::MakeBatchKey({core::FencingToken(1234), 1000}));
    CPPUNIT_ASSERT(key < keys::MakeBatchKey({core::FencingToken(10000), 1}));
    CPPUNIT_ASSERT(key < keys::JobPrefix(kJob));
    for (const std::string& other :
         {key + "0", key.substr(0, key.size() - 1), keys::JobPrefix(kJob),
          std::string(keys::kLeader), std::string(keys::kBatchPrefix)}) {
      CPPUNIT_ASSERT(!keys::ParseBatchKey(other));
    }
    std::string with_sign = key;
    with_sign[with_sign.size() - 20] = '+';
    CPPUNIT_ASSERT(!keys::ParseBatchKey(with_sign));
  }

  void BatchTellsProgressOfItsJobs() {
    job::ProgressWrite write;
    write.id = kJob;
    write.progress.state = job::JobState::kRunning;
    const auto events =
        Decode(adapters::records::EncodeBatch({write}), core::Revision(77));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
    const auto& stored =
        std::get<job::ProgressStored>(std::get<job::JobEvent>(events[0]));
    CPPUNIT_ASSERT(stored.id == kJob);
    CPPUNIT_ASSERT(stored.revision == core::Revision(77));
    CPPUNIT_ASSERT(stored.batch == kBatch);
    CPPUNIT_ASSERT(std::get<job::BatchStored>(events[1]).id == kBatch);
  }

  // A leader removes only batches that it knows.
  void UnreadableBatchIsNotKnown() {
    CPPUNIT_ASSERT(Decode("no record", core::Revision(77)).empty());
  }

  void RemovedBatchIsForgotten() {
    const auto events = Decode(std::nullopt, core::Revision(78));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
    CPPUNIT_ASSERT(std::get<job::BatchRemoved>(events[0]).id == kBatch);
  }

 private:
  std::vector<manager::StoreEvent> Decode(std::optional<std::string> value,
                                          core::Revision revision) {
    std::vector<KvItem> items;
    items.push_back({keys::MakeBatchKey(kBatch), std::move(value), revision});
    return DecodeEvents(std::move(items), m_logger);
  }

  test::NullLogger m_logger;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(BatchEventsTest, "platform");

}  // namespace
