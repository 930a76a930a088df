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

/// The beginning of every claim's key.
static constexpr std::string_view ClaimPrefix = "claim/";

/// The waits between tries to record an end.
static constexpr Duration LeastRecordWait = std::chrono::milliseconds(100);
static constexpr Duration MostRecordWait = std::chrono::seconds(5);

/// The first and the last wait before a refused claim's row is looked for.
static constexpr Duration FirstTraceWait = std::chrono::seconds(1);
static constexpr Duration LastTraceWait = std::chrono::seconds(300);

/// How long a stopping VM waits for ends to be recorded, and how often it
/// looks.
static constexpr Duration HandOverTime = std::chrono::milliseconds(1500);
static constexpr Duration HandOverCheckPeriod = std::chrono::milliseconds(20);

/// How long the sweeper rests after it has seen every row.
static constexpr Duration SweepRest = std::chrono::seconds(60);

static GroupCommitOptions committerOptions(const LedgerSettings &Given) {
  GroupCommitOptions Options;
  Options.Window_ = std::chrono::milliseconds(Given.WindowMs_);
  Options.BatchRows_ = static_cast<std::size_t>(Given.BatchRows_);
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
  IsClaimantAlive_ = [this](const std::string &Vm, const std::string &Life) {
    std::string Known = Members_->incarnationOf(Vm);
    return Members_->isAlive(Vm) && (Known.empty() || Known == Life);
  };
}

std::vector<std::string> TableLedger::dependencies() const {
  return {std::string(PlatformService::Name), std::string(PeerNetwork::Name),
          std::string(MembershipService::Name)};
}

Status TableLedger::start() {
  answerPeers<ClaimLookupRequest>(
      *Network_,
      [this](std::string,
             ClaimLookupRequest Asked) -> asio::awaitable<ClaimLookupReply> {
        ClaimLookupReply Reply;
        Reply.Incarnation_ = Incarnation_;
        Reply.Running_ =
            Book_.lookUp(Asked.Row_, Asked.Id_) == ClaimantState::Running;
        co_return Reply;
      });
  Tick_ = Timers_.every(std::chrono::milliseconds(Settings_.Ledger_.SweepMs_),
                        BootClock::now(), [this](TimePoint Now) { tick(Now); });
  return std::monostate{};
}

void TableLedger::stop() { Tick_.cancel(); }

void TableLedger::tick(TimePoint Now) {
  auto Vms = static_cast<double>(Members_->members().size() + 1);
  double Gap = Vms / static_cast<double>(Settings_.Ledger_.WritesPerSecond_);
  Writer_->setPace(Duration(static_cast<std::int64_t>(Gap * 1e6)));
  Metrics_->gauge("anvil_ledger_unrecorded_bytes", {},
                  static_cast<double>(Book_.unrecordedBytes()));
  if (!RemovingTraces_ && !Traces_.empty())
    spawn(Executor_, removeTraces());
  if (!Sweeping_ && Now >= NextSweep_ && isSweeper())
    spawn(Executor_, sweep());
}

/// What a claim came to, for the metrics.
static std::string resultName(const Outcome<ClaimDecision> &Decided) {
  if (const auto *Refused = std::get_if<Refusal>(&Decided))
    return std::string(refusalTraits(Refused->Code_).Name_);
  bool MayRun =
      std::holds_alternative<ClaimToken>(std::get<ClaimDecision>(Decided));
  return MayRun ? "run" : "recorded_answer";
}

