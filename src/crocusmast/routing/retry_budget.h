#ifndef CROCUSMAST_ROUTING_RETRY_BUDGET_H_
#define CROCUSMAST_ROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace crocusmast::routing {

/** @brief Bounds retries to a share of the requests. */
class RetryBudget {
 public:
  /** @brief Retries earned by each request. */
  static constexpr double kRetriesPerRequest = 0.1;
  /** @brief The most retries saved up. */
  static constexpr double kMaxBalance = 32;

  /** @brief Counts a request. */
  void Deposit() {
    m_balance = std::min(m_balance + kRetriesPerRequest, kMaxBalance);
  }

  /**
   * @brief Spends one retry.
   * @return False if none is saved.
   */
  bool TryWithdraw() {
    if (m_balance < 1) {
      return false;
    }
    m_balance -= 1;
    return true;
  }

 private:
  double m_balance = kMaxBalance;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_RETRY_BUDGET_H_
