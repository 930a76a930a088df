#include "Ledger/ClaimRegistry.h"

#include "Kernel/Invariant.h"

namespace anvil {

bool ClaimRegistry::begin(const std::string &Row, std::string Id,
                          std::string Digest) {
  HeldClaim Held;
  Held.Id_ = std::move(Id);
  Held.Digest_ = std::move(Digest);
  return Claims_.emplace(Row, std::move(Held)).second;
}

void ClaimRegistry::confirm(const std::string &Row, std::uint64_t Version) {
  auto Found = Claims_.find(Row);
  checkInvariant(Found != Claims_.end() &&
                     Found->second.Phase_ == ClaimPhase::Claiming,
                 "a claim was acquired that was not being made");
  Found->second.Phase_ = ClaimPhase::Running;
  Found->second.Version_ = Version;
}

void ClaimRegistry::abandon(const std::string &Row) {
  auto Found = Claims_.find(Row);
  checkInvariant(Found != Claims_.end() &&
                     Found->second.Phase_ == ClaimPhase::Claiming,
                 "a claim was abandoned that may have been dispatched");
  Claims_.erase(Found);
}

void ClaimRegistry::recordOutcome(const std::string &Row, ClaimRow FinalRow,
                                  std::optional<std::string> FinalValue) {
  auto Found = Claims_.find(Row);
  checkInvariant(Found != Claims_.end() &&
                     Found->second.Phase_ == ClaimPhase::Running,
                 "a claim ended that was not running");
  Found->second.Phase_ = ClaimPhase::Ended;
  UnrecordedBytes_ += FinalValue.value_or("").size();
  Found->second.FinalRow_ = std::move(FinalRow);
  Found->second.FinalValue_ = std::move(FinalValue);
}

void ClaimRegistry::markRecorded(const std::string &Row) {
  auto Found = Claims_.find(Row);
  checkInvariant(Found != Claims_.end() &&
                     Found->second.Phase_ == ClaimPhase::Ended,
                 "the end of an unfinished claim was recorded");
  UnrecordedBytes_ -= Found->second.FinalValue_.value_or("").size();
  Claims_.erase(Found);
}

const HeldClaim *ClaimRegistry::find(const std::string &Row) const {
  auto Found = Claims_.find(Row);
  return Found == Claims_.end() ? nullptr : &Found->second;
}

ClaimOwnerState ClaimRegistry::stateOf(const std::string &Row,
                                       const std::string &Id) const {
  const HeldClaim *Held = find(Row);
  return Held && Held->Id_ == Id ? ClaimOwnerState::Running
                                 : ClaimOwnerState::NotRunning;
}

std::vector<std::string> ClaimRegistry::unrecordedRows() const {
  std::vector<std::string> Rows;
  for (const auto &[Row, Held] : Claims_)
    if (Held.Phase_ == ClaimPhase::Ended)
      Rows.push_back(Row);
  return Rows;
}

} // namespace anvil
