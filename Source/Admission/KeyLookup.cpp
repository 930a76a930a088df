#include "Admission/KeyLookup.h"

#include "Objects/Digest.h"

namespace anvil {

void KeyLookup::adopt(SnapshotPtr Snapshot) {
  ByDigest_.clear();
  Snapshot_ = std::move(Snapshot);
  for (const auto &[Name, Candidate] : Snapshot_->Objects_.all<Key>())
    ByDigest_.emplace(Candidate.Sha256_, &Candidate);
}

const Key *KeyLookup::find(std::string_view Secret) const {
  std::string Digest = sha256Hex(Secret);
  auto Found = ByDigest_.find(Digest);
  if (Found == ByDigest_.end())
    return nullptr;
  const Key *Candidate = Found->second;
  if (!equalInConstantTime(Candidate->Sha256_, Digest) || Candidate->Withdrawn_)
    return nullptr;
  return Candidate;
}

bool KeyLookup::isValid(const std::string &KeyName) const {
  const Key *Candidate =
      Snapshot_ ? Snapshot_->Objects_.find<Key>(KeyName) : nullptr;
  return Candidate && !Candidate->Withdrawn_;
}

} // namespace anvil
