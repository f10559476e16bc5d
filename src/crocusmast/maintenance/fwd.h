#ifndef CROCUSMAST_MAINTENANCE_FWD_H_
#define CROCUSMAST_MAINTENANCE_FWD_H_

namespace crocusmast::maintenance {

class LeaseStore;
class PeerPort;
class PlatformPort;
class Service;
class Wave;
class WaveStore;
struct WaveItem;

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_FWD_H_
