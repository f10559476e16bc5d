#ifndef CROCUSMAST_ADAPTERS_METRICS_REGISTRY_H_
#define CROCUSMAST_ADAPTERS_METRICS_REGISTRY_H_

#include <functional>
#include <memory>
#include <string>

#include "crocusmast/core/meter.h"

namespace crocusmast::adapters {

/** @brief Collects counters, histograms and gauges and formats them as text. */
class MetricsRegistry final : public core::Meter {
 public:
  /** @brief Creates a registry without gauges, with all values at zero. */
  static std::unique_ptr<MetricsRegistry> Create();

  ~MetricsRegistry() override;

  void Add(core::Counter counter, std::uint64_t amount) override;
  void Observe(core::Timing timing, core::Duration value) override;
  void ObserveSize(core::Size size, std::uint64_t bytes) override;

  /** @brief Returns the current value of a gauge. */
  using ReadGauge = std::function<double()>;

  /**
   * @brief Registers a gauge that is read when the metrics are formatted.
   * @param name Name of the metric without the prefix "crocusmast_", with its
   * labels.
   * @param read Returns the value; called on the thread that calls Format.
   */
  void AddGauge(std::string name, ReadGauge read);

  /** @brief Formats all metrics in the Prometheus text format. */
  std::string Format() const;

 private:
  struct State;

  MetricsRegistry();

  std::unique_ptr<State> m_state;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_METRICS_REGISTRY_H_
