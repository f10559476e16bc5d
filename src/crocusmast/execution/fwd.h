#ifndef CROCUSMAST_EXECUTION_FWD_H_
#define CROCUSMAST_EXECUTION_FWD_H_

namespace crocusmast::execution {

class Worker;
class WorkerPort;
struct PollCommand;
struct StartCommand;
struct StopCommand;
struct WorkerRecord;

}  // namespace crocusmast::execution

#endif  // CROCUSMAST_EXECUTION_FWD_H_
