#ifndef ANVIL_ENTRY_REQUESTRUN_H
#define ANVIL_ENTRY_REQUESTRUN_H

#include "Entry/RequestServices.h"
#include "Http/HttpExchange.h"
#include "Serving/EventSplitter.h"
#include "Serving/ServingPlan.h"
#include "platform/RequestCodec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>

namespace anvil {

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
  enum class AttemptResult {
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

  boost::asio::awaitable<AttemptResult> tryTarget(TargetChoice Chosen);
  boost::asio::awaitable<AttemptResult> sendTo(const TargetChoice &Chosen);
  boost::asio::awaitable<bool> connect(const TargetChoice &Chosen);
  boost::asio::awaitable<Result<HttpReplyHead>>
  readMatchingHead(Result<HttpReplyHead> Head, Duration Timeout);
  boost::asio::awaitable<AttemptResult>
  forwardReply(const TargetChoice &Chosen, HttpReplyHead Head,
               const platform::TargetAnswer &Answer);
  boost::asio::awaitable<AttemptResult>
  forwardBuffered(const TargetChoice &Chosen, HttpReplyHead Head,
                  const platform::TargetAnswer &Answer);
  boost::asio::awaitable<AttemptResult>
  forwardStream(const TargetChoice &Chosen, HttpReplyHead Head,
                const platform::TargetAnswer &Answer);
  /// Waits a little for the adapter at a target. False when it can't come in
  /// time.
  boost::asio::awaitable<bool> awaitAdapter(const TargetChoice &Chosen);
  boost::asio::awaitable<void> refuse(int Status, std::string_view Reason,
                                      std::optional<Duration> RetryAfter);
  boost::asio::awaitable<void> finishUnserved();
  /// Whether another try makes sense, as far as the retry budget allows it.
  bool isRetryable(AttemptResult End) const;
  /// Waits until the retry budget allows one more try. False where the request
  /// should not wait for it.
  boost::asio::awaitable<bool> awaitRetryBudget(AttemptResult End);
  HttpRequest targetRequest(const TargetChoice &Chosen, TimePoint Now) const;
  /// Takes in what the target says of itself in its answer.
  void applyTargetHeaders(const TargetChoice &Chosen,
                          const platform::TargetAnswer &Answer,
                          TimePoint SentAt, TimePoint Now);
  void keepConnection(const TargetChoice &Chosen,
                      const platform::TargetAnswer &Answer);
  /// Notes that a target broke off, unless this VM or the caller ended it.
  void recordFailure(const TargetChoice &Chosen, Duration Took, TimePoint Now);
  void logEnd(std::string_view Outcome, int Status);
  /// Logs the end of a request that was answered, if the answer could be sent.
  void logReply(bool IsSent, std::string_view Outcome, int Status);
  /// Logs the end of a request whose answer has nowhere to go.
  void logDisconnect(int Status);
  void countResult(std::string_view Outcome, int Status, TimePoint Now);
  Duration timeLeft() const;
  /// Whether the caller's time or this VM's has run out.
  bool isOutOfTime() const;
  /// Whether it is of no use to go on at a target.
  bool isCancelled() const;

  RequestServices &Shared_;
  HttpExchange &Exchange_;
  EntryRequest Request_;
  TargetQuery Query_;
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
  /// When a refused caller should come back, if that is known.
  std::optional<Duration> CallerRetryAfter_;
  Duration AdapterWait_{};
  /// The target whose load of the adapter it waited for, if it did so for long
  /// enough to tell whether the load was on time.
  std::string AwaitedLoadTarget_;
  /// How long it was held back for the engine's streams.
  Duration PacingWait_{};
  TimePoint FirstByteAt_{};
  TimePoint LastChunkAt_{};
  Duration LongestGap_{};
  int RunningAtPick_ = 0;
};

} // namespace anvil

#endif // ANVIL_ENTRY_REQUESTRUN_H
