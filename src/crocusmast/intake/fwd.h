#ifndef CROCUSMAST_INTAKE_FWD_H_
#define CROCUSMAST_INTAKE_FWD_H_

namespace crocusmast::intake {

class ResponsePort;
class RequestHandler;
class StoreCircuit;
struct JobResponse;

}  // namespace crocusmast::intake

#endif  // CROCUSMAST_INTAKE_FWD_H_
