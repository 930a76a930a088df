#ifndef ANVIL_HTTP_CARRIEDREQUESTS_H
#define ANVIL_HTTP_CARRIEDREQUESTS_H

#include <cstddef>
#include <string_view>
#include <vector>

namespace anvil {

/// The ids of the requests that one connection has carried. A server may send a
/// copy of any answer that it has given on a connection once more, where the
/// next answer is expected. An id then names a request, not one of its sends,
/// so a request must not be sent twice on the same connection, and a connection
/// on which an answer had no id must not be used again.
class CarriedRequests {
public:
  /// Whether the answer to a request with this id can be told from copies of
  /// all earlier answers on the connection. Without an id, this needs a
  /// connection that has carried none.
  bool canIdentify(std::string_view Id) const;

  /// Records that a request is sent on the connection.
  void recordRequest(std::string_view Id);

  /// Records that an answer had no id.
  void recordUnnamedAnswer() { HasUnnamedAnswer_ = true; }

  /// Whether any further request may use the connection.
  bool mayCarryMore() const {
    return !HasUnnamedAnswer_ && Ids_.size() < MaxRequests;
  }

  /// The number of requests after which a connection is replaced, which bounds
  /// the memory of the ids.
  static constexpr std::size_t MaxRequests = 256;

private:
  /// Hashes of the ids; equal hashes only cost a connection.
  std::vector<std::size_t> Ids_;
  bool HasUnnamedAnswer_ = false;
};

} // namespace anvil

#endif // ANVIL_HTTP_CARRIEDREQUESTS_H
