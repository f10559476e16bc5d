#ifndef CROCUSMAST_ROUTING_FWD_H_
#define CROCUSMAST_ROUTING_FWD_H_

namespace crocusmast::routing {

class Circuit;
class Driver;
class PeerLoads;
class Placements;
class PeerCalls;
class PeerNews;
class RetryBudget;
class Router;
class ShareBook;
class ShareBorrower;
class ShareLender;
class Table;
class TargetPort;
class WaitQueue;

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_FWD_H_
