#include "Ledger/TableLedger.h"

#include "Objects/Digest.h"
#include "Telemetry/Log.h"

namespace anvil {

namespace asio = boost::asio;

/// When to ask again for the outcome of a running request.
static constexpr Duration InProgressRetry = std::chrono::seconds(1);

/// When to come back after the platform was not reachable.
static constexpr Duration PlatformRetry = std::chrono::seconds(2);

/// Times that a lost answer is looked up, and an end is recorded.
static constexpr int TableTries = 3;

TableLedger::TableLedger(std::shared_ptr<PlatformService> Platform,
                         std::string Vm, std::string Incarnation)
    : Platform_(std::move(Platform)), Vm_(std::move(Vm)),
      Incarnation_(std::move(Incarnation)) {}

static Refusal platformRefusal() {
  return {RefusalCode::PlatformUnavailable,
          "requests that may not be repeated can't be recorded now",
          Execution::No, PlatformRetry};
}

Outcome<ClaimDecision> TableLedger::decide(const TableRow &Row,
                                           const std::string &Digest) {
  auto Claim = decodeClaim(Row.Value_);
  if (!isOk(Claim))
    return Refusal{RefusalCode::OutcomeUnknown, "its record can't be read",
                   Execution::Unknown, std::nullopt};
  ClaimRow &Known = valueOf(Claim);
  if (Known.Digest_ != Digest)
    return Refusal{RefusalCode::IdempotencyConflict,
                   "the Idempotency-Key belongs to another request",
                   Execution::No, std::nullopt};
  if (Known.State_ == ClaimState::Answered)
    return ClaimDecision(std::move(Known.Answer_));
  if (Known.State_ == ClaimState::Unknown)
    return Refusal{RefusalCode::OutcomeUnknown,
                   "it may have run and is not run again", Execution::Unknown,
                   std::nullopt};
  return Refusal{RefusalCode::InProgress, "it is running now",
                 Execution::Unknown, InProgressRetry};
}

asio::awaitable<Outcome<ClaimDecision>>
TableLedger::claim(const RequestContext &Request) {
  if (Request.IdempotencyKey_.empty())
    co_return ClaimDecision(ClaimToken{});
  ClaimToken Token;
  Token.Row_ =
      "claim/" + Request.Customer_ + "/" + sha256Hex(Request.IdempotencyKey_);
  ClaimRow Wanted;
  Wanted.Digest_ = Request.Digest_;
  Wanted.Vm_ = Vm_;
  Wanted.Incarnation_ = Incarnation_ + "/" + Request.RequestId_;
  std::string Text = encodeClaim(Wanted);
  TableTransaction Transaction;
  Transaction.Checks_.push_back({Token.Row_, 0});
  Transaction.Writes_.push_back({Token.Row_, Text});
  auto Ended = co_await Platform_->commit(std::move(Transaction));
  if (Ended.Result_ == CommitResult::Committed) {
    Token.Version_ = Ended.Version_;
    co_return ClaimDecision(Token);
  }
  if (Ended.Result_ == CommitResult::Conflict && !Ended.Conflicts_.empty())
    co_return decide(Ended.Conflicts_.front(), Request.Digest_);
  if (Ended.Result_ != CommitResult::Ambiguous)
    co_return platformRefusal();
  for (int Try = 0; Try < TableTries; ++Try) {
    std::vector<std::string> Keys{Token.Row_};
    auto Rows = co_await Platform_->read(std::move(Keys));
    if (!isOk(Rows))
      continue;
    const TableRow &Row = valueOf(Rows).front();
    if (Row.Version_ == 0)
      break;
    if (Row.Value_ != Text)
      co_return decide(Row, Request.Digest_);
    Token.Version_ = Row.Version_;
    co_return ClaimDecision(Token);
  }
  // The write may still arrive; the request itself was not dispatched.
  co_return platformRefusal();
}

asio::awaitable<void> TableLedger::record(ClaimToken Claim, ClaimEnd End) {
  if (Claim.Row_.empty())
    co_return;
  TableTransaction Transaction;
  Transaction.Checks_.push_back({Claim.Row_, Claim.Version_});
  RowWrite Write{Claim.Row_, std::nullopt};
  if (End.Ran_ != Execution::No) {
    std::vector<std::string> Keys{Claim.Row_};
    auto Rows = co_await Platform_->read(std::move(Keys));
    auto Known = isOk(Rows) ? decodeClaim(valueOf(Rows).front().Value_)
                            : Result<ClaimRow>(errorOf(Rows));
    ClaimRow Row;
    if (isOk(Known))
      Row = valueOf(Known);
    Row.State_ =
        End.Ran_ == Execution::Yes ? ClaimState::Answered : ClaimState::Unknown;
    Row.Answer_ = std::move(End.Answer_);
    Write.Value_ = encodeClaim(Row);
  }
  Transaction.Writes_.push_back(std::move(Write));
  for (int Try = 0; Try < TableTries; ++Try) {
    auto Ended = co_await Platform_->commit(Transaction);
    if (Ended.Result_ == CommitResult::Committed ||
        Ended.Result_ == CommitResult::Conflict)
      co_return;
  }
  logEvent(LogLevel::Error, "outcome_not_recorded", {{"row", Claim.Row_}});
}

} // namespace anvil
