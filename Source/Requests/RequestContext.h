#ifndef ANVIL_REQUESTS_REQUESTCONTEXT_H
#define ANVIL_REQUESTS_REQUESTCONTEXT_H

#include "Kernel/Clock.h"
#include "Objects/ObjectSet.h"

#include <cstdint>
#include <string>

namespace anvil {

/// An adapter at one version.
struct AdapterRef {
  std::string Adapter_;
  std::string Version_;

  auto operator<=>(const AdapterRef &) const = default;

  bool empty() const { return Adapter_.empty(); }

  /// The form used by engines and callers: `adapter@version`.
  std::string text() const { return Adapter_ + "@" + Version_; }
};

/// What admission has determined about a request. It holds one configuration
/// revision, which the request uses until it ends.
struct RequestContext {
  std::string RequestId_;
  SnapshotPtr Snapshot_;
  /// The customer that the key belongs to; empty on open routes without a key.
  std::string Customer_;
  std::string KeyName_;
  std::string Route_;
  std::string RequestClass_;
  std::int64_t Priority_ = 0;
  Duration Ageing_{0};
  bool Repeatable_ = true;
  /// The service on service routes; empty on adapter routes.
  std::string Service_;
  /// On adapter routes, the pool of engines and the base model they must run.
  std::string Pool_;
  std::string BaseModel_;
  AdapterRef Adapter_;
  /// The largest number of tokens that the request can cost.
  double UpperBoundTokens_ = 0;
  TimePoint Arrived_{};
  TimePoint Deadline_{};
  /// SHA-256 of the request content, without the request id.
  std::string Digest_;
  std::string IdempotencyKey_;
  /// Hash of the beginning of the prompt, for prompt prefix caches.
  std::uint64_t PrefixHash_ = 0;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_REQUESTCONTEXT_H
