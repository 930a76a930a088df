#ifndef ANVIL_REQUESTS_CLAIM_H
#define ANVIL_REQUESTS_CLAIM_H

#include "Http/HttpMessage.h"
#include "Requests/Refusal.h"

#include <cstdint>
#include <string>
#include <variant>

namespace anvil {

/// The right to run a request that must not be repeated.
struct ClaimToken {
  /// The row of the claim; empty if the caller sent no idempotency key.
  std::string Row_;
  std::uint64_t Version_ = 0;
};

/// A claim to run, or the reply recorded by an earlier run.
using ClaimDecision = std::variant<ClaimToken, HttpReply>;

/// The outcome of a claimed request.
struct ClaimOutcome {
  Execution Executed_ = Execution::Unknown;
  /// The complete reply, if there is one.
  HttpReply Reply_;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_CLAIM_H
