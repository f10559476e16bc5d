#ifndef TEST_PLATFORM_SCRIPTED_STORE_H_
#define TEST_PLATFORM_SCRIPTED_STORE_H_

#include <chrono>
#include <cstdint>
#include <cstring>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>
#include <websocketpp/base64/base64.hpp>

#include "crocusmast/adapters/async/http_server.h"

namespace test {

/** @brief A key-value store with watches, which speaks the platform's protocol;
 * its leases end only when they are released. */
class ScriptedStore {
 public:
  using Items = std::vector<std::pair<std::string, std::string>>;

  /**
   * @brief Starts the store.
   * @param io The I/O thread that serves it; must outlive it.
   * @param port The port on the loopback interface.
   */
  ScriptedStore(crocusmast::adapters::async::IoThread& io, std::uint16_t port)
      : m_io(io),
        m_server(HttpServer::Create(
                     io,
                     {"127.0.0.1", port},
                     {},
                     [this](ExchangePtr exchange) { Handle(exchange); })
                     .value()) {}

  /** @brief Writes keys at once, as another client of the store. */
  void Put(Items items) {
    m_io.Post([this, items = std::move(items)] {
      for (const auto& [key, value] : items) {
        Apply(key, websocketpp::base64_encode(value));
      }
      ReplyToWatches();
    });
  }

  /** @brief Sets the time from the arrival of a transaction until it is applied
   * and answered. Releases of leases are not delayed. */
  void SetTransactionTime(std::chrono::milliseconds time) {
    m_io.Post([this, time] { m_transaction_time = time; });
  }

  /** @brief Returns the value of a key, or an empty string; the I/O thread must
   * be stopped. */
  std::string Value(const std::string& key) const {
    const auto found = m_items.find(key);
    return found == m_items.end()
               ? ""
               : websocketpp::base64_decode(
                     found->second.at("value").get<std::string>());
  }

  /** @brief Returns the sizes of the replies to watches that had changes; the
   * I/O thread must be stopped. */
  const std::vector<std::size_t>& WatchReplyBytes(
      const std::string& prefix) const {
    return m_watch_reply_bytes.at(prefix);
  }

 private:
  using HttpServer = crocusmast::adapters::async::HttpServer;
  using HttpResponse = crocusmast::adapters::async::HttpResponse;
  using ExchangePtr =
      std::shared_ptr<crocusmast::adapters::async::HttpExchange>;
  using Json = nlohmann::json;

  static constexpr std::size_t kPageItems = 500;
  static constexpr char kReleasePath[] = "/crocusmast/kv-lease-end/";

  struct Watch {
    ExchangePtr exchange;
    std::string prefix;
    std::uint64_t after = 0;
  };

  static std::string Parameter(const ExchangePtr& exchange,
                               const std::string& name) {
    const std::string path(exchange->Path());
    const std::size_t found = path.find_first_of("?&");
    for (std::size_t begin = found; begin != std::string::npos;
         begin = path.find('&', begin + 1)) {
      if (path.compare(begin + 1, name.size() + 1, name + "=") == 0) {
        const std::size_t value = begin + name.size() + 2;
        return path.substr(value, path.find('&', value) - value);
      }
    }
    return "";
  }

  static void Respond(const ExchangePtr& exchange,
                      const Json& body,
                      unsigned status = 200) {
    HttpResponse response;
    response.status = status;
    response.body = body.dump();
    exchange->Respond(std::move(response));
  }

  static bool HasPrefix(const std::string& key, const std::string& prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
  }

  void Handle(const ExchangePtr& exchange) {
    const std::string path(exchange->Path());
    if (HasPrefix(path, "/crocusmast/kv-range")) {
      RespondToRange(exchange);
    } else if (HasPrefix(path, "/crocusmast/kv-watch")) {
      AddWatch(exchange);
    } else if (path == "/crocusmast/kv-txn") {
      m_io.RunAfter(m_transaction_time,
                    [this, exchange] { RespondToTransaction(exchange); });
    } else if (path == "/crocusmast/kv-lease") {
      Respond(exchange, {{"lease", ++m_last_lease},
                         {"ttl_ms", Json::parse(exchange->Body())["ttl_ms"]}});
    } else if (HasPrefix(path, kReleasePath)) {
      EndLease(std::stoull(path.substr(std::strlen(kReleasePath))));
      Respond(exchange, Json::object());
    } else {
      Respond(exchange, Json::object());
    }
  }

