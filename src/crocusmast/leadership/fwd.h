#ifndef CROCUSMAST_LEADERSHIP_FWD_H_
#define CROCUSMAST_LEADERSHIP_FWD_H_

namespace crocusmast::leadership {

class LeaderLease;
class LeaderElector;
class LeasePort;
struct LeaseTimings;

}  // namespace crocusmast::leadership

#endif  // CROCUSMAST_LEADERSHIP_FWD_H_
