#ifndef CROCUSMAST_CAPACITY_FWD_H_
#define CROCUSMAST_CAPACITY_FWD_H_

namespace crocusmast::capacity {

class Balancer;
class PoolLoadSource;
struct PoolLoad;

}  // namespace crocusmast::capacity

#endif  // CROCUSMAST_CAPACITY_FWD_H_
