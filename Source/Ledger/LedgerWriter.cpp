#include "Ledger/LedgerWriter.h"

#include "Kernel/EnumNames.h"

#include "Http/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

LedgerWriter::Waiter::Waiter(const asio::any_io_executor &Executor)
    : Done_(Executor, asio::steady_timer::time_point::max()) {}

LedgerWriter::LedgerWriter(asio::any_io_executor Executor,
                           std::shared_ptr<PlatformService> Platform,
                           std::shared_ptr<Metrics> Measured,
                           GroupCommitOptions Options)
    : Executor_(std::move(Executor)), Platform_(std::move(Platform)),
      Metrics_(std::move(Measured)), Committer_(Options), Flush_(Executor_) {}

asio::awaitable<ChangeEnd> LedgerWriter::write(RowChange Change) {
  auto Id = Committer_.add(std::move(Change), BootClock::now());
  if (!Id)
    co_return ChangeEnd{};
  auto Waiting = std::make_shared<Waiter>(Executor_);
  Waiters_.emplace(*Id, Waiting);
  pump();
  boost::system::error_code Ignored;
  co_await Waiting->Done_.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  co_return Waiting->End_;
}

void LedgerWriter::pump() {
  TimePoint Now = BootClock::now();
  while (auto Next = Committer_.takeBatch(Now))
    spawn(Executor_, send(shared_from_this(), std::move(*Next)));
  auto Due = Committer_.nextDue();
  if (!Due)
    return;
  Flush_.expires_after(std::max(*Due - Now, Duration(0)));
  Flush_.async_wait([Weak = weak_from_this()](boost::system::error_code Cause) {
    auto Self = Weak.lock();
    if (Self && !Cause)
      Self->pump();
  });
}

asio::awaitable<void> LedgerWriter::send(std::shared_ptr<LedgerWriter> Self,
                                         GroupCommitter::Batch Next) {
  double Rows = static_cast<double>(Next.Transaction_.Writes_.size());
  auto Outcome = co_await Self->Platform_->commit(std::move(Next.Transaction_));
  std::string Result(enumName(Outcome.Result_, CommitResultNames));
  Self->Metrics_->count("anvil_ledger_transactions_total",
                        {{"result", Result}});
  Self->Metrics_->count("anvil_ledger_rows_sent_total", {}, Rows);
  auto Ended = Self->Committer_.batchEnded(Next.Id_, Outcome, BootClock::now());
  for (ChangeEnd &End : Ended) {
    auto Found = Self->Waiters_.find(End.Id_);
    Found->second->End_ = std::move(End);
    Found->second->Done_.cancel();
    Self->Waiters_.erase(Found);
  }
  Self->pump();
}

} // namespace anvil
