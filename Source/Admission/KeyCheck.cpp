#include "Admission/KeyCheck.h"

#include "Objects/Digest.h"

namespace anvil {

void KeyCheck::adopt(SnapshotPtr Snapshot) {
  ByDigest_.clear();
  Snapshot_ = std::move(Snapshot);
  for (const auto &[Name, Known] : Snapshot_->Objects_.all<Key>())
    ByDigest_.emplace(Known.Sha256_, &Known);
}

const Key *KeyCheck::find(std::string_view Secret) const {
  std::string Digest = sha256Hex(Secret);
  auto Found = ByDigest_.find(Digest);
  if (Found == ByDigest_.end())
    return nullptr;
  const Key *Known = Found->second;
  if (!equalInConstantTime(Known->Sha256_, Digest) || Known->Withdrawn_)
    return nullptr;
  return Known;
}

bool KeyCheck::isValid(const std::string &KeyName) const {
  const Key *Known =
      Snapshot_ ? Snapshot_->Objects_.find<Key>(KeyName) : nullptr;
  return Known && !Known->Withdrawn_;
}

} // namespace anvil
