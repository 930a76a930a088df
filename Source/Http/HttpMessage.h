#ifndef ANVIL_HTTP_HTTPMESSAGE_H
#define ANVIL_HTTP_HTTPMESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// One header of a message.
struct HttpHeader {
  std::string Name_;
  std::string Value_;
};

/// The headers of a message, in order. Names are case-insensitive.
class HttpHeaders {
public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<HttpHeader> Given) : Headers_(Given) {}

  /// Adds a header and keeps others of the same name.
  void add(std::string_view Name, std::string_view Value);

  /// Returns the value of the first header of that name.
  std::optional<std::string_view> find(std::string_view Name) const;

  auto begin() const { return Headers_.begin(); }
  auto end() const { return Headers_.end(); }

private:
  std::vector<HttpHeader> Headers_;
};

/// A whole request.
struct HttpRequest {
  std::string Method_ = "GET";
  /// Path and query.
  std::string Target_ = "/";
  HttpHeaders Headers_;
  std::string Body_;

  /// Returns the target without its query.
  std::string_view path() const;

  /// Returns the value of a query parameter without decoding it; empty if the
  /// parameter is missing.
  std::string_view query(std::string_view Name) const;
};

/// Status and headers of a reply.
struct HttpReplyHead {
  int Status_ = 200;
  HttpHeaders Headers_;
};

/// A whole reply.
struct HttpReply {
  int Status_ = 200;
  HttpHeaders Headers_;
  std::string Body_;
};

/// Builds a reply with a JSON body.
HttpReply jsonReply(int Status, std::string Body);

/// Compares two header names case-insensitively.
bool sameHeaderName(std::string_view Left, std::string_view Right);

} // namespace anvil

#endif // ANVIL_HTTP_HTTPMESSAGE_H
