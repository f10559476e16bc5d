#ifndef CROCUSMAST_CLI_FWD_H_
#define CROCUSMAST_CLI_FWD_H_

namespace crocusmast::cli {

class AdminClient;
class Table;
struct Arguments;

}  // namespace crocusmast::cli

#endif  // CROCUSMAST_CLI_FWD_H_
