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

/// The cases come from one drawn seed: shrinking each choice on its own would
/// end in worlds where nothing is ever delivered.
std::mt19937_64 Random;

int draw(int End) {
  return static_cast<int>(Random() % static_cast<std::uint64_t>(End));
}

/// The platform's table: versions are never used twice.
struct FakeTable {
  std::map<std::string, TableRow> Rows_;
  std::uint64_t Next_ = 1;

  CommitOutcome commit(const TableTransaction &Given) {
    CommitOutcome Outcome;
    for (const RowCheck &Check : Given.Checks_) {
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
    Outcome.Version_ = Next_++;
    for (const RowWrite &Write : Given.Writes_) {
      Rows_.erase(Write.Key_);
      if (Write.Value_)
        Rows_[Write.Key_] = {Write.Key_, *Write.Value_, Outcome.Version_};
    }
    return Outcome;
  }
};

/// Requests of a few keys through several VMs that crash, before a table whose
/// answers are lost and whose writes arrive late.
class World {
public:
  World() {
    for (int Index = 0; Index < VmCount; ++Index)
      restart(Index);
  }

  /// One random event; `Calm` leaves the failures out.
  void step(bool Calm) {
    Now_ += std::chrono::milliseconds(1 + draw(5));
    switch (draw(Calm ? 4 : 8)) {
    case 0:
      takeBatches(draw(VmCount));
      break;
    case 1:
      deliver(Calm);
      break;
    case 2:
      answerLookup(Calm);
      break;
    case 3:
      endRun(Calm);
      break;
    case 4:
    case 5:
      send(draw(VmCount), "claim/c/" + std::to_string(draw(2)),
           draw(5) == 0 ? "other" : "digest");
      break;
    case 6:
      if (!Late_.empty())
        applyLate();
      break;
    default:
      if (draw(4) == 0)
        crash(draw(VmCount));
    }
  }

  bool isQuiet() const {
    bool Quiet = Sent_.empty() && Asked_.empty() && Running_.empty();
    for (const Vm &Each : Vms_)
      Quiet &= Each.Group_.size() == 0;
    return Quiet;
  }

  void applyLate() {
    Table_.commit(Late_.front());
    Late_.pop_front();
  }

  bool hasLate() const { return !Late_.empty(); }

  /// Sends a request; false when its session ended at once.
  void send(int VmIndex, const std::string &Row, const std::string &Digest) {
    Vm &Where = Vms_[VmIndex];
    ClaimRequest Request{Row,
                         Digest,
                         "vm" + std::to_string(VmIndex),
                         Where.Life_,
                         "r" + std::to_string(++LastId_),
                         1};
    auto Made = std::make_shared<Call>();
    Made->Vm_ = VmIndex;
    Made->Life_ = Where.Life_;
    Made->Row_ = Row;
    Made->Digest_ = Digest;
    Made->Session_.emplace(Where.Book_, Request);
    follow(Made, Made->Session_->begin());
  }

  /// Whether a run of the key may have had an effect.
  bool hasRun(const std::string &Row) const { return Open_.count(Row) > 0; }

  /// Whether the row is free or its maker can be asked.
  bool isResolvable(const std::string &Row) const {
    auto Found = Table_.Rows_.find(Row);
    if (Found == Table_.Rows_.end())
      return true;
    auto Known = std::get<ClaimRow>(decodeClaim(Found->second.Value_));
    const Vm &Maker = Vms_[Known.Vm_.back() - '0'];
    return Known.Incarnation_.starts_with(Maker.Life_ + "/");
  }

private:
  struct Call {
    int Vm_ = 0;
    std::string Life_;
    std::string Row_;
    std::string Digest_;
    std::optional<ClaimSession> Session_;
  };
  using CallPtr = std::shared_ptr<Call>;

  struct Vm {
    std::string Life_;
    ClaimBook Book_;
    GroupCommitter Group_{GroupCommitOptions{}};
    /// Who waits for a change; null is the record of a row's end.
    std::map<std::uint64_t, std::pair<CallPtr, std::string>> Waiting_;
  };

