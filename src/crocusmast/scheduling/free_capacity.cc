#include "crocusmast/scheduling/free_capacity.h"

namespace crocusmast::scheduling {

void FreeCapacity::Update(execution::Worker& worker, bool accepts_tasks) {
  const job::Resources free = worker.FreeResources();
  const core::MilliCores capacity = worker.FreeWithoutFiniteRuns().processor;
  const auto [found, is_new] = m_states.try_emplace(&worker);
  State& state = found->second;
  if (is_new) {
    state.entry.position = ++m_last_position;
    state.entry.worker = &worker;
  } else if (state.entry.free == free.processor &&
             state.finite_capacity == capacity &&
             state.accepts_tasks == accepts_tasks) {
    if (accepts_tasks) {
      m_max_free = ComponentMax(m_max_free, free);
    }
    return;
  } else {
    Subtract(state);
  }
  state.entry.free = free.processor;
  state.accepts_tasks = accepts_tasks;
  state.finite_capacity = capacity;
  state.finite_in_use = capacity - free.processor;
  m_finite_capacity = m_finite_capacity + state.finite_capacity;
  m_finite_in_use = m_finite_in_use + state.finite_in_use;
  if (accepts_tasks) {
    m_accepting.insert(state.entry);
    m_max_free = ComponentMax(m_max_free, free);
  }
}

void FreeCapacity::Remove(const execution::Worker& worker) {
  const auto found = m_states.find(&worker);
  if (found != m_states.end()) {
    Subtract(found->second);
    m_states.erase(found);
  }
}

void FreeCapacity::Subtract(const State& state) {
  m_finite_capacity = m_finite_capacity - state.finite_capacity;
  m_finite_in_use = m_finite_in_use - state.finite_in_use;
  if (state.accepts_tasks) {
    m_accepting.erase(state.entry);
  }
}

job::Resources FreeCapacity::MaxFree() const {
  if (m_accepting.empty()) {
    return {};
  }
  job::Resources most = m_max_free;
  most.processor = m_accepting.rbegin()->free;
  return most;
}

void FreeCapacity::TightenMaxFree() {
  m_max_free = {};
  for (const Entry& entry : m_accepting) {
    m_max_free = ComponentMax(m_max_free, entry.worker->FreeResources());
  }
}

}  // namespace crocusmast::scheduling
