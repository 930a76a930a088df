#include "Standins/PlatformStandin.h"

#include "TableService/PlatformCodec.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace anvil {

namespace asio = boost::asio;
using nlohmann::json;

/// Configuration objects at the size planned for two years have some 12 MB.
static HttpServerLimits standinLimits() {
  HttpServerLimits Limits;
  Limits.BodyBytes_ = 64 * 1024 * 1024;
  return Limits;
}

PlatformStandin::PlatformStandin(asio::any_io_executor Executor)
    : Server_(std::move(Executor), standinLimits(),
              [this](HttpExchange &Exchange) { return handle(Exchange); }) {}

asio::awaitable<void> PlatformStandin::handle(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  if (Request.path() == "/control") {
    co_await Exchange.respond(control(Request));
    co_return;
  }
  if (Request.path() == "/records") {
    co_await Exchange.respond(jsonReply(200, Records_.text()));
    co_return;
  }
  if (DelayMs_ > 0) {
    asio::steady_timer Timer(co_await asio::this_coro::executor,
                             std::chrono::milliseconds(DelayMs_));
    co_await Timer.async_wait(asio::use_awaitable);
  }
  if (Down_) {
    Exchange.abort();
    co_return;
  }
  HttpReply Reply = dispatch(Request);
  bool IsCommit = Request.path() == "/table/commit";
  if (IsCommit && LoseReplies_ > 0) {
    --LoseReplies_;
    Exchange.abort();
    co_return;
  }
  co_await Exchange.respond(std::move(Reply));
}

HttpReply PlatformStandin::control(const HttpRequest &Request) {
  json Body = json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object())
    return jsonReply(400, "{}");
  DelayMs_ = Body.value("delay_ms", DelayMs_);
  Down_ = Body.value("down", Down_);
  LoseReplies_ = Body.value("lose_answers", LoseReplies_);
  return jsonReply(200, "{}");
}

HttpReply PlatformStandin::dispatch(const HttpRequest &Request) {
  std::string_view Path = Request.path();
  if (Path == "/table/read")
    return read(Request);
  if (Path == "/table/scan")
    return scan(Request);
  if (Path == "/table/commit")
    return commit(Request);
  if (Path.starts_with("/objects/"))
    return objects(Request);
  if (Path == "/vms" && Request.Method_ == "GET")
    return jsonReply(200, encodeVms(Vms_));
  if (Path == "/vms") {
    auto Decoded = decodeVms(Request.Body_);
    if (!isOk(Decoded))
      return jsonReply(400, "{}");
    Vms_ = std::move(valueOf(Decoded));
    return jsonReply(200, "{}");
  }
  return jsonReply(404, "{}");
}

TableRow PlatformStandin::rowOf(const std::string &Key) const {
  auto Found = Rows_.find(Key);
  return Found == Rows_.end() ? TableRow{Key, "", 0} : Found->second;
}

HttpReply PlatformStandin::read(const HttpRequest &Request) {
  auto Query = decodeQuery(Request.Body_);
  if (!isOk(Query))
    return jsonReply(400, "{}");
  std::vector<TableRow> Found;
  for (const std::string &Key : valueOf(Query).Keys_)
    Found.push_back(rowOf(Key));
  return jsonReply(200, encodeRows(Found));
}

HttpReply PlatformStandin::scan(const HttpRequest &Request) {
  auto Query = decodeQuery(Request.Body_);
  if (!isOk(Query))
    return jsonReply(400, "{}");
  const TableQuery &Range = valueOf(Query);
  std::vector<TableRow> Found;
  for (const auto &[Key, Row] : Rows_)
    if (Key.starts_with(Range.Prefix_) && Key > Range.After_ &&
        Found.size() < static_cast<std::size_t>(Range.Limit_))
      Found.push_back(Row);
  return jsonReply(200, encodeRows(Found));
}

HttpReply PlatformStandin::commit(const HttpRequest &Request) {
  auto Decoded = decodeTransaction(Request.Body_);
  if (!isOk(Decoded))
    return jsonReply(400, "{}");
  const TableTransaction &Transaction = valueOf(Decoded);
  CommitOutcome Outcome;
  for (const RowCheck &Check : Transaction.Checks_)
    if (TableRow Row = rowOf(Check.Key_); Row.Version_ != Check.Version_)
      Outcome.Conflicts_.push_back(Row);
  Outcome.Result_ = Outcome.Conflicts_.empty() ? CommitResult::Committed
                                               : CommitResult::Conflict;
  if (Outcome.Result_ == CommitResult::Committed) {
    Outcome.Version_ = NextVersion_++;
    for (const RowWrite &Write : Transaction.Writes_) {
      if (Write.Value_)
        Rows_[Write.Key_] = {Write.Key_, *Write.Value_, Outcome.Version_};
      else
        Rows_.erase(Write.Key_);
      Records_.add("write", {{"key", Write.Key_},
                             {"removed", !Write.Value_.has_value()}});
    }
  }
  return encodeOutcome(Outcome);
}

HttpReply PlatformStandin::objects(const HttpRequest &Request) {
  std::string Name(Request.path());
  if (Request.Method_ == "PUT") {
    Objects_[Name] = Request.Body_;
    return jsonReply(200, "{}");
  }
  auto Found = Objects_.find(Name);
  if (Found == Objects_.end())
    return jsonReply(404, "{}");
  return {200, {}, Found->second};
}

} // namespace anvil
