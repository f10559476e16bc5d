#include "crocusmast/intake/store_circuit.h"

namespace crocusmast::intake {

bool StoreCircuit::TryStartProbe() {
  if (IsClosed() || m_is_probing || m_clock.Now() < m_next_probe_at) {
    return false;
  }
  m_is_probing = true;
  return true;
}

void StoreCircuit::EndProbe() {
  m_is_probing = false;
  m_next_probe_at = m_clock.Now() + kProbeInterval;
}

bool StoreCircuit::RecordReply() {
  const bool was_closed = IsClosed();
  m_failures = 0;
  m_last_reply_at = m_clock.Now();
  return !was_closed;
}

bool StoreCircuit::RecordFailure(core::TimePoint sent_at) {
  if (!IsClosed() || sent_at < m_last_reply_at) {
    return false;
  }
  ++m_failures;
  return !IsClosed();
}

}  // namespace crocusmast::intake
