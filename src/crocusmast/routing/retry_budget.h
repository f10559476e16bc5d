#ifndef CROCUSMAST_ROUTING_RETRY_BUDGET_H_
#define CROCUSMAST_ROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace crocusmast::routing {

/** @brief Limits retries to a proportion of the requests. */
class RetryBudget {
 public:
  /** @brief Retries that each request adds to the budget. */
  static constexpr double kRetriesPerRequest = 0.1;
  /** @brief The largest balance. */
  static constexpr double kMaxBalance = 32;

  /** @brief Adds to the budget for one request. */
  void Deposit() {
    m_balance = std::min(m_balance + kRetriesPerRequest, kMaxBalance);
  }

  /**
   * @brief Takes one retry from the budget.
   * @return False if the budget is exhausted.
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
