#include "Ledger/ClaimSession.h"
#include "Ledger/ClaimSweeper.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <deque>
#include <random>

using namespace anvil;

namespace {

constexpr int VmCount = 3;

/// All random choices derive from one generated seed. If RapidCheck shrank each
/// choice on its own, it would end in simulations where nothing is delivered.
std::mt19937_64 RandomEngine;

int randomBelow(int End) {
  return static_cast<int>(RandomEngine() % static_cast<std::uint64_t>(End));
}

/// In-memory stand-in for the platform's table; versions are never reused.
struct FakeTable {
  std::map<std::string, TableRow> Rows_;
  std::uint64_t NextVersion_ = 1;

  CommitOutcome commit(const TableTransaction &Transaction) {
    CommitOutcome Outcome;
    for (const RowCheck &Check : Transaction.Checks_) {
      auto Found = Rows_.find(Check.Key_);
      TableRow Row =
          Found == Rows_.end() ? TableRow{Check.Key_, "", 0} : Found->second;
      if (Row.Version_ != Check.Version_)
        Outcome.Conflicts_.push_back(Row);
    }
    Outcome.Result_ = Outcome.Conflicts_.empty() ? CommitResult::Committed
                                                 : CommitResult::Conflict;
    if (Outcome.Result_ == CommitResult::Conflict)
      return Outcome;
    Outcome.Version_ = NextVersion_++;
    for (const RowWrite &Write : Transaction.Writes_) {
      Rows_.erase(Write.Key_);
      if (Write.Value_)
        Rows_[Write.Key_] = {Write.Key_, *Write.Value_, Outcome.Version_};
    }
    return Outcome;
  }
};

/// Simulates requests with a few keys on several VMs that may crash, with a
/// table whose replies may be lost and whose writes may take effect late.
class Simulation {
public:
  Simulation() {
    for (int Index = 0; Index < VmCount; ++Index)
      restart(Index);
  }

  /// Runs one random event; without failures and new requests if
  /// `WithoutFailures`.
  void step(bool WithoutFailures) {
    Now_ += std::chrono::milliseconds(1 + randomBelow(5));
    switch (randomBelow(WithoutFailures ? 4 : 8)) {
    case 0:
      takeBatches(randomBelow(VmCount));
      break;
    case 1:
      deliver(WithoutFailures);
      break;
    case 2:
      replyToLookup(WithoutFailures);
      break;
    case 3:
      finishRequest(WithoutFailures);
      break;
    case 4:
    case 5:
      send(randomBelow(VmCount), "claim/c/" + std::to_string(randomBelow(2)),
           randomBelow(5) == 0 ? "other" : "digest");
      break;
    case 6:
      if (!LateWrites_.empty())
        applyLateWrite();
      break;
    default:
      if (randomBelow(4) == 0)
        crash(randomBelow(VmCount));
    }
  }

  bool isIdle() const {
    bool IsIdle = Sent_.empty() && Lookups_.empty() && Running_.empty();
    for (const Vm &Each : Vms_)
      IsIdle &= Each.Committer_.size() == 0;
    return IsIdle;
  }

  void applyLateWrite() {
    Table_.commit(LateWrites_.front());
    LateWrites_.pop_front();
  }

  bool hasLateWrites() const { return !LateWrites_.empty(); }

  /// Sends a request to a VM.
  void send(int VmIndex, const std::string &Row, const std::string &Digest) {
    Vm &Target = Vms_[VmIndex];
    ClaimRequest Request{Row,
                         Digest,
                         "vm" + std::to_string(VmIndex),
                         Target.Incarnation_,
                         "r" + std::to_string(++LastId_),
                         1};
    auto Made = std::make_shared<Call>();
    Made->Vm_ = VmIndex;
    Made->Incarnation_ = Target.Incarnation_;
    Made->Row_ = Row;
    Made->Digest_ = Digest;
    Made->Session_.emplace(Target.Registry_, Request);
    handleStep(Made, Made->Session_->begin());
  }

  /// Whether a request with this row was executed or may have been.
  bool mayHaveRun(const std::string &Row) const {
    return Replies_.count(Row) > 0;
  }

  /// Whether the row is free or the process that made its claim still runs.
  bool canBeResolved(const std::string &Row) const {
    auto Found = Table_.Rows_.find(Row);
    if (Found == Table_.Rows_.end())
      return true;
    auto Existing = std::get<ClaimRow>(decodeClaim(Found->second.Value_));
    const Vm &Owner = Vms_[Existing.Vm_.back() - '0'];
    return Existing.Incarnation_.starts_with(Owner.Incarnation_ + "/");
  }

private:
  struct Call {
    int Vm_ = 0;
    std::string Incarnation_;
    std::string Row_;
    std::string Digest_;
    std::optional<ClaimSession> Session_;
  };
  using CallPtr = std::shared_ptr<Call>;

