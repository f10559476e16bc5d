#ifndef CROCUSMAST_CONFIGURATION_FWD_H_
#define CROCUSMAST_CONFIGURATION_FWD_H_

namespace crocusmast::configuration {

class ChangeStore;
class Configuration;
class PlanLists;
class PeerPort;
class ConfigurationListener;
class Service;
struct Allowance;
struct Change;
struct Edit;
struct Plan;
struct RowChange;
struct RowKey;
struct Snapshot;

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_FWD_H_
