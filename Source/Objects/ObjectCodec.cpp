#include "Objects/ObjectCodec.h"

#include "Kernel/BoundedJson.h"
#include "Objects/FieldReader.h"
#include "Objects/FieldWriter.h"

#include <nlohmann/json.hpp>

namespace anvil {

using nlohmann::json;

static constexpr NumberRange Positive{1e-9};
static constexpr NumberRange Port{1, 65535};
static constexpr NumberRange AtLeastOne{1};

template <class Visitor> void visitFields(Visitor &, DataCentre &) {}

template <class Visitor> void visitFields(Visitor &Fields, Customer &Object) {
  Fields.field("rate_tokens_per_second", Object.RateTokensPerSecond_, Positive,
               FieldPresence::Required);
  Fields.field("burst_tokens", Object.BurstTokens_, AtLeastOne,
               FieldPresence::Required);
  Fields.field("weight", Object.Weight_, Positive);
  Fields.field("offline_key_seconds", Object.OfflineKeySeconds_);
}

template <class Visitor> void visitFields(Visitor &Fields, Key &Object) {
  Fields.field("customer", Object.Customer_, FieldPresence::Required);
  Fields.field("sha256", Object.Sha256_, FieldPresence::Required);
  Fields.field("withdrawn", Object.Withdrawn_);
}

template <class Visitor> void visitFields(Visitor &Fields, BaseModel &Object) {
  Fields.field("min_bytes_per_token", Object.MinBytesPerToken_, Positive);
  Fields.field("max_output_tokens", Object.MaxOutputTokens_, AtLeastOne);
}

template <class Visitor>
void visitFields(Visitor &Fields, AdapterVersion &Object) {
  Fields.field("name", Object.Name_, FieldPresence::Required);
  Fields.field("weights", Object.Weights_, FieldPresence::Required);
}

template <class Visitor> void visitFields(Visitor &Fields, Adapter &Object) {
  Fields.field("base_model", Object.BaseModel_, FieldPresence::Required);
  Fields.records("versions", Object.Versions_, FieldPresence::Required);
  Fields.field("current_version", Object.CurrentVersion_,
               FieldPresence::Required);
  Fields.field("customers", Object.Customers_);
}

template <class Visitor> void visitFields(Visitor &, PlainService &) {}

template <class Visitor> void visitFields(Visitor &Fields, Target &Object) {
  Fields.field("data_centre", Object.DataCentre_, FieldPresence::Required);
  Fields.choice("target_kind", Object.TargetKind_, TargetKindNames);
  Fields.field("address", Object.Address_, FieldPresence::Required);
  Fields.field("port", Object.Port_, Port, FieldPresence::Required);
  Fields.field("service", Object.Service_);
  Fields.field("base_model", Object.BaseModel_);
  Fields.field("pool", Object.Pool_);
  Fields.field("slots", Object.Slots_, AtLeastOne);
  Fields.field("adapter_slots", Object.AdapterSlots_, AtLeastOne);
  Fields.field("checks_fencing", Object.ChecksFencing_);
  Fields.field("leaving", Object.Leaving_);
}

template <class Visitor>
void visitFields(Visitor &Fields, RequestClass &Object) {
  Fields.field("priority", Object.Priority_);
  Fields.field("ageing_ms", Object.AgeingMs_, AtLeastOne);
}

template <class Visitor> void visitFields(Visitor &Fields, Route &Object) {
  Fields.field("path_prefix", Object.PathPrefix_, FieldPresence::Required);
  Fields.choice("route_kind", Object.RouteKind_, RouteKindNames);
  Fields.field("service", Object.Service_);
  Fields.field("pool", Object.Pool_);
  Fields.field("open", Object.Open_);
  Fields.field("request_class", Object.RequestClass_, FieldPresence::Required);
  Fields.field("repeatable", Object.Repeatable_);
  Fields.field("deadline_ms", Object.DeadlineMs_, AtLeastOne);
  Fields.field("cost_tokens", Object.CostTokens_);
}

template <class Visitor>
void visitFields(Visitor &Fields, WeightStore &Object) {
  Fields.field("loads_per_second", Object.LoadsPerSecond_, Positive);
  Fields.field("concurrent_loads", Object.ConcurrentLoads_, AtLeastOne);
  Fields.field("in_transit", Object.InTransit_, AtLeastOne);
}

std::string_view objectKindName(ObjectKind Kind) {
  for (const auto &[Known, Name] : ObjectKindNames)
    if (Known == Kind)
      return Name;
  return "unknown";
}

std::optional<ObjectKind> parseObjectKind(std::string_view Name) {
  for (const auto &[Kind, Known] : ObjectKindNames)
    if (Known == Name)
      return Kind;
  return std::nullopt;
}

/// An object of the kind with default values.
template <std::size_t Index = 0>
static std::optional<AnyObject> defaultObject(ObjectKind Kind) {
  if constexpr (Index == std::variant_size_v<AnyObject>) {
    return std::nullopt;
  } else {
    using Type = std::variant_alternative_t<Index, AnyObject>;
    if (Type::Kind == Kind)
      return Type{};
    return defaultObject<Index + 1>(Kind);
  }
}

std::optional<AnyObject> decodeObject(const json &Source,
                                      const std::string &Place,
                                      std::vector<Error> &Errors) {
  std::size_t ErrorsBefore = Errors.size();
  FieldReader Reader(Source, Place, Errors);
  ObjectKind Kind = ObjectKind::Customer;
  std::string Name;
  Reader.choice("kind", Kind, ObjectKindNames, FieldPresence::Required);
  Reader.field("name", Name, FieldPresence::Required);
  if (Errors.size() > ErrorsBefore)
    return std::nullopt;
  auto Object = defaultObject(Kind);
  std::visit(
      [&](auto &Typed) {
        Typed.Name_ = Name;
        visitFields(Reader, Typed);
      },
      *Object);
  Reader.reportUnknownFields();
  if (Errors.size() > ErrorsBefore)
    return std::nullopt;
  return Object;
}

json encodeObject(const AnyObject &Object) {
  json Target;
  std::visit(
      [&](auto Typed) {
        FieldWriter Writer(Target);
        Writer.choice("kind", Typed.Kind, ObjectKindNames);
        Writer.field("name", Typed.Name_);
        visitFields(Writer, Typed);
      },
      Object);
  return Target;
}

std::string encodeSnapshot(const ConfigSnapshot &Snapshot) {
  json Objects = json::array();
  Snapshot.Objects_.forEach([&](const auto &Object) {
    Objects.push_back(encodeObject(AnyObject(Object)));
  });
  json Document{{"revision", Snapshot.Revision_},
                {"objects", std::move(Objects)}};
  return Document.dump();
}

Result<ConfigSnapshot> decodeSnapshot(std::string_view Text) {
  Error Problem{ErrorCode::InvalidInput, "snapshot", "is not a valid snapshot",
                ""};
  json Document = parseOrDiscard(Text, ConfigurationLimits);
  if (!Document.is_object() || !Document.contains("revision") ||
      !Document["revision"].is_number_unsigned() ||
      !Document.contains("objects") || !Document["objects"].is_array())
    return Problem;
  ConfigSnapshot Snapshot;
  Snapshot.Revision_ = Document["revision"].get<std::uint64_t>();
  std::vector<Error> Errors;
  for (const json &Item : Document["objects"]) {
    auto Object = decodeObject(Item, "snapshot", Errors);
    if (!Object)
      return Errors.front();
    Snapshot.Objects_.put(std::move(*Object));
  }
  return Snapshot;
}

} // namespace anvil
