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

/// The operators' HTTP server: health checks, metrics, and the pages that other
/// components add.
class AdminServer : public Service {
public:
  static constexpr std::string_view Name = "admin_server";

  using Handler =
      std::function<boost::asio::awaitable<HttpReply>(const HttpRequest &)>;

  AdminServer(boost::asio::any_io_executor Executor,
              const DaemonSettings &Settings,
              std::shared_ptr<Metrics> MetricsSource);

  std::string_view serviceName() const override { return Name; }
  Status claimResources() override { return Server_.bind(address()); }
  Status start() override { return Server_.listen(address()); }
  void stop() override;

  /// Adds a page. Pages under `/admin/` require the operators' token if the
  /// settings contain its hash.
  void addPage(const std::string &Method, const std::string &Path,
               Handler Handle);

  /// Sets the check behind `/readyz`. It returns an empty text if the VM is
  /// ready, otherwise the reason why not.
  void onReadyCheck(std::function<std::string()> Check);

  std::uint16_t port() const;

private:
  Endpoint address() const;
  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  bool isAuthorized(const HttpRequest &Request) const;

  const DaemonSettings &Settings_;
  std::shared_ptr<Metrics> Metrics_;
  std::map<std::pair<std::string, std::string>, Handler> Pages_;
  std::function<std::string()> ReadyCheck_;
  HttpServer Server_;
};

/// Creates a reply with the JSON body `{"errors": [...]}`.
HttpReply errorReply(int HttpStatus, const std::vector<Error> &Errors);

} // namespace anvil

#endif // ANVIL_ADMIN_ADMINSERVER_H
