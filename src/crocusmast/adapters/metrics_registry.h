#ifndef CROCUSMAST_ADAPTERS_METRICS_REGISTRY_H_
#define CROCUSMAST_ADAPTERS_METRICS_REGISTRY_H_

#include <functional>
#include <memory>
#include <string>

#include "crocusmast/core/meter.h"

namespace crocusmast::adapters {

/** @brief Keeps counters and histograms and writes them as text. */
class MetricsRegistry final : public core::Meter {
 public:
  /** @brief Makes a registry with all counts at zero. */
  static std::unique_ptr<MetricsRegistry> Create();

  ~MetricsRegistry() override;

  void Add(core::Counter counter, std::uint64_t amount) override;
  void Observe(core::Timing timing, core::Duration value) override;

  /** @brief Reads a gauge. */
  using ReadGauge = std::function<double()>;

  /**
   * @brief Adds a value that is read when the metrics are written.
   * @param name The metric's name with its labels.
   * @param read Reads the value; called on the thread that writes.
   */
  void AddGauge(std::string name, ReadGauge read);

  /** @brief Writes all metrics in the usual text form. */
  std::string Format() const;

 private:
  struct State;

  MetricsRegistry();

  std::unique_ptr<State> m_state;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_METRICS_REGISTRY_H_
