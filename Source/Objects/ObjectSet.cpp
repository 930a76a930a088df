#include "Objects/ObjectSet.h"

namespace anvil {

void ObjectSet::put(AnyObject Object) {
  std::visit(
      [&](auto &&Typed) {
        using Type = std::decay_t<decltype(Typed)>;
        std::string Name = Typed.Name_;
        all<Type>().insert_or_assign(std::move(Name), std::move(Typed));
      },
      std::move(Object));
}

bool ObjectSet::remove(ObjectKind Kind, const std::string &Name) {
  bool Removed = false;
  std::apply(
      [&](auto &...Map) {
        (
            [&] {
              using Type = typename std::decay_t<decltype(Map)>::mapped_type;
              if (Type::Kind == Kind)
                Removed = Map.erase(Name) > 0;
            }(),
            ...);
      },
      Maps_);
  return Removed;
}

std::size_t ObjectSet::size() const {
  return std::apply([](const auto &...Map) { return (Map.size() + ...); },
                    Maps_);
}

} // namespace anvil