  struct SentBatch {
    int Vm_ = 0;
    GroupCommitter::Batch Batch_;
  };

  void restart(int Index) {
    Vms_[Index] = Vm();
    Vms_[Index].Life_ = "life" + std::to_string(++LastId_);
  }

  void crash(int Index) {
    for (SentBatch &Sent : Sent_)
      if (Sent.Vm_ == Index)
        Late_.push_back(std::move(Sent.Batch_.Transaction_));
    std::erase_if(Sent_, [&](auto &Sent) { return Sent.Vm_ == Index; });
    std::erase_if(Asked_,
                  [&](auto &Asked) { return Asked.first->Vm_ == Index; });
    std::erase_if(Running_, [&](auto &Run) { return Run->Vm_ == Index; });
    restart(Index);
  }

  void add(int VmIndex, RowChange Change, CallPtr Who) {
    Vm &Where = Vms_[VmIndex];
    std::string Row = Change.Key_;
    auto Id = Where.Group_.add(std::move(Change), Now_);
    RC_ASSERT(Id);
    Where.Waiting_[*Id] = {std::move(Who), Row};
  }

  void follow(const CallPtr &Made, ClaimStep Step) {
    if (auto *Write = std::get_if<WriteClaim>(&Step)) {
      add(Made->Vm_, Write->Change_, Made);
    } else if (auto *Ask = std::get_if<AskClaimant>(&Step)) {
      Asked_.push_back({Made, *Ask});
    } else {
      decided(Made, std::get<Outcome<ClaimDecision>>(Step));
    }
  }

  void decided(const CallPtr &Made, const Outcome<ClaimDecision> &Decision) {
    if (auto *Refused = std::get_if<Refusal>(&Decision)) {
      if (Refused->Code_ == RefusalCode::OutcomeUnknown)
        RC_ASSERT(Refused->Ran_ != Execution::No);
      return;
    }
    const auto &Given = std::get<ClaimDecision>(Decision);
    if (auto *Answer = std::get_if<HttpReply>(&Given)) {
      // What a resend gets is what the first run gave.
      RC_ASSERT(Open_.count(Made->Row_));
      RC_ASSERT(Answer->Body_ == Open_[Made->Row_]);
      return;
    }
    RC_ASSERT(!Open_.count(Made->Row_));
    Open_[Made->Row_] = "answer" + std::to_string(++LastId_) + Made->Digest_;
    Running_.push_back(Made);
  }

  void takeBatches(int Index) {
    while (auto Next = Vms_[Index].Group_.takeBatch(Now_))
      Sent_.push_back({Index, std::move(*Next)});
  }

  void deliver(bool Calm) {
    if (Sent_.empty())
      return;
    auto Place = Sent_.begin() + draw(static_cast<int>(Sent_.size()));
    SentBatch Sent = std::move(*Place);
    Sent_.erase(Place);
    CommitOutcome Outcome;
    Outcome.Result_ = CommitResult::Ambiguous;
    int Fate = Calm ? 0 : draw(8);
    if (Fate <= 3)
      Outcome = Table_.commit(Sent.Batch_.Transaction_);
    else if (Fate == 4)
      Table_.commit(Sent.Batch_.Transaction_);
    else if (Fate == 5)
      Late_.push_back(Sent.Batch_.Transaction_);
    else if (Fate == 6)
      Outcome.Result_ = CommitResult::Unavailable;
    Vm &Where = Vms_[Sent.Vm_];
    auto Ended = Where.Group_.batchEnded(Sent.Batch_.Id_, Outcome, Now_);
    for (const ChangeEnd &End : Ended) {
      auto [Who, Row] = Where.Waiting_.at(End.Id_);
      Where.Waiting_.erase(End.Id_);
      if (Who)
        follow(Who, Who->Session_->writeEnded(End));
      else
        recorded(Sent.Vm_, Row, End);
    }
  }

