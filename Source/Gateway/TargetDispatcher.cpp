#include "Gateway/TargetDispatcher.h"

#include "Gateway/Forwarding.h"
#include "Gateway/OpenAiCodec.h"
#include "Gateway/SseParser.h"
#include "Http/LivenessProbe.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// The data of the event that ends a complete stream.
static constexpr std::string_view StreamEndMarker = "[DONE]";

/// How long an engine may take to respond to a request to resume a stream.
static constexpr Duration ResumeTimeout = std::chrono::seconds(5);

/// The maximum number of times that one stream is resumed.
static constexpr int MaxResumes = 2;

/// The header that names the request to which a response belongs.
static constexpr std::string_view RequestIdHeader = "X-Request-Id";

/// Whether the head of a response belongs to the request.
static bool matchesRequest(const HttpReplyHead &Head,
                           const RequestContext &Request) {
  auto Id = Head.Headers_.find(RequestIdHeader);
  // Plain services need not support request ids; engines must. A connection
  // that has had a response without an id isn't reused.
  if (!Id && Request.Adapter_.empty())
    return true;
  if (!Id || *Id != Request.RequestId_)
    return false;
  if (Request.Adapter_.empty() || Head.Status_ != 200)
    return true;
  return Head.Headers_.find("X-Adapter") == Request.Adapter_.text();
}

static void fail(AttemptOutcome &Attempt, const Error &Problem) {
  Attempt.Problem_ = Problem.describe();
  Attempt.Executed_ = Execution::Unknown;
  Attempt.Result_ = Problem.Code_ == ErrorCode::ConnectionClosed
                        ? AttemptResult::Crashed
                        : AttemptResult::Failed;
  Attempt.End_ = PermitOutcome::TargetFailed;
}

/// Whether the status means that the target did not run the request.
static bool refusedBeforeRunning(const HttpReplyHead &Head,
                                 const RequestContext &Request) {
  if (Head.Status_ == 429 || Head.Status_ == 503)
    return true;
  return !Request.Adapter_.empty() && Head.Status_ == 404;
}

asio::awaitable<AttemptOutcome>
TargetDispatcher::run(const AdmittedRequest &Admitted, const Permit &Held,
                      HttpConnection &Connection, HttpExchange &Exchange) {
  const RequestContext &Request = Admitted.Context_;
  AttemptOutcome Attempt;
  TimePoint Started = BootClock::now();
  if (!Connection.isIdle()) {
    Status Opened = co_await Connection.open(Held.Address_, ConnectTimeout_);
    if (!isOk(Opened)) {
      Attempt.Problem_ = errorOf(Opened).describe();
      Attempt.Executed_ = Execution::No;
      co_return Attempt;
    }
  }
  Connection.carried().recordRequest(Request.RequestId_);
  Duration Left = Request.Deadline_ - BootClock::now();
  auto Head = co_await Connection.exchange(Admitted.Outgoing_,
                                           std::max(Left, Duration(1)));
  Attempt.TimeToFirstByte_ = BootClock::now() - Started;
  if (!isOk(Head)) {
    fail(Attempt, errorOf(Head));
    co_return Attempt;
  }
  const HttpReplyHead &Given = valueOf(Head);
  if (!Given.Headers_.find(RequestIdHeader))
    Connection.carried().recordUnnamedAnswer();
  if (!matchesRequest(Given, Request)) {
    Connection.close();
    fail(Attempt, {ErrorCode::Protocol, Held.Target_,
                   "response belongs to another request", ""});
    co_return Attempt;
  }
  if (refusedBeforeRunning(Given, Request)) {
    Attempt.Result_ = AttemptResult::RefusedBeforeRunning;
    Attempt.Executed_ = Execution::No;
    Attempt.End_ = Given.Status_ == 404 ? PermitOutcome::AdapterMissing
                                        : PermitOutcome::NotStarted;
    Attempt.Problem_ = "refused with status " + std::to_string(Given.Status_);
    co_return Attempt;
  }
  Attempt.Reply_.Status_ = Given.Status_;
  Attempt.Reply_.Headers_ = headersForCaller(Given.Headers_, Request);
  bool IsStream = Admitted.Stream_ && Given.Status_ == 200;
  if (IsStream)
    co_await relayStream(Admitted, Held, Connection, Exchange, Attempt);
  else
    co_await collect(Admitted, Held, Connection, Attempt);
  co_return Attempt;
}

