#include "Membership/Rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace anvil {

std::uint64_t stableHash(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

std::uint64_t rendezvousScore(std::string_view Key,
                              std::string_view Candidate) {
  return XXH3_64bits_withSeed(Candidate.data(), Candidate.size(),
                              stableHash(Key));
}

std::vector<std::string> rendezvousOrder(std::string_view Key,
                                         std::vector<std::string> Candidates) {
  auto Score = [&](const std::string &Candidate) {
    return rendezvousScore(Key, Candidate);
  };
  std::ranges::sort(Candidates, std::greater<>(), Score);
  return Candidates;
}

} // namespace anvil
