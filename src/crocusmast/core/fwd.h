#ifndef CROCUSMAST_CORE_FWD_H_
#define CROCUSMAST_CORE_FWD_H_

namespace crocusmast::core {

class Clock;
class Logger;
class Meter;
struct Error;
struct LogRecord;

template <typename Tag>
class StrongId;

template <typename Tag>
class Quantity;

template <typename T>
class BoundedRing;

template <typename Message>
class MessageThread;

template <typename Message>
class MessageHandler;

template <typename Message>
class MessageThreadPool;

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_FWD_H_
