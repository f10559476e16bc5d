#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "crocusmast/adapters/records/job_records.h"
#include "platform/keys.h"
#include "test/platform/scripted_store.h"
#include "test/platform/scripted_worker.h"
#include "test/platform/test_instance.h"
#include "test/support/busy_loop.h"
#include "test/support/port_fakes.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace platform;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;

/** @brief Time from the write of a cancel until nothing of its job may start,
 * and its runs must have been told to stop. */
constexpr milliseconds kCancelLimit{3000};
constexpr milliseconds kObservedAfterLimit{500};
constexpr milliseconds kBusyTurn{5};
/** @brief Jobs that are stored together when the load begins. */
constexpr int kBurstJobs = 28;
/** @brief Interval at which other instances store jobs after that. */
constexpr milliseconds kJobInterval{28};
constexpr milliseconds kLoadBeforeCancel{1500};
constexpr std::size_t kLargePayload = 3000;
constexpr std::size_t kSmallPayload = 100;
constexpr char kCancelledJob[] = "cancelled";
/** @brief The step whose tasks run until they are stopped. */
constexpr char kLongTaskPrefix[] = "cancelled.0.0.";
constexpr std::uint32_t kLongTasks = 2;

/** @brief Keeps the records that explain a late cancel. */
class RecordingLogger final : public core::Logger {
 public:
  bool IsEnabled(core::Severity severity) const override { return true; }
  void Write(core::LogRecord record) override {
    const std::lock_guard lock(m_mutex);
    if (record.message == "Job cancelled was cancelled.") {
      m_cancelled_at = SteadyClock::now();
    } else if (record.message.find("store connection is lost") !=
               std::string::npos) {
      m_losses.push_back(record.message);
    }
  }
  std::optional<SteadyClock::time_point> CancelledAt() const {
    const std::lock_guard lock(m_mutex);
    return m_cancelled_at;
  }
  std::vector<std::string> Losses() const {
    const std::lock_guard lock(m_mutex);
    return m_losses;
  }

 private:
  mutable std::mutex m_mutex;
  std::optional<SteadyClock::time_point> m_cancelled_at;
  std::vector<std::string> m_losses;
};

/** @brief A scheduling leader with its threads and clients, between a scripted
 * store and a scripted worker. */
class LateCancelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateCancelTest);
  CPPUNIT_TEST(CancelIsInTimeOnIdleLoop);
  CPPUNIT_TEST(CancelIsInTimeOnBusyLoopWithSmallReplies);
  CPPUNIT_TEST(CancelIsInTimeOnBusyLoopWithLargeReplies);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_outside = async::IoThread::Create(1024);
    const std::uint16_t store_port = test::FindFreePort();
    m_scripted_store =
        std::make_unique<test::ScriptedStore>(*m_outside, store_port);
    m_scripted_worker = std::make_unique<test::ScriptedWorker>(
        *m_outside, test::FindFreePort(), [](const std::string& task) {
          return task.rfind(kLongTaskPrefix, 0) == 0
                     ? milliseconds(std::chrono::minutes(1))
                     : milliseconds(100);
        });
    m_outside->Start();
    job::AcceptedJob job =
        MakeJob(kCancelledJob, {MakeStep(kLongTasks), MakeStep(2000)});
    m_scripted_store->Put(
        {{JobKey(kCancelledJob, keys::JobField::kAccepted),
          records::EncodeJob(job)},
         {std::string(keys::kWorkerPrefix) + "worker",
          m_scripted_worker->MembershipEntry("pool", 10000)}});
    m_leader =
        std::make_unique<test::TestInstance>("leader", store_port, m_logger);
    m_leader->Start(MakeCatalog());
  }

  void tearDown() override { Stop(); }

  // A leader without load must stop a cancelled job in time, whatever the size
  // of the store's replies.
  void CancelIsInTimeOnIdleLoop() { CheckCancel(std::nullopt, kLargePayload); }

  // A busy event loop alone must not delay a cancel.
  void CancelIsInTimeOnBusyLoopWithSmallReplies() {
    CheckCancel(kBusyTurn, kSmallPayload);
  }

  // Issue 18: a leader whose watch replies were read too slowly, or timed out,
  // went on starting tasks of a job seconds after its cancel was stored.
  void CancelIsInTimeOnBusyLoopWithLargeReplies() {
    CheckCancel(kBusyTurn, kLargePayload);
  }

 private:
  static std::string JobKey(const std::string& id, keys::JobField field) {
    return keys::MakeJobKey(MakeId<core::JobId>(id), field);
  }

  /** @brief Makes the configuration, with a queue whose pool has no workers. */
  static std::shared_ptr<const queue::QueueCatalog> MakeCatalog() {
    const queue::QueueCatalog catalog = test::MakeQueueCatalog();
    queue::Queue queue = catalog.Queues().begin()->second;
    queue::Pool pool = catalog.Pools().begin()->second;
    queue::Queue other = queue;
    other.id = MakeId<core::QueueId>("other");
    other.prefix = "/other/";
    other.pool = MakeId<core::PoolId>("empty");
    queue::Pool empty = pool;
    empty.id = other.pool;
    return std::make_shared<const queue::QueueCatalog>(
        core::Revision(1), std::vector{queue, other}, std::vector{pool, empty},
        queue::CallerLimits());
  }

  void Stop() {
    if (m_leader) {
      m_leader->Stop();
      m_outside->Stop();
      m_loop.reset();
      m_leader.reset();
    }
  }

  /** @brief Stores jobs of the queue without workers. */
  void StoreOtherJobs(int count, std::size_t payload_bytes) {
    test::ScriptedStore::Items items;
    for (int stored = 0; stored < count; ++stored) {
      const std::string id = "other-" + std::to_string(++m_other_jobs);
      job::AcceptedJob job = MakeJob(id, {MakeStep(1)}, "other");
      job.spec.payload = std::string(payload_bytes, 'x');
      items.emplace_back(JobKey(id, keys::JobField::kAccepted),
                         records::EncodeJob(job));
    }
    m_scripted_store->Put(std::move(items));
  }

  void StoreOtherJobsUntil(SteadyClock::time_point end,
                           std::size_t payload_bytes) {
    for (auto next = SteadyClock::now(); next < end; next += kJobInterval) {
      std::this_thread::sleep_until(next);
      StoreOtherJobs(1, payload_bytes);
    }
  }

  void CheckCancel(std::optional<milliseconds> turn,
                   std::size_t payload_bytes) {
    const auto deadline = SteadyClock::now() + std::chrono::seconds(10);
    while (m_scripted_worker->StartCount() < 50) {
      CPPUNIT_ASSERT_MESSAGE("the leader starts tasks",
                             SteadyClock::now() < deadline);
      std::this_thread::sleep_for(milliseconds(10));
    }
    if (turn) {
      m_loop = std::make_unique<test::BusyLoop>(m_leader->Io(), *turn);
    }
    StoreOtherJobs(kBurstJobs, payload_bytes);
    StoreOtherJobsUntil(SteadyClock::now() + kLoadBeforeCancel, payload_bytes);
    const int starts_before_cancel = m_scripted_worker->StartCount();
    const auto cancelled_at = SteadyClock::now();
    m_scripted_store->Put(
        {{JobKey(kCancelledJob, keys::JobField::kCancelled), "1"}});
    StoreOtherJobsUntil(cancelled_at + kCancelLimit + kObservedAfterLimit,
                        payload_bytes);
    Stop();
    CPPUNIT_ASSERT(starts_before_cancel > 50);
    const auto limit = cancelled_at + kCancelLimit;
    const std::string seen = Explain(cancelled_at);
    for (const auto& start : m_scripted_worker->Starts()) {
      CPPUNIT_ASSERT_MESSAGE(seen, start.at < limit);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, kLongTasks, StoppedLongTasks(limit));
  }

  std::uint32_t StoppedLongTasks(SteadyClock::time_point limit) const {
    std::set<std::string> stopped;
    for (const auto& stop : m_scripted_worker->Stops()) {
      if (stop.task.rfind(kLongTaskPrefix, 0) == 0 && stop.at < limit) {
        stopped.insert(stop.task);
      }
    }
    return static_cast<std::uint32_t>(stopped.size());
  }

  /** @brief Describes what followed the cancel, and how the watch went. */
  std::string Explain(SteadyClock::time_point cancelled_at) const {
    const auto after_cancel = [cancelled_at](SteadyClock::time_point time) {
      return std::to_string(
                 std::chrono::duration_cast<milliseconds>(time - cancelled_at)
                     .count()) +
             " ms after the cancel";
    };
    const auto& starts = m_scripted_worker->Starts();
    const auto late =
        std::count_if(starts.begin(), starts.end(), [&](const auto& start) {
          return start.at >= cancelled_at + kCancelLimit;
        });
    std::string seen = std::to_string(late) + " late starts, the last start " +
                       after_cancel(starts.back().at) + "; the leader " +
                       (m_logger.CancelledAt()
                            ? "read it " + after_cancel(*m_logger.CancelledAt())
                            : "did not read it") +
                       "; watch replies in KB:";
    for (const std::size_t bytes :
         m_scripted_store->WatchReplyBytes(keys::kSystemPrefix)) {
      // The small replies carry only the leader's own commits.
      if (bytes >= 10240) {
        seen += " " + std::to_string(bytes / 1024);
      }
    }
    for (const std::string& loss : m_logger.Losses()) {
      seen += "; " + loss;
    }
    return seen;
  }

  RecordingLogger m_logger;
  std::unique_ptr<async::IoThread> m_outside;
  std::unique_ptr<test::ScriptedStore> m_scripted_store;
  std::unique_ptr<test::ScriptedWorker> m_scripted_worker;
  std::unique_ptr<test::TestInstance> m_leader;
  std::unique_ptr<test::BusyLoop> m_loop;
  int m_other_jobs = 0;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LateCancelTest, "platform");

}  // namespace
