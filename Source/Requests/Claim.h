#ifndef ANVIL_REQUESTS_CLAIM_H
#define ANVIL_REQUESTS_CLAIM_H

#include "Http/HttpMessage.h"
#include "Requests/Refusal.h"

#include <cstdint>
#include <string>
#include <variant>

namespace anvil {

/// The right to run a request that may not be repeated.
struct ClaimToken {
  /// The claim's row; empty when the caller gave no idempotency key.
  std::string Row_;
  std::uint64_t Version_ = 0;
};

/// A claim to run, or the answer recorded by an earlier run.
using ClaimDecision = std::variant<ClaimToken, HttpReply>;

/// How a claimed request ended.
struct ClaimEnd {
  Execution Ran_ = Execution::Unknown;
  /// The whole answer, when there is one.
  HttpReply Answer_;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_CLAIM_H
