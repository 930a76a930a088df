#ifndef ANVIL_OBJECTS_OBJECTSET_H
#define ANVIL_OBJECTS_OBJECTSET_H

#include "Objects/ObjectTypes.h"

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <variant>

namespace anvil {

/// The objects of one kind by name.
template <class Object> using ObjectMap = std::map<std::string, Object>;

/// One object of any kind.
using AnyObject =
    std::variant<DataCentre, Customer, Key, BaseModel, Adapter, PlainService,
                 Target, RequestClass, Route, WeightStore>;

/// All objects that the operators have defined, indexed by kind and name.
class ObjectSet {
public:
  /// The objects of a kind, by name.
  template <class Object> const ObjectMap<Object> &all() const {
    return std::get<ObjectMap<Object>>(Maps_);
  }

  template <class Object> ObjectMap<Object> &all() {
    return std::get<ObjectMap<Object>>(Maps_);
  }

  /// The object of that kind and name, or null.
  template <class Object> const Object *find(const std::string &Name) const {
    const auto &Map = all<Object>();
    auto Found = Map.find(Name);
    return Found == Map.end() ? nullptr : &Found->second;
  }

  /// Adds an object, or replaces the one with the same kind and name.
  void put(AnyObject Object);

  /// Removes an object; false when it doesn't exist.
  bool remove(ObjectKind Kind, const std::string &Name);

  /// Calls `Visit` with every object of every kind.
  template <class Visitor> void forEach(Visitor Visit) const {
    std::apply(
        [&](const auto &...Map) {
          (
              [&] {
                for (const auto &[Name, Object] : Map)
                  Visit(Object);
              }(),
              ...);
        },
        Maps_);
  }

  /// The number of objects of all kinds.
  std::size_t size() const;

private:
  std::tuple<ObjectMap<DataCentre>, ObjectMap<Customer>, ObjectMap<Key>,
             ObjectMap<BaseModel>, ObjectMap<Adapter>, ObjectMap<PlainService>,
             ObjectMap<Target>, ObjectMap<RequestClass>, ObjectMap<Route>,
             ObjectMap<WeightStore>>
      Maps_;
};

/// An immutable published set with its revision number.
struct ConfigSnapshot {
  std::uint64_t Revision_ = 0;
  ObjectSet Objects_;
};

using SnapshotPtr = std::shared_ptr<const ConfigSnapshot>;

} // namespace anvil

#endif // ANVIL_OBJECTS_OBJECTSET_H
