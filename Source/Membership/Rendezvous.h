#ifndef ANVIL_MEMBERSHIP_RENDEZVOUS_H
#define ANVIL_MEMBERSHIP_RENDEZVOUS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// The score of a candidate for a key; the candidate with the highest score
/// owns the key.
std::uint64_t rendezvousScore(std::string_view Key, std::string_view Candidate);

/// Sorts the candidates by their score for the key, best first. When candidates
/// are added or removed, the relative order of the others stays.
std::vector<std::string> rendezvousOrder(std::string_view Key,
                                         std::vector<std::string> Candidates);

/// A 64-bit hash of text that is the same in every process.
std::uint64_t stableHash(std::string_view Text);

} // namespace anvil

#endif // ANVIL_MEMBERSHIP_RENDEZVOUS_H
