#ifndef CROCUSMAST_UPKEEP_MACHINE_PORT_H_
#define CROCUSMAST_UPKEEP_MACHINE_PORT_H_

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::upkeep {

/** @brief What a machine is doing. */
enum class MachineState { kUp, kMoving, kUpkeep, kDown };

/** @brief A machine as the platform lists it. */
struct Machine {
  core::MachineId id;
  core::PoolId pool;
  MachineState state = MachineState::kDown;
  /** @brief The worker that lives on it; empty for none. */
  core::InstanceId worker;
};

/** @brief An operator's request that machines get their upkeep. */
struct WaveRequest {
  core::WaveNumber number;
  std::vector<core::MachineId> machines;
  /** @brief The most machines that may be down for it at once. */
  std::uint32_t cap = 1;
  /** @brief How long the whole wave may take. */
  std::chrono::milliseconds time{};
};

/** @brief How a call about a machine went. */
enum class MachineOutcome {
  /** @brief It is done, or was done before. */
  kDone,
  /** @brief The machine is not up, or is leaving. */
  kBusy,
  /** @brief A holder with a higher token has given orders. */
  kFenced,
  /** @brief The machine is not of this wave, or does not exist. */
  kNotOfWave,
  /** @brief Nothing was done. */
  kRefused,
  /** @brief No answer; it may have been done. */
  kUnknown,
};

/**
 * @brief Names an outcome for logs.
 * @param outcome The outcome.
 */
constexpr std::string_view MachineOutcomeName(MachineOutcome outcome) {
  switch (outcome) {
    case MachineOutcome::kDone:
      return "done";
    case MachineOutcome::kBusy:
      return "busy";
    case MachineOutcome::kFenced:
      return "fenced";
    case MachineOutcome::kNotOfWave:
      return "not of this wave";
    case MachineOutcome::kRefused:
      return "refused";
    case MachineOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

/** @brief The platform's machines, whole; absent after a failure. */
struct MachinesListed {
  bool is_known = false;
  std::vector<Machine> machines;
};
/** @brief The answer to an order about a machine. */
struct MachineReplied {
  core::MachineId machine;
  MachineOutcome outcome = MachineOutcome::kUnknown;
};
/** @brief The answer to a write of a wave's state. */
struct StatusWritten {
  core::WaveNumber wave;
  bool is_done = false;
  bool is_stored = false;
};
/** @brief The operator asks for a wave. */
struct WaveAsked {
  WaveRequest wave;
};
/** @brief The operator no longer asks for a wave. */
struct WaveRemoved {
  core::WaveNumber number;
};

/** @brief Gives orders about machines; answers come back as messages. */
class MachinePort {
 public:
  virtual ~MachinePort() = default;
  /** @brief Asks for all machines; answered by MachinesListed. */
  virtual void List() = 0;
  /** @brief Moves a machine to a pool; ends all that runs there. */
  virtual void Move(core::FencingToken token,
                    const core::MachineId& machine,
                    const core::PoolId& pool) = 0;
  /** @brief Takes a machine down for its upkeep; ends all that runs there. */
  virtual void TakeDown(core::FencingToken token,
                        const core::MachineId& machine,
                        core::WaveNumber wave) = 0;
  /** @brief Says how far a wave is; answered by StatusWritten. */
  virtual void WriteStatus(core::FencingToken token,
                           core::WaveNumber wave,
                           bool is_done) = 0;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_MACHINE_PORT_H_
