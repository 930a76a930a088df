#ifndef ANVIL_OBJECTS_OBJECTCODEC_H
#define ANVIL_OBJECTS_OBJECTCODEC_H

#include "Kernel/Error.h"
#include "Objects/ObjectSet.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// The name of an object kind.
std::string_view objectKindName(ObjectKind Kind);

/// The object kind of that name.
std::optional<ObjectKind> parseObjectKind(std::string_view Name);

/// Reads one object with its `kind`. What is wrong is added to `Errors`, each
/// with `Place` and the field's name; then there is no object.
std::optional<AnyObject> decodeObject(const nlohmann::json &Source,
                                      const std::string &Place,
                                      std::vector<Error> &Errors);

/// Writes one object with its `kind`.
nlohmann::json encodeObject(const AnyObject &Object);

/// Writes a whole set as text. Equal sets give equal texts.
std::string encodeSnapshot(const ConfigSnapshot &Snapshot);

/// Reads what `encodeSnapshot` wrote. The error names the first fault.
Result<ConfigSnapshot> decodeSnapshot(std::string_view Text);

} // namespace anvil

#endif // ANVIL_OBJECTS_OBJECTCODEC_H
