#ifndef ANVIL_OBJECTS_SETDIGEST_H
#define ANVIL_OBJECTS_SETDIGEST_H

#include "Objects/ChangeSet.h"
#include "Objects/ObjectSet.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvil {

/// An incremental digest of an object set: the sum of the objects' SHA-256
/// values, modulo 2^256, so an update costs only the size of the change. Equal
/// sets have equal digests whatever the order of their changes. It detects
/// corruption and inconsistencies between VMs that trust each other; it gives
/// no protection against forged sets.
class SetDigest {
public:
  /// The digest of the empty set.
  SetDigest() = default;

  /// Computes the digest of a whole set.
  static SetDigest compute(const ObjectSet &Objects);

  /// Parses the result of `hexText`; nothing when `Text` is not a digest.
  static std::optional<SetDigest> parse(std::string_view Text);

  /// Adds or removes one object.
  void add(const AnyObject &Object);
  void subtract(const AnyObject &Object);

  /// Updates the digest of `Base` to that of `Base` with `Change` applied.
  void applyDelta(const ObjectSet &Base, const ChangeSet &Change);

  /// The digest in lower-case hexadecimal.
  std::string hexText() const;

  bool operator==(const SetDigest &) const = default;

private:
  /// The sum in 32-bit words, least significant first.
  std::array<std::uint32_t, 8> Sum_{};
};

} // namespace anvil

#endif // ANVIL_OBJECTS_SETDIGEST_H
