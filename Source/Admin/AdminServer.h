#ifndef ANVIL_ADMIN_ADMINSERVER_H
#define ANVIL_ADMIN_ADMINSERVER_H

#include "Http/HttpServer.h"
#include "Kernel/ServiceRegistry.h"
#include "Settings/DaemonSettings.h"
#include "Telemetry/Metrics.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace anvil {

/// The operators' HTTP port: health, metrics, and what other parts add to it.
class AdminServer : public Service {
public:
  static constexpr std::string_view Name = "admin_server";

  using Handler =
      std::function<boost::asio::awaitable<HttpReply>(const HttpRequest &)>;

  AdminServer(boost::asio::any_io_executor Executor,
              const DaemonSettings &Settings,
              std::shared_ptr<Metrics> Measured);

  std::string_view serviceName() const override { return Name; }
  Status start() override;
  void stop() override;

  /// Adds a page. Pages under `/admin/` need the operators' token when the
  /// settings name one.
  void addPage(const std::string &Method, const std::string &Path,
               Handler Handle);

  /// Sets what `/readyz` asks: an empty text means ready, another says why not.
  void onReadyCheck(std::function<std::string()> Hook);

  std::uint16_t port() const;

private:
  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  bool isAuthorized(const HttpRequest &Request) const;

  const DaemonSettings &Settings_;
  std::shared_ptr<Metrics> Metrics_;
  std::map<std::pair<std::string, std::string>, Handler> Pages_;
  std::function<std::string()> ReadyCheck_;
  HttpServer Server_;
};

/// A JSON body `{"errors": [...]}` that lists what is wrong.
HttpReply errorReply(int HttpStatus, const std::vector<Error> &Errors);

} // namespace anvil

#endif // ANVIL_ADMIN_ADMINSERVER_H
