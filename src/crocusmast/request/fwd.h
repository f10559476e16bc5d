#ifndef CROCUSMAST_REQUEST_FWD_H_
#define CROCUSMAST_REQUEST_FWD_H_

namespace crocusmast::request {

class DecisionHistory;
class ClaimRegistry;
class Request;
struct Decision;
struct RequestSpec;

}  // namespace crocusmast::request

#endif  // CROCUSMAST_REQUEST_FWD_H_
