#include "Admin/ConfigEndpoints.h"

#include "Kernel/BoundedJson.h"
#include "Objects/ObjectCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;
using nlohmann::json;

/// Maximum number of revisions in one page of the history.
static constexpr std::size_t HistoryPageSize = 100;

/// Maps the errors of a publication to an HTTP status.
static int httpStatusOf(const ErrorList &Errors) {
  switch (Errors.front().Code_) {
  case ErrorCode::Conflict:
    return 409;
  case ErrorCode::Unavailable:
  case ErrorCode::Timeout:
  case ErrorCode::Refused:
  case ErrorCode::ConnectionClosed:
    return 503;
  case ErrorCode::Ambiguous:
    return 504;
  default:
    return 422;
  }
}

static asio::awaitable<HttpReply>
applyPage(std::shared_ptr<ConfigPublisher> Publisher,
          const HttpRequest &Request) {
  auto Decoded = decodeChangeSet(Request.Body_);
  if (std::holds_alternative<ErrorList>(Decoded))
    co_return errorReply(422, std::get<ErrorList>(Decoded));
  bool DryRun = Request.query("dry_run") == "1";
  auto Outcome = co_await Publisher->publish(
      std::move(std::get<ChangeSet>(Decoded)), DryRun);
  if (std::holds_alternative<ErrorList>(Outcome)) {
    const auto &Errors = std::get<ErrorList>(Outcome);
    co_return errorReply(httpStatusOf(Errors), Errors);
  }
  const auto &Published = std::get<PublishedChange>(Outcome);
  co_return jsonReply(
      200,
      json{{"revision", Published.Revision_},
           {"dry_run", Published.DryRun_},
           {"difference", json::parse(encodeChangeSet(Published.Difference_))}}
          .dump(-1, ' ', false, json::error_handler_t::replace));
}

static asio::awaitable<Result<SnapshotPtr>>
loadRevision(std::shared_ptr<ConfigPublisher> Publisher,
             std::shared_ptr<PlatformService> Platform,
             std::uint64_t Revision) {
  std::vector<std::string> Keys{historyRow(Revision)};
  auto Rows = co_await Platform->read(std::move(Keys));
  if (!isOk(Rows))
    co_return errorOf(Rows);
  auto Head = decodeHead(valueOf(Rows).front().Value_);
  if (!isOk(Head))
    co_return errorOf(Head);
  if (valueOf(Head).Revision_ != Revision)
    co_return Error{ErrorCode::NotFound, "from",
                    "there is no revision " + std::to_string(Revision),
                    "see the history"};
  co_return co_await Publisher->loadSnapshot(valueOf(Head));
}

static asio::awaitable<HttpReply>
diffPage(std::shared_ptr<ConfigPublisher> Publisher,
         std::shared_ptr<ConfigState> State,
         std::shared_ptr<PlatformService> Platform,
         const HttpRequest &Request) {
  std::string From(Request.query("from"));
  auto Revision = std::strtoull(From.c_str(), nullptr, 10);
  if (From.empty() || Revision == 0)
    co_return errorReply(400, {{ErrorCode::InvalidInput, "from",
                                "is not a revision", "add ?from=N"}});
  auto Old = co_await loadRevision(Publisher, Platform, Revision);
  if (!isOk(Old))
    co_return errorReply(errorOf(Old).Code_ == ErrorCode::NotFound ? 404 : 503,
                         {errorOf(Old)});
  const ConfigSnapshot &Now = *State->current();
  ChangeSet Difference = computeDiff(valueOf(Old)->Objects_, Now.Objects_);
  Difference.BaseRevision_ = Revision;
  co_return jsonReply(200, encodeChangeSet(Difference));
}

static asio::awaitable<HttpReply>
historyPage(std::shared_ptr<PlatformService> Platform,
            const HttpRequest &Request) {
  std::string After(Request.query("after"));
  if (!After.empty())
    After = historyRow(std::strtoull(After.c_str(), nullptr, 10));
  auto Rows = co_await Platform->scan(std::string(HistoryPrefix), After,
                                      HistoryPageSize);
  if (!isOk(Rows))
    co_return errorReply(503, {errorOf(Rows)});
  json List = json::array();
  for (const TableRow &Row : valueOf(Rows))
    List.push_back(parseOrDiscard(Row.Value_));
  co_return jsonReply(200, json{{"history", List}}.dump(
                               -1, ' ', false, json::error_handler_t::replace));
}

void addConfigEndpoints(AdminServer &Server,
                        std::shared_ptr<ConfigPublisher> Publisher,
                        std::shared_ptr<ConfigState> State,
                        std::shared_ptr<PlatformService> Platform) {
  Server.addPage("POST", "/admin/config/apply",
                 [Publisher](const HttpRequest &Request) {
                   return applyPage(Publisher, Request);
                 });
  Server.addPage("GET", "/admin/config",
                 [State](const HttpRequest &) -> asio::awaitable<HttpReply> {
                   co_return jsonReply(200, encodeSnapshot(*State->current()));
                 });
  Server.addPage("GET", "/admin/config/diff",
                 [Publisher, State, Platform](const HttpRequest &Request) {
                   return diffPage(Publisher, State, Platform, Request);
                 });
  Server.addPage("GET", "/admin/config/history",
                 [Platform](const HttpRequest &Request) {
                   return historyPage(Platform, Request);
                 });
}

} // namespace anvil