asio::awaitable<Outcome<ClaimDecision>>
TableLedger::claim(const RequestContext &Request) {
  if (Request.IdempotencyKey_.empty())
    co_return ClaimDecision(ClaimToken{});
  bool IsFull = Book_.unrecordedBytes() >
                static_cast<std::size_t>(Settings_.Ledger_.UnrecordedBytes_);
  if (IsFull)
    co_return Refusal{RefusalCode::PlatformUnavailable,
                      "too many outcomes wait to be recorded", Execution::No,
                      PlatformRetry};
  ClaimRequest Wanted;
  Wanted.Row_ = std::string(ClaimPrefix) + Request.Customer_ + "/" +
                sha256Hex(Request.IdempotencyKey_);
  Wanted.Digest_ = Request.Digest_;
  Wanted.Vm_ = Settings_.Vm_;
  Wanted.Incarnation_ = Incarnation_;
  Wanted.RequestId_ = Request.RequestId_;
  Wanted.ExpiresAt_ = UnixSeconds_() + Settings_.Ledger_.RetentionS_;
  ClaimSession Session(Book_, Wanted);
  ClaimStep Step = Session.begin();
  while (!std::holds_alternative<Outcome<ClaimDecision>>(Step)) {
    if (auto *Write = std::get_if<WriteClaim>(&Step)) {
      auto End = co_await Writer_->write(std::move(Write->Change_));
      Step = Session.writeEnded(End);
    } else {
      AskClaimant Whom = std::get<AskClaimant>(Step);
      auto Said = co_await ask(Wanted.Row_, std::move(Whom));
      Step = Session.claimantSaid(Said);
    }
  }
  if (Session.leftTrace()) {
    TimePoint Due = BootClock::now() + FirstTraceWait;
    Traces_.push_back({Wanted.Row_, Session.text(), Due, FirstTraceWait});
  }
  auto Decided = std::get<Outcome<ClaimDecision>>(std::move(Step));
  Metrics_->count("anvil_claims_total", {{"result", resultName(Decided)}});
  co_return Decided;
}

asio::awaitable<ClaimantState> TableLedger::ask(std::string Row,
                                                AskClaimant Whom) {
  std::string Life = Whom.Id_.substr(0, Whom.Id_.find('/'));
  bool IsOldLife = Whom.Vm_ == Settings_.Vm_ && Life != Incarnation_;
  if (IsOldLife)
    co_return ClaimantState::Gone;
  // A VM that is leaving still answers, so it is asked before the others are
  // believed.
  std::string Vm = Whom.Vm_;
  ClaimLookupRequest Asked;
  Asked.Row_ = std::move(Row);
  Asked.Id_ = std::move(Whom.Id_);
  auto Reply = co_await callPeer<ClaimLookupReply>(
      *Network_, std::move(Whom.Vm_), std::move(Asked),
      std::chrono::milliseconds(Settings_.Ledger_.LookupMs_));
  if (!isOk(Reply))
    co_return IsClaimantAlive_(Vm, Life) ? ClaimantState::NoAnswer
                                         : ClaimantState::Gone;
  if (valueOf(Reply).Incarnation_ != Life)
    co_return ClaimantState::Gone;
  co_return valueOf(Reply).Running_ ? ClaimantState::Running
                                    : ClaimantState::NotRunning;
}

asio::awaitable<void> TableLedger::record(ClaimToken Claim, ClaimEnd End) {
  if (Claim.Row_.empty())
    co_return;
  const HeldClaim *Held = Book_.find(Claim.Row_);
  checkInvariant(Held != nullptr, "an end is recorded of an unknown claim");
  ClaimRow Row;
  Row.Digest_ = Held->Digest_;
  Row.Vm_ = Settings_.Vm_;
  Row.Incarnation_ = Held->Id_;
  Row.ExpiresAt_ = UnixSeconds_() + Settings_.Ledger_.RetentionS_;
  Row.State_ =
      End.Ran_ == Execution::Yes ? ClaimState::Answered : ClaimState::Unknown;
  Row.Answer_ = std::move(End.Answer_);
  auto Limit = static_cast<std::size_t>(Settings_.Ledger_.AnswerLimitBytes_);
  if (Row.Answer_.Body_.size() > Limit) {
    Row.State_ = ClaimState::AnsweredWithoutBody;
    Row.Answer_ = {Row.Answer_.Status_, {}, {}};
  }
  std::optional<std::string> Text;
  if (End.Ran_ != Execution::No)
    Text = encodeClaim(Row);
  Book_.finish(Claim.Row_, std::move(Row), std::move(Text));
  // The caller gets its answer after one try: its run is over, and until the
  // end is recorded a resend elsewhere learns that it is in progress.
  if (!co_await tryToSettle(Claim.Row_))
    spawn(Executor_, settleLater(Claim.Row_));
}

