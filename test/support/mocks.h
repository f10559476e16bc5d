#ifndef TEST_SUPPORT_MOCKS_H_
#define TEST_SUPPORT_MOCKS_H_

#include <algorithm>
#include <mutex>
#include <string>
#include <trompeloeil.hpp>
#include <utility>
#include <vector>

#include "crocusmast/configuration/change_store.h"
#include "crocusmast/configuration/configuration_listener.h"
#include "crocusmast/configuration/peer_port.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/membership/membership_listener.h"
#include "crocusmast/routing/peer_port.h"
#include "crocusmast/routing/target_leaving_listener.h"
#include "crocusmast/routing/target_port.h"

namespace test {

namespace core = crocusmast::core;
namespace configuration = crocusmast::configuration;
namespace membership = crocusmast::membership;
namespace request = crocusmast::request;
namespace routing = crocusmast::routing;
namespace fleet = crocusmast::fleet;

/** @brief Discards all log records. */
class NullLogger final : public core::Logger {
 public:
  bool IsEnabled(core::Severity severity) const override { return false; }
  void Write(core::LogRecord record) override {}
};

/** @brief Keeps the log records, so that a test can read their fields. */
class RecordingLogger final : public core::Logger {
 public:
  bool IsEnabled(core::Severity severity) const override { return true; }
  void Write(core::LogRecord record) override {
    records.push_back(std::move(record));
  }

  /**
   * @brief Returns a field of the last record of an event.
   * @param event The value of the field "event".
   * @param name The name of the field.
   * @return The field's value; empty if there is none.
   */
  std::string Field(const std::string& event, const std::string& name) const {
    std::string value;
    for (const core::LogRecord& record : records) {
      if (FieldOf(record, "event") == event) {
        value = FieldOf(record, name);
      }
    }
    return value;
  }

  /** @brief Returns the number of records of an event. */
  std::size_t Count(const std::string& event) const {
    return static_cast<std::size_t>(
        std::count_if(records.begin(), records.end(),
                      [&event](const core::LogRecord& record) {
                        return FieldOf(record, "event") == event;
                      }));
  }

  std::vector<core::LogRecord> records;

 private:
  static std::string FieldOf(const core::LogRecord& record,
                             const std::string& name) {
    for (const core::LogField& field : record.fields) {
      if (field.name == name) {
        return field.value;
      }
    }
    return "";
  }
};

/** @brief Records the counters, so that a test can read them. */
class CountingMeter final : public core::Meter {
 public:
  void Add(core::Counter counter, std::uint64_t amount) override {
    m_counts[static_cast<std::size_t>(counter)] += amount;
  }
  void Observe(core::Timing timing, core::Duration value) override {}
  void ObserveSize(core::Size size, std::uint64_t bytes) override {}
  std::uint64_t Count(core::Counter counter) const {
    return m_counts[static_cast<std::size_t>(counter)];
  }

 private:
  std::uint64_t m_counts[static_cast<std::size_t>(core::Counter::kCount)] = {};
};

/** @brief Keeps the values of the histograms; may be called on any thread. */
class RecordingMeter final : public core::Meter {
 public:
  void Add(core::Counter counter, std::uint64_t amount) override {}
  void Observe(core::Timing timing, core::Duration value) override {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_timings[static_cast<std::size_t>(timing)].push_back(value);
  }
  void ObserveSize(core::Size size, std::uint64_t bytes) override {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_sizes[static_cast<std::size_t>(size)].push_back(bytes);
  }
  /** @brief Returns the values of a histogram in the order of arrival. */
  std::vector<core::Duration> Values(core::Timing timing) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_timings[static_cast<std::size_t>(timing)];
  }
  /** @brief Returns the sizes of a histogram in the order of arrival. */
  std::vector<std::uint64_t> Sizes(core::Size size) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_sizes[static_cast<std::size_t>(size)];
  }

 private:
  mutable std::mutex m_mutex;
  std::vector<core::Duration>
      m_timings[static_cast<std::size_t>(core::Timing::kCount)];
  std::vector<std::uint64_t>
      m_sizes[static_cast<std::size_t>(core::Size::kCount)];
};

class MockChangeStore : public configuration::ChangeStore {
 public:
  MAKE_MOCK1(
      Append,
      core::Result<configuration::AppendOutcome>(const configuration::Change&),
      override);
  MAKE_MOCK2(ReadAfter,
             core::Result<std::vector<configuration::Change>>(core::Revision,
                                                              core::Duration),
             override);
  MAKE_MOCK0(ReadSnapshot,
             core::Result<std::optional<configuration::Snapshot>>(),
             override);
  MAKE_MOCK1(WriteSnapshot,
             core::Result<void>(const configuration::Snapshot&),
             override);
};

class MockConfigurationPeerPort : public configuration::PeerPort {
 public:
  MAKE_MOCK1(BroadcastChange, void(const configuration::Change&), override);
  MAKE_MOCK2(RequestChanges,
             void(const core::InstanceId&, core::Revision),
             override);
  MAKE_MOCK2(SendChanges,
             void(const core::InstanceId&,
                  const std::vector<configuration::Change>&),
             override);
  MAKE_MOCK2(SendSnapshot,
             void(const core::InstanceId&, const configuration::Snapshot&),
             override);
};

class MockConfigurationListener : public configuration::ConfigurationListener {
 public:
  MAKE_MOCK2(OnConfigurationChanged,
             void(core::Revision,
                  std::shared_ptr<const configuration::PlanLists>),
             override);
};

class MockPeerNotifier : public routing::PeerNotifier {
 public:
  MAKE_MOCK2(SendFreeSlots,
             void(const std::vector<core::InstanceId>&,
                  const std::vector<routing::PoolFreeSlots>&),
             override);
  MAKE_MOCK2(SendQuotaDemand,
             void(const core::InstanceId&, const routing::QuotaDemand&),
             override);
  MAKE_MOCK1(SendQuotaGrant, void(const routing::OutgoingGrant&), override);
  MAKE_MOCK3(SendClaimReply,
             void(const core::InstanceId&,
                  routing::CallNumber,
                  request::ClaimOutcome),
             override);
  MAKE_MOCK2(SendTargetRelease,
             void(const std::vector<core::InstanceId>&,
                  const routing::ReleasedTarget&),
             override);
  MAKE_MOCK3(SendIdleReply,
             void(const core::InstanceId&, const core::InstanceId&, bool),
             override);
  MAKE_MOCK3(SendClaimRelease,
             void(const core::InstanceId&,
                  const core::RequestId&,
                  const request::ClaimToken&),
             override);
};

class MockPeerClient : public routing::PeerClient {
 public:
  MAKE_MOCK4(Forward,
             routing::AttemptResult(const core::InstanceId&,
                                    const request::RequestSpec&,
                                    const std::string&,
                                    core::Duration),
             override);
  MAKE_MOCK4(Claim,
             std::optional<request::ClaimOutcome>(const core::InstanceId&,
                                                  const core::RequestId&,
                                                  const request::ClaimToken&,
                                                  core::Duration),
             override);
};

class MockTargetPort : public routing::TargetPort {
 public:
  MAKE_MOCK5(Send,
             routing::AttemptResult(const core::InstanceId&,
                                    const fleet::Endpoint&,
                                    const request::RequestSpec&,
                                    const std::string&,
                                    core::Duration),
             override);
};

class MockTargetLeavingListener : public routing::TargetLeavingListener {
 public:
  MAKE_MOCK1(OnTargetLeaving, void(const core::InstanceId&), override);
};

}  // namespace test

#endif  // TEST_SUPPORT_MOCKS_H_
