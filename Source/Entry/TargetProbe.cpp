#include "Entry/TargetProbe.h"

#include "Http/Pause.h"

namespace anvil {

namespace asio = boost::asio;

/// The time limit of a connection that shows whether a target lives.
static constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);

TargetProbe::TargetProbe(AskHook Ask, KeepHook Keep,
                         std::shared_ptr<Metrics> Counts,
                         std::shared_ptr<BufferBudget> Budget)
    : Ask_(std::move(Ask)), Keep_(std::move(Keep)), Counts_(std::move(Counts)),
      Budget_(std::move(Budget)) {}

asio::awaitable<std::optional<ProbeResult>>
TargetProbe::probe(ProbeQuestion Question) {
  const TargetAddress &Target = Question.Target_;
  // A connection that was idle may have ended meanwhile.
  constexpr int MaxQuestions = 2;
  bool MayAsk = !Question.Path_.empty();
  for (int Asked = 0; MayAsk && Asked < MaxQuestions; ++Asked) {
    platform::EngineAddress Process{Target.Target_, Target.Address_};
    auto Answer = co_await Ask_(std::move(Process), Question.Path_);
    if (isOk(Answer)) {
      const auto &[Code, Incarnation] = valueOf(Answer);
      constexpr int OtherTarget = 421;
      LifeSign Sign = Code == OtherTarget ? LifeSign::None : LifeSign::Answer;
      co_return ProbeResult{Sign, Incarnation};
    }
    MayAsk = errorOf(Answer).Code_ == ErrorCode::ConnectionClosed;
  }
  HttpConnection Connection(Budget_);
  Counts_->count("anvil_target_connections_total");
  Status Opened = co_await Connection.open(Target.Address_, ConnectTimeout);
  if (!isOk(Opened))
    co_return std::nullopt;
  // The system closes a process's connections before its port.
  co_await pauseFor(Question.CloseTime_);
  bool IsOpen = Connection.isIdle();
  Keep_(Target.Address_, std::move(Connection));
  co_return ProbeResult{IsOpen ? LifeSign::OpenPort : LifeSign::None,
                        std::nullopt};
}

} // namespace anvil
