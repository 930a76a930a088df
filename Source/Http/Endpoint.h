#ifndef ANVIL_HTTP_ENDPOINT_H
#define ANVIL_HTTP_ENDPOINT_H

#include "Kernel/Error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace anvil {

/// An IP number and a TCP port.
struct Endpoint {
  std::string Address_;
  std::uint16_t Port_ = 0;

  auto operator<=>(const Endpoint &) const = default;

  /// The endpoint as `address:port`.
  std::string text() const;
};

/// Reads `address:port`. The error says what is wrong with the text.
Result<Endpoint> parseEndpoint(std::string_view Text);

} // namespace anvil

#endif // ANVIL_HTTP_ENDPOINT_H
