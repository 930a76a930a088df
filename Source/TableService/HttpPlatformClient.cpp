#include "TableService/HttpPlatformClient.h"

#include "Http/HttpConnection.h"
#include "TableService/PlatformCodec.h"
#include "Telemetry/Log.h"

namespace anvil {

namespace asio = boost::asio;

HttpPlatformClient::HttpPlatformClient(PlatformClientOptions Options,
                                       std::shared_ptr<Metrics> MetricSink)
    : Options_(std::move(Options)), Metrics_(std::move(MetricSink)),
      Circuit_(Options_.CircuitFailures_, Options_.CircuitOpen_) {}

asio::awaitable<Result<HttpReply>>
HttpPlatformClient::call(std::string_view Operation, HttpRequest Request) {
  MetricLabels Labels{{"operation", std::string(Operation)}};
  if (!Circuit_.allow(BootClock::now())) {
    Metrics_->count("anvil_platform_calls_stopped_total", Labels);
    co_return Error{ErrorCode::Refused, "platform",
                    "calls are stopped: the circuit breaker has tripped", ""};
  }
  TimePoint Started = BootClock::now();
  auto Reply =
      co_await fetch(Options_.Server_, std::move(Request), Options_.Timeout_);
  Metrics_->count("anvil_platform_calls_total", Labels);
  Metrics_->observe("anvil_platform_call_seconds", Labels,
                    BootClock::now() - Started);
  bool WasReachable = Reachable_;
  Reachable_ = isOk(Reply) && valueOf(Reply).Status_ < 500;
  if (Reachable_)
    Circuit_.recordSuccess();
  else
    Circuit_.recordFailure(BootClock::now());
  if (WasReachable != Reachable_)
    logEvent(LogLevel::Warning, "platform_reachability",
             {{"reachable", Reachable_}});
  co_return Reply;
}

/// The body of a reply with status 200, or an error.
static Result<std::string> bodyOf(Result<HttpReply> Reply) {
  if (!isOk(Reply))
    return errorOf(Reply);
  HttpReply &Received = valueOf(Reply);
  if (Received.Status_ == 404)
    return Error{ErrorCode::NotFound, "platform", "there is no such object",
                 ""};
  if (Received.Status_ != 200)
    return Error{ErrorCode::Unavailable, "platform",
                 "answered status " + std::to_string(Received.Status_), ""};
  return std::move(Received.Body_);
}

static HttpRequest postJson(std::string Target, std::string Body) {
  return {"POST",
          std::move(Target),
          {{"Content-Type", "application/json"}},
          std::move(Body)};
}

asio::awaitable<Result<std::vector<TableRow>>>
HttpPlatformClient::read(std::vector<std::string> Keys) {
  TableQuery Query;
  Query.Keys_ = std::move(Keys);
  auto Body = bodyOf(
      co_await call("read", postJson("/table/read", encodeQuery(Query))));
  if (!isOk(Body))
    co_return errorOf(Body);
  co_return decodeRows(valueOf(Body));
}

asio::awaitable<Result<std::vector<TableRow>>>
HttpPlatformClient::scan(std::string Prefix, std::string After,
                         std::size_t Limit) {
  TableQuery Query;
  Query.Prefix_ = std::move(Prefix);
  Query.After_ = std::move(After);
  Query.Limit_ = static_cast<std::int64_t>(Limit);
  auto Body = bodyOf(
      co_await call("scan", postJson("/table/scan", encodeQuery(Query))));
  if (!isOk(Body))
    co_return errorOf(Body);
  co_return decodeRows(valueOf(Body));
}

asio::awaitable<CommitOutcome>
HttpPlatformClient::commit(TableTransaction Transaction) {
  auto Reply = co_await call(
      "commit", postJson("/table/commit", encodeTransaction(Transaction)));
  if (isOk(Reply))
    co_return decodeOutcome(valueOf(Reply));
  CommitOutcome Outcome;
  const Error &Problem = errorOf(Reply);
  Outcome.Detail_ = Problem.describe();
  // Refused and unavailable both mean that nothing was sent.
  bool NeverSent = Problem.Code_ == ErrorCode::Refused ||
                   Problem.Code_ == ErrorCode::Unavailable;
  Outcome.Result_ =
      NeverSent ? CommitResult::Unavailable : CommitResult::Ambiguous;
  co_return Outcome;
}

asio::awaitable<Status> HttpPlatformClient::putObject(std::string ObjectName,
                                                      std::string Bytes) {
  HttpRequest Request{"PUT", "/objects/" + ObjectName, {}, std::move(Bytes)};
  auto Body = bodyOf(co_await call("put_object", std::move(Request)));
  if (!isOk(Body))
    co_return errorOf(Body);
  co_return std::monostate{};
}

asio::awaitable<Result<std::string>>
HttpPlatformClient::getObject(std::string ObjectName) {
  HttpRequest Request{"GET", "/objects/" + ObjectName, {}, {}};
  co_return bodyOf(co_await call("get_object", std::move(Request)));
}

asio::awaitable<Result<std::vector<VmRecord>>> HttpPlatformClient::listVms() {
  HttpRequest Request{"GET", "/vms", {}, {}};
  auto Body = bodyOf(co_await call("list_vms", std::move(Request)));
  if (!isOk(Body))
    co_return errorOf(Body);
  co_return decodeVms(valueOf(Body));
}

} // namespace anvil
