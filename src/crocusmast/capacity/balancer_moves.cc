#include <iterator>
#include <utility>

#include "crocusmast/capacity/balancer.h"

// Moves of machines, and the workers that they drain.

namespace crocusmast::capacity {

using upkeep::MachineCommandOutcome;
using upkeep::MachineState;

void Balancer::RemoveFinishedMoves() {
  for (auto move = m_moves.begin(); move != m_moves.end();) {
    const auto machine = m_machines.find(move->first);
    // A machine that is up elsewhere after the move was moved again by others.
    const bool has_arrived =
        move->second.is_done && machine != m_machines.end() &&
        machine->second.state == MachineState::kUp &&
        (machine->second.pool == move->second.to ||
         move->second.done_at + kMaxMoveDelay <= m_list_sent_at);
    const bool is_finished = machine == m_machines.end() || has_arrived;
    move = is_finished ? m_moves.erase(move) : std::next(move);
  }
}

void Balancer::Handle(const upkeep::MachineCommandReply& reply) {
  const auto move = m_moves.find(reply.machine);
  if (!m_is_active || reply.wave || move == m_moves.end() ||
      move->second.is_done) {
    return;
  }
  const core::TimePoint now = m_ports.clock.Now();
  switch (reply.outcome) {
    case MachineCommandOutcome::kDone:
      move->second.is_done = true;
      move->second.done_at = now;
      m_idle_since.erase(reply.machine);
      break;
    case MachineCommandOutcome::kUnknown:
      move->second.unanswered_until = now + kMaxMoveDelay;
      break;
    case MachineCommandOutcome::kBusy:
    case MachineCommandOutcome::kFenced:
    case MachineCommandOutcome::kNotInWave:
    case MachineCommandOutcome::kRefused:
      HandleRejection(reply.machine, reply.outcome);
      break;
  }
}

// The machine stays where it is, so that its worker is used again, unless an
// earlier request may have taken effect.
void Balancer::HandleRejection(const core::MachineId& machine,
                               MachineCommandOutcome outcome) {
  Move& move = m_moves.at(machine);
  const bool is_overload = outcome == MachineCommandOutcome::kRefused;
  if (outcome == MachineCommandOutcome::kNotInWave) {
    m_invalid_moves[{move.from, move.to}].insert(machine);
  }
  m_cooldown_until[machine] =
      m_ports.clock.Now() +
      (is_overload ? kMoveRetryInterval : kFailedMoveCooldown);
  move.is_rejected = true;
  Log("Move of machine " + machine.Text() + " to pool " + move.to.Text() +
          " was rejected: " +
          std::string(upkeep::MachineCommandOutcomeName(outcome)) + ".",
      {{"event", "move_rejected"},
       {"machine", machine.Text()},
       {"to", move.to.Text()},
       {"outcome", std::string(upkeep::MachineCommandOutcomeName(outcome))}});
  RemoveRejectedMoves();
}

void Balancer::RemoveRejectedMoves() {
  const core::TimePoint now = m_ports.clock.Now();
  for (auto move = m_moves.begin(); move != m_moves.end();) {
    const bool is_over =
        move->second.is_rejected && move->second.unanswered_until <= now;
    move = is_over ? m_moves.erase(move) : std::next(move);
  }
}

bool Balancer::IsBanned(const core::PoolId& from,
                        const core::PoolId& to) const {
  const auto invalid = m_invalid_moves.find({from, to});
  return invalid != m_invalid_moves.end() &&
         kInvalidMovesBeforeBan <= invalid->second.size();
}

std::set<core::InstanceId> Balancer::DrainedWorkers() const {
  std::set<core::InstanceId> workers;
  for (const auto& [machine, move] : m_moves) {
    workers.insert(move.worker);
  }
  return workers;
}

void Balancer::MoveMachine(PoolView& from, PoolView& to, const char* reason) {
  const core::MachineId id = from.idle.back();
  from.idle.pop_back();
  --from.machines;
  ++to.machines;
  from.deficit += 1;
  from.steady_deficit += 1;
  to.deficit -= 1;
  to.steady_deficit -= 1;
  m_idle_since.erase(id);
  const core::InstanceId worker = m_machines[id].worker;
  if (!worker.IsEmpty()) {
    m_ports.workers.DrainWorker(worker);
  }
  Move& move = m_moves[id];
  move = {};
  move.from = from.load.pool;
  move.to = to.load.pool;
  move.worker = worker;
  const PoolLoad& load = to.load;
  Log("Moving machine " + id.Text() + " from pool " + from.load.pool.Text() +
          " to pool " + load.pool.Text() + ": " + reason + ".",
      {{"event", "machine_sent"},
       {"machine", id.Text()},
       {"from", from.load.pool.Text()},
       {"to", load.pool.Text()},
       {"reason", reason},
       {"waiting_core_seconds", std::to_string(load.waiting_core_seconds)},
       {"arriving_cores", std::to_string(load.arriving_cores)},
       {"running_cores", std::to_string(load.running_cores)},
       {"capacity_cores", std::to_string(load.capacity_cores)}});
  RequestMove(id);
}

void Balancer::RequestAnnouncedMoves(bool is_lease_valid) {
  if (!m_is_active || !is_lease_valid) {
    return;
  }
  for (const auto& [machine, move] : m_moves) {
    if (MayRequest(move) && move.requested_at == core::TimePoint()) {
      RequestMove(machine);
    }
  }
}

bool Balancer::MayRequest(const Move& move) const {
  const bool is_open = !move.is_done && !move.is_rejected;
  const bool was_requested = move.requested_at != core::TimePoint();
  return is_open && (was_requested || move.worker.IsEmpty() ||
                     m_ports.workers.IsConfirmedIdle(move.worker));
}

void Balancer::RequestMove(const core::MachineId& machine) {
  if (!m_ports.machines.Announce(machine)) {
    return;
  }
  Move& move = m_moves.at(machine);
  move.requested_at = m_ports.clock.Now();
  m_ports.machines.Move(m_token, machine, move.to);
}

}  // namespace crocusmast::capacity
