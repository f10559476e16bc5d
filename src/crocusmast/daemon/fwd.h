#ifndef CROCUSMAST_DAEMON_FWD_H_
#define CROCUSMAST_DAEMON_FWD_H_

namespace crocusmast::daemon {

class Daemon;
class UpdateDispatcher;
struct Settings;

}  // namespace crocusmast::daemon

#endif  // CROCUSMAST_DAEMON_FWD_H_
