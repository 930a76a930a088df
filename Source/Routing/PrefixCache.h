#ifndef ANVIL_ROUTING_PREFIXCACHE_H
#define ANVIL_ROUTING_PREFIXCACHE_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace anvil {

/// Maps each prompt prefix to the target that ran it last. Keeps two
/// generations and drops the older one, half of the capacity, when the recent
/// one is full.
class PrefixCache {
public:
  explicit PrefixCache(std::size_t MaxEntries) : MaxEntries_(MaxEntries) {}

  void record(std::uint64_t Prefix, const std::string &Target);

  /// The target that ran the prefix last, or null.
  const std::string *find(std::uint64_t Prefix) const;

  std::size_t size() const { return Recent_.size() + Older_.size(); }

private:
  using Table = std::unordered_map<std::uint64_t, std::string>;

  std::size_t MaxEntries_;
  Table Recent_;
  Table Older_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_PREFIXCACHE_H
