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

  /// The form that engines and callers use: `adapter@version`.
  std::string text() const { return Adapter_ + "@" + Version_; }
};

/// What admission has settled about a request. It holds one revision of the
/// configuration, which the request uses to its end.
struct RequestContext {
  std::string RequestId_;
  SnapshotPtr Snapshot_;
  /// The customer whose key came with it; empty on open routes without a key.
  std::string Customer_;
  std::string KeyName_;
  std::string Route_;
  std::string RequestClass_;
  std::int64_t Priority_ = 0;
  Duration Ageing_{0};
  bool Repeatable_ = true;
  /// Service routes: the service. Adapter routes: empty.
  std::string Service_;
  /// Adapter routes: the engines and the base model they must run.
  std::string Pool_;
  std::string BaseModel_;
  AdapterRef Adapter_;
  /// The most tokens that the request can cost.
  double UpperBoundTokens_ = 0;
  TimePoint Arrived_{};
  TimePoint Deadline_{};
  /// SHA-256 of what is to run, without the request id.
  std::string Digest_;
  std::string IdempotencyKey_;
  /// The beginning of the prompt, hashed, for prompt prefix caches.
  std::uint64_t PrefixHash_ = 0;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_REQUESTCONTEXT_H
