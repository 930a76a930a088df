#include "Ledger/LedgerWriter.h"

#include "Kernel/EnumNames.h"

#include "Http/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

LedgerWriter::Waiter::Waiter(const asio::any_io_executor &Executor)
    : DoneTimer_(Executor, asio::steady_timer::time_point::max()) {}

LedgerWriter::LedgerWriter(asio::any_io_executor Executor,
                           std::shared_ptr<PlatformService> Platform,
                           std::shared_ptr<Metrics> MetricSink,
                           GroupCommitOptions Options)
    : Executor_(std::move(Executor)), Platform_(std::move(Platform)),
      Metrics_(std::move(MetricSink)), Committer_(Options),
      FlushTimer_(Executor_) {}

asio::awaitable<ChangeResult> LedgerWriter::write(RowChange Change) {
  auto Id = Committer_.add(std::move(Change), BootClock::now());
  if (!Id)
    co_return ChangeResult{};
  auto Pending = std::make_shared<Waiter>(Executor_);
  Waiters_.emplace(*Id, Pending);
  sendDueBatches();
  boost::system::error_code Ignored;
  co_await Pending->DoneTimer_.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  co_return Pending->Result_;
}

void LedgerWriter::sendDueBatches() {
  TimePoint Now = BootClock::now();
  while (auto Next = Committer_.takeBatch(Now))
    spawn(Executor_, send(shared_from_this(), std::move(*Next)));
  auto Due = Committer_.nextDue();
  if (!Due)
    return;
  FlushTimer_.expires_after(std::max(*Due - Now, Duration(0)));
  FlushTimer_.async_wait(
      [Weak = weak_from_this()](boost::system::error_code Failure) {
        auto Self = Weak.lock();
        if (Self && !Failure)
          Self->sendDueBatches();
      });
}

asio::awaitable<void> LedgerWriter::send(std::shared_ptr<LedgerWriter> Self,
                                         GroupCommitter::Batch Next) {
  double Rows = static_cast<double>(Next.Transaction_.Writes_.size());
  auto Outcome = co_await Self->Platform_->commit(std::move(Next.Transaction_));
  std::string ResultName(enumName(Outcome.Result_, CommitResultNames));
  Self->Metrics_->count("anvil_ledger_transactions_total",
                        {{"result", ResultName}});
  Self->Metrics_->count("anvil_ledger_rows_sent_total", {}, Rows);
  auto Results =
      Self->Committer_.completeBatch(Next.Id_, Outcome, BootClock::now());
  for (ChangeResult &Completed : Results) {
    auto Found = Self->Waiters_.find(Completed.Id_);
    Found->second->Result_ = std::move(Completed);
    Found->second->DoneTimer_.cancel();
    Self->Waiters_.erase(Found);
  }
  Self->sendDueBatches();
}

} // namespace anvil
