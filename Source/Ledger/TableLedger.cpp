#include "Ledger/TableLedger.h"

#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Ledger/ClaimMessages.h"
#include "Membership/Rendezvous.h"
#include "Objects/Digest.h"
#include "TableService/Backoff.h"
#include "Telemetry/Log.h"

namespace anvil {

namespace asio = boost::asio;

/// The prefix of every claim's key.
static constexpr std::string_view ClaimPrefix = "claim/";

/// The delays between attempts to record an outcome.
static constexpr Duration MinRecordRetryDelay = std::chrono::milliseconds(100);
static constexpr Duration MaxRecordRetryDelay = std::chrono::seconds(5);

/// The first and the longest delay between checks for the row of a refused
/// claim, whose write may have taken effect late.
static constexpr Duration FirstCleanupDelay = std::chrono::seconds(1);
static constexpr Duration MaxCleanupDelay = std::chrono::seconds(300);

/// How long a stopping VM waits for outcomes to be recorded, and how often it
/// checks.
static constexpr Duration HandOverTimeout = std::chrono::milliseconds(1500);
static constexpr Duration HandOverCheckPeriod = std::chrono::milliseconds(20);

/// The pause after a sweep over all rows.
static constexpr Duration SweepInterval = std::chrono::seconds(60);

static GroupCommitOptions committerOptions(const LedgerSettings &Settings) {
  GroupCommitOptions Options;
  Options.Window_ = std::chrono::milliseconds(Settings.BatchWindowMs_);
  Options.BatchRows_ = static_cast<std::size_t>(Settings.BatchRows_);
  return Options;
}

static std::int64_t systemUnixSeconds() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(Now).count();
}

TableLedger::TableLedger(asio::any_io_executor Executor,
                         const DaemonSettings &Settings, TimerService &Timers,
                         const ServiceRegistry &Services,
                         std::string Incarnation)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      Platform_(Services.require<PlatformService>(PlatformService::Name)),
      Network_(Services.require<PeerNetwork>(PeerNetwork::Name)),
      Members_(Services.require<MembershipService>(MembershipService::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)),
      Incarnation_(std::move(Incarnation)), UnixSeconds_(systemUnixSeconds),
      Writer_(std::make_shared<LedgerWriter>(
          Executor_, Platform_, Metrics_, committerOptions(Settings.Ledger_))) {
  IsClaimOwnerAlive_ = [this](const std::string &Vm,
                              const std::string &ClaimIncarnation) {
    std::string KnownIncarnation = Members_->incarnationOf(Vm);
    return Members_->isAlive(Vm) &&
           (KnownIncarnation.empty() || KnownIncarnation == ClaimIncarnation);
  };
}

std::vector<std::string> TableLedger::dependencies() const {
  return {std::string(PlatformService::Name), std::string(PeerNetwork::Name),
          std::string(MembershipService::Name)};
}

Status TableLedger::start() {
  handlePeerRequests<ClaimLookupRequest>(
      *Network_,
      [this](std::string,
             ClaimLookupRequest Request) -> asio::awaitable<ClaimLookupReply> {
        ClaimLookupReply Reply;
        Reply.Incarnation_ = Incarnation_;
        Reply.Running_ = Registry_.stateOf(Request.Row_, Request.Id_) ==
                         ClaimOwnerState::Running;
        co_return Reply;
      });
  TickTimer_ =
      Timers_.every(std::chrono::milliseconds(Settings_.Ledger_.SweepMs_),
                    BootClock::now(), [this](TimePoint Now) { tick(Now); });
  return std::monostate{};
}

void TableLedger::stop() { TickTimer_.cancel(); }

void TableLedger::tick(TimePoint Now) {
  auto Vms = static_cast<double>(Members_->members().size() + 1);
  double Gap = Vms / static_cast<double>(Settings_.Ledger_.WritesPerSecond_);
  Writer_->setMinBatchInterval(Duration(static_cast<std::int64_t>(Gap * 1e6)));
  Metrics_->gauge("anvil_ledger_unrecorded_bytes", {},
                  static_cast<double>(Registry_.unrecordedBytes()));
  if (!RemovingWrites_ && !UnconfirmedWrites_.empty())
    spawn(Executor_, removeUnconfirmedWrites());
  if (!Sweeping_ && Now >= NextSweep_ && isSweeper())
    spawn(Executor_, sweep());
}

/// The metric label for the result of a claim.
static std::string resultName(const Outcome<ClaimDecision> &Decision) {
  if (const auto *Refused = std::get_if<Refusal>(&Decision))
    return std::string(refusalTraits(Refused->Code_).Name_);
  bool MayRun =
      std::holds_alternative<ClaimToken>(std::get<ClaimDecision>(Decision));
  return MayRun ? "run" : "recorded_answer";
}

