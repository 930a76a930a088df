#include "Gateway/Forwarding.h"

#include <array>

namespace anvil {

static constexpr std::array<std::string_view, 6> ForwardedRequestHeaders{
    "Content-Type", "Accept",          "Accept-Language",
    "User-Agent",   "Idempotency-Key", "Traceparent"};

static constexpr std::array<std::string_view, 6> ForwardedResponseHeaders{
    "Content-Type",     "Cache-Control", "Retry-After",
    "Content-Language", "ETag",          "Location"};

template <std::size_t Size>
static void copyAllowed(const HttpHeaders &From,
                        const std::array<std::string_view, Size> &Names,
                        HttpHeaders &To) {
  for (std::string_view Name : Names)
    if (auto Value = From.find(Name))
      To.add(Name, *Value);
}

HttpHeaders headersForTarget(const HttpRequest &Given,
                             const RequestContext &Request) {
  HttpHeaders Headers;
  copyAllowed(Given.Headers_, ForwardedRequestHeaders, Headers);
  Headers.add("X-Request-Id", Request.RequestId_);
  Headers.add("X-Customer", Request.Customer_);
  if (!Request.Adapter_.empty())
    Headers.add("X-Adapter", Request.Adapter_.text());
  return Headers;
}

HttpHeaders headersForCaller(const HttpHeaders &Given,
                             const RequestContext &Request) {
  HttpHeaders Headers;
  copyAllowed(Given, ForwardedResponseHeaders, Headers);
  Headers.add("X-Request-Id", Request.RequestId_);
  if (!Request.Adapter_.empty())
    Headers.add("X-Adapter", Request.Adapter_.text());
  return Headers;
}

} // namespace anvil
