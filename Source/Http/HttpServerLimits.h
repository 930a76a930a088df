#ifndef ANVIL_HTTP_HTTPSERVERLIMITS_H
#define ANVIL_HTTP_HTTPSERVERLIMITS_H

#include "Kernel/BufferBudget.h"
#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>

namespace anvil {

/// The limits that a server imposes on its callers.
struct HttpServerLimits {
  std::uint32_t HeadBytes_ = 16 * 1024;
  std::uint64_t BodyBytes_ = 8 * 1024 * 1024;
  /// The time limit for the head of a request, from its first byte on.
  Duration HeadTime_ = std::chrono::seconds(15);
  /// The time limit for the body, from the end of the head on.
  Duration BodyTime_ = std::chrono::seconds(15);
  /// The maximum idle time of a connection between requests.
  Duration IdleTime_ = std::chrono::seconds(75);
  /// How long a caller may read nothing of a response until its connection is
  /// closed; callers that read slowly are served. Connections keep the limit
  /// that was set when they were accepted.
  Duration UnreadTime_ = std::chrono::seconds(20);
  /// What the requests of all connections share from their arrival until they
  /// have been answered; no limit if absent. Connections keep the budget that
  /// was set when they were accepted.
  std::shared_ptr<BufferBudget> Budget_;
  /// The maximum number of open connections.
  std::size_t Connections_ = std::numeric_limits<std::size_t>::max();
};

} // namespace anvil

#endif // ANVIL_HTTP_HTTPSERVERLIMITS_H