asio::awaitable<Outcome<ClaimDecision>>
TableLedger::claim(const RequestContext &Request) {
  if (Request.IdempotencyKey_.empty())
    co_return ClaimDecision(ClaimToken{});
  bool IsFull = Registry_.unrecordedBytes() >
                static_cast<std::size_t>(Settings_.Ledger_.UnrecordedBytes_);
  if (IsFull)
    co_return Refusal{RefusalCode::PlatformUnavailable,
                      "too many outcomes wait to be recorded", Execution::No,
                      PlatformRetryDelay};
  ClaimRequest NewClaim;
  NewClaim.Row_ = std::string(ClaimPrefix) + Request.Customer_ + "/" +
                  sha256Hex(Request.IdempotencyKey_);
  NewClaim.Digest_ = Request.Digest_;
  NewClaim.Vm_ = Settings_.Vm_;
  NewClaim.Incarnation_ = Incarnation_;
  NewClaim.RequestId_ = Request.RequestId_;
  NewClaim.ExpiresAt_ = UnixSeconds_() + Settings_.Ledger_.RetentionS_;
  ClaimSession Session(Registry_, NewClaim);
  ClaimStep Step = Session.begin();
  while (!std::holds_alternative<Outcome<ClaimDecision>>(Step)) {
    if (auto *Write = std::get_if<WriteClaim>(&Step)) {
      auto Result = co_await Writer_->write(std::move(Write->Change_));
      Step = Session.onWriteCompleted(Result);
    } else {
      QueryClaimOwner Query = std::get<QueryClaimOwner>(Step);
      auto OwnerState =
          co_await queryClaimOwner(NewClaim.Row_, std::move(Query));
      Step = Session.claimOwnerReplied(OwnerState);
    }
  }
  if (Session.hasUnconfirmedWrite()) {
    TimePoint Due = BootClock::now() + FirstCleanupDelay;
    UnconfirmedWrites_.push_back(
        {NewClaim.Row_, Session.rowValue(), Due, FirstCleanupDelay});
  }
  auto Decision = std::get<Outcome<ClaimDecision>>(std::move(Step));
  Metrics_->count("anvil_claims_total", {{"result", resultName(Decision)}});
  co_return Decision;
}

asio::awaitable<ClaimOwnerState>
TableLedger::queryClaimOwner(std::string Row, QueryClaimOwner Query) {
  std::string ClaimIncarnation = Query.Id_.substr(0, Query.Id_.find('/'));
  bool IsEarlierIncarnation =
      Query.Vm_ == Settings_.Vm_ && ClaimIncarnation != Incarnation_;
  if (IsEarlierIncarnation)
    co_return ClaimOwnerState::Terminated;
  // A VM that is shutting down still replies, so the query is sent before the
  // membership's view is used.
  std::string Vm = Query.Vm_;
  ClaimLookupRequest Request;
  Request.Row_ = std::move(Row);
  Request.Id_ = std::move(Query.Id_);
  auto Reply = co_await callPeer<ClaimLookupReply>(
      *Network_, std::move(Query.Vm_), std::move(Request),
      std::chrono::milliseconds(Settings_.Ledger_.LookupMs_));
  if (!isOk(Reply))
    co_return IsClaimOwnerAlive_(Vm, ClaimIncarnation)
        ? ClaimOwnerState::NoReply
        : ClaimOwnerState::Terminated;
  if (valueOf(Reply).Incarnation_ != ClaimIncarnation)
    co_return ClaimOwnerState::Terminated;
  co_return valueOf(Reply).Running_ ? ClaimOwnerState::Running
                                    : ClaimOwnerState::NotRunning;
}

asio::awaitable<void> TableLedger::record(ClaimToken Claim,
                                          ClaimOutcome Result) {
  if (Claim.Row_.empty())
    co_return;
  const HeldClaim *Held = Registry_.find(Claim.Row_);
  checkInvariant(Held != nullptr, "the end of an unknown claim is recorded");
  ClaimRow Row;
  Row.Digest_ = Held->Digest_;
  Row.Vm_ = Settings_.Vm_;
  Row.Incarnation_ = Held->Id_;
  Row.ExpiresAt_ = UnixSeconds_() + Settings_.Ledger_.RetentionS_;
  Row.State_ = Result.Executed_ == Execution::Yes ? ClaimState::Answered
                                                  : ClaimState::Unknown;
  Row.Reply_ = std::move(Result.Reply_);
  auto Limit = static_cast<std::size_t>(Settings_.Ledger_.AnswerLimitBytes_);
  if (Row.Reply_.Body_.size() > Limit) {
    Row.State_ = ClaimState::AnsweredWithoutBody;
    Row.Reply_ = {Row.Reply_.Status_, {}, {}};
  }
  std::optional<std::string> Text;
  if (Result.Executed_ != Execution::No)
    Text = encodeClaim(Row);
  Registry_.recordOutcome(Claim.Row_, std::move(Row), std::move(Text));
  // The caller gets its reply after one attempt: the request has ended, and
  // until the outcome is recorded a resend to another VM is refused as in
  // progress.
  if (!co_await tryToRecord(Claim.Row_))
    spawn(Executor_, recordLater(Claim.Row_));
}

