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

/// How one try on one target ended.
struct TryOutcome {
  TryResult Result_ = TryResult::Failed;
  PermitEnd End_ = PermitEnd::TargetFailed;
  Execution Ran_ = Execution::Unknown;
  /// Whether a part of the answer went to the caller, so that no other target
  /// can answer any more.
  bool CallerSawBytes_ = false;
  /// What a whole answer says that it used; absent when that isn't known.
  std::optional<double> UsedTokens_;
  Duration FirstByte_{0};
  /// Times that the stream broke and was taken up again.
  int Resumes_ = 0;
  /// The whole answer; a stream's events are its body.
  HttpReply Answer_;
  std::string Problem_;
};

/// Runs one request on one target and passes the answer on.
class TargetDispatcher {
public:
  /// `ConnectTimeout` bounds the connection to a target, `IdleTimeout` the time
  /// between two parts of an answer that has begun. `ResumeStreams` says
  /// whether engines know the headers that take up a broken stream.
  TargetDispatcher(Duration ConnectTimeout, Duration IdleTimeout,
                   bool ResumeStreams)
      : ConnectTimeout_(ConnectTimeout), IdleTimeout_(IdleTimeout),
        ResumeStreams_(ResumeStreams) {}

  /// Sends the request to the permit's target. Streams go to the caller part by
  /// part; whole answers are only returned. `Connection` is open and idle, or
  /// is opened here; it is the caller's to close for a cancel.
  boost::asio::awaitable<TryOutcome> run(const AdmittedRequest &Admitted,
                                         const Permit &Held,
                                         HttpConnection &Connection,
                                         HttpExchange &Exchange);

private:
  /// How the reading of a stream ended.
  enum class RelayEnd {
    Complete,
    CallerGone,
    /// The connection failed; the engine may be able to go on.
    Broken,
    /// What came can't be passed on.
    Unusable,
  };

  /// How far a stream has come over all its connections.
  struct Relay {
    std::size_t Events_ = 0;
    bool Complete_ = false;
    /// What the engine has told of its use so far.
    std::optional<double> UsedTokens_;
    Error Problem_;
  };

  boost::asio::awaitable<RelayEnd> relayEvents(const AdmittedRequest &Admitted,
                                               HttpConnection &Connection,
                                               HttpExchange &Exchange,
                                               Relay &Stream, TryOutcome &Try);
  boost::asio::awaitable<bool> resume(const AdmittedRequest &Admitted,
                                      const Permit &Held,
                                      HttpConnection &Connection,
                                      const Relay &Stream);
  boost::asio::awaitable<void> relayStream(const AdmittedRequest &Admitted,
                                           const Permit &Held,
                                           HttpConnection &Connection,
                                           HttpExchange &Exchange,
                                           TryOutcome &Try);
  boost::asio::awaitable<void> collect(const AdmittedRequest &Admitted,
                                       HttpConnection &Connection,
                                       TryOutcome &Try);

  Duration ConnectTimeout_;
  Duration IdleTimeout_;
  bool ResumeStreams_;
};

} // namespace anvil

#endif // ANVIL_GATEWAY_TARGETDISPATCHER_H
