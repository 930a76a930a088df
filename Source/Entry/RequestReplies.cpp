// How a request's reply reaches the caller: RequestRun forwards replies of
// targets, gives its own, and logs the end of the request here.

#include "Entry/RequestRun.h"

#include "Entry/CrashProbe.h"
#include "Entry/RandomFraction.h"
#include "Http/Pause.h"
#include "Kernel/EnumNames.h"
#include "Serving/RetryAfter.h"
#include "Telemetry/Log.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// The fraction of a target's keep-alive time for which a connection is
/// reused, so that the target doesn't close it while a request is in transit.
static constexpr double KeepAliveFraction = 0.8;

/// The retry hint for callers if no target is available.
static constexpr Duration BusyRetryAfter = std::chrono::milliseconds(400);

/// Streams with a longer gap between chunks are logged at info level.
static constexpr Duration LoggedGap = std::chrono::milliseconds(250);

/// The maximum size of a buffered reply, of one event of a stream that can be
/// resumed at another target, and of replies to other requests. Other streams
/// are forwarded as they arrive, without a limit.
static constexpr std::size_t MaxReplyBytes = 4 * 1024 * 1024;

/// How many parts of one event are read at once, and the pause after them. A
/// sound event has few.
static constexpr std::size_t MaxPartsAtOnce = 64;
static constexpr Duration PartsPause = std::chrono::milliseconds(20);

/// The reason logged when a reply is too large, or had to give way to others.
static constexpr std::string_view ReplyTooLong = "answer_too_long";

TimePoint RequestRun::replyDeadline() const {
  return std::max(Request_.Deadline_, BootClock::now()) + ReplyMargin;
}

asio::awaitable<Result<HttpReplyHead>>
RequestRun::readMatchingHead(Result<HttpReplyHead> Head, Duration Timeout) {
  // The reply to an earlier request may arrive late, or once more, on a reused
  // connection. Replies without an id are of this request, since a connection
  // that has had one isn't reused.
  TimePoint Deadline = BootClock::now() + Timeout;
  while (isOk(Head)) {
    auto Response = platform::decodeTargetResponse(valueOf(Head));
    bool IsOwn = Response.RequestId_.empty() ||
                 Response.RequestId_ == Request_.Fields_.RequestId_;
    if (Response.RequestId_.empty())
      Connection_.carried().recordUnnamedAnswer();
    if (IsOwn)
      co_return Head;
    recordForeignReply(Response);
    std::size_t SkippedBytes = 0;
    while (true) {
      auto Chunk = co_await Connection_.readPart(Deadline - BootClock::now());
      if (!isOk(Chunk))
        co_return errorOf(Chunk);
      if (valueOf(Chunk).empty())
        break;
      SkippedBytes += valueOf(Chunk).size();
      if (SkippedBytes > MaxReplyBytes)
        co_return Error{ErrorCode::TooLarge, LastTarget_,
                        "answered another request without end", ""};
    }
    if (!Connection_.reusable())
      co_return Error{ErrorCode::ConnectionClosed, LastTarget_,
                      "answered another request and closed", ""};
    Head = co_await Connection_.readNextResponse(Deadline - BootClock::now());
  }
  co_return Head;
}

void RequestRun::recordForeignReply(const platform::TargetResponse &Response) {
  Shared_.Metrics_->count("anvil_foreign_replies_total",
                          {{"target", LastTarget_}});
  logEvent(LogLevel::Warning, "foreign_reply",
           {{"request", Request_.Fields_.RequestId_},
            {"target", LastTarget_},
            {"reply_to", Response.RequestId_},
            {"status", Response.Status_},
            {"not_executed", Response.NotExecuted_},
            {"sends", Sends_}});
}

