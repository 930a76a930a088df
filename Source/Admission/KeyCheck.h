#ifndef ANVIL_ADMISSION_KEYCHECK_H
#define ANVIL_ADMISSION_KEYCHECK_H

#include "Objects/ObjectSet.h"

#include <string_view>
#include <unordered_map>

namespace anvil {

/// Finds the key that a secret belongs to, in one revision.
class KeyCheck {
public:
  /// Takes over the keys of a revision.
  void adopt(SnapshotPtr Snapshot);

  /// The key of a secret that is neither unknown nor withdrawn; otherwise null.
  /// The key lives as long as the revision adopted last.
  const Key *find(std::string_view Secret) const;

  /// Whether the key of that name is known and not withdrawn.
  bool isValid(const std::string &KeyName) const;

private:
  SnapshotPtr Snapshot_;
  std::unordered_map<std::string_view, const Key *> ByDigest_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_KEYCHECK_H
