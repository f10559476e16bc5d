#ifndef CROCUSMAST_QUEUE_FWD_H_
#define CROCUSMAST_QUEUE_FWD_H_

namespace crocusmast::queue {

class QueueCatalog;
struct Pool;
struct Queue;

}  // namespace crocusmast::queue

#endif  // CROCUSMAST_QUEUE_FWD_H_