asio::awaitable<RequestRun::SendOutcome>
RequestRun::forwardReply(const TargetChoice &Chosen, HttpReplyHead Head,
                         const platform::TargetResponse &Response) {
  // An unsealed reply does not come from the target itself, so its status
  // can't be relied on.
  if (!Response.Sealed_) {
    LastReason_ = "not_sealed";
    co_return SendOutcome::Lost;
  }
  bool IsStream =
      Response.isSuccess() && Request_.Route_->Kind_ == RequestKind::Stream;
  // Only events can follow those that the caller has received.
  if (HeadSent_ && !Response.EventStream_)
    IsStream = false;
  // The connection is already closed, so only the head could be forwarded.
  if (IsStream && !HeadSent_ && Shared_.ServingEnded_)
    co_return SendOutcome::Lost;
  if (IsStream)
    co_return co_await forwardStream(Chosen, std::move(Head), Response);
  co_return co_await forwardBuffered(Chosen, std::move(Head), Response);
}

asio::awaitable<RequestRun::SendOutcome>
RequestRun::forwardBuffered(const TargetChoice &Chosen, HttpReplyHead Head,
                            const platform::TargetResponse &Response) {
  HttpReplyHead CallerHead = platform::encodeCallerHead(Head);
  HttpReply Reply{CallerHead.Status_, std::move(CallerHead.Headers_), {}};
  ReceivedBody Body({MaxReplyBytes, Shared_.Pool_.limits().Budget_},
                    [this] { giveWay(); });
  Status Read = co_await Connection_.readBody(Body, replyDeadline());
  Result<std::string> Whole = isOk(Read) ? Body.finish() : errorOf(Read);
  if (isOk(Whole) && Response.isSuccess()) {
    bool IsConfirmed = co_await confirmEnd(Chosen);
    if (!IsConfirmed)
      Whole = Error{ErrorCode::ConnectionClosed, LastTarget_,
                    "ended with an answer without a length", ""};
  }
  if (!isOk(Whole)) {
    bool IsTooLong = errorOf(Whole).Code_ == ErrorCode::TooLarge;
    LastReason_ = IsTooLong ? ReplyTooLong : "answer_cut";
    if (!isCancelled() && !Body.gaveWay())
      Shared_.Picker_->health().recordResponse(Chosen.Target_, true, {},
                                               BootClock::now());
    co_return SendOutcome::Lost;
  }
  Reply.Body_ = std::move(valueOf(Whole));
  keepConnection(Chosen, Response);
  if (HeadSent_) {
    // A stream resumed at another target ended in a failure; the head that the
    // caller received can't change.
    LastReason_ = "resume_failed";
    co_return SendOutcome::Failed;
  }
  if (Response.Status_ >= 500) {
    LastReason_ = "target_failed";
    Failure_ = std::move(Reply);
    ReplyShare_ = Body.takeShare();
    co_return SendOutcome::Failed;
  }
  int Status = Reply.Status_;
  if (Status < 300)
    recordSuccess(Chosen, endProof(), BootClock::now());
  ReplyShare_ = Body.takeShare();
  yieldIfUnread();
  bool IsSent = co_await Exchange_.respond(std::move(Reply));
  logReply(IsSent, "served", Status);
  co_return SendOutcome::Done;
}

void RequestRun::giveWay() {
  Connection_.close();
  Exchange_.giveWayIfUnread();
}

void RequestRun::yieldIfUnread() {
  Exchange_.setUnreadHandler([this] { ReplyShare_->yield(); });
}

SuccessProof RequestRun::endProof() const {
  return Framing_ == BodyFraming::UntilClose ? SuccessProof::EndOfConnection
                                             : SuccessProof::Complete;
}