  void RespondToRange(const ExchangePtr& exchange) {
    const std::string prefix = Parameter(exchange, "prefix");
    const std::string after = Parameter(exchange, "after");
    Json items = Json::array();
    auto next = after.empty() ? m_items.lower_bound(prefix)
                              : m_items.upper_bound(after);
    for (; next != m_items.end() && HasPrefix(next->first, prefix) &&
           items.size() < kPageItems;
         ++next) {
      items.push_back(next->second);
    }
    const bool has_more =
        next != m_items.end() && HasPrefix(next->first, prefix);
    Respond(exchange, {{"items", std::move(items)},
                       {"has_more", has_more},
                       {"at_rev", m_revision}});
  }

  void AddWatch(const ExchangePtr& exchange) {
    m_watches.push_back({exchange, Parameter(exchange, "prefix"),
                         std::stoull(Parameter(exchange, "after"))});
    ReplyToWatches();
    m_io.RunAfter(
        std::chrono::milliseconds(std::stoll(Parameter(exchange, "wait_ms"))),
        [this, exchange] { EndWatch(exchange); });
  }

  void EndWatch(const ExchangePtr& exchange) {
    m_watches.remove_if([&](const Watch& watch) {
      const bool is_ended = watch.exchange == exchange;
      if (is_ended) {
        Respond(exchange, {{"events", Json::array()}, {"at_rev", m_revision}});
      }
      return is_ended;
    });
  }

  void ReplyToWatches() {
    m_watches.remove_if([this](const Watch& watch) {
      Json events = Json::array();
      for (auto next = m_events.upper_bound(watch.after);
           next != m_events.end(); ++next) {
        if (HasPrefix(next->second.at("key").get<std::string>(),
                      watch.prefix)) {
          events.push_back(next->second);
        }
      }
      if (events.empty()) {
        return false;
      }
      const Json body{{"events", std::move(events)}, {"at_rev", m_revision}};
      m_watch_reply_bytes[watch.prefix].push_back(body.dump().size());
      Respond(watch.exchange, body);
      return true;
    });
  }

  void RespondToTransaction(const ExchangePtr& exchange) {
    const Json txn = Json::parse(exchange->Body());
    Json current = Json::array();
    bool has_conflict = false;
    for (const Json& expected : txn.at("expected")) {
      const auto found = m_items.find(expected.at("key"));
      const std::uint64_t revision =
          found == m_items.end()
              ? 0
              : found->second.at("revision").get<std::uint64_t>();
      has_conflict = has_conflict || revision != expected.at("revision");
      if (revision > 0) {
        current.push_back(found->second);
      }
    }
    if (has_conflict) {
      Respond(exchange, {{"items", std::move(current)}}, 412);
      return;
    }
    for (const Json& write : txn.at("writes")) {
      Apply(write.at("key"), write.at("value"));
      if (write.contains("lease")) {
        m_leased_keys[write.at("lease")] = write.at("key");
      }
    }
    for (const Json& key : txn.at("deletes")) {
      Remove(key);
    }
    Respond(exchange, {{"revision", m_revision}});
    ReplyToWatches();
  }

  /** @brief Writes a key; the value is base64 text. */
  void Apply(const std::string& key, const std::string& value) {
    ++m_revision;
    m_items[key] = {{"key", key}, {"value", value}, {"revision", m_revision}};
    m_events[m_revision] = m_items[key];
  }

  void Remove(const std::string& key) {
    if (m_items.erase(key) > 0) {
      ++m_revision;
      m_events[m_revision] = {
          {"key", key}, {"revision", m_revision}, {"deleted", true}};
    }
  }

  void EndLease(std::uint64_t lease) {
    if (const auto found = m_leased_keys.find(lease);
        found != m_leased_keys.end()) {
      Remove(found->second);
      m_leased_keys.erase(found);
      ReplyToWatches();
    }
  }

  crocusmast::adapters::async::IoThread& m_io;
  std::chrono::milliseconds m_transaction_time{};
  std::uint64_t m_last_lease = 0;
  /** @brief The key that is attached to each lease. */
  std::map<std::uint64_t, std::string> m_leased_keys;
  std::uint64_t m_revision = 1;
  std::map<std::string, Json> m_items;
  std::map<std::uint64_t, Json> m_events;
  std::list<Watch> m_watches;
  std::map<std::string, std::vector<std::size_t>> m_watch_reply_bytes;
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace test

#endif  // TEST_PLATFORM_SCRIPTED_STORE_H_