asio::awaitable<TargetDispatcher::RelayResult> TargetDispatcher::relayEvents(
    const AdmittedRequest &Admitted, HttpConnection &Connection,
    HttpExchange &Exchange, StreamProgress &Stream, AttemptOutcome &Attempt) {
  SseParser Events;
  std::string Unsent;
  HttpReplyHead Head{Attempt.Reply_.Status_, Attempt.Reply_.Headers_};
  bool MustReadToEnd = !Admitted.Context_.Repeatable_;
  while (true) {
    auto Part = co_await Connection.readPart(IdleTimeout_);
    if (!isOk(Part)) {
      Stream.Problem_ = errorOf(Part);
      co_return RelayResult::Broken;
    }
    const std::string &Piece = valueOf(Part);
    if (Piece.empty())
      break;
    auto Parsed = Events.feed(Piece);
    if (!isOk(Parsed)) {
      Stream.Problem_ = errorOf(Parsed);
      co_return RelayResult::Unusable;
    }
    for (const std::string &Event : valueOf(Parsed)) {
      Stream.Complete_ |= Event == StreamEndMarker;
      ++Stream.Events_;
      if (!isResponseTo(Event, Admitted.Context_)) {
        Stream.Problem_ = {ErrorCode::Protocol, "target",
                           "sent events of another request", ""};
        co_return RelayResult::Unusable;
      }
      if (Event.find("\"usage\"") != std::string::npos)
        if (auto Usage = decodeUsage(Event); Usage && Usage->TotalTokens_ > 0)
          Stream.UsedTokens_ = static_cast<double>(Usage->TotalTokens_);
      // Until the stream is complete, the engine may use more tokens than it
      // has reported.
      if (Stream.Complete_)
        Attempt.UsedTokens_ = Stream.UsedTokens_;
    }
    // Only complete events are forwarded, since only those can be checked.
    Unsent += Piece;
    std::size_t Checked = Unsent.size() - Events.incompleteBytes();
    std::string Ready = Unsent.substr(0, Checked);
    Unsent.erase(0, Checked);
    if (Ready.empty())
      continue;
    if (MustReadToEnd)
      Attempt.Reply_.Body_ += Ready;
    if (Attempt.Reply_.Body_.size() > Limits_.BodyBytes_) {
      Stream.Problem_ = {ErrorCode::TooLarge, "target",
                         "the stream exceeds the size limit", ""};
      co_return RelayResult::Unusable;
    }
    bool Delivered = true;
    if (!Attempt.ResponseStarted_)
      Delivered = co_await Exchange.startStream(Head);
    Attempt.ResponseStarted_ = true;
    if (Delivered)
      Delivered = co_await Exchange.write(Ready);
    if (!Delivered && !MustReadToEnd)
      co_return RelayResult::CallerDisconnected;
  }
  Stream.Problem_ = {ErrorCode::ConnectionClosed, "target",
                     "the stream ended before its last event", ""};
  co_return Stream.Complete_ ? RelayResult::Complete : RelayResult::Broken;
}

asio::awaitable<bool> TargetDispatcher::resume(const AdmittedRequest &Admitted,
                                               const Permit &Held,
                                               HttpConnection &Connection,
                                               const StreamProgress &Stream) {
  const RequestContext &Request = Admitted.Context_;
  Status Opened = co_await Connection.open(Held.Address_, ConnectTimeout_);
  if (!isOk(Opened))
    co_return false;
  HttpRequest Again = Admitted.Outgoing_;
  Again.Headers_.add("X-Resume-Request", Request.RequestId_);
  Again.Headers_.add("X-Resume-Offset", std::to_string(Stream.Events_));
  auto Head = co_await Connection.exchange(Again, ResumeTimeout);
  bool Resumed = isOk(Head) && valueOf(Head).Status_ == 200 &&
                 matchesRequest(valueOf(Head), Request);
  if (!Resumed)
    Connection.close();
  co_return Resumed;
}

