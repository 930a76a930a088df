#include "Ledger/ClaimSession.h"

namespace anvil {

/// When to ask again for the outcome of a running request.
static constexpr Duration InProgressRetry = std::chrono::seconds(1);

/// Times that a session writes its row; each further one takes over a claim
/// that was never dispatched.
static constexpr int MostWrites = 4;

static Refusal inProgress() {
  return {RefusalCode::InProgress, "it is running now", Execution::Unknown,
          InProgressRetry};
}

static Refusal unknown(std::string Message) {
  return {RefusalCode::OutcomeUnknown, std::move(Message), Execution::Unknown,
          std::nullopt};
}

static Refusal conflict() {
  return {RefusalCode::IdempotencyConflict,
          "the Idempotency-Key belongs to another request", Execution::No,
          std::nullopt};
}

static Refusal platformAway() {
  return {RefusalCode::PlatformUnavailable,
          "requests that may not be repeated can't be recorded now",
          Execution::No, PlatformRetry};
}

std::optional<Outcome<ClaimDecision>> decideClaim(const ClaimRow &Known,
                                                  const std::string &Digest,
                                                  ClaimantState State) {
  // A claim that never ran does not bind its key to its request.
  bool NeverRan =
      Known.State_ == ClaimState::Running && State == ClaimantState::NotRunning;
  if (NeverRan)
    return std::nullopt;
  if (Known.Digest_ != Digest)
    return conflict();
  switch (Known.State_) {
  case ClaimState::Answered:
    return ClaimDecision(Known.Answer_);
  case ClaimState::AnsweredWithoutBody:
    return Refusal{RefusalCode::OutcomeUnknown,
                   "it ran and was answered with status " +
                       std::to_string(Known.Answer_.Status_) +
                       "; the answer was too large to keep",
                   Execution::Yes, std::nullopt};
  case ClaimState::Unknown:
    return unknown("it may have run and is not run again");
  case ClaimState::Running:
    break;
  }
  if (State == ClaimantState::Gone)
    return unknown("the VM that ran it is gone; it is not run again");
  return inProgress();
}

ClaimSession::ClaimSession(ClaimBook &Book, ClaimRequest Request)
    : Book_(Book), Request_(std::move(Request)),
      Id_(Request_.Incarnation_ + "/" + Request_.RequestId_) {
  ClaimRow Wanted;
  Wanted.Digest_ = Request_.Digest_;
  Wanted.Vm_ = Request_.Vm_;
  Wanted.Incarnation_ = Id_;
  Wanted.ExpiresAt_ = Request_.ExpiresAt_;
  Text_ = encodeClaim(Wanted);
}

ClaimStep ClaimSession::begin() {
  if (const HeldClaim *Held = Book_.find(Request_.Row_))
    return decideHeld(*Held);
  Book_.begin(Request_.Row_, Id_, Request_.Digest_);
  return write(0);
}

ClaimStep ClaimSession::decideHeld(const HeldClaim &Held) const {
  if (Held.Digest_ != Request_.Digest_)
    return Outcome<ClaimDecision>(conflict());
  // A claim that is being given back did not run.
  if (Held.Phase_ != ClaimPhase::Ended || !Held.EndText_)
    return Outcome<ClaimDecision>(inProgress());
  return *decideClaim(Held.End_, Request_.Digest_, ClaimantState::Running);
}

ClaimStep ClaimSession::write(std::uint64_t CheckVersion) {
  ++Writes_;
  return WriteClaim{{Request_.Row_, CheckVersion, Text_}};
}

ClaimStep ClaimSession::refuse(Refusal Given) {
  Book_.abandon(Request_.Row_);
  return Outcome<ClaimDecision>(std::move(Given));
}

ClaimStep ClaimSession::writeEnded(const ChangeEnd &End) {
  switch (End.Result_) {
  case CommitResult::Committed:
    Book_.confirm(Request_.Row_, End.Version_);
    return Outcome<ClaimDecision>(
        ClaimDecision(ClaimToken{Request_.Row_, End.Version_}));
  case CommitResult::Conflict:
    return decideRow(End.Found_);
  case CommitResult::Ambiguous:
    LeftTrace_ = true;
    return refuse(platformAway());
  case CommitResult::Unavailable:
    break;
  }
  return refuse(platformAway());
}

ClaimStep ClaimSession::decideRow(const TableRow &Found) {
  if (Writes_ >= MostWrites)
    return refuse(inProgress());
  if (Found.Version_ == 0)
    return write(0);
  OtherVersion_ = Found.Version_;
  auto Decoded = decodeClaim(Found.Value_);
  if (!isOk(Decoded))
    return refuse(unknown("its record can't be read"));
  ClaimRow &Known = valueOf(Decoded);
  bool IsOwnProcess =
      Known.Vm_ == Request_.Vm_ &&
      Known.Incarnation_.starts_with(Request_.Incarnation_ + "/");
  if (Known.State_ == ClaimState::Running && IsOwnProcess &&
      Book_.lookUp(Request_.Row_, Known.Incarnation_) ==
          ClaimantState::NotRunning)
    return write(OtherVersion_);
  Other_ = std::move(Known);
  if (Other_.State_ == ClaimState::Running)
    return AskClaimant{Other_.Vm_, Other_.Incarnation_};
  return claimantSaid(ClaimantState::NoAnswer);
}

ClaimStep ClaimSession::claimantSaid(ClaimantState State) {
  auto Decided = decideClaim(Other_, Request_.Digest_, State);
  if (!Decided)
    return write(OtherVersion_);
  Book_.abandon(Request_.Row_);
  return std::move(*Decided);
}

} // namespace anvil
