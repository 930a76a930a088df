#ifndef ANVIL_GATEWAY_TARGETDISPATCHER_H
#define ANVIL_GATEWAY_TARGETDISPATCHER_H

#include "Gateway/RequestAdmission.h"
#include "Http/HttpConnection.h"
#include "Http/HttpServer.h"
#include "Requests/PermitBroker.h"
#include "Requests/TargetSelector.h"

#include <optional>
#include <string>

namespace anvil {

/// The outcome of one attempt on one target.
struct AttemptOutcome {
  AttemptResult Result_ = AttemptResult::Failed;
  PermitOutcome End_ = PermitOutcome::TargetFailed;
  Execution Executed_ = Execution::Unknown;
  /// Whether a part of the response was sent to the caller, so that the request
  /// can no longer be retried on another target.
  bool ResponseStarted_ = false;
  /// The usage that a complete response reports; absent if unknown.
  std::optional<double> UsedTokens_;
  Duration TimeToFirstByte_{0};
  /// The number of times that the broken stream was resumed.
  int ResumeCount_ = 0;
  /// The whole response. Of a stream, the body has the events, and only if the
  /// request may not be repeated.
  HttpReply Reply_;
  /// What the body of the response counts for.
  std::shared_ptr<BufferShare> ReplyShare_;
  std::string Problem_;
};

/// Runs one request on one target and relays the response.
class TargetDispatcher {
public:
  /// `ConnectTimeout` limits connecting to a target, `IdleTimeout` the time
  /// between two parts of a response. `ResumeStreams` is whether engines
  /// support the headers that resume a broken stream.
  /// Responses that are not streamed are read within the limits.
  TargetDispatcher(Duration ConnectTimeout, Duration IdleTimeout,
                   bool ResumeStreams, ReceiveLimits Limits)
      : ConnectTimeout_(ConnectTimeout), IdleTimeout_(IdleTimeout),
        ResumeStreams_(ResumeStreams), Limits_(std::move(Limits)) {}

  /// Sends the request to the permit's target. Streams are relayed to the
  /// caller as they arrive; other responses are only returned. `Connection` is
  /// either open and idle, or is opened here; closing it cancels the request.
  boost::asio::awaitable<AttemptOutcome> run(const AdmittedRequest &Admitted,
                                             const Permit &Held,
                                             HttpConnection &Connection,
                                             HttpExchange &Exchange);

private:
  /// How relaying a stream ended.
  enum class RelayResult {
    Complete,
    CallerDisconnected,
    /// The connection failed; the engine may be able to resume the stream.
    Broken,
    /// The received data is invalid and not forwarded.
    Unusable,
  };

  /// The progress of a stream over all its connections.
  struct StreamProgress {
    std::size_t Events_ = 0;
    bool Complete_ = false;
    /// The usage that the engine has reported so far.
    std::optional<double> UsedTokens_;
    Error Problem_;
  };

  boost::asio::awaitable<RelayResult>
  relayEvents(const AdmittedRequest &Admitted, HttpConnection &Connection,
              HttpExchange &Exchange, StreamProgress &Stream,
              AttemptOutcome &Attempt);
  boost::asio::awaitable<bool> resume(const AdmittedRequest &Admitted,
                                      const Permit &Held,
                                      HttpConnection &Connection,
                                      const StreamProgress &Stream);
  boost::asio::awaitable<void> relayStream(const AdmittedRequest &Admitted,
                                           const Permit &Held,
                                           HttpConnection &Connection,
                                           HttpExchange &Exchange,
                                           AttemptOutcome &Attempt);
  boost::asio::awaitable<void> collect(const AdmittedRequest &Admitted,
                                       const Permit &Held,
                                       HttpConnection &Connection,
                                       AttemptOutcome &Attempt);

  Duration ConnectTimeout_;
  Duration IdleTimeout_;
  bool ResumeStreams_;
  ReceiveLimits Limits_;
};

} // namespace anvil

#endif // ANVIL_GATEWAY_TARGETDISPATCHER_H
