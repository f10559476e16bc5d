#ifndef CROCUSMAST_EXECUTION_FWD_H_
#define CROCUSMAST_EXECUTION_FWD_H_

namespace crocusmast::execution {

class Worker;
class WorkerPort;
struct LookOrder;
struct StartOrder;
struct StopOrder;
struct WorkerRecord;

}  // namespace crocusmast::execution

#endif  // CROCUSMAST_EXECUTION_FWD_H_
