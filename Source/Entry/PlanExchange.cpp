#include "Entry/PlanExchange.h"

#include "Entry/ReceiveBudgets.h"
#include "Http/HttpConnection.h"
#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Telemetry/Log.h"

namespace anvil {

namespace asio = boost::asio;

/// The path under which the rows are served.
static constexpr std::string_view RowsPage = "/plan-rows";

/// The header that names the store's era of the rows' versions.
static constexpr std::string_view RowsEraHeader = "Row-Era";

/// Time limits for fetching another VM's rows: for its answer and for each part
/// of them, and for all of them.
static constexpr Duration FetchTimeout = std::chrono::milliseconds(1000);
static constexpr Duration MaxFetchTime = std::chrono::seconds(8);

/// The pause after a fetch, successful or not.
static constexpr Duration FetchPause = std::chrono::milliseconds(300);

static HttpServerLimits
pageLimits(const std::shared_ptr<BufferBudget> &Budget) {
  HttpServerLimits Limits;
  Limits.HeadBytes_ = 8 * 1024;
  Limits.BodyBytes_ = 4 * 1024;
  Limits.Budget_ = Budget;
  Limits.Connections_ = 128;
  return Limits;
}

PlanExchange::PlanExchange(asio::any_io_executor Executor,
                           const EntrySettings &Settings,
                           const ServiceRegistry &Services)
    : Executor_(std::move(Executor)), Settings_(Settings),
      Link_(Services.require<FleetLink>(FleetLink::Name)),
      Plans_(Services.require<PlanService>(PlanService::Name)),
      Store_(Services.require<platform::StoreClient>(PlatformService::Name)),
      Budget_(
          Services.require<ReceiveBudgets>(ReceiveBudgets::Name)->control()),
      Pages_(Executor_, pageLimits(Budget_),
             [this](HttpExchange &Exchange) { return serveRows(Exchange); }) {
  Pages_.setMalformedHook(plainRejection);
}

Endpoint PlanExchange::address() const {
  return {Settings_.Listen_.Address_,
          static_cast<std::uint16_t>(Settings_.Listen_.PeerPort_)};
}

asio::awaitable<void> PlanExchange::serveRows(HttpExchange &Exchange) {
  bool IsKnown = Exchange.request().path() == RowsPage;
  HttpReply Reply{
      IsKnown ? 200 : 404,
      {{"Content-Type", "application/msgpack"},
       {std::string(RowsEraHeader), std::to_string(Store_->era().current())}},
      IsKnown ? encodeTableRows(Plans_->knownRows()) : ""};
  co_await Exchange.respond(std::move(Reply));
}

void PlanExchange::applyReadNotice(const PlanReadNotice &Notice) {
  // A VM that can reach the store reads the rows there within a few
  // milliseconds.
  bool IsNeeded =
      Notice.NewestRow_ > Plans_->newestRow() && !Store_->reachable();
  auto Address = Link_->addressOf(Notice.Clock_.Vm_);
  if (!IsNeeded || IsFetching_ || !Address)
    return;
  Address->Port_ = Notice.RowsPort_;
  IsFetching_ = true;
  spawn(Executor_, fetchRows(Notice.Clock_.Vm_, *Address));
}

asio::awaitable<void> PlanExchange::fetchRows(std::string Vm, Endpoint From) {
  HttpRequest Request{"GET", std::string(RowsPage), {}, {}};
  ReceiveLimits Limits;
  Limits.Budget_ = Budget_;
  ReplyTimes Times{FetchTimeout, FetchTimeout, MaxFetchTime};
  auto Reply =
      co_await fetch(From, std::move(Request), Times, std::move(Limits));
  Result<std::vector<TableRow>> Rows =
      Error{ErrorCode::Protocol, Vm, "has no page of rows", ""};
  if (!isOk(Reply))
    Rows = errorOf(Reply);
  else if (valueOf(Reply).Headers_.find(RowsEraHeader) !=
           std::to_string(Store_->era().current()))
    Rows = Error{ErrorCode::Conflict, Vm, "has rows of another era", ""};
  else if (valueOf(Reply).Status_ == 200)
    Rows = decodeTableRows(valueOf(Reply).Body_);
  logEvent(isOk(Rows) ? LogLevel::Info : LogLevel::Warning, "plan_rows_taken",
           {{"from", Vm},
            {"rows", isOk(Rows) ? valueOf(Rows).size() : 0},
            {"reason", isOk(Rows) ? "" : errorOf(Rows).describe()}});
  if (isOk(Rows))
    Plans_->applyPeerRows(valueOf(Rows), {RowSource::PeerPage, std::nullopt});
  co_await pauseFor(FetchPause);
  IsFetching_ = false;
}

} // namespace anvil
