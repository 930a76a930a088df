#include "Admin/AdminServer.h"

#include "Objects/Digest.h"

#include <nlohmann/json.hpp>

namespace anvil {

namespace asio = boost::asio;
using nlohmann::json;

HttpReply errorReply(int HttpStatus, const std::vector<Error> &Errors) {
  json List = json::array();
  for (const Error &Problem : Errors)
    List.push_back({{"code", errorCodeName(Problem.Code_)},
                    {"where", Problem.Where_},
                    {"message", Problem.Message_},
                    {"action", Problem.Action_}});
  auto Replace = json::error_handler_t::replace;
  return jsonReply(HttpStatus,
                   json{{"errors", List}}.dump(-1, ' ', false, Replace));
}

AdminServer::AdminServer(asio::any_io_executor Executor,
                         const DaemonSettings &Settings,
                         std::shared_ptr<Metrics> MetricsSource)
    : Settings_(Settings), Metrics_(std::move(MetricsSource)),
      Server_(std::move(Executor), HttpServerLimits{},
              [this](HttpExchange &Exchange) { return handle(Exchange); }) {
  Server_.setMalformedHook([](int Status, std::string_view Reason) {
    return errorReply(Status, {{ErrorCode::InvalidInput, "request",
                                std::string(Reason), "correct the request"}});
  });
  addPage("GET", "/healthz",
          [](const HttpRequest &) -> asio::awaitable<HttpReply> {
            co_return HttpReply{200, {}, "ok\n"};
          });
  addPage("GET", "/readyz",
          [this](const HttpRequest &) -> asio::awaitable<HttpReply> {
            std::string Reason = ReadyCheck_ ? ReadyCheck_() : "";
            if (Reason.empty())
              co_return HttpReply{200, {}, "ready\n"};
            co_return HttpReply{503, {}, Reason + "\n"};
          });
  addPage("GET", "/metrics",
          [this](const HttpRequest &) -> asio::awaitable<HttpReply> {
            co_return HttpReply{200,
                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                Metrics_->page()};
          });
}

Endpoint AdminServer::address() const {
  return {Settings_.Listen_.Address_,
          static_cast<std::uint16_t>(Settings_.Listen_.AdminPort_)};
}

void AdminServer::stop() { Server_.close(); }

void AdminServer::addPage(const std::string &Method, const std::string &Path,
                          Handler Handle) {
  Pages_[{Method, Path}] = std::move(Handle);
}

void AdminServer::onReadyCheck(std::function<std::string()> Check) {
  ReadyCheck_ = std::move(Check);
}

std::uint16_t AdminServer::port() const { return Server_.port(); }

bool AdminServer::isAuthorized(const HttpRequest &Request) const {
  if (Settings_.OperatorTokenSha256_.empty() ||
      !Request.path().starts_with("/admin/"))
    return true;
  constexpr std::string_view Scheme = "Bearer ";
  std::string_view Value =
      Request.Headers_.find("Authorization").value_or(std::string_view{});
  if (!Value.starts_with(Scheme))
    return false;
  return equalInConstantTime(sha256Hex(Value.substr(Scheme.size())),
                             Settings_.OperatorTokenSha256_);
}

asio::awaitable<void> AdminServer::handle(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  HttpReply Reply;
  auto Page = Pages_.find({Request.Method_, std::string(Request.path())});
  if (!isAuthorized(Request))
    Reply = errorReply(401, {{ErrorCode::Refused, "request",
                              "the operators' token is missing or wrong",
                              "send it as Authorization: Bearer"}});
  else if (Page == Pages_.end())
    Reply =
        errorReply(404, {{ErrorCode::NotFound, std::string(Request.path()),
                          "there is no such page", "see docs/OPERATIONS.md"}});
  else
    Reply = co_await Page->second(Request);
  co_await Exchange.respond(std::move(Reply));
}

} // namespace anvil
