#ifndef CROCUSMAST_UPKEEP_FWD_H_
#define CROCUSMAST_UPKEEP_FWD_H_

namespace crocusmast::upkeep {

class MachinePort;
class MachineWave;
struct Machine;
struct WaveRequest;

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_FWD_H_
