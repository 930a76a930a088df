#ifndef ANVIL_ROUTING_PREFIXMEMORY_H
#define ANVIL_ROUTING_PREFIXMEMORY_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace anvil {

/// Remembers where prompts of one beginning ran last. Of entries that were not
/// used for long half are dropped at a time.
class PrefixMemory {
public:
  explicit PrefixMemory(std::size_t MostEntries) : MostEntries_(MostEntries) {}

  void note(std::uint64_t Prefix, const std::string &Target);

  /// The target, or null.
  const std::string *find(std::uint64_t Prefix) const;

  std::size_t size() const { return Young_.size() + Old_.size(); }

private:
  using Table = std::unordered_map<std::uint64_t, std::string>;

  std::size_t MostEntries_;
  Table Young_;
  Table Old_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_PREFIXMEMORY_H
