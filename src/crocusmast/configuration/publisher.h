#ifndef CROCUSMAST_CONFIGURATION_PUBLISHER_H_
#define CROCUSMAST_CONFIGURATION_PUBLISHER_H_

#include <memory>

#include "crocusmast/configuration/change.h"

namespace crocusmast::configuration {

/** @brief Tells the rest of the process which lists are in force. */
class Publisher {
 public:
  virtual ~Publisher() = default;
  /**
   * @brief Hands on the lists in force.
   * @param revision Their revision.
   * @param lists The lists.
   */
  virtual void InForce(core::Revision revision,
                       std::shared_ptr<const Lists> lists) = 0;
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_PUBLISHER_H_
