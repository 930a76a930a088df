#include "Entry/TargetProbe.h"

#include "Http/Pause.h"
#include "Kernel/EnumNames.h"

namespace anvil {

namespace asio = boost::asio;

/// The time limit of a connection that shows whether a target lives.
static constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);

TargetProbe::TargetProbe(platform::EngineControl &Control,
                         std::shared_ptr<Metrics> Counts,
                         std::shared_ptr<BufferBudget> Budget, KeepHook Keep)
    : Control_(Control), Keep_(std::move(Keep)), Counts_(std::move(Counts)),
      Budget_(std::move(Budget)) {}

asio::awaitable<std::optional<RelayAnswer>>
TargetProbe::answer(RelayRequest Request, Endpoint Address) {
  ProbeQuestion Question{
      {Request.Target_, Request.Incarnation_, std::move(Address)},
      Request.Question_->Path_,
      Request.Question_->CloseTime_};
  auto Found = co_await probe(std::move(Question));
  if (!Found)
    co_return std::nullopt;
  co_return RelayAnswer{std::string(enumName(Found->Sign_, LifeSignNames)),
                        Found->Incarnation_};
}

asio::awaitable<std::optional<ProbeResult>>
TargetProbe::probe(ProbeQuestion Question) {
  const TargetAddress &Target = Question.Target_;
  // A connection that was idle may have ended meanwhile.
  constexpr int MaxQuestions = 2;
  bool MayAsk = !Question.Path_.empty();
  for (int Asked = 0; MayAsk && Asked < MaxQuestions; ++Asked) {
    platform::EngineAddress Process{Target.Target_, Target.Address_};
    auto Answer = co_await Control_.ask(std::move(Process), Question.Path_);
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
  if (Keep_)
    Keep_(Target.Address_, std::move(Connection));
  co_return ProbeResult{IsOpen ? LifeSign::OpenPort : LifeSign::None,
                        std::nullopt};
}

} // namespace anvil