asio::awaitable<RequestRun::SendOutcome>
RequestRun::forwardStream(const TargetChoice &Chosen, HttpReplyHead Head,
                          const platform::TargetResponse &Response) {
  bool IsResumable = Request_.Route_->Resumable_;
  Events_.dropIncompleteEvent();
  if (IsResumable) {
    bool IsConfirmed = co_await confirmOrigin(Chosen);
    if (!IsConfirmed || (!HeadSent_ && Shared_.ServingEnded_))
      co_return SendOutcome::Lost;
  }
  if (!HeadSent_) {
    HeadSent_ = true;
    int Status = Head.Status_;
    HttpReplyHead CallerHead = platform::encodeCallerHead(Head);
    if (!co_await Exchange_.startStream(std::move(CallerHead))) {
      logDisconnect(Status);
      co_return SendOutcome::Done;
    }
  }
  StreamPace Pace;
  StreamEndCheck EndCheck;
  std::size_t PartsOfEvent = 0;
  TimePoint Deadline = replyDeadline();
  BufferShare EventShare(Shared_.Pool_.limits().Budget_, [this] { giveWay(); });
  while (true) {
    auto Chunk = co_await Connection_.readPart(Deadline - BootClock::now());
    if (!isOk(Chunk)) {
      if (Exchange_.callerDisconnected()) {
        logDisconnect(Response.Status_);
        co_return SendOutcome::Done;
      }
      LastReason_ = "stream_broken";
      recordStreamEnd(StreamEnding::Error);
      recordFailure(Chosen, {}, BootClock::now());
      co_return SendOutcome::Broken;
    }
    if (valueOf(Chunk).empty())
      break;
    EndCheck.append(valueOf(Chunk));
    TimePoint Now = BootClock::now();
    if (LastChunkAt_ != TimePoint{})
      LongestGap_ = std::max(LongestGap_, Now - LastChunkAt_);
    LastChunkAt_ = Now;
    Pace.recordPart(Now);
    if (LongRun_.recordPart(Now))
      recordSuccess(Chosen, SuccessProof::LongRun, Now);
    // Only after a complete event can another target resume the stream.
    std::string Forwarded = IsResumable ? Events_.appendBytes(valueOf(Chunk))
                                        : std::move(valueOf(Chunk));
    bool IsTooLong = Events_.incompleteEvent().size() > MaxReplyBytes ||
                     !EventShare.resize(Events_.incompleteEvent().capacity());
    if (IsTooLong) {
      LastReason_ = "event_too_long";
      recordFailure(Chosen, {}, Now);
      co_return SendOutcome::Broken;
    }
    if (!Forwarded.empty())
      recordEvents();
    // Many small parts may be received already, so that reading them wouldn't
    // let others run.
    PartsOfEvent = Forwarded.empty() ? PartsOfEvent + 1 : 0;
    if (PartsOfEvent % MaxPartsAtOnce == MaxPartsAtOnce - 1)
      co_await pauseFor(Pause_, PartsPause);
    if (!co_await Exchange_.write(Forwarded)) {
      logDisconnect(Response.Status_);
      co_return SendOutcome::Done;
    }
    Pace.recordForwarded(BootClock::now());
  }
  StreamEnding Ending = StreamEnding::Complete;
  if (Response.EventStream_)
    Ending = EndCheck.ending(Framing_ == BodyFraming::UntilClose);
  // Of a stream that goes on nothing may be left.
  bool GoesOn = !Events_.lastId().empty() || IsTakenUp_;
  if (Ending == StreamEnding::Empty && GoesOn)
    Ending = StreamEnding::Complete;
  if (Ending == StreamEnding::Complete) {
    bool IsConfirmed = co_await confirmEnd(Chosen);
    if (!IsConfirmed)
      Ending = StreamEnding::Unconfirmed;
  }
  recordStreamEnd(Ending);
  if (Ending != StreamEnding::Complete) {
    LastReason_ = "stream_incomplete";
    recordFailure(Chosen, {}, BootClock::now());
    co_return SendOutcome::Broken;
  }
  recordSpeed(Chosen,
              Pace.measurement(Chosen.Running_,
                               Shared_.Fleet_->runningOn(Chosen.Target_)));
  if (!LongRun_.isLong())
    recordSuccess(Chosen, endProof(), BootClock::now());
  Shared_.Picker_->slotWaits().recordRun(
      Request_.Service_, BootClock::now() - FirstByteAt_ + Chosen.OwnPrefill_);
  keepConnection(Chosen, Response);
  if (IsResumable && !Events_.incompleteEvent().empty())
    co_await Exchange_.write(std::string(Events_.incompleteEvent()));
  bool IsSent = co_await Exchange_.finishStream();
  logReply(IsSent, "served", Response.Status_);
  co_return SendOutcome::Done;
}

