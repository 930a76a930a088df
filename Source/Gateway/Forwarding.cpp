#include "Gateway/Forwarding.h"

#include <array>

namespace anvil {

static constexpr std::array<std::string_view, 6> RequestHeadersPassed{
    "Content-Type", "Accept",          "Accept-Language",
    "User-Agent",   "Idempotency-Key", "Traceparent"};

static constexpr std::array<std::string_view, 6> AnswerHeadersPassed{
    "Content-Type",     "Cache-Control", "Retry-After",
    "Content-Language", "ETag",          "Location"};

template <std::size_t Size>
static void pass(const HttpHeaders &From,
                 const std::array<std::string_view, Size> &Names,
                 HttpHeaders &To) {
  for (std::string_view Name : Names)
    if (auto Value = From.find(Name))
      To.add(Name, *Value);
}

HttpHeaders headersForTarget(const HttpRequest &Given,
                             const RequestContext &Request) {
  HttpHeaders Passed;
  pass(Given.Headers_, RequestHeadersPassed, Passed);
  Passed.add("X-Request-Id", Request.RequestId_);
  Passed.add("X-Customer", Request.Customer_);
  if (!Request.Adapter_.empty())
    Passed.add("X-Adapter", Request.Adapter_.text());
  return Passed;
}

HttpHeaders headersForCaller(const HttpHeaders &Given,
                             const RequestContext &Request) {
  HttpHeaders Passed;
  pass(Given, AnswerHeadersPassed, Passed);
  Passed.add("X-Request-Id", Request.RequestId_);
  if (!Request.Adapter_.empty())
    Passed.add("X-Adapter", Request.Adapter_.text());
  return Passed;
}

} // namespace anvil
