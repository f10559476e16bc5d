#ifndef CROCUSMAST_ADAPTERS_FWD_H_
#define CROCUSMAST_ADAPTERS_FWD_H_

namespace crocusmast::adapters {

class AdminServer;
class BoostLogger;
class CallerServer;
class MembershipClient;
class MetricsRegistry;
class PeerMessenger;
class PeerTransport;
class PlatformClient;
class ChangeStoreClient;
class StoreHttpClient;
class TargetClient;
class WaveStoreClient;

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_FWD_H_
