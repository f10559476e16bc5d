#ifndef CROCUSMAST_UPKEEP_MACHINE_PORT_H_
#define CROCUSMAST_UPKEEP_MACHINE_PORT_H_

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::upkeep {

/** @brief State of a machine in the platform. */
enum class MachineState { kUp, kMoving, kMaintenance, kDown };

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
  /** @brief Time in which the whole wave should finish. */
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

/**
 * @brief Complete list of the platform's machines; is_known is false if the
 * call failed.
 */
struct MachineListReceived {
  bool is_known = false;
  std::vector<Machine> machines;
};
/** @brief Reply to a machine command. */
struct MachineCommandReply {
  core::MachineId machine;
  MachineCommandOutcome outcome = MachineCommandOutcome::kUnknown;
};
/** @brief Reply to a write of a wave's status. */
struct WaveStatusReply {
  core::WaveNumber wave;
  bool is_done = false;
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
  virtual void List() = 0;
  /**
   * @brief Moves a machine to another pool; this ends everything that runs on
   * it.
   */
  virtual void Move(core::FencingToken token,
                    const core::MachineId& machine,
                    const core::PoolId& pool) = 0;
  /**
   * @brief Takes a machine down for maintenance; this ends everything that runs
   * on it.
   */
  virtual void TakeDown(core::FencingToken token,
                        const core::MachineId& machine,
                        core::WaveNumber wave) = 0;
  /** @brief Stores whether a wave is done; the reply is WaveStatusReply. */
  virtual void WriteWaveStatus(core::FencingToken token,
                               core::WaveNumber wave,
                               bool is_done) = 0;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_MACHINE_PORT_H_
