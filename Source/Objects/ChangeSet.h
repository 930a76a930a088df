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

/// An object that a change set removes.
struct ObjectRemoval {
  ObjectKind Kind_ = ObjectKind::Customer;
  std::string Name_;
};

/// A change to the operators' objects, applied as a whole or not at all.
struct ChangeSet {
  /// Identifies the submission, so that sending it again has no further effect.
  std::string SubmitId_;
  /// The revision the change was made against; absent means the newest one.
  std::optional<std::uint64_t> BaseRevision_;
  std::vector<AnyObject> Put_;
  std::vector<ObjectRemoval> Removals_;
};

/// All errors found in an operator's input.
using ErrorList = std::vector<Error>;

/// Reads a change set written as JSON, with comments allowed:
/// `{"submit_id", "base_revision", "put": [objects], "remove": [{kind,
/// name}]}`.
std::variant<ChangeSet, ErrorList> decodeChangeSet(std::string_view Text);

/// Writes a change set as `decodeChangeSet` reads it.
std::string encodeChangeSet(const ChangeSet &Change);

/// Returns the set after the change, or all its errors.
std::variant<ObjectSet, ErrorList> applyChange(const ObjectSet &Base,
                                               const ChangeSet &Change);

/// The change set that turns `From` into `To`.
ChangeSet computeDiff(const ObjectSet &From, const ObjectSet &To);

/// The objects that both change sets put or remove, each as `kind name`.
std::vector<std::string> objectsInBoth(const ChangeSet &Left,
                                       const ChangeSet &Right);

} // namespace anvil

#endif // ANVIL_OBJECTS_CHANGESET_H