asio::awaitable<void>
TargetDispatcher::relayStream(const AdmittedRequest &Admitted,
                              const Permit &Held, HttpConnection &Connection,
                              HttpExchange &Exchange, AttemptOutcome &Attempt) {
  StreamProgress Stream;
  RelayResult End =
      co_await relayEvents(Admitted, Connection, Exchange, Stream, Attempt);
  for (int Resumes = 0; End == RelayResult::Broken; ++Resumes) {
    Error Problem = Stream.Problem_;
    // A caller that disconnected, or whose key was withdrawn, gets no more.
    bool MayResume = ResumeStreams_ && Admitted.Context_.Repeatable_ &&
                     Stream.Events_ > 0 && Resumes < MaxResumes &&
                     !Exchange.callerDisconnected();
    if (!MayResume || !co_await resume(Admitted, Held, Connection, Stream))
      co_return fail(Attempt, Problem);
    ++Attempt.ResumeCount_;
    End = co_await relayEvents(Admitted, Connection, Exchange, Stream, Attempt);
  }
  if (End == RelayResult::Unusable) {
    Connection.close();
    co_return fail(Attempt, Stream.Problem_);
  }
  if (End == RelayResult::CallerDisconnected) {
    // Closing the connection makes the engine cancel the request.
    Connection.close();
    Attempt.Problem_ = "the caller disconnected";
  } else {
    co_await Exchange.finishStream();
  }
  Attempt.Result_ = AttemptResult::Replied;
  Attempt.End_ = PermitOutcome::Finished;
  Attempt.Executed_ = Execution::Yes;
}

asio::awaitable<void> TargetDispatcher::collect(const AdmittedRequest &Admitted,
                                                const Permit &Held,
                                                HttpConnection &Connection,
                                                AttemptOutcome &Attempt) {
  ReceivedBody Body(Limits_, [&Connection] { Connection.close(); });
  while (true) {
    // Nothing has been sent to the caller, so the deadline still applies.
    Duration Left = Admitted.Context_.Deadline_ - BootClock::now();
    Duration Wait = std::clamp(Left, Duration(1), IdleTimeout_);
    auto Part = co_await Connection.readPart(Wait);
    if (!isOk(Part))
      co_return fail(Attempt, errorOf(Part));
    if (valueOf(Part).empty())
      break;
    Status Appended = Body.append(valueOf(Part));
    if (!isOk(Appended)) {
      Connection.close();
      co_return fail(Attempt, errorOf(Appended));
    }
  }
  auto Whole = Body.finish();
  if (!isOk(Whole))
    co_return fail(Attempt, errorOf(Whole));
  Attempt.Reply_.Body_ = std::move(valueOf(Whole));
  Attempt.ReplyShare_ = Body.takeShare();
  const RequestContext &Request = Admitted.Context_;
  if (!Request.Adapter_.empty() && Attempt.Reply_.Status_ == 200) {
    auto Usage = decodeUsage(Attempt.Reply_.Body_);
    bool IsOwn = Usage && Usage->Model_ == Request.Adapter_.text() &&
                 isResponseTo(Attempt.Reply_.Body_, Request);
    if (!IsOwn)
      co_return fail(Attempt, {ErrorCode::Protocol, "target",
                               "the response belongs to another request", ""});
    if (Usage->TotalTokens_ > 0)
      Attempt.UsedTokens_ = static_cast<double>(Usage->TotalTokens_);
  }
  if (Attempt.Reply_.Status_ >= 500) {
    Attempt.Problem_ =
        "answered status " + std::to_string(Attempt.Reply_.Status_);
    Attempt.Executed_ = Execution::Unknown;
    Attempt.Result_ = AttemptResult::Failed;
    Attempt.End_ = PermitOutcome::Finished;
    co_return;
  }
  // A completion that was decoded is whole. The end of another body may be that
  // of the target's process.
  bool IsDecoded = !Request.Adapter_.empty() && Attempt.Reply_.Status_ == 200;
  if (!IsDecoded && Connection.framing() == BodyFraming::UntilClose) {
    Duration Left = std::max(Request.Deadline_ - BootClock::now(), Duration(1));
    Status Alive =
        co_await checkAlive(Held.Address_, std::min(Left, ConnectTimeout_));
    if (!isOk(Alive))
      co_return fail(Attempt, {errorOf(Alive).Code_, Held.Target_,
                               "ended a response without a length: " +
                                   errorOf(Alive).Message_,
                               ""});
  }
  Attempt.Result_ = AttemptResult::Replied;
  Attempt.End_ = PermitOutcome::Finished;
  Attempt.Executed_ = Execution::Yes;
}

} // namespace anvil
