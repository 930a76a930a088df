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

std::string_view objectKindName(ObjectKind Kind);

/// The object kind of that name; nothing for an unknown name.
std::optional<ObjectKind> parseObjectKind(std::string_view Name);

/// Decodes one object with its `kind`. On failure it returns nothing and adds
/// the errors to `Errors`, each with `Place` and the field's name.
std::optional<AnyObject> decodeObject(const nlohmann::json &Source,
                                      const std::string &Place,
                                      std::vector<Error> &Errors);

/// Encodes one object with its `kind`.
nlohmann::json encodeObject(const AnyObject &Object);

/// Encodes a whole set. Equal sets give equal texts.
std::string encodeSnapshot(const ConfigSnapshot &Snapshot);

/// Decodes the result of `encodeSnapshot`. Returns the first error.
Result<ConfigSnapshot> decodeSnapshot(std::string_view Text);

} // namespace anvil

#endif // ANVIL_OBJECTS_OBJECTCODEC_H
