#include "crocusmast/adapters/admin_server.h"

#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include "crocusmast/adapters/admin_codec.h"
#include "crocusmast/adapters/configuration_codec.h"
#include "crocusmast/adapters/http_server.h"
#include "crocusmast/adapters/wave_codec.h"

namespace crocusmast::adapters {
namespace internal {

constexpr std::size_t kAdminThreads = 8;
// Time-out of queries to the configuration and maintenance threads; longer than
// kRouterTimeout, since these threads call the store.
constexpr std::chrono::seconds kStoreBackedTimeout{20};
constexpr std::chrono::seconds kRouterTimeout{2};
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

int HttpStatusOf(core::Operation operation) {
  switch (operation) {
    case core::Operation::kMergeEdit:
      return kConflict;
    case core::Operation::kReadStore:
    case core::Operation::kWriteStore:
    case core::Operation::kConnect:
      return kUnavailable;
    default:
      return kBadRequest;
  }
}

void WriteError(const core::Error& error, httplib::Response& response) {
  response.status = HttpStatusOf(error.operation);
  response.set_content(FormatError(error), "application/json");
}

void WriteJson(const std::string& json, httplib::Response& response) {
  response.set_content(json, "application/json");
}

core::Error TimeoutError() {
  return core::Error{core::Operation::kConnect, "this instance",
                     "did not answer in time; retry later"};
}

/**
 * @brief Sends a query to a thread and waits for the reply.
 * @tparam Reply Type of the reply.
 * @param ring Input ring of the thread.
 * @param query The query; this function sets its reply ring.
 * @param timeout Time limit of the wait.
 * @return The reply, or nothing if the ring is full or the time-out expires.
 */
template <typename Reply, typename Message, typename Query>
std::optional<Reply> SendQuery(core::BoundedRing<Message>& ring,
                               Query query,
                               core::Duration timeout) {
  const auto reply = std::make_shared<core::BoundedRing<Reply>>(1);
  query.reply = reply;
  if (!ring.TryPush(Message(std::move(query)))) {
    return std::nullopt;
  }
  return reply->PopFor(timeout);
}

core::Result<std::vector<core::PoolId>> ParsePools(const std::string& text) {
  std::vector<core::PoolId> pools;
  std::istringstream stream(text);
  std::string name;
  while (std::getline(stream, name, ',')) {
    BOOST_LEAF_AUTO(pool, core::PoolId::Create(name));
    pools.push_back(std::move(pool));
  }
  if (pools.empty()) {
    return core::Fail(core::Operation::kAdministration, "pools",
                      "at least one pool is required");
  }
  return pools;
}

core::Result<maintenance::CommandReceived> ParseCommand(
    const httplib::Request& request) {
  using maintenance::Command;
  maintenance::CommandReceived command;
  const std::string name =
      request.matches.size() > 1 ? request.matches[1].str() : "status";
  if (name == "start") {
    command.command = Command::kStart;
    BOOST_LEAF_ASSIGN(command.pools,
                      ParsePools(request.get_param_value("pools")));
  } else if (name == "pause") {
    command.command = Command::kPause;
  } else if (name == "resume") {
    command.command = Command::kResume;
  }
  return command;
}

}  // namespace internal

/** @brief The HTTP server and its dependencies. */
struct AdminServer::State {
  explicit State(AdminServerPorts server_ports)
      : ports(std::move(server_ports)),
        server({internal::kAdminThreads, kMaxConfigurationBytes}) {}

  void AddRoutes();
  bool IsAuthorized(const httplib::Request& request,
                    httplib::Response& response) const;
  void HandleEdit(const httplib::Request& request, httplib::Response& response);
  void HandleSnapshot(const httplib::Request& request,
                      httplib::Response& response);
  void HandleHistory(httplib::Response& response);
  void HandleExplain(const httplib::Request& request,
                     httplib::Response& response);
  void HandleStatus(httplib::Response& response);
  void HandleMaintenance(const httplib::Request& request,
                         httplib::Response& response);