void RequestRun::keepConnection(const TargetChoice &Chosen,
                                const platform::TargetResponse &Response) {
  Duration Keep = ConnectionPool::MaxIdleTime;
  if (Response.KeepAlive_)
    Keep = std::chrono::duration_cast<Duration>(*Response.KeepAlive_ *
                                                KeepAliveFraction);
  if (Connection_.route()) {
    Shared_.Reach_->returnTunnel(Chosen.Address_, std::move(Connection_), Keep);
    return;
  }
  Shared_.Pool_.returnConnection(Chosen.Address_, std::move(Connection_),
                                 BootClock::now(), Keep);
}

void RequestRun::recordFailure(const TargetChoice &Chosen, Duration Took,
                               TimePoint Now) {
  if (isCancelled())
    return;
  Shared_.Picker_->health().recordResponse(Chosen.Target_, true, Took, Now);
  if (LastReason_ == errorCodeName(ErrorCode::Timeout))
    return;
  probeAfterFailure(Shared_, Chosen, Request_.Digest_,
                    LongRun_.isLong() ? std::vector<PartId>{}
                                      : Request_.Parts_);
}

bool RequestRun::isPartRefused(TimePoint Now) const {
  return Shared_.Fleet_->promptParts().decide(Request_.Parts_, Now) ==
         PartDecision::Refuse;
}

void RequestRun::recordSuccess(const TargetChoice &Chosen, SuccessProof Proof,
                               TimePoint Now) {
  Shared_.Fleet_->promptParts().recordSuccess(
      {Chosen.Target_, std::to_string(Chosen.Incarnation_)}, Request_.Parts_,
      SentAt_, Proof, Now);
}

asio::awaitable<void> RequestRun::finishUnserved() {
  if (Exchange_.callerDisconnected()) {
    logDisconnect(0);
    co_return;
  }
  if (HeadSent_) {
    // The rest of the stream is unavailable; closing the connection signals
    // this to the caller.
    logEnd("stream_cut", 0);
    Exchange_.abort();
    co_return;
  }
  if (Failure_) {
    int Status = Failure_->Status_;
    yieldIfUnread();
    bool IsSent = co_await Exchange_.respond(std::move(*Failure_));
    logReply(IsSent, "target_failed", Status);
    co_return;
  }
  if (Runs_ > 0) {
    bool IsLate = timeLeft() <= ReplyMargin;
    co_return co_await refuse(IsLate ? 504 : 502, "the target gave no answer",
                              std::nullopt);
  }
  if (LastReason_ == PartQuarantined)
    co_return co_await refuse(503, CrashesTargets, std::nullopt);
  // The caller can begin anew at once.
  if (LastReason_ == VersionLeft)
    co_return co_await refuse(
        503, "the software version that began the stream serves no longer",
        Duration::zero());
  if (LastReason_ == OriginUnknown)
    co_return co_await refuse(503, "it is not known where the stream began",
                              Duration::zero());
  co_return co_await refuse(
      503,
      LastReason_ == Evacuated ? Evacuated : "no target could take the request",
      retryAfter(CallerRetryAfter_.value_or(BusyRetryAfter), randomFraction()));
}

asio::awaitable<void> RequestRun::refuse(int Status, std::string_view Reason,
                                         std::optional<Duration> RetryAfter) {
  bool IsSent = co_await Exchange_.respond(platform::makeErrorReply(
      Status, Request_.Fields_.RequestId_, Reason, RetryAfter));
  logReply(IsSent, "refused", Status);
}

void RequestRun::recordStreamEnd(StreamEnding Ending) {
  StreamEnd_ = Ending;
  Shared_.Metrics_->count(
      "anvil_target_streams_total",
      {{"framing", std::string(enumName(Framing_, BodyFramingNames))},
       {"end", std::string(streamEndName())}});
}

std::string_view RequestRun::streamEndName() const {
  return StreamEnd_ ? enumName(*StreamEnd_, StreamEndingNames)
                    : std::string_view();
}