  struct Vm {
    std::string Incarnation_;
    ClaimRegistry Registry_;
    GroupCommitter Committer_{GroupCommitOptions{}};
    /// The call and row of each change; a null call means that the change
    /// records an outcome.
    std::map<std::uint64_t, std::pair<CallPtr, std::string>> Waiting_;
  };

  struct SentBatch {
    int Vm_ = 0;
    GroupCommitter::Batch Batch_;
  };

  void restart(int Index) {
    Vms_[Index] = Vm();
    Vms_[Index].Incarnation_ = "life" + std::to_string(++LastId_);
  }

  void crash(int Index) {
    for (SentBatch &Sent : Sent_)
      if (Sent.Vm_ == Index)
        LateWrites_.push_back(std::move(Sent.Batch_.Transaction_));
    std::erase_if(Sent_, [&](auto &Sent) { return Sent.Vm_ == Index; });
    std::erase_if(Lookups_,
                  [&](auto &Lookup) { return Lookup.first->Vm_ == Index; });
    std::erase_if(Running_, [&](auto &Run) { return Run->Vm_ == Index; });
    restart(Index);
  }

  void add(int VmIndex, RowChange Change, CallPtr Caller) {
    Vm &Target = Vms_[VmIndex];
    std::string Row = Change.Key_;
    auto Id = Target.Committer_.add(std::move(Change), Now_);
    RC_ASSERT(Id);
    Target.Waiting_[*Id] = {std::move(Caller), Row};
  }

  void handleStep(const CallPtr &Made, ClaimStep Step) {
    if (auto *Write = std::get_if<WriteClaim>(&Step)) {
      add(Made->Vm_, Write->Change_, Made);
    } else if (auto *Query = std::get_if<QueryClaimOwner>(&Step)) {
      Lookups_.push_back({Made, *Query});
    } else {
      handleDecision(Made, std::get<Outcome<ClaimDecision>>(Step));
    }
  }

  void handleDecision(const CallPtr &Made,
                      const Outcome<ClaimDecision> &Decision) {
    if (auto *Refused = std::get_if<Refusal>(&Decision)) {
      if (Refused->Code_ == RefusalCode::OutcomeUnknown)
        RC_ASSERT(Refused->Executed_ != Execution::No);
      return;
    }
    const auto &Reply = std::get<ClaimDecision>(Decision);
    if (auto *Recorded = std::get_if<HttpReply>(&Reply)) {
      // A resend receives the reply of the first execution.
      RC_ASSERT(Replies_.count(Made->Row_));
      RC_ASSERT(Recorded->Body_ == Replies_[Made->Row_]);
      return;
    }
    RC_ASSERT(!Replies_.count(Made->Row_));
    Replies_[Made->Row_] = "answer" + std::to_string(++LastId_) + Made->Digest_;
    Running_.push_back(Made);
  }

  void takeBatches(int Index) {
    while (auto Next = Vms_[Index].Committer_.takeBatch(Now_))
      Sent_.push_back({Index, std::move(*Next)});
  }

  void deliver(bool WithoutFailures) {
    if (Sent_.empty())
      return;
    auto Position = Sent_.begin() + randomBelow(static_cast<int>(Sent_.size()));
    SentBatch Sent = std::move(*Position);
    Sent_.erase(Position);
    CommitOutcome Outcome;
    Outcome.Result_ = CommitResult::Ambiguous;
    int Failure = WithoutFailures ? 0 : randomBelow(8);
    if (Failure <= 3)
      Outcome = Table_.commit(Sent.Batch_.Transaction_);
    else if (Failure == 4)
      Table_.commit(Sent.Batch_.Transaction_);
    else if (Failure == 5)
      LateWrites_.push_back(Sent.Batch_.Transaction_);
    else if (Failure == 6)
      Outcome.Result_ = CommitResult::Unavailable;
    Vm &Target = Vms_[Sent.Vm_];
    auto Ended =
        Target.Committer_.completeBatch(Sent.Batch_.Id_, Outcome, Now_);
    for (const ChangeResult &End : Ended) {
      auto [Caller, Row] = Target.Waiting_.at(End.Id_);
      Target.Waiting_.erase(End.Id_);
      if (Caller)
        handleStep(Caller, Caller->Session_->onWriteCompleted(End));
      else
        handleRecorded(Sent.Vm_, Row, End);
    }
  }

