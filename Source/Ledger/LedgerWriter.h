#ifndef ANVIL_LEDGER_LEDGERWRITER_H
#define ANVIL_LEDGER_LEDGERWRITER_H

#include "Ledger/GroupCommitter.h"
#include "TableService/PlatformService.h"
#include "Telemetry/Metrics.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace anvil {

/// Writes rows to the platform's table, many to a transaction. Held by a shared
/// pointer, because its coroutines keep it alive.
class LedgerWriter : public std::enable_shared_from_this<LedgerWriter> {
public:
  LedgerWriter(boost::asio::any_io_executor Executor,
               std::shared_ptr<PlatformService> Platform,
               std::shared_ptr<Metrics> Measured, GroupCommitOptions Options);

  /// Writes one row and waits for the end. When too many rows wait it ends as
  /// unavailable at once.
  boost::asio::awaitable<ChangeEnd> write(RowChange Change);

  /// Sets the least time between two transactions over a longer span.
  void setPace(Duration Gap) { Committer_.setPace(Gap); }

private:
  struct Waiter {
    explicit Waiter(const boost::asio::any_io_executor &Executor);

    boost::asio::steady_timer Done_;
    ChangeEnd End_;
  };

  void pump();
  static boost::asio::awaitable<void> send(std::shared_ptr<LedgerWriter> Self,
                                           GroupCommitter::Batch Next);

  boost::asio::any_io_executor Executor_;
  std::shared_ptr<PlatformService> Platform_;
  std::shared_ptr<Metrics> Metrics_;
  GroupCommitter Committer_;
  boost::asio::steady_timer Flush_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> Waiters_;
};

} // namespace anvil

#endif // ANVIL_LEDGER_LEDGERWRITER_H
