#include "crocusmast/adapters/metrics_registry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>

namespace {

using namespace crocusmast;

class MetricsRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsRegistryTest);
  CPPUNIT_TEST(LabelsOfAHistogramStandOnEachLine);
  CPPUNIT_TEST(SizesAreFormattedAsBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LabelsOfAHistogramStandOnEachLine() {
    m_registry->Observe(core::Timing::kManagerRingWait,
                        std::chrono::milliseconds(250));
    const std::string text = m_registry->Format();
    CPPUNIT_ASSERT(Contains(text,
                            "crocusmast_ring_wait_seconds_bucket"
                            "{duty=\"manager\",le=\"+Inf\"} 1\n"));
    CPPUNIT_ASSERT(Contains(
        text, "crocusmast_ring_wait_seconds_count{duty=\"manager\"} 1\n"));
    CPPUNIT_ASSERT(Contains(
        text, "crocusmast_ring_wait_seconds_sum{duty=\"manager\"} 0.25\n"));
    CPPUNIT_ASSERT(Contains(
        text, "crocusmast_ring_wait_seconds_count{duty=\"network\"} 0\n"));
    CPPUNIT_ASSERT(
        Contains(text, "crocusmast_request_seconds_bucket{le=\"+Inf\"} 0\n"));
  }

  void SizesAreFormattedAsBytes() {
    m_registry->ObserveSize(core::Size::kStoreWatchReply, 40000);
    m_registry->ObserveSize(core::Size::kStoreWatchReply, 100);
    const std::string text = m_registry->Format();
    CPPUNIT_ASSERT(
        Contains(text, "crocusmast_store_watch_reply_bytes_count 2\n"));
    CPPUNIT_ASSERT(
        Contains(text, "crocusmast_store_watch_reply_bytes_sum 40100\n"));
    CPPUNIT_ASSERT(Contains(
        text, "crocusmast_store_watch_reply_bytes_bucket{le=\"128\"} 1\n"));
  }

 private:
  static bool Contains(const std::string& text, const std::string& line) {
    return text.find(line) != std::string::npos;
  }

  std::unique_ptr<adapters::MetricsRegistry> m_registry =
      adapters::MetricsRegistry::Create();
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(MetricsRegistryTest, "adapters");

}  // namespace
