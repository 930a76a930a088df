#ifndef ANVIL_OBJECTS_CHANGESET_H
#define ANVIL_OBJECTS_CHANGESET_H

#include "Kernel/Error.h"
#include "Objects/ObjectSet.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace anvil {

/// An object that a change set takes away.
struct ObjectRemoval {
  ObjectKind Kind_ = ObjectKind::Customer;
  std::string Name_;
};

/// What an operator wants changed, all of it or nothing.
struct ChangeSet {
  /// Names the submission, so that sending it again is harmless.
  std::string SubmitId_;
  /// The revision the operator looked at; absent means the newest one.
  std::optional<std::uint64_t> BaseRevision_;
  std::vector<AnyObject> Put_;
  std::vector<ObjectRemoval> Removals_;
};

/// Every fault found in something an operator sent.
using ErrorList = std::vector<Error>;

/// Reads a change set written as JSON, with comments allowed:
/// `{"submit_id", "base_revision", "put": [objects], "remove": [{kind,
/// name}]}`.
std::variant<ChangeSet, ErrorList> decodeChangeSet(std::string_view Text);

/// Writes a change set as `decodeChangeSet` reads it.
std::string encodeChangeSet(const ChangeSet &Change);

/// The set after the change, or all that is wrong with it.
std::variant<ObjectSet, ErrorList> applyChange(const ObjectSet &Base,
                                               const ChangeSet &Change);

/// What leads from one set to another.
ChangeSet differenceOf(const ObjectSet &From, const ObjectSet &To);

/// The objects that both changes touch, each as `kind name`.
std::vector<std::string> overlapOf(const ChangeSet &Left,
                                   const ChangeSet &Right);

} // namespace anvil

#endif // ANVIL_OBJECTS_CHANGESET_H
