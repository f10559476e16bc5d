#ifndef CROCUSMAST_FLEET_FWD_H_
#define CROCUSMAST_FLEET_FWD_H_

namespace crocusmast::fleet {

class Instance;
struct Endpoint;
struct InstanceRecord;

}  // namespace crocusmast::fleet

#endif  // CROCUSMAST_FLEET_FWD_H_