  void recorded(int VmIndex, const std::string &Row, const ChangeEnd &End) {
    Vm &Where = Vms_[VmIndex];
    const HeldClaim *Held = Where.Book_.find(Row);
    RC_ASSERT(Held);
    bool IsLost = End.Result_ == CommitResult::Conflict && Held->EndText_;
    RC_ASSERT(!IsLost);
    if (End.Result_ == CommitResult::Committed ||
        End.Result_ == CommitResult::Conflict)
      Where.Book_.settle(Row);
    else
      add(VmIndex, {Row, Held->Version_, Held->EndText_}, nullptr);
  }

  void answerLookup(bool Calm) {
    if (Asked_.empty())
      return;
    auto [Who, Ask] = Asked_.front();
    Asked_.pop_front();
    Vm &Maker = Vms_[Ask.Vm_.back() - '0'];
    auto State = ClaimantState::Gone;
    if (Ask.Id_.starts_with(Maker.Life_ + "/"))
      State = Maker.Book_.lookUp(Who->Row_, Ask.Id_);
    if (!Calm && draw(4) == 0)
      State = ClaimantState::NoAnswer;
    follow(Who, Who->Session_->claimantSaid(State));
  }

  void endRun(bool Calm) {
    if (Running_.empty())
      return;
    auto Place = Running_.begin() + draw(static_cast<int>(Running_.size()));
    CallPtr Ended = std::move(*Place);
    Running_.erase(Place);
    Vm &Where = Vms_[Ended->Vm_];
    ClaimRow End;
    End.Digest_ = Ended->Digest_;
    End.Vm_ = "vm" + std::to_string(Ended->Vm_);
    End.Incarnation_ = Where.Book_.find(Ended->Row_)->Id_;
    int Fate = Calm ? 0 : draw(3);
    End.State_ = Fate == 1 ? ClaimState::Unknown : ClaimState::Answered;
    End.Answer_.Body_ = Open_[Ended->Row_];
    std::optional<std::string> Text;
    if (Fate == 2)
      Open_.erase(Ended->Row_); // it did not run, so it may be sent again
    else
      Text = encodeClaim(End);
    Where.Book_.finish(Ended->Row_, End, Text);
    const HeldClaim *Held = Where.Book_.find(Ended->Row_);
    add(Ended->Vm_, {Ended->Row_, Held->Version_, Text}, nullptr);
  }

  FakeTable Table_;
  std::array<Vm, VmCount> Vms_;
  std::deque<SentBatch> Sent_;
  std::deque<TableTransaction> Late_;
  std::deque<std::pair<CallPtr, AskClaimant>> Asked_;
  std::vector<CallPtr> Running_;
  /// What each key's run that may have had an effect answers.
  std::map<std::string, std::string> Open_;
  TimePoint Now_{};
  int LastId_ = 0;
};

} // namespace

TEST_CASE("a request that may not be repeated") {
  rc::prop("is dispatched at most once, and is not held up for ever",
           [](std::uint64_t Seed) {
             Random.seed(Seed);
             World Tried;
             int Steps = 20 + draw(280);
             for (int Step = 0; Step < Steps; ++Step)
               Tried.step(false);
             for (int Step = 0; Step < 3000 && !Tried.isQuiet(); ++Step)
               Tried.step(true);
             RC_ASSERT(Tried.isQuiet());
             while (Tried.hasLate())
               Tried.applyLate();
             for (std::string Row : {"claim/c/0", "claim/c/1"}) {
               bool MustRun = !Tried.hasRun(Row) && Tried.isResolvable(Row);
               Tried.send(draw(VmCount), Row, "digest");
               for (int Step = 0; Step < 3000 && !Tried.isQuiet(); ++Step)
                 Tried.step(true);
               RC_ASSERT(Tried.isQuiet());
               if (MustRun)
                 RC_ASSERT(Tried.hasRun(Row));
             }
           });
}

