#ifndef CROCUSMAST_MEMBERSHIP_FWD_H_
#define CROCUSMAST_MEMBERSHIP_FWD_H_

namespace crocusmast::membership {

class MembershipSource;
class MembershipTable;
class MembershipListener;
class Service;
struct MembershipUpdate;
struct MembershipView;

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_FWD_H_
