#ifndef CROCUSMAST_FLEET_INSTANCE_H_
#define CROCUSMAST_FLEET_INSTANCE_H_

#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::fleet {

/** @brief What a report changed in an instance's life. */
enum class InstanceEvent {
  kUnchanged,
  kUpdated,
  kLeft,
  kReplaced,
};

/**
 * @brief An instance's life as reported from several sources.
 *
 * Within one incarnation an instance that leaves stays leaving, whatever a
 * lagging source says later.
 */
class Instance {
 public:
  /**
   * @brief Makes an instance from its first report.
   * @param record The report.
   */
  explicit Instance(InstanceRecord record);

  /** @brief Returns what is known. */
  const InstanceRecord& Record() const { return m_record; }

  /** @brief Tells whether the instance takes new work. */
  bool IsLive() const { return m_record.state == InstanceState::kLive; }

  /**
   * @brief Takes in a report of the membership list.
   * @param record The report.
   * @return What changed; a report of an older incarnation changes nothing.
   */
  InstanceEvent Report(const InstanceRecord& record);

  /**
   * @brief Takes in that the instance leaves.
   * @param incarnation The incarnation that the source speaks of.
   * @return What changed.
   */
  InstanceEvent Leave(core::Incarnation incarnation);

 private:
  InstanceRecord m_record;
};

}  // namespace crocusmast::fleet

#endif  // CROCUSMAST_FLEET_INSTANCE_H_
