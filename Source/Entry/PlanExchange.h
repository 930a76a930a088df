#ifndef ANVIL_ENTRY_PLANEXCHANGE_H
#define ANVIL_ENTRY_PLANEXCHANGE_H

#include "Entry/FleetLink.h"
#include "Entry/PlanService.h"
#include "Http/HttpServer.h"
#include "Kernel/ServiceRegistry.h"
#include "platform/StoreClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace anvil {

/// Copies the operator's rows from one VM to another that is notified of newer
/// rows but can't read the store itself. Serves the rows by HTTP on the TCP
/// port with the same number as the UDP port for datagrams.
class PlanExchange : public Service {
public:
  static constexpr std::string_view Name = "plan_exchange";

  PlanExchange(boost::asio::any_io_executor Executor,
               const EntrySettings &Settings, const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }
  Status claimResources() override { return Pages_.bind(address()); }
  Status start() override { return Pages_.listen(address()); }
  void stop() override { Pages_.close(); }

  /// The TCP port on which rows are served.
  std::uint16_t port() const { return Pages_.port(); }

  /// Handles another VM's notice of a read: fetches that VM's rows if they are
  /// newer and the store is unreachable.
  void applyReadNotice(const PlanReadNotice &Notice);

private:
  Endpoint address() const;
  boost::asio::awaitable<void> serveRows(HttpExchange &Exchange);
  boost::asio::awaitable<void> fetchRows(std::string Vm, Endpoint From);

  boost::asio::any_io_executor Executor_;
  const EntrySettings &Settings_;
  std::shared_ptr<FleetLink> Link_;
  std::shared_ptr<PlanService> Plans_;
  std::shared_ptr<platform::StoreClient> Store_;
  std::shared_ptr<BufferBudget> Budget_;
  HttpServer Pages_;
  bool IsFetching_ = false;
};

} // namespace anvil

#endif // ANVIL_ENTRY_PLANEXCHANGE_H
