#ifndef ANVIL_TESTS_STANDINS_REQUESTTEXT_H
#define ANVIL_TESTS_STANDINS_REQUESTTEXT_H

#include "Http/HttpMessage.h"

#include <string>

namespace anvil {

/// The bytes of a request without a body.
inline std::string requestText(const HttpRequest &Request) {
  std::string Text = Request.Method_ + " " + Request.Target_ + " HTTP/1.1\r\n";
  for (const HttpHeader &Header : Request.Headers_)
    Text += Header.Name_ + ": " + Header.Value_ + "\r\n";
  return Text + "\r\n";
}

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_REQUESTTEXT_H
