#ifndef CROCUSMAST_FLEET_INSTANCE_H_
#define CROCUSMAST_FLEET_INSTANCE_H_

#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::fleet {

/** @brief Effect of a report on the state of an instance. */
enum class InstanceEvent {
  /** @brief The instance is in the same state as before. */
  kUnchanged,
  /** @brief The record of a live instance was updated. */
  kUpdated,
  /** @brief The instance has started to leave. */
  kStartedLeaving,
  /** @brief A newer incarnation has replaced the instance. */
  kReplaced,
};

/**
 * @brief State of an instance as reported by several sources.
 *
 * Within one incarnation, an instance that is leaving stays in this state, even
 * if an outdated source still reports it as live.
 */
class Instance {
 public:
  /**
   * @brief Creates an instance from its first report.
   * @param record First report.
   */
  explicit Instance(InstanceRecord record);

  /** @brief Returns the current record. */
  const InstanceRecord& Record() const { return m_record; }

  /** @brief Tells whether the instance accepts new work. */
  bool IsLive() const { return m_record.state == InstanceState::kLive; }

  /**
   * @brief Applies a report of the membership list.
   * @param record Report to apply.
   * @return The effect; a report of an older incarnation has none.
   */
  InstanceEvent ApplyReport(const InstanceRecord& record);

  /**
   * @brief Marks the instance as leaving.
   * @param incarnation Incarnation that the source refers to.
   * @return The effect; none for another incarnation.
   */
  InstanceEvent SetLeaving(core::Incarnation incarnation);

 private:
  InstanceRecord m_record;
};

}  // namespace crocusmast::fleet

#endif  // CROCUSMAST_FLEET_INSTANCE_H_
