#include "Gateway/TargetDispatcher.h"

#include "Gateway/Forwarding.h"
#include "Gateway/OpenAiCodec.h"
#include "Gateway/SseParser.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// The longest whole answer of a target, in bytes.
static constexpr std::size_t AnswerLimitBytes = 32 * 1024 * 1024;

/// The last event of a complete stream.
static constexpr std::string_view StreamEnd = "[DONE]";

/// How long an engine may take to answer that it takes up a broken stream.
static constexpr Duration ResumeTimeout = std::chrono::seconds(5);

/// Times that one broken stream is taken up again.
static constexpr int MostResumes = 2;

/// Whether the head of an answer belongs to the request.
static bool isOurs(const HttpReplyHead &Head, const RequestContext &Request) {
  auto Id = Head.Headers_.find("X-Request-Id");
  // Plain services need not know of request ids; engines do.
  if (!Id && Request.Adapter_.empty())
    return true;
  if (!Id || *Id != Request.RequestId_)
    return false;
  if (Request.Adapter_.empty() || Head.Status_ != 200)
    return true;
  return Head.Headers_.find("X-Adapter") == Request.Adapter_.text();
}

static void fail(TryOutcome &Try, const Error &Problem) {
  Try.Problem_ = Problem.describe();
  Try.Ran_ = Execution::Unknown;
  Try.Result_ = Problem.Code_ == ErrorCode::ConnectionClosed
                    ? TryResult::Crashed
                    : TryResult::Failed;
  Try.End_ = PermitEnd::TargetFailed;
}

/// Statuses by which a target says that it did not run the request.
static bool refusedBeforeRunning(const HttpReplyHead &Head,
                                 const RequestContext &Request) {
  if (Head.Status_ == 429 || Head.Status_ == 503)
    return true;
  return !Request.Adapter_.empty() && Head.Status_ == 404;
}

asio::awaitable<TryOutcome>
TargetDispatcher::run(const AdmittedRequest &Admitted, const Permit &Held,
                      HttpConnection &Connection, HttpExchange &Exchange) {
  const RequestContext &Request = Admitted.Context_;
  TryOutcome Try;
  TimePoint Started = BootClock::now();
  if (!Connection.isIdle()) {
    Status Opened = co_await Connection.open(Held.Address_, ConnectTimeout_);
    if (!isOk(Opened)) {
      Try.Problem_ = errorOf(Opened).describe();
      Try.Ran_ = Execution::No;
      co_return Try;
    }
  }
  Duration Left = Request.Deadline_ - BootClock::now();
  auto Head = co_await Connection.exchange(Admitted.Outgoing_,
                                           std::max(Left, Duration(1)));
  Try.FirstByte_ = BootClock::now() - Started;
  if (!isOk(Head)) {
    fail(Try, errorOf(Head));
    co_return Try;
  }
  const HttpReplyHead &Given = valueOf(Head);
  if (!isOurs(Given, Request)) {
    Connection.close();
    fail(Try, {ErrorCode::Protocol, Held.Target_,
               "answered for another request", ""});
    co_return Try;
  }
  if (refusedBeforeRunning(Given, Request)) {
    Try.Result_ = TryResult::RefusedBeforeRunning;
    Try.Ran_ = Execution::No;
    Try.End_ = Given.Status_ == 404 ? PermitEnd::AdapterMissing
                                    : PermitEnd::NotStarted;
    Try.Problem_ = "refused with status " + std::to_string(Given.Status_);
    co_return Try;
  }
  Try.Answer_.Status_ = Given.Status_;
  Try.Answer_.Headers_ = headersForCaller(Given.Headers_, Request);
  bool IsStream = Admitted.Stream_ && Given.Status_ == 200;
  if (IsStream)
    co_await relayStream(Admitted, Held, Connection, Exchange, Try);
  else
    co_await collect(Admitted, Connection, Try);
  co_return Try;
}

asio::awaitable<TargetDispatcher::RelayEnd> TargetDispatcher::relayEvents(
    const AdmittedRequest &Admitted, HttpConnection &Connection,
    HttpExchange &Exchange, Relay &Stream, TryOutcome &Try) {
  SseParser Events;
  std::string Unsent;
  HttpReplyHead Head{Try.Answer_.Status_, Try.Answer_.Headers_};
  bool MustFinish = !Admitted.Context_.Repeatable_;
  while (true) {
    auto Part = co_await Connection.readPart(IdleTimeout_);
    if (!isOk(Part)) {
      Stream.Problem_ = errorOf(Part);
      co_return RelayEnd::Broken;
    }
    const std::string &Piece = valueOf(Part);
    if (Piece.empty())
      break;
    auto Parsed = Events.feed(Piece);
    if (!isOk(Parsed)) {
      Stream.Problem_ = errorOf(Parsed);
      co_return RelayEnd::Unusable;
    }
    for (const std::string &Event : valueOf(Parsed)) {
      Stream.Complete_ |= Event == StreamEnd;
      ++Stream.Events_;
      if (!isAnswerTo(Event, Admitted.Context_)) {
        Stream.Problem_ = {ErrorCode::Protocol, "target",
                           "streamed the events of another request", ""};
        co_return RelayEnd::Unusable;
      }
      if (Event.find("\"usage\"") != std::string::npos)
        if (auto Usage = decodeUsage(Event); Usage && Usage->TotalTokens_ > 0)
          Stream.UsedTokens_ = static_cast<double>(Usage->TotalTokens_);
      // Until the end the engine may use more than it has told.
      if (Stream.Complete_)
        Try.UsedTokens_ = Stream.UsedTokens_;
    }
    // Only whole events go on, since only those can be checked.
    Unsent += Piece;
    std::size_t Checked = Unsent.size() - Events.unfinishedBytes();
    std::string Ready = Unsent.substr(0, Checked);
    Unsent.erase(0, Checked);
    if (Ready.empty())
      continue;
    if (MustFinish)
      Try.Answer_.Body_ += Ready;
    bool Reached = true;
    if (!Try.CallerSawBytes_)
      Reached = co_await Exchange.startStream(Head);
    Try.CallerSawBytes_ = true;
    if (Reached)
      Reached = co_await Exchange.write(Ready);
    if (!Reached && !MustFinish)
      co_return RelayEnd::CallerGone;
  }
  Stream.Problem_ = {ErrorCode::ConnectionClosed, "target",
                     "the stream ended too early", ""};
  co_return Stream.Complete_ ? RelayEnd::Complete : RelayEnd::Broken;
}

