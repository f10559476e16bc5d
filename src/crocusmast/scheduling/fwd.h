#ifndef CROCUSMAST_SCHEDULING_FWD_H_
#define CROCUSMAST_SCHEDULING_FWD_H_

namespace crocusmast::scheduling {

class Committer;
class InheritedWorkers;
class JobMonitor;
class MachineEvidence;
class RunMonitor;
class RunTimeEstimator;
class Scheduler;

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_FWD_H_