TEST_CASE("what a resend finds") {
  ClaimRow Known;
  Known.Digest_ = "d";
  auto RefusalFor = [&](ClaimState State, ClaimantState Maker) {
    Known.State_ = State;
    return refusalOf(*decideClaim(Known, "d", Maker));
  };
  SECTION("a run whose VM lives is in progress, with a time to come back") {
    auto Given = RefusalFor(ClaimState::Running, ClaimantState::Running);
    REQUIRE(Given.Code_ == RefusalCode::InProgress);
    REQUIRE(Given.RetryAfter_);
  }
  SECTION("a run whose VM is gone is unknown and is not repeated") {
    auto Given = RefusalFor(ClaimState::Running, ClaimantState::Gone);
    REQUIRE(Given.Code_ == RefusalCode::OutcomeUnknown);
    REQUIRE(Given.Ran_ == Execution::Unknown);
  }
  SECTION("an answer too large to keep is said to have been given") {
    auto Given =
        RefusalFor(ClaimState::AnsweredWithoutBody, ClaimantState::NoAnswer);
    REQUIRE(Given.Ran_ == Execution::Yes);
  }
  SECTION("another request under the key is a conflict") {
    Known.State_ = ClaimState::Answered;
    auto Given = decideClaim(Known, "e", ClaimantState::NoAnswer);
    REQUIRE(refusalOf(*Given).Code_ == RefusalCode::IdempotencyConflict);
  }
}

TEST_CASE("group commit") {
  rc::prop(
      "ends every change once, with what the table holds",
      [](std::uint64_t Seed) {
        Random.seed(Seed);
        FakeTable Table;
        GroupCommitOptions Options;
        Options.BatchRows_ = 4;
        GroupCommitter Group(Options);
        TimePoint Now{};
        std::map<std::uint64_t, RowChange> Open;
        int Changes = draw(40);
        while (Changes > 0 || !Open.empty()) {
          Now += Options.Window_;
          for (int Count = draw(6); Count > 0 && Changes > 0; --Count) {
            RowChange Change{"k" + std::to_string(draw(30)), 0,
                             "v" + std::to_string(Changes--)};
            Open[*Group.add(Change, Now)] = Change;
          }
          while (auto Batch = Group.takeBatch(Now)) {
            RC_ASSERT(Batch->Transaction_.Writes_.size() <= Options.BatchRows_);
            CommitOutcome Outcome;
            Outcome.Result_ = CommitResult::Ambiguous;
            if (draw(4) > 0)
              Outcome = Table.commit(Batch->Transaction_);
            else if (draw(2) == 0)
              Table.commit(Batch->Transaction_);
            for (auto &End : Group.batchEnded(Batch->Id_, Outcome, Now)) {
              const RowChange &Change = Open.at(End.Id_);
              const std::string &Held = Table.Rows_[Change.Key_].Value_;
              if (End.Result_ == CommitResult::Committed)
                RC_ASSERT(Held == *Change.Value_);
              if (End.Result_ == CommitResult::Conflict)
                RC_ASSERT(Held == End.Found_.Value_ && Held != *Change.Value_);
              Open.erase(End.Id_);
            }
          }
        }
      });

  SECTION("keeps to its pace over a longer span") {
    GroupCommitOptions Options;
    Options.BurstBatches_ = 2;
    GroupCommitter Group(Options);
    Group.setPace(std::chrono::milliseconds(10));
    TimePoint Now{};
    int Batches = 0;
    for (int Millis = 0; Millis < 1000; ++Millis) {
      Now += std::chrono::milliseconds(1);
      Group.add({"k" + std::to_string(Millis), 0, "v"}, Now);
      while (auto Next = Group.takeBatch(Now)) {
        ++Batches;
        Group.batchEnded(Next->Id_, {CommitResult::Committed, 1, {}, ""}, Now);
      }
    }
    REQUIRE(Batches <= 103);
    REQUIRE(Batches >= 90);
  }
}

TEST_CASE("the sweep removes only rows past their time") {
  rc::prop("page by page", [](std::vector<std::uint8_t> Expiries) {
    std::vector<TableRow> Rows;
    std::size_t Old = 0;
    for (std::size_t Index = 0; Index < Expiries.size(); ++Index) {
      ClaimRow Row;
      Row.ExpiresAt_ = Expiries[Index];
      Old += Expiries[Index] <= 100;
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
      Removed += Sweeper.takePage(Page, 3, 100).Writes_.size();
    } while (!Sweeper.cursor().empty());
    RC_ASSERT(Removed == Old);
  });
}
