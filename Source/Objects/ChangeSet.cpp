#include "Objects/ChangeSet.h"

#include "Kernel/BoundedJson.h"
#include "Objects/FieldReader.h"
#include "Objects/ObjectCodec.h"
#include "Objects/ObjectValidator.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace anvil {

using nlohmann::json;

template <class Visitor>
void visitFields(Visitor &Fields, ObjectRemoval &Removal) {
  Fields.choice("kind", Removal.Kind_, ObjectKindNames,
                FieldPresence::Required);
  Fields.field("name", Removal.Name_, FieldPresence::Required);
}

static void decodePut(const json &Items, ChangeSet &Change, ErrorList &Errors) {
  for (std::size_t Index = 0; Index < Items.size(); ++Index) {
    std::string Place = "put[" + std::to_string(Index) + "]";
    auto Object = decodeObject(Items[Index], Place, Errors);
    if (Object)
      Change.Put_.push_back(std::move(*Object));
  }
}

std::variant<ChangeSet, ErrorList> decodeChangeSet(std::string_view Text) {
  if (exceededLimit(Text, ConfigurationLimits))
    return ErrorList{{ErrorCode::TooLarge, "change set",
                      "is too long, or nested too deep", "divide it"}};
  json Source;
  try {
    Source = json::parse(Text, nullptr, true, true);
  } catch (const json::parse_error &Problem) {
    return ErrorList{{ErrorCode::InvalidInput, "change set", Problem.what(),
                      "write it as JSON; comments are allowed"}};
  }
  ChangeSet Change;
  ErrorList Errors;
  // Objects are decoded by their kind, separately from the other fields.
  json Put = json::array();
  if (Source.is_object() && Source.contains("put")) {
    Put = Source["put"];
    Source.erase("put");
  }
  FieldReader Reader(Source, "", Errors);
  Reader.field("submit_id", Change.SubmitId_);
  std::int64_t Base = -1;
  Reader.field("base_revision", Base);
  if (Base >= 0)
    Change.BaseRevision_ = static_cast<std::uint64_t>(Base);
  Reader.records("remove", Change.Removals_);
  if (Put.is_array())
    decodePut(Put, Change, Errors);
  else
    Reader.report("put", "is not a list", "write it in square brackets");
  Reader.reportUnknownFields();
  if (!Errors.empty())
    return Errors;
  return Change;
}

std::string encodeChangeSet(const ChangeSet &Change) {
  json Document = json::object();
  if (!Change.SubmitId_.empty())
    Document["submit_id"] = Change.SubmitId_;
  if (Change.BaseRevision_)
    Document["base_revision"] = *Change.BaseRevision_;
  Document["put"] = json::array();
  for (const AnyObject &Object : Change.Put_)
    Document["put"].push_back(encodeObject(Object));
  Document["remove"] = json::array();
  for (const ObjectRemoval &Removal : Change.Removals_)
    Document["remove"].push_back(
        {{"kind", objectKindName(Removal.Kind_)}, {"name", Removal.Name_}});
  return Document.dump();
}

std::variant<ObjectSet, ErrorList> applyChange(const ObjectSet &Base,
                                               const ChangeSet &Change) {
  ObjectSet Next = Base;
  ErrorList Errors;
  for (const ObjectRemoval &Removal : Change.Removals_)
    if (!Next.remove(Removal.Kind_, Removal.Name_))
      Errors.push_back(
          {ErrorCode::NotFound,
           std::string(objectKindName(Removal.Kind_)) + " " + Removal.Name_,
           "can't be removed because it doesn't exist",
           "correct the name or leave the removal out"});
  for (const AnyObject &Object : Change.Put_)
    Next.put(Object);
  ErrorList Invalid = validateObjects(Next);
  Errors.insert(Errors.end(), Invalid.begin(), Invalid.end());
  if (!Errors.empty())
    return Errors;
  return Next;
}

ChangeSet computeDiff(const ObjectSet &From, const ObjectSet &To) {
  ChangeSet Change;
  To.forEach([&](const auto &Object) {
    using Type = std::decay_t<decltype(Object)>;
    const Type *Old = From.find<Type>(Object.Name_);
    if (!Old || encodeObject(*Old) != encodeObject(Object))
      Change.Put_.push_back(Object);
  });
  From.forEach([&](const auto &Object) {
    using Type = std::decay_t<decltype(Object)>;
    if (!To.find<Type>(Object.Name_))
      Change.Removals_.push_back({Type::Kind, Object.Name_});
  });
  return Change;
}

static std::set<std::string> objectsIn(const ChangeSet &Change) {
  std::set<std::string> Names;
  auto Add = [&](ObjectKind Kind, const std::string &Name) {
    Names.insert(std::string(objectKindName(Kind)) + " " + Name);
  };
  for (const AnyObject &Object : Change.Put_)
    std::visit([&](const auto &Typed) { Add(Typed.Kind, Typed.Name_); },
               Object);
  for (const ObjectRemoval &Removal : Change.Removals_)
    Add(Removal.Kind_, Removal.Name_);
  return Names;
}

std::vector<std::string> objectsInBoth(const ChangeSet &Left,
                                       const ChangeSet &Right) {
  auto InLeft = objectsIn(Left);
  auto InRight = objectsIn(Right);
  std::vector<std::string> Common;
  std::ranges::set_intersection(InLeft, InRight, std::back_inserter(Common));
  return Common;
}

} // namespace anvil
