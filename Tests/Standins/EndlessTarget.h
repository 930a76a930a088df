#ifndef ANVIL_TESTS_STANDINS_ENDLESSTARGET_H
#define ANVIL_TESTS_STANDINS_ENDLESSTARGET_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace anvil {

/// The bytes of a reply that never ends.
struct EndlessReply {
  /// Further lines of the head, each with its line end; the last one may be
  /// incomplete if the head has no end.
  std::string HeadLines_;
  bool HeadEnds_ = true;
  /// The start of the body, and what is then repeated.
  std::string Start_;
  std::string Repeated_;
  /// Whether the reply names another request than the one that was sent.
  bool IsForeign_ = false;
  /// Whether the connection stays open without another byte if nothing is
  /// repeated.
  bool IsHeld_ = false;
  /// The pause after each repetition.
  std::chrono::milliseconds Pause_{0};
  /// If set, gives the start of each body from the request's target.
  std::function<std::string(const std::string &Target)> Compose_{};
};

/// A target on a thread of the test whose replies, with its seal, go on until
/// the caller closes the connection. Serves any number of connections at once.
/// Reports are sound and list the model `base`. Can also stand in for the
/// store, with the same reply to all of its calls.
class EndlessTarget {
public:
  explicit EndlessTarget(std::string Id);
  ~EndlessTarget();
  EndlessTarget(const EndlessTarget &) = delete;
  EndlessTarget &operator=(const EndlessTarget &) = delete;

  std::uint16_t port() const { return Port_; }

  /// The reply to all following requests.
  void script(EndlessReply Reply);

  /// How many requests were read, reports left out.
  int requestCount() const;

private:
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket Caller);

  std::string Id_;
  boost::asio::io_context Loop_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::uint16_t Port_;
  mutable std::mutex Mutex_;
  EndlessReply Reply_;
  int Requests_ = 0;
  std::thread Thread_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_ENDLESSTARGET_H
