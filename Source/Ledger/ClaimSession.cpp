#include "Ledger/ClaimSession.h"

namespace anvil {

/// The retry delay given to callers while the request is running.
static constexpr Duration InProgressRetryDelay = std::chrono::seconds(1);

/// Writes of the row by one session; each one after the first replaces a claim
/// that was never dispatched.
static constexpr int MaxWrites = 4;

static Refusal inProgress() {
  return {RefusalCode::InProgress, "already running", Execution::Unknown,
          InProgressRetryDelay};
}

static Refusal outcomeUnknown(std::string Message) {
  return {RefusalCode::OutcomeUnknown, std::move(Message), Execution::Unknown,
          std::nullopt};
}

static Refusal keyConflict() {
  return {RefusalCode::IdempotencyConflict,
          "the Idempotency-Key was used for another request", Execution::No,
          std::nullopt};
}

static Refusal platformUnavailable() {
  return {RefusalCode::PlatformUnavailable,
          "requests that must not be repeated can't be recorded now",
          Execution::No, PlatformRetryDelay};
}

std::optional<Outcome<ClaimDecision>> decideClaim(const ClaimRow &Existing,
                                                  const std::string &Digest,
                                                  ClaimOwnerState State) {
  // A claim that was never dispatched does not bind its key to its request.
  bool NeverDispatched = Existing.State_ == ClaimState::Running &&
                         State == ClaimOwnerState::NotRunning;
  if (NeverDispatched)
    return std::nullopt;
  if (Existing.Digest_ != Digest)
    return keyConflict();
  switch (Existing.State_) {
  case ClaimState::Answered:
    return ClaimDecision(Existing.Reply_);
  case ClaimState::AnsweredWithoutBody:
    return Refusal{RefusalCode::OutcomeUnknown,
                   "ran and was answered with status " +
                       std::to_string(Existing.Reply_.Status_) +
                       "; the answer was too large to keep",
                   Execution::Yes, std::nullopt};
  case ClaimState::Unknown:
    return outcomeUnknown("may have run and is not run again");
  case ClaimState::Running:
    break;
  }
  if (State == ClaimOwnerState::Terminated)
    return outcomeUnknown("the VM that ran it is gone; it is not run again");
  return inProgress();
}

ClaimSession::ClaimSession(ClaimRegistry &Registry, ClaimRequest Request)
    : Registry_(Registry), Request_(std::move(Request)),
      Id_(Request_.Incarnation_ + "/" + Request_.RequestId_) {
  ClaimRow Row;
  Row.Digest_ = Request_.Digest_;
  Row.Vm_ = Request_.Vm_;
  Row.Incarnation_ = Id_;
  Row.ExpiresAt_ = Request_.ExpiresAt_;
  RowValue_ = encodeClaim(Row);
}

ClaimStep ClaimSession::begin() {
  if (const HeldClaim *Held = Registry_.find(Request_.Row_))
    return decideFromHeldClaim(*Held);
  Registry_.begin(Request_.Row_, Id_, Request_.Digest_);
  return write(0);
}

ClaimStep ClaimSession::decideFromHeldClaim(const HeldClaim &Held) const {
  if (Held.Digest_ != Request_.Digest_)
    return Outcome<ClaimDecision>(keyConflict());
  // A claim without a final value is being released: its request did not run.
  if (Held.Phase_ != ClaimPhase::Ended || !Held.FinalValue_)
    return Outcome<ClaimDecision>(inProgress());
  return *decideClaim(Held.FinalRow_, Request_.Digest_,
                      ClaimOwnerState::Running);
}

ClaimStep ClaimSession::write(std::uint64_t CheckVersion) {
  ++Writes_;
  return WriteClaim{{Request_.Row_, CheckVersion, RowValue_}};
}

ClaimStep ClaimSession::refuse(Refusal Reason) {
  Registry_.abandon(Request_.Row_);
  return Outcome<ClaimDecision>(std::move(Reason));
}

ClaimStep ClaimSession::onWriteCompleted(const ChangeResult &Result) {
  switch (Result.Result_) {
  case CommitResult::Committed:
    Registry_.confirm(Request_.Row_, Result.Version_);
    return Outcome<ClaimDecision>(
        ClaimDecision(ClaimToken{Request_.Row_, Result.Version_}));
  case CommitResult::Conflict:
    return decideFromRow(Result.CurrentRow_);
  case CommitResult::Ambiguous:
    HasUnconfirmedWrite_ = true;
    return refuse(platformUnavailable());
  case CommitResult::Unavailable:
    break;
  }
  return refuse(platformUnavailable());
}

ClaimStep ClaimSession::decideFromRow(const TableRow &Current) {
  if (Writes_ >= MaxWrites)
    return refuse(inProgress());
  if (Current.Version_ == 0)
    return write(0);
  FoundVersion_ = Current.Version_;
  auto Decoded = decodeClaim(Current.Value_);
  if (!isOk(Decoded))
    return refuse(outcomeUnknown("the stored record can't be read"));
  ClaimRow &Existing = valueOf(Decoded);
  bool IsOwnProcess =
      Existing.Vm_ == Request_.Vm_ &&
      Existing.Incarnation_.starts_with(Request_.Incarnation_ + "/");
  if (Existing.State_ == ClaimState::Running && IsOwnProcess &&
      Registry_.stateOf(Request_.Row_, Existing.Incarnation_) ==
          ClaimOwnerState::NotRunning)
    return write(FoundVersion_);
  FoundRow_ = std::move(Existing);
  if (FoundRow_.State_ == ClaimState::Running)
    return QueryClaimOwner{FoundRow_.Vm_, FoundRow_.Incarnation_};
  return claimOwnerReplied(ClaimOwnerState::NoReply);
}

ClaimStep ClaimSession::claimOwnerReplied(ClaimOwnerState State) {
  auto Decision = decideClaim(FoundRow_, Request_.Digest_, State);
  if (!Decision)
    return write(FoundVersion_);
  Registry_.abandon(Request_.Row_);
  return std::move(*Decision);
}

} // namespace anvil
