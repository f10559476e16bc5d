#ifndef CROCUSMAST_UPKEEP_MACHINE_PORT_H_
#define CROCUSMAST_UPKEEP_MACHINE_PORT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::upkeep {

/** @brief State of a machine in the platform. */
enum class MachineState {
  /** @brief In service. */
  kUp,
  /** @brief Moving to another pool. */
  kMoving,
  /** @brief Down for maintenance. */
  kMaintenance,
  /** @brief Out of service for any other reason. */
  kDown
};

/** @brief Machine as listed by the platform. */
struct Machine {
  core::MachineId id;
  core::PoolId pool;
  MachineState state = MachineState::kDown;
  /** @brief Worker that runs on the machine; empty if there is none. */
  core::InstanceId worker;
};

/** @brief Operator's request to take a set of machines down for maintenance. */
struct WaveRequest {
  core::WaveNumber number;
  std::vector<core::MachineId> machines;
  /** @brief Maximum number of machines that may be down at the same time. */
  std::uint32_t max_machines_down = 1;
  /** @brief Time in which the whole wave should finish; zero for no limit. */
  std::chrono::milliseconds time_limit{};
};

/** @brief Outcome of a machine command. */
enum class MachineCommandOutcome {
  /** @brief The command was executed, by this call or an earlier one. */
  kDone,
  /** @brief The machine is not up, or it is leaving. */
  kBusy,
  /** @brief A leader with a higher fencing token has already sent commands. */
  kFenced,
  /** @brief The machine is not part of the wave, or it does not exist. */
  kNotInWave,
  /** @brief The command was rejected and had no effect. */
  kRefused,
  /** @brief No reply was received; the command may have been executed. */
  kUnknown,
};

/**
 * @brief Returns the name of an outcome for logs.
 * @param outcome Outcome to name.
 */
constexpr std::string_view MachineCommandOutcomeName(
    MachineCommandOutcome outcome) {
  switch (outcome) {
    case MachineCommandOutcome::kDone:
      return "done";
    case MachineCommandOutcome::kBusy:
      return "busy";
    case MachineCommandOutcome::kFenced:
      return "fenced";
    case MachineCommandOutcome::kNotInWave:
      return "not of this wave";
    case MachineCommandOutcome::kRefused:
      return "refused";
    case MachineCommandOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

/** @brief Reply to a request for the list of machines. */
struct MachineListReceived {
  /** @brief False if the call failed. */
  bool is_known = false;
  /** @brief All machines of the platform; empty if the call failed. */
  std::vector<Machine> machines;
  /** @brief When the request was sent; the list is not older. */
  core::TimePoint requested_at;
  /** @brief The list came in one reply, so it shows one moment. */
  bool is_single_page = false;
};
/** @brief Reply to a machine command. */
struct MachineCommandReply {
  core::MachineId machine;
  MachineCommandOutcome outcome = MachineCommandOutcome::kUnknown;
  /** @brief The wave of a take-down command; empty for a move. */
  std::optional<core::WaveNumber> wave{};
};
/** @brief Reply to a write of a wave's status. */
struct WaveStatusReply {
  core::WaveNumber wave;
  /** @brief Status that was to be written. */
  bool is_done = false;
  /** @brief False if the status may not have been stored. */
  bool is_stored = false;
};
/** @brief An operator has requested a wave. */
struct WaveRequested {
  WaveRequest wave;
};
/** @brief An operator has withdrawn a wave. */
struct WaveRemoved {
  core::WaveNumber number;
};

/**
 * @brief Sends machine commands to the platform; replies arrive as messages.
 */
class MachinePort {
 public:
  virtual ~MachinePort() = default;
  /** @brief Requests the list of all machines; the reply is
   * MachineListReceived. */
  virtual void RequestMachineList() = 0;
  /**
   * @brief Moves a machine to another pool, which ends all runs on it; the
   * reply is MachineCommandReply.
   * @param token Fencing token of the leader.
   * @param machine Machine to move.
   * @param pool New pool.
   */
  virtual void Move(core::FencingToken token,
                    const core::MachineId& machine,
                    const core::PoolId& pool) = 0;
  /**
   * @brief Takes a machine down for maintenance, which ends all runs on it; the
   * reply is MachineCommandReply.
   * @param token Fencing token of the leader.
   * @param machine Machine to take down.
   * @param wave Wave that the machine is part of.
   */
  virtual void TakeDown(core::FencingToken token,
                        const core::MachineId& machine,
                        core::WaveNumber wave) = 0;
  /**
   * @brief Stores the status of a wave; the reply is WaveStatusReply.
   * @param token Fencing token of the leader.
   * @param wave Wave to report on.
   * @param is_done True if the wave is done, false if it is running.
   */
  virtual void WriteWaveStatus(core::FencingToken token,
                               core::WaveNumber wave,
                               bool is_done) = 0;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_MACHINE_PORT_H_
