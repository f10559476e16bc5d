#ifndef CROCUSMAST_MANAGER_FWD_H_
#define CROCUSMAST_MANAGER_FWD_H_

namespace crocusmast::manager {

class JobManager;
class RingMonitor;
struct JobManagerPorts;

}  // namespace crocusmast::manager

#endif  // CROCUSMAST_MANAGER_FWD_H_