asio::awaitable<bool> TargetDispatcher::resume(const AdmittedRequest &Admitted,
                                               const Permit &Held,
                                               HttpConnection &Connection,
                                               const Relay &Stream) {
  const RequestContext &Request = Admitted.Context_;
  Status Opened = co_await Connection.open(Held.Address_, ConnectTimeout_);
  if (!isOk(Opened))
    co_return false;
  HttpRequest Again = Admitted.Outgoing_;
  Again.Headers_.add("X-Resume-Request", Request.RequestId_);
  Again.Headers_.add("X-Resume-Offset", std::to_string(Stream.Events_));
  auto Head = co_await Connection.exchange(Again, ResumeTimeout);
  bool Resumed = isOk(Head) && valueOf(Head).Status_ == 200 &&
                 isOurs(valueOf(Head), Request);
  if (!Resumed)
    Connection.close();
  co_return Resumed;
}

asio::awaitable<void>
TargetDispatcher::relayStream(const AdmittedRequest &Admitted,
                              const Permit &Held, HttpConnection &Connection,
                              HttpExchange &Exchange, TryOutcome &Try) {
  Relay Stream;
  RelayEnd End =
      co_await relayEvents(Admitted, Connection, Exchange, Stream, Try);
  for (int Resumes = 0; End == RelayEnd::Broken; ++Resumes) {
    Error Problem = Stream.Problem_;
    // A caller that went away, or whose key was withdrawn, gets no more.
    bool MayResume = ResumeStreams_ && Admitted.Context_.Repeatable_ &&
                     Stream.Events_ > 0 && Resumes < MostResumes &&
                     !Exchange.callerGone();
    if (!MayResume || !co_await resume(Admitted, Held, Connection, Stream))
      co_return fail(Try, Problem);
    ++Try.Resumes_;
    End = co_await relayEvents(Admitted, Connection, Exchange, Stream, Try);
  }
  if (End == RelayEnd::Unusable) {
    Connection.close();
    co_return fail(Try, Stream.Problem_);
  }
  if (End == RelayEnd::CallerGone) {
    // Closing the connection makes the engine cancel the request.
    Connection.close();
    Try.Problem_ = "the caller went away";
  } else {
    co_await Exchange.finishStream();
  }
  Try.Result_ = TryResult::Answered;
  Try.End_ = PermitEnd::Finished;
  Try.Ran_ = Execution::Yes;
}

asio::awaitable<void> TargetDispatcher::collect(const AdmittedRequest &Admitted,
                                                HttpConnection &Connection,
                                                TryOutcome &Try) {
  while (true) {
    // Nothing has gone to the caller, so the deadline holds to the end.
    Duration Left = Admitted.Context_.Deadline_ - BootClock::now();
    Duration Wait = std::clamp(Left, Duration(1), IdleTimeout_);
    auto Part = co_await Connection.readPart(Wait);
    if (!isOk(Part))
      co_return fail(Try, errorOf(Part));
    if (valueOf(Part).empty())
      break;
    Try.Answer_.Body_ += valueOf(Part);
    if (Try.Answer_.Body_.size() > AnswerLimitBytes) {
      Connection.close();
      co_return fail(
          Try, {ErrorCode::TooLarge, "target", "the answer is too long", ""});
    }
  }
  const RequestContext &Request = Admitted.Context_;
  if (!Request.Adapter_.empty() && Try.Answer_.Status_ == 200) {
    auto Usage = decodeUsage(Try.Answer_.Body_);
    bool IsOwn = Usage && Usage->Model_ == Request.Adapter_.text() &&
                 isAnswerTo(Try.Answer_.Body_, Request);
    if (!IsOwn)
      co_return fail(Try, {ErrorCode::Protocol, "target",
                           "the answer is that of another request", ""});
    if (Usage->TotalTokens_ > 0)
      Try.UsedTokens_ = static_cast<double>(Usage->TotalTokens_);
  }
  if (Try.Answer_.Status_ >= 500) {
    Try.Problem_ = "answered status " + std::to_string(Try.Answer_.Status_);
    Try.Ran_ = Execution::Unknown;
    Try.Result_ = TryResult::Failed;
    Try.End_ = PermitEnd::Finished;
    co_return;
  }
  Try.Result_ = TryResult::Answered;
  Try.End_ = PermitEnd::Finished;
  Try.Ran_ = Execution::Yes;
}

} // namespace anvil
