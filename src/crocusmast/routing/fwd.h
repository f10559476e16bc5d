#ifndef CROCUSMAST_ROUTING_FWD_H_
#define CROCUSMAST_ROUTING_FWD_H_

namespace crocusmast::routing {

class CircuitBreaker;
class Driver;
class PeerFreeSlots;
class PlacementResolver;
class PeerCalls;
class PeerNews;
class RetryBudget;
class Router;
class QuotaManager;
class QuotaBorrower;
class QuotaLender;
class Table;
class TargetPort;
class WaitQueue;

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_FWD_H_
