#ifndef ANVIL_MEMBERSHIP_RENDEZVOUS_H
#define ANVIL_MEMBERSHIP_RENDEZVOUS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// The score of a candidate for a key; the highest score has the key.
std::uint64_t rendezvousScore(std::string_view Key, std::string_view Candidate);

/// The candidates in order of their score for the key, best first. The order
/// for a key changes only where candidates come or go.
std::vector<std::string> rendezvousOrder(std::string_view Key,
                                         std::vector<std::string> Candidates);

/// A stable 64-bit hash of text.
std::uint64_t stableHash(std::string_view Text);

} // namespace anvil

#endif // ANVIL_MEMBERSHIP_RENDEZVOUS_H