  void handleRecorded(int VmIndex, const std::string &Row,
                      const ChangeResult &End) {
    Vm &Target = Vms_[VmIndex];
    const HeldClaim *Held = Target.Registry_.find(Row);
    RC_ASSERT(Held);
    bool IsOverwritten =
        End.Result_ == CommitResult::Conflict && Held->FinalValue_;
    RC_ASSERT(!IsOverwritten);
    if (End.Result_ == CommitResult::Committed ||
        End.Result_ == CommitResult::Conflict)
      Target.Registry_.markRecorded(Row);
    else
      add(VmIndex, {Row, Held->Version_, Held->FinalValue_}, nullptr);
  }

  void replyToLookup(bool WithoutFailures) {
    if (Lookups_.empty())
      return;
    auto [Caller, Query] = Lookups_.front();
    Lookups_.pop_front();
    Vm &Owner = Vms_[Query.Vm_.back() - '0'];
    auto State = ClaimOwnerState::Terminated;
    if (Query.Id_.starts_with(Owner.Incarnation_ + "/"))
      State = Owner.Registry_.stateOf(Caller->Row_, Query.Id_);
    if (!WithoutFailures && randomBelow(4) == 0)
      State = ClaimOwnerState::NoReply;
    handleStep(Caller, Caller->Session_->claimOwnerReplied(State));
  }

  void finishRequest(bool WithoutFailures) {
    if (Running_.empty())
      return;
    auto Position =
        Running_.begin() + randomBelow(static_cast<int>(Running_.size()));
    CallPtr Ended = std::move(*Position);
    Running_.erase(Position);
    Vm &Target = Vms_[Ended->Vm_];
    ClaimRow End;
    End.Digest_ = Ended->Digest_;
    End.Vm_ = "vm" + std::to_string(Ended->Vm_);
    End.Incarnation_ = Target.Registry_.find(Ended->Row_)->Id_;
    int Failure = WithoutFailures ? 0 : randomBelow(3);
    End.State_ = Failure == 1 ? ClaimState::Unknown : ClaimState::Answered;
    End.Reply_.Body_ = Replies_[Ended->Row_];
    std::optional<std::string> Text;
    if (Failure == 2)
      Replies_.erase(Ended->Row_); // It did not run, so it may be sent again.
    else
      Text = encodeClaim(End);
    Target.Registry_.recordOutcome(Ended->Row_, End, Text);
    const HeldClaim *Held = Target.Registry_.find(Ended->Row_);
    add(Ended->Vm_, {Ended->Row_, Held->Version_, Text}, nullptr);
  }

  FakeTable Table_;
  std::array<Vm, VmCount> Vms_;
  std::deque<SentBatch> Sent_;
  std::deque<TableTransaction> LateWrites_;
  std::deque<std::pair<CallPtr, QueryClaimOwner>> Lookups_;
  std::vector<CallPtr> Running_;
  /// The reply of the request that was or may have been executed, by row.
  std::map<std::string, std::string> Replies_;
  TimePoint Now_{};
  int LastId_ = 0;
};

} // namespace

TEST_CASE("a request that must not be repeated") {
  rc::prop("is dispatched at most once and is eventually decided",
           [](std::uint64_t Seed) {
             RandomEngine.seed(Seed);
             Simulation World;
             int Steps = 20 + randomBelow(280);
             for (int Step = 0; Step < Steps; ++Step)
               World.step(false);
             for (int Step = 0; Step < 3000 && !World.isIdle(); ++Step)
               World.step(true);
             RC_ASSERT(World.isIdle());
             while (World.hasLateWrites())
               World.applyLateWrite();
             for (std::string Row : {"claim/c/0", "claim/c/1"}) {
               bool MustRun =
                   !World.mayHaveRun(Row) && World.canBeResolved(Row);
               World.send(randomBelow(VmCount), Row, "digest");
               for (int Step = 0; Step < 3000 && !World.isIdle(); ++Step)
                 World.step(true);
               RC_ASSERT(World.isIdle());
               if (MustRun)
                 RC_ASSERT(World.mayHaveRun(Row));
             }
           });
}

