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

/// A digest of a whole set that follows a change at the cost of the change: the
/// sum of the objects' SHA-256 values, modulo 2^256. Equal sets have equal
/// digests whatever the order of their changes. It finds damage and mistakes
/// between VMs that trust each other; it is no defence against forged sets.
class SetDigest {
public:
  /// The digest of the empty set.
  SetDigest() = default;

  /// The digest of a whole set.
  static SetDigest of(const ObjectSet &Objects);

  /// Reads what `text` wrote; nothing when the text is no digest.
  static std::optional<SetDigest> parse(std::string_view Text);

  /// Adds or takes away one object.
  void add(const AnyObject &Object);
  void subtract(const AnyObject &Object);

  /// Follows a change that was applied to `Base`.
  void follow(const ObjectSet &Base, const ChangeSet &Change);

  /// The digest in lower-case hexadecimal.
  std::string text() const;

  bool operator==(const SetDigest &) const = default;

private:
  /// The sum in 32-bit digits, least first.
  std::array<std::uint32_t, 8> Sum_{};
};

} // namespace anvil

#endif // ANVIL_OBJECTS_SETDIGEST_H
