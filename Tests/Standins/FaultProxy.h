#ifndef ANVIL_TESTS_STANDINS_FAULTPROXY_H
#define ANVIL_TESTS_STANDINS_FAULTPROXY_H

#include "Http/HttpServer.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace anvil {

/// A TCP proxy that injects network faults. Each link listens on its own port;
/// `POST /control` with `{"link", "target", "mode", "delay_ms", "bytes_per_s"}`
/// changes a link and applies to its open connections as well. Zero bytes per
/// second mean no limit.
class FaultProxy {
public:
  FaultProxy(boost::asio::any_io_executor Executor,
             const std::vector<std::string> &Links);
  ~FaultProxy();

  /// Opens the links and the admin port.
  Status listen();

  /// The port of each link, and `admin`.
  std::map<std::string, std::uint16_t> ports() const;

private:
  struct Link;
  struct Session;

  static boost::asio::awaitable<void> accept(std::shared_ptr<Link> Owner);
  static boost::asio::awaitable<void> run(std::shared_ptr<Link> Owner,
                                          std::shared_ptr<Session> Pair);
  static boost::asio::awaitable<void> pump(std::shared_ptr<Link> Owner,
                                           std::shared_ptr<Session> Pair,
                                           bool ToTarget);
  static boost::asio::awaitable<void> forward(Link &Owner, Session &Pair,
                                              bool ToTarget, std::string Bytes);
  HttpReply control(const HttpRequest &Request);

  boost::asio::any_io_executor Executor_;
  std::map<std::string, std::shared_ptr<Link>> Links_;
  HttpServer Server_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_FAULTPROXY_H
