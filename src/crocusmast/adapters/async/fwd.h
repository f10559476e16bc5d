#ifndef CROCUSMAST_ADAPTERS_ASYNC_FWD_H_
#define CROCUSMAST_ADAPTERS_ASYNC_FWD_H_

namespace crocusmast::adapters::async {

class HttpClient;
class HttpExchange;
class HttpServer;
class IoThread;
struct HttpCall;
struct HttpReply;

}  // namespace crocusmast::adapters::async

#endif  // CROCUSMAST_ADAPTERS_ASYNC_FWD_H_
