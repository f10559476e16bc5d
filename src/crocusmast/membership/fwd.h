#ifndef CROCUSMAST_MEMBERSHIP_FWD_H_
#define CROCUSMAST_MEMBERSHIP_FWD_H_

namespace crocusmast::membership {

class MembershipList;
class Roster;
class Listener;
class Service;
struct ListUpdate;
struct RosterView;

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_FWD_H_
