#ifndef CROCUSMAST_ROUTING_RETRY_BUDGET_H_
#define CROCUSMAST_ROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace crocusmast::routing {

/** @brief Bounds retries to a share of the requests. */
class RetryBudget {
 public:
  /** @brief Retries earned by each request. */
  static constexpr double kPerRequest = 0.1;
  /** @brief The most retries saved up. */
  static constexpr double kMost = 32;

  /** @brief Counts a request. */
  void Earn() { m_saved = std::min(m_saved + kPerRequest, kMost); }

  /**
   * @brief Spends one retry.
   * @return False if none is saved.
   */
  bool TrySpend() {
    if (m_saved < 1) {
      return false;
    }
    m_saved -= 1;
    return true;
  }

 private:
  double m_saved = kMost;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_RETRY_BUDGET_H_
