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

/// Writes rows to the platform's table, combining many into one transaction.
/// Held by a shared pointer, because its coroutines keep it alive.
class LedgerWriter : public std::enable_shared_from_this<LedgerWriter> {
public:
  LedgerWriter(boost::asio::any_io_executor Executor,
               std::shared_ptr<PlatformService> Platform,
               std::shared_ptr<Metrics> MetricSink, GroupCommitOptions Options);

  /// Writes one row and waits for the result. Returns `Unavailable` at once
  /// when the queue is full.
  boost::asio::awaitable<ChangeResult> write(RowChange Change);

  /// Sets the minimum average interval between transactions.
  void setMinBatchInterval(Duration Interval) {
    Committer_.setMinBatchInterval(Interval);
  }

private:
  struct Waiter {
    explicit Waiter(const boost::asio::any_io_executor &Executor);

    boost::asio::steady_timer DoneTimer_;
    ChangeResult Result_;
  };

  void sendDueBatches();
  static boost::asio::awaitable<void> send(std::shared_ptr<LedgerWriter> Self,
                                           GroupCommitter::Batch Next);

  boost::asio::any_io_executor Executor_;
  std::shared_ptr<PlatformService> Platform_;
  std::shared_ptr<Metrics> Metrics_;
  GroupCommitter Committer_;
  boost::asio::steady_timer FlushTimer_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> Waiters_;
};

} // namespace anvil

#endif // ANVIL_LEDGER_LEDGERWRITER_H