void RequestRun::countResult(std::string_view Outcome, int Status,
                             TimePoint Now) {
  Shared_.Metrics_->count("anvil_requests_total",
                          {{"route", Request_.Route_->Name_},
                           {"outcome", std::string(Outcome)},
                           {"status", std::to_string(Status)}});
  std::string Customer = Request_.Customer_ ? Request_.Customer_->Name_ : "";
  MetricLabels Labels{{"route", Request_.Route_->Name_},
                      {"customer", std::move(Customer)}};
  Shared_.Metrics_->observe("anvil_request_seconds", Labels,
                            Now - Request_.ArrivedAt_);
  if (FirstByteAt_ != TimePoint{})
    Shared_.Metrics_->observe("anvil_first_byte_seconds", Labels,
                              FirstByteAt_ - Request_.ArrivedAt_);
  if (AdapterWait_ > Duration::zero())
    Shared_.Metrics_->observe("anvil_adapter_wait_seconds", {}, AdapterWait_);
  if (SlotHold_ > Duration::zero())
    Shared_.Metrics_->observe("anvil_slot_hold_seconds", {}, SlotHold_);
  if (PacingWait_ > Duration::zero())
    Shared_.Metrics_->observe("anvil_paced_seconds", {}, PacingWait_);
}

void RequestRun::logReply(bool IsSent, std::string_view Outcome, int Status) {
  if (IsSent)
    logEnd(Outcome, Status);
  else
    logDisconnect(Status);
}

void RequestRun::logDisconnect(int Status) {
  logEnd(Exchange_.closedByServer() ? "connection_closed" : "caller_gone",
         Status);
}

void RequestRun::logEnd(std::string_view Outcome, int Status) {
  TimePoint Now = BootClock::now();
  countResult(Outcome, Status, Now);
  bool IsLate =
      FirstByteAt_ - Request_.ArrivedAt_ > Request_.Route_->LatencyTarget_ ||
      LongestGap_ > LoggedGap;
  bool IsRoutine = Outcome == "served" && Sends_ == 1 && !IsLate &&
                   Framing_ != BodyFraming::UntilClose;
  logEvent(
      IsRoutine ? LogLevel::Debug : LogLevel::Info, "request_end",
      {{"request", Request_.Fields_.RequestId_},
       {"outcome", Outcome},
       {"status", Status},
       {"route", Request_.Route_->Name_},
       {"customer", Request_.Customer_ ? Request_.Customer_->Name_ : ""},
       {"kind", requestKindName(Request_.Route_->Kind_)},
       {"adapter", Request_.Fields_.Adapter_},
       {"target", LastTarget_},
       {"software", LastSoftware_},
       {"through", Through_},
       {"tunnel", Tunnel_},
       {"began_as", Request_.Fields_.ResumedId_},
       {"reason", LastReason_},
       {"sends", Sends_},
       {"runs", Runs_},
       {"framing", enumName(Framing_, BodyFramingNames)},
       {"stream_end", streamEndName()},
       {"end_sign", EndSign_ ? enumName(*EndSign_, LifeSignNames) : ""},
       {"end_wait_ms", toMillis(EndWait_)},
       {"adapter_wait_ms", toMillis(AdapterWait_)},
       {"adapter_missing_sends", Wait_.missingSends()},
       {"adapter_expected_ms",
        Wait_.expectedIn() ? toMillis(*Wait_.expectedIn()) : -1},
       {"paced_ms", toMillis(PacingWait_)},
       {"slot_wait_ms", toMillis(SlotWait_)},
       {"held_ms", toMillis(SlotHold_)},
       {"reach_wait_ms", toMillis(ReachWait_)},
       {"place_wait_ms", toMillis(PlaceWait_)},
       {"first_byte_ms", FirstByteAt_ == TimePoint{}
                             ? -1
                             : toMillis(FirstByteAt_ - Request_.ArrivedAt_)},
       {"longest_gap_ms", toMillis(LongestGap_)},
       {"running", RunningAtPick_},
       {"took_ms", toMillis(Now - Request_.ArrivedAt_)},
       {"left_ms", toMillis(Request_.Deadline_ - Now)},
       {"revision", Request_.Plan_->revision()}});
}

} // namespace anvil