asio::awaitable<bool> TableLedger::tryToSettle(std::string Row) {
  const HeldClaim *Held = Book_.find(Row);
  RowChange Change{Row, Held->Version_, Held->EndText_};
  auto End = co_await Writer_->write(std::move(Change));
  bool IsOver = End.Result_ == CommitResult::Committed ||
                End.Result_ == CommitResult::Conflict;
  // Only this process writes the row of its running claim, so a conflict means
  // that somebody removed or changed it by hand.
  if (End.Result_ == CommitResult::Conflict)
    logEvent(LogLevel::Error, "outcome_not_recorded", {{"row", Row}});
  if (IsOver)
    Book_.settle(Row);
  co_return IsOver;
}

asio::awaitable<void> TableLedger::settleLater(std::string Row) {
  logEvent(LogLevel::Warning, "outcome_recorded_later", {{"row", Row}});
  Metrics_->count("anvil_ledger_recorded_later_total");
  Backoff Waits(LeastRecordWait, MostRecordWait);
  double Random =
      static_cast<double>(stableHash(Row) % 1000) / 1000; // spreads the rows
  do
    co_await pauseFor(Waits.next(Random));
  while (!co_await tryToSettle(Row));
}

asio::awaitable<void> TableLedger::removeTraces() {
  RemovingTraces_ = true;
  TimePoint Now = BootClock::now();
  std::vector<Trace> Due;
  for (const Trace &Known : Traces_)
    if (Known.Due_ <= Now && Due.size() < 100)
      Due.push_back(Known);
  std::vector<std::string> Keys;
  for (const Trace &Known : Due)
    Keys.push_back(Known.Row_);
  if (Keys.empty()) {
    RemovingTraces_ = false;
    co_return;
  }
  auto Rows = co_await Platform_->read(std::move(Keys));
  if (isOk(Rows)) {
    for (const Trace &Known : Due) {
      for (const TableRow &Row : valueOf(Rows)) {
        if (Row.Key_ != Known.Row_ || Row.Value_ != Known.Text_)
          continue;
        RowChange Removal{Row.Key_, Row.Version_, std::nullopt};
        co_await Writer_->write(std::move(Removal));
      }
      // A write may arrive late, so the row is looked for a few times more.
      std::erase_if(Traces_, [&](Trace &Left) {
        if (Left.Text_ != Known.Text_)
          return false;
        Left.Wait_ *= 2;
        Left.Due_ = Now + Left.Wait_;
        return Left.Wait_ > LastTraceWait;
      });
    }
  }
  RemovingTraces_ = false;
}

bool TableLedger::isSweeper() const {
  std::vector<std::string> Vms{Settings_.Vm_};
  for (const auto &[Vm, Known] : Members_->members())
    if (Known.State_ == VmState::Live && Members_->isAlive(Vm))
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
    auto Removal = Sweeper_.takePage(valueOf(Rows), Limit, UnixSeconds_());
    if (Sweeper_.cursor().empty())
      NextSweep_ = BootClock::now() + SweepRest;
    double Count = static_cast<double>(Removal.Writes_.size());
    if (Count > 0) {
      // What a race leaves behind is found on the next pass.
      auto Ended = co_await Platform_->commit(std::move(Removal));
      if (Ended.Result_ == CommitResult::Committed)
        Metrics_->count("anvil_ledger_rows_expired_total", {}, Count);
    }
  }
  Sweeping_ = false;
}

asio::awaitable<void> TableLedger::handOver() {
  TimePoint GiveUp = BootClock::now() + HandOverTime;
  while (!Book_.unrecorded().empty() && BootClock::now() < GiveUp)
    co_await pauseFor(HandOverCheckPeriod);
}

} // namespace anvil
