#include "Config/ConfigState.h"

namespace anvil {

ConfigState::ConfigState() : Current_(std::make_shared<ConfigSnapshot>()) {}

bool ConfigState::accept(SnapshotPtr Candidate) {
  if (Candidate->Revision_ <= Current_->Revision_)
    return false;
  Current_ = std::move(Candidate);
  Changed_.fire(Current_);
  return true;
}

} // namespace anvil
