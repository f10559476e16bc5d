#ifndef CROCUSMAST_CONFIGURATION_CONFIGURATION_LISTENER_H_
#define CROCUSMAST_CONFIGURATION_CONFIGURATION_LISTENER_H_

#include <memory>

#include "crocusmast/configuration/change.h"

namespace crocusmast::configuration {

/** @brief Receives notifications of changes of the current plan lists. */
class ConfigurationListener {
 public:
  virtual ~ConfigurationListener() = default;
  /**
   * @brief Called when a new revision of the lists takes effect.
   * @param revision Revision of the lists.
   * @param lists Current lists.
   */
  virtual void OnConfigurationChanged(
      core::Revision revision,
      std::shared_ptr<const PlanLists> lists) = 0;
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_CONFIGURATION_LISTENER_H_
