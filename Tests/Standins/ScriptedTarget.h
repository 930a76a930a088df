#ifndef ANVIL_TESTS_STANDINS_SCRIPTEDTARGET_H
#define ANVIL_TESTS_STANDINS_SCRIPTEDTARGET_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace anvil {

/// The bytes that a `ScriptedTarget` sends as its reply to one request.
struct ScriptedReply {
  /// Further lines of the head, each with its line end.
  std::string HeadLines_;
  /// The body as it is sent, with chunk sizes if there are any.
  std::string Body_;
  /// Whether the connection is reset after the last byte instead of closed.
  bool IsReset_ = false;
  std::string Status_ = "200 OK";
  /// How many bytes are sent, counted from the first one of the head; negative
  /// numbers count from the end of the head. All if absent.
  std::optional<int> SentBytes_ = std::nullopt;
};

/// A target on a thread of the test that replies byte for byte as the test
/// says, with its seal, and then ends the connection. Serves any number of
/// connections at once, as targets do. Each reply is for one request; the last
/// one is kept. Reports list the model `base`.
class ScriptedTarget {
public:
  /// Port 0 lets the system choose one.
  explicit ScriptedTarget(std::string Id, std::uint16_t Port = 0);
  ~ScriptedTarget();
  ScriptedTarget(const ScriptedTarget &) = delete;
  ScriptedTarget &operator=(const ScriptedTarget &) = delete;

  std::uint16_t port() const { return Port_; }

  void script(std::deque<ScriptedReply> Replies);

  /// How many requests were read, reports left out.
  int requestCount() const;

private:
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket Caller);
  ScriptedReply nextReply();

  std::string Id_;
  boost::asio::io_context Loop_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::uint16_t Port_;
  mutable std::mutex Mutex_;
  int Requests_ = 0;
  std::deque<ScriptedReply> Replies_;
  std::thread Thread_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_SCRIPTEDTARGET_H
