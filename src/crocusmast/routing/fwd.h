#ifndef CROCUSMAST_ROUTING_FWD_H_
#define CROCUSMAST_ROUTING_FWD_H_

namespace crocusmast::routing {

class CircuitBreaker;
class RequestExecutor;
class PeerFreeSlots;
class PlacementResolver;
class PeerClient;
class PeerNotifier;
class RetryBudget;
class Router;
class QuotaManager;
class QuotaBorrower;
class QuotaLender;
class TargetTable;
class TargetPort;
class WaitQueue;

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_FWD_H_
