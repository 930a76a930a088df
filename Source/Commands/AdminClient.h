#ifndef ANVIL_COMMANDS_ADMINCLIENT_H
#define ANVIL_COMMANDS_ADMINCLIENT_H

#include "Http/Endpoint.h"
#include "Http/HttpMessage.h"
#include "Kernel/Clock.h"

#include <string>

namespace anvil {

/// A blocking client of the admin port of one anvild.
class AdminClient {
public:
  AdminClient(Endpoint Server, std::string Token, Duration Timeout);

  /// Errors: `Unavailable` if nothing was sent, `Timeout`, `ConnectionClosed`.
  Result<HttpReply> get(const std::string &Target);
  Result<HttpReply> post(const std::string &Target, const std::string &Body);

private:
  Result<HttpReply> call(HttpRequest Request);

  Endpoint Server_;
  std::string Token_;
  Duration Timeout_;
};

} // namespace anvil

#endif // ANVIL_COMMANDS_ADMINCLIENT_H
