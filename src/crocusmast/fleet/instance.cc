#include "crocusmast/fleet/instance.h"

#include <utility>

namespace crocusmast::fleet {

Instance::Instance(InstanceRecord record) : m_record(std::move(record)) {}

InstanceEvent Instance::ApplyReport(const InstanceRecord& record) {
  if (record.incarnation < m_record.incarnation) {
    return InstanceEvent::kUnchanged;
  }
  if (m_record.incarnation < record.incarnation) {
    m_record = record;
    return InstanceEvent::kReplaced;
  }
  const bool was_live = IsLive();
  m_record = record;
  if (!was_live) {
    m_record.state = InstanceState::kLeaving;
    return InstanceEvent::kUnchanged;
  }
  return IsLive() ? InstanceEvent::kUpdated : InstanceEvent::kStartedLeaving;
}

InstanceEvent Instance::SetLeaving(core::Incarnation incarnation) {
  if (incarnation != m_record.incarnation || !IsLive()) {
    return InstanceEvent::kUnchanged;
  }
  m_record.state = InstanceState::kLeaving;
  return InstanceEvent::kStartedLeaving;
}

}  // namespace crocusmast::fleet
