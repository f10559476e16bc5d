#ifndef CROCUSMAST_LEADERSHIP_FWD_H_
#define CROCUSMAST_LEADERSHIP_FWD_H_

namespace crocusmast::leadership {

class DutyLease;
class Elector;
class LeasePort;
struct LeaseTerms;

}  // namespace crocusmast::leadership

#endif  // CROCUSMAST_LEADERSHIP_FWD_H_