TEST_CASE("the reply to a resend") {
  ClaimRow Existing;
  Existing.Digest_ = "d";
  auto RefusalFor = [&](ClaimState State, ClaimOwnerState Owner) {
    Existing.State_ = State;
    return refusalOf(*decideClaim(Existing, "d", Owner));
  };
  SECTION("is 'in progress' with a retry delay while the VM is alive") {
    auto Reply = RefusalFor(ClaimState::Running, ClaimOwnerState::Running);
    REQUIRE(Reply.Code_ == RefusalCode::InProgress);
    REQUIRE(Reply.RetryAfter_);
  }
  SECTION(
      "is 'outcome unknown' if the VM that ran the request has terminated") {
    auto Reply = RefusalFor(ClaimState::Running, ClaimOwnerState::Terminated);
    REQUIRE(Reply.Code_ == RefusalCode::OutcomeUnknown);
    REQUIRE(Reply.Executed_ == Execution::Unknown);
  }
  SECTION(
      "states that the request ran if its response was too large to store") {
    auto Reply =
        RefusalFor(ClaimState::AnsweredWithoutBody, ClaimOwnerState::NoReply);
    REQUIRE(Reply.Executed_ == Execution::Yes);
  }
  SECTION("is a conflict if the key was used for another request") {
    Existing.State_ = ClaimState::Answered;
    auto Reply = decideClaim(Existing, "e", ClaimOwnerState::NoReply);
    REQUIRE(refusalOf(*Reply).Code_ == RefusalCode::IdempotencyConflict);
  }
}

TEST_CASE("group commit") {
  rc::prop(
      "completes every change once, with a result that matches the table",
      [](std::uint64_t Seed) {
        RandomEngine.seed(Seed);
        FakeTable Table;
        GroupCommitOptions Options;
        Options.BatchRows_ = 4;
        GroupCommitter Committer(Options);
        TimePoint Now{};
        std::map<std::uint64_t, RowChange> Open;
        int Changes = randomBelow(40);
        while (Changes > 0 || !Open.empty()) {
          Now += Options.Window_;
          for (int Count = randomBelow(6); Count > 0 && Changes > 0; --Count) {
            RowChange Change{"k" + std::to_string(randomBelow(30)), 0,
                             "v" + std::to_string(Changes--)};
            Open[*Committer.add(Change, Now)] = Change;
          }
          while (auto Batch = Committer.takeBatch(Now)) {
            RC_ASSERT(Batch->Transaction_.Writes_.size() <= Options.BatchRows_);
            CommitOutcome Outcome;
            Outcome.Result_ = CommitResult::Ambiguous;
            if (randomBelow(4) > 0)
              Outcome = Table.commit(Batch->Transaction_);
            else if (randomBelow(2) == 0)
              Table.commit(Batch->Transaction_);
            for (auto &End :
                 Committer.completeBatch(Batch->Id_, Outcome, Now)) {
              const RowChange &Change = Open.at(End.Id_);
              const std::string &Held = Table.Rows_[Change.Key_].Value_;
              if (End.Result_ == CommitResult::Committed)
                RC_ASSERT(Held == *Change.Value_);
              if (End.Result_ == CommitResult::Conflict)
                RC_ASSERT(Held == End.CurrentRow_.Value_ &&
                          Held != *Change.Value_);
              Open.erase(End.Id_);
            }
          }
        }
      });

  SECTION("keeps the minimum average interval between batches") {
    GroupCommitOptions Options;
    Options.BurstBatches_ = 2;
    GroupCommitter Committer(Options);
    Committer.setMinBatchInterval(std::chrono::milliseconds(10));
    TimePoint Now{};
    int Batches = 0;
    for (int Millisecond = 0; Millisecond < 1000; ++Millisecond) {
      Now += std::chrono::milliseconds(1);
      Committer.add({"k" + std::to_string(Millisecond), 0, "v"}, Now);
      while (auto Next = Committer.takeBatch(Now)) {
        ++Batches;
        Committer.completeBatch(Next->Id_, {CommitResult::Committed, 1, {}, ""},
                                Now);
      }
    }
    REQUIRE(Batches <= 103);
    REQUIRE(Batches >= 90);
  }
}

TEST_CASE("the sweep removes only expired rows") {
  rc::prop("page by page", [](std::vector<std::uint8_t> Expiries) {
    std::vector<TableRow> Rows;
    std::size_t ExpiredCount = 0;
    for (std::size_t Index = 0; Index < Expiries.size(); ++Index) {
      ClaimRow Row;
      Row.ExpiresAt_ = Expiries[Index];
      ExpiredCount += Expiries[Index] <= 100;
      Rows.push_back({"claim/" + std::to_string(1000 + Index), encodeClaim(Row),
                      Index + 1});
    }
    ClaimSweeper Sweeper;
    std::size_t Removed = 0;
    do {
      std::vector<TableRow> Page;
      for (const TableRow &Row : Rows)
        if (Row.Key_ > Sweeper.cursor() && Page.size() < 3)
          Page.push_back(Row);
      Removed += Sweeper.processPage(Page, 3, 100).Writes_.size();
    } while (!Sweeper.cursor().empty());
    RC_ASSERT(Removed == ExpiredCount);
  });
}
