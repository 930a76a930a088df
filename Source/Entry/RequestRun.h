#ifndef ANVIL_ENTRY_REQUESTRUN_H
#define ANVIL_ENTRY_REQUESTRUN_H

#include "Entry/FleetState.h"
#include "Entry/TargetPicker.h"
#include "Http/ConnectionPool.h"
#include "Http/HttpServer.h"
#include "Routing/RetryBudget.h"
#include "Serving/EventSplitter.h"
#include "Serving/ServingPlan.h"
#include "Telemetry/Metrics.h"
#include "platform/RequestCodec.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

#include <map>
#include <memory>
#include <string>

namespace anvil {

/// Keeps a run in the list of those under way until either of them is gone; the
/// runs that a stopped loop leaves behind outlive the list.
using RunHook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

class RequestRun;

/// What all requests of this VM share.
struct RequestServices {
  boost::asio::any_io_executor Executor_;
  std::shared_ptr<TargetPicker> Picker_;
  std::shared_ptr<FleetState> Fleet_;
  std::shared_ptr<Metrics> Metrics_;
  /// Second tries, by service.
  std::map<std::string, RetryBudget> Retries_;
  RetryBudgetOptions RetryOptions_;
  /// How many VMs share the extra second tries.
  double Vms_ = 1;
  ConnectionPool Pool_;
  boost::intrusive::list<RequestRun, boost::intrusive::base_hook<RunHook>,
                         boost::intrusive::constant_time_size<false>>
      Running_;
  /// Whether the time to serve requests has run out.
  bool TimeIsUp_ = false;

  RetryBudget &retriesOf(const std::string &Service);
  void setVms(double Count);

  /// Gives each request its final answer, those to come too: nothing is sent to
  /// a target any more. A stream that has begun is cut.
  void endRequests();
};

/// An admitted request and what was settled at its admission.
struct EntryRequest {
  ServingPlanPtr Plan_;
  const RoutePlan *Route_ = nullptr;
  const CustomerPlan *Customer_ = nullptr;
  platform::CallerFields Fields_;
  std::string Service_;
  std::string Digest_;
  TimePoint ArrivedAt_{};
  /// When the caller or the route gives the request up.
  TimePoint Deadline_{};
};

/// Serves one admitted request: finds targets, sends it, and passes the answer
/// on as it comes.
class RequestRun : public RunHook {
public:
  RequestRun(RequestServices &Shared, HttpExchange &Exchange,
             EntryRequest Request);

  /// Serves the request to its end. The caller gets one final answer, or a
  /// closed connection where an answer had begun and can't go on.
  boost::asio::awaitable<void> serve();

  /// Whether no target can have run the request.
  bool neverRan() const { return Runs_ == 0; }

  /// Ends a pause and what is under way at a target.
  void interrupt();

private:
  /// How one try at a target went.
  enum class TryEnd {
    /// The caller has its final answer, or is gone.
    Done,
    /// The target has not run it.
    NotRun,
    /// It may have run, and there is no answer.
    Lost,
    /// The target ran it and failed; its answer is held in `Failure_`.
    Failed,
    /// A stream broke off after some events.
    Broken,
  };

  boost::asio::awaitable<TryEnd> tryTarget(Pick Chosen);
  boost::asio::awaitable<TryEnd> sendTo(const Pick &Chosen);
  boost::asio::awaitable<bool> connect(const Pick &Chosen);
  boost::asio::awaitable<Result<HttpReplyHead>>
  readOwnHead(Result<HttpReplyHead> Head, Duration Timeout);
  boost::asio::awaitable<TryEnd> passOn(const Pick &Chosen, HttpReplyHead Head,
                                        const platform::TargetAnswer &Answer);
  boost::asio::awaitable<TryEnd>
  passWhole(const Pick &Chosen, HttpReplyHead Head,
            const platform::TargetAnswer &Answer);
  boost::asio::awaitable<TryEnd>
  passStream(const Pick &Chosen, HttpReplyHead Head,
             const platform::TargetAnswer &Answer);
  /// Waits a little for the adapter at a target. False when it can't come in
  /// time.
  boost::asio::awaitable<bool> awaitAdapter(const Pick &Chosen);
  boost::asio::awaitable<void> refuse(int Status, std::string_view Reason,
                                      std::optional<Duration> RetryAfter);
  boost::asio::awaitable<void> endLost();
  bool mayTryAgain(TryEnd End, TimePoint Now);
  HttpRequest targetRequest(const Pick &Chosen, TimePoint Now) const;
  void keepConnection(const Pick &Chosen, const platform::TargetAnswer &Answer);
  void noteLoss(const Pick &Chosen);
  void logEnd(std::string_view Outcome, int Status);
  /// Logs the end of a request that was answered, if the answer could be sent.
  void logAnswer(bool IsSent, std::string_view Outcome, int Status);
  /// Logs the end of a request whose answer has nowhere to go.
  void logGone(int Status);
  void countEnd(std::string_view Outcome, int Status, TimePoint Now);
  Duration timeLeft() const;
  /// Whether it is of no use to go on at a target.
  bool mustEnd() const;

  RequestServices &Shared_;
  HttpExchange &Exchange_;
  EntryRequest Request_;
  PickQuestion Question_;
  HttpConnection Connection_;
  boost::asio::steady_timer Pause_;
  EventSplitter Events_;
  /// Targets on which it has run, or may have.
  int Runs_ = 0;
  int Sends_ = 0;
  bool HeadSent_ = false;
  std::optional<HttpReply> Failure_;
  std::string LastTarget_;
  std::string LastReason_;
  Duration Waited_{};
  /// How long it was held back for the engine's streams.
  Duration Paced_{};
  TimePoint FirstByteAt_{};
  TimePoint LastPartAt_{};
  Duration LongestGap_{};
  int RunningAtPick_ = 0;
};

} // namespace anvil

#endif // ANVIL_ENTRY_REQUESTRUN_H