  AdminServerPorts ports;
  internal::HttpServer server;
};

bool AdminServer::State::IsAuthorized(const httplib::Request& request,
                                      httplib::Response& response) const {
  if (request.get_header_value("Authorization") == "Bearer " + ports.token) {
    return true;
  }
  internal::WriteError({core::Operation::kAdministration, "operator token",
                        "the token is missing or invalid"},
                       response);
  response.status = internal::kUnauthorized;
  ports.logger.Write(
      {core::Component::kHttp,
       core::Severity::kWarning,
       "Rejected an administration request without a valid token.",
       {{"path", request.path}}});
  return false;
}

void AdminServer::State::HandleEdit(const httplib::Request& request,
                                    httplib::Response& response) {
  core::Handle(
      [&]() -> core::Result<void> {
        BOOST_LEAF_AUTO(edit, ParseEdit(request.body));
        const auto reply = internal::SendQuery<configuration::ApplyReply>(
            ports.configuration,
            configuration::ApplyEdit{std::move(edit), nullptr},
            internal::kStoreBackedTimeout);
        if (!reply) {
          internal::WriteError(internal::TimeoutError(), response);
        } else if (const auto* error = std::get_if<core::Error>(&*reply)) {
          internal::WriteError(*error, response);
        } else {
          internal::WriteJson(FormatRevision(std::get<core::Revision>(*reply)),
                              response);
        }
        return {};
      },
      [&](const core::Error& error) { internal::WriteError(error, response); });
}

void AdminServer::State::HandleSnapshot(const httplib::Request& request,
                                        httplib::Response& response) {
  std::optional<core::Revision> revision;
  if (request.has_param("revision")) {
    const std::string text = request.get_param_value("revision");
    constexpr std::size_t kMaxDigits = 18;
    if (text.empty() || text.size() > kMaxDigits ||
        text.find_first_not_of("0123456789") != std::string::npos) {
      internal::WriteError({core::Operation::kAdministration, "revision",
                            "'" + text + "' is not a non-negative integer"},
                           response);
      return;
    }
    revision = core::Revision(std::stoull(text));
  }
  const auto reply = internal::SendQuery<configuration::SnapshotReply>(
      ports.configuration, configuration::SnapshotQuery{revision, nullptr},
      internal::kStoreBackedTimeout);
  if (!reply) {
    internal::WriteError(internal::TimeoutError(), response);
  } else if (const auto* error = std::get_if<core::Error>(&*reply)) {
    internal::WriteError(*error, response);
  } else {
    internal::WriteJson(
        FormatSnapshot(std::get<configuration::Snapshot>(*reply)), response);
  }
}

void AdminServer::State::HandleHistory(httplib::Response& response) {
  const auto changes = internal::SendQuery<std::vector<configuration::Change>>(
      ports.configuration, configuration::HistoryQuery{},
      internal::kStoreBackedTimeout);
  if (!changes) {
    internal::WriteError(internal::TimeoutError(), response);
    return;
  }
  internal::WriteJson(FormatChanges(*changes), response);
}

void AdminServer::State::HandleExplain(const httplib::Request& request,
                                       httplib::Response& response) {
  core::Handle(
      [&]() -> core::Result<void> {
        BOOST_LEAF_AUTO(
            id, core::RequestId::Create(request.get_param_value("request")));
        const auto decisions =
            internal::SendQuery<std::vector<request::Decision>>(
                ports.router, routing::ExplainQuery{std::move(id), nullptr},
                internal::kRouterTimeout);
        if (!decisions) {
          internal::WriteError(internal::TimeoutError(), response);
          return {};
        }
        internal::WriteJson(FormatDecisions(*decisions), response);
        if (decisions->empty()) {
          response.status = internal::kNotFound;
        }
        return {};
      },
      [&](const core::Error& error) { internal::WriteError(error, response); });
}

void AdminServer::State::HandleStatus(httplib::Response& response) {
  const auto status = internal::SendQuery<routing::RouterStatus>(
      ports.router, routing::StatusQuery{}, internal::kRouterTimeout);
  if (!status) {
    internal::WriteError(internal::TimeoutError(), response);
    return;
  }
  internal::WriteJson(
      FormatStatus(InstanceStatus{ports.self, ports.zone, *status}), response);
}

void AdminServer::State::HandleMaintenance(const httplib::Request& request,
                                           httplib::Response& response) {
  core::Handle(
      [&]() -> core::Result<void> {
        BOOST_LEAF_AUTO(command, internal::ParseCommand(request));
        const auto reply = internal::SendQuery<maintenance::CommandReply>(
            ports.maintenance, std::move(command),
            internal::kStoreBackedTimeout);
        if (!reply) {
          internal::WriteError(internal::TimeoutError(), response);
        } else if (const auto* error = std::get_if<core::Error>(&*reply)) {
          internal::WriteError(*error, response);
        } else {
          const auto& wave = std::get<maintenance::StoredWave>(*reply).wave;
          response.status = wave ? response.status : internal::kNotFound;
          internal::WriteJson(wave ? FormatWave(*wave) : "{}", response);
        }
        return {};
      },
      [&](const core::Error& error) { internal::WriteError(error, response); });
}

void AdminServer::State::AddRoutes() {
  using httplib::Request;
  using httplib::Response;
  httplib::Server& routes = server.Routes();
  routes.set_pre_routing_handler(
      [this](const Request& request, Response& response) {
        using HandlerResponse = httplib::Server::HandlerResponse;
        return request.path == "/metrics" || IsAuthorized(request, response)
                   ? HandlerResponse::Unhandled
                   : HandlerResponse::Handled;
      });
  routes.Get("/metrics", [this](const Request&, Response& response) {
    response.set_content(ports.format_metrics(), "text/plain");
  });
  routes.Put("/configuration",
             [this](const Request& request, Response& response) {
               HandleEdit(request, response);
             });
  routes.Get("/configuration",
             [this](const Request& request, Response& response) {
               HandleSnapshot(request, response);
             });
  routes.Get("/history", [this](const Request&, Response& response) {
    HandleHistory(response);
  });
  routes.Get("/explain", [this](const Request& request, Response& response) {
    HandleExplain(request, response);
  });
  const auto handle_maintenance = [this](const Request& request,
                                         Response& response) {
    HandleMaintenance(request, response);
  };
  routes.Get("/maintenance", handle_maintenance);
  routes.Put("/maintenance/(start|pause|resume)", handle_maintenance);
  routes.Get("/status", [this](const Request&, Response& response) {
    HandleStatus(response);
  });
}

core::Result<std::unique_ptr<AdminServer>> AdminServer::Create(
    const fleet::Endpoint& address,
    AdminServerPorts ports) {
  auto state = std::make_unique<State>(std::move(ports));
  state->AddRoutes();
  BOOST_LEAF_CHECK(state->server.Start(address));
  return std::unique_ptr<AdminServer>(new AdminServer(std::move(state)));
}

AdminServer::AdminServer(std::unique_ptr<State> state)
    : m_state(std::move(state)) {}

AdminServer::~AdminServer() = default;

void AdminServer::Stop() {
  m_state->server.Stop();
}

}  // namespace crocusmast::adapters
