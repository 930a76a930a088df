#include "Http/Endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace anvil {

std::string Endpoint::text() const {
  return Address_ + ":" + std::to_string(Port_);
}

Result<Endpoint> parseEndpoint(std::string_view Text) {
  Error Problem{ErrorCode::InvalidInput, std::string(Text),
                "is not an IP address and a port",
                "write it as address:port, for example 127.0.0.1:8080"};
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return Problem;
  Endpoint Parsed;
  Parsed.Address_ = Text.substr(0, Colon);
  std::string_view Port = Text.substr(Colon + 1);
  auto [End, Code] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Parsed.Port_);
  if (Code != std::errc{} || End != Port.data() + Port.size())
    return Problem;
  boost::system::error_code Invalid;
  boost::asio::ip::make_address(Parsed.Address_, Invalid);
  if (Invalid)
    return Problem;
  return Parsed;
}

} // namespace anvil
