#ifndef ANVIL_ADMISSION_KEYLOOKUP_H
#define ANVIL_ADMISSION_KEYLOOKUP_H

#include "Objects/ObjectSet.h"

#include <string_view>
#include <unordered_map>

namespace anvil {

/// Finds the key that a secret belongs to, in one configuration revision.
class KeyLookup {
public:
  /// Replaces the keys by those of a revision.
  void adopt(SnapshotPtr Snapshot);

  /// The key of the secret, or null if it is unknown or withdrawn. The pointer
  /// is valid until the next call of adopt().
  const Key *find(std::string_view Secret) const;

  /// Whether a key of that name exists and is not withdrawn.
  bool isValid(const std::string &KeyName) const;

private:
  SnapshotPtr Snapshot_;
  std::unordered_map<std::string_view, const Key *> ByDigest_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_KEYLOOKUP_H
