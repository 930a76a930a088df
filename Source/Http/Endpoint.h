#ifndef ANVIL_HTTP_ENDPOINT_H
#define ANVIL_HTTP_ENDPOINT_H

#include "Kernel/Error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace anvil {

/// An IP address and a TCP port.
struct Endpoint {
  std::string Address_;
  std::uint16_t Port_ = 0;

  auto operator<=>(const Endpoint &) const = default;

  /// Formats the endpoint as `address:port`.
  std::string text() const;
};

/// Parses `address:port`. Errors: invalid input.
Result<Endpoint> parseEndpoint(std::string_view Text);

} // namespace anvil

#endif // ANVIL_HTTP_ENDPOINT_H