asio::awaitable<bool> TableLedger::tryToRecord(std::string Row) {
  const HeldClaim *Held = Registry_.find(Row);
  RowChange Change{Row, Held->Version_, Held->FinalValue_};
  auto Result = co_await Writer_->write(std::move(Change));
  bool IsFinal = Result.Result_ == CommitResult::Committed ||
                 Result.Result_ == CommitResult::Conflict;
  // Only this process writes the row of its running claim, so a conflict means
  // that the row was removed or changed by hand.
  if (Result.Result_ == CommitResult::Conflict)
    logEvent(LogLevel::Error, "outcome_not_recorded", {{"row", Row}});
  if (IsFinal)
    Registry_.markRecorded(Row);
  co_return IsFinal;
}

asio::awaitable<void> TableLedger::recordLater(std::string Row) {
  logEvent(LogLevel::Warning, "outcome_recorded_later", {{"row", Row}});
  Metrics_->count("anvil_ledger_recorded_later_total");
  Backoff RetryDelays(MinRecordRetryDelay, MaxRecordRetryDelay);
  // Spreads the retries of different rows.
  double Random = static_cast<double>(stableHash(Row) % 1000) / 1000;
  do
    co_await pauseFor(RetryDelays.next(Random));
  while (!co_await tryToRecord(Row));
}

asio::awaitable<void> TableLedger::removeUnconfirmedWrites() {
  RemovingWrites_ = true;
  TimePoint Now = BootClock::now();
  std::vector<UnconfirmedWrite> Due;
  for (const UnconfirmedWrite &Entry : UnconfirmedWrites_)
    if (Entry.DueAt_ <= Now && Due.size() < 100)
      Due.push_back(Entry);
  std::vector<std::string> Keys;
  for (const UnconfirmedWrite &Entry : Due)
    Keys.push_back(Entry.Row_);
  if (Keys.empty()) {
    RemovingWrites_ = false;
    co_return;
  }
  auto Rows = co_await Platform_->read(std::move(Keys));
  if (isOk(Rows)) {
    for (const UnconfirmedWrite &Entry : Due) {
      for (const TableRow &Row : valueOf(Rows)) {
        if (Row.Key_ != Entry.Row_ || Row.Value_ != Entry.RowValue_)
          continue;
        RowChange Removal{Row.Key_, Row.Version_, std::nullopt};
        co_await Writer_->write(std::move(Removal));
      }
      // The write may take effect late, so the row is checked a few more times.
      std::erase_if(UnconfirmedWrites_, [&](UnconfirmedWrite &Write) {
        if (Write.RowValue_ != Entry.RowValue_)
          return false;
        Write.Delay_ *= 2;
        Write.DueAt_ = Now + Write.Delay_;
        return Write.Delay_ > MaxCleanupDelay;
      });
    }
  }
  RemovingWrites_ = false;
}

bool TableLedger::isSweeper() const {
  std::vector<std::string> Vms{Settings_.Vm_};
  for (const auto &[Vm, Entry] : Members_->members())
    if (Entry.State_ == VmState::Live && Members_->isAlive(Vm))
      Vms.push_back(Vm);
  return rendezvousOrder("claim-sweeper", std::move(Vms)).front() ==
         Settings_.Vm_;
}

asio::awaitable<void> TableLedger::sweep() {
  Sweeping_ = true;
  auto Limit = static_cast<std::size_t>(Settings_.Ledger_.SweepRows_);
  auto Rows = co_await Platform_->scan(std::string(ClaimPrefix),
                                       Sweeper_.cursor(), Limit);
  if (isOk(Rows)) {
    auto Removal = Sweeper_.processPage(valueOf(Rows), Limit, UnixSeconds_());
    if (Sweeper_.cursor().empty())
      NextSweep_ = BootClock::now() + SweepInterval;
    double Count = static_cast<double>(Removal.Writes_.size());
    if (Count > 0) {
      // Rows left after a conflict are removed by the next sweep.
      auto Outcome = co_await Platform_->commit(std::move(Removal));
      if (Outcome.Result_ == CommitResult::Committed)
        Metrics_->count("anvil_ledger_rows_expired_total", {}, Count);
    }
  }
  Sweeping_ = false;
}

asio::awaitable<void> TableLedger::handOver() {
  TimePoint Deadline = BootClock::now() + HandOverTimeout;
  while (!Registry_.unrecordedRows().empty() && BootClock::now() < Deadline)
    co_await pauseFor(HandOverCheckPeriod);
}

} // namespace anvil
