// Where a request's stream began: RequestRun looks it up for streams that
// callers take up, and records it before the first event of others.

#include "Entry/RequestRun.h"

#include "Kernel/EnumNames.h"
#include "Telemetry/Log.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// The time for which a caller that gives no deadline may take a stream up
/// again, and how much longer than its deadline any caller may.
static constexpr Duration DefaultTakeUpTime = std::chrono::seconds(60);
static constexpr Duration TakeUpMargin = std::chrono::seconds(5);

/// The maximum time for which the first event of a stream waits for its record.
/// Callers give a silent stream up after two seconds at the earliest.
static constexpr Duration MaxRecordWait = std::chrono::milliseconds(1800);

bool RequestRun::isResumableStream() const {
  return Request_.Route_->Kind_ == RequestKind::Stream &&
         Request_.Route_->Resumable_;
}

Duration RequestRun::takeUpTime() const {
  return Request_.Fields_.WaitLimit_.value_or(DefaultTakeUpTime) + TakeUpMargin;
}

StreamOrigin RequestRun::originAt(const TargetChoice &Chosen) const {
  return {Query_.Service_, Chosen.SoftwareVersion_};
}

asio::awaitable<bool> RequestRun::findOrigin() {
  const platform::CallerFields &Fields = Request_.Fields_;
  if (!isResumableStream() || Fields.LastEventId_.empty())
    co_return true;
  IsTakenUp_ = true;
  TimePoint Now = BootClock::now();
  OriginLookup Found;
  Found.Source_ = OriginSource::NoBaseline;
  if (!Fields.ResumedId_.empty())
    Found = co_await Shared_.Streams_->lookUp(
        streamKey(Fields.ResumedId_), Query_.Service_,
        std::min(Now + Request_.Route_->LatencyTarget_,
                 Request_.Deadline_ - ReplyMargin));
  // A route that divides its requests may have sent it to another service; all
  // its streams have records, except those from before it divided them.
  bool IsDivided = Request_.Route_->Splits_.size() > 1;
  if (IsDivided && Found.Source_ == OriginSource::Baseline)
    Found = {OriginSource::NoBaseline, std::nullopt};
  bool IsRouted = Found.Origin_ &&
                  std::ranges::any_of(
                      Request_.Route_->Splits_, [&](const RouteSplit &Split) {
                        return Split.Service_ == Found.Origin_->Service_;
                      });
  logEvent(LogLevel::Info, "stream_taken_up",
           {{"request", Fields.RequestId_},
            {"began_as", Fields.ResumedId_},
            {"after", Fields.LastEventId_},
            {"source", enumName(Found.Source_, OriginSourceNames)},
            {"software", Found.Origin_ ? Found.Origin_->Version_ : ""},
            {"service", Found.Origin_ ? Found.Origin_->Service_ : ""},
            {"is_routed", IsRouted},
            {"took_ms", toMillis(BootClock::now() - Now)}});
  if (!IsRouted) {
    LastReason_ = Found.Origin_ ? VersionLeft : OriginUnknown;
    if (Found.Source_ == OriginSource::StoreUnavailable)
      LastReason_ = NotLookedUp;
    co_return false;
  }
  Origin_ = std::move(Found.Origin_);
  Request_.Service_ = Origin_->Service_;
  Query_.Service_ = Origin_->Service_;
  co_return true;
}

bool RequestRun::restrictVersion(TimePoint Now) {
  Query_.SoftwareVersion_.reset();
  if (!isResumableStream())
    return true;
  if (Origin_) {
    Query_.SoftwareVersion_ = Origin_->Version_;
    return true;
  }
  if (Shared_.Streams_->mayRecord(Now))
    return true;
  Query_.SoftwareVersion_ = Shared_.Streams_->baselineOf(Query_.Service_);
  return Query_.SoftwareVersion_ &&
         mayBeginUnrecorded({Query_.Service_, *Query_.SoftwareVersion_}, Now);
}

bool RequestRun::mayBeginUnrecorded(const StreamOrigin &Origin,
                                    TimePoint Now) const {
  // A stream with any record needs one of where it really began.
  return !Record_ && Request_.Route_->Splits_.size() == 1 &&
         Shared_.Streams_->mayBeginUnrecorded(Origin, takeUpTime(), Now);
}

bool RequestRun::beginRecord(const TargetChoice &Chosen) {
  TimePoint Now = BootClock::now();
  StreamOrigin Origin = originAt(Chosen);
  bool NeedsRecord =
      isResumableStream() && !Origin_ && !mayBeginUnrecorded(Origin, Now);
  if (!NeedsRecord || (Record_ && Record_->first == Origin))
    return true;
  if (!Shared_.Streams_->mayRecord(Now))
    return false;
  RecordTicket Ticket = Shared_.Streams_->record(
      {streamKey(Request_.Fields_.RequestId_), Origin, takeUpTime()});
  Record_ = {std::move(Origin), Ticket};
  return true;
}

asio::awaitable<bool> RequestRun::checkIncarnation(const TargetChoice &Chosen) {
  Check_.reset();
  bool IsNeeded = isResumableStream() && !Query_.Model_.empty() &&
                  Connection_.serverIncarnation() != Chosen.Incarnation_;
  if (!IsNeeded)
    co_return true;
  // The VM that relays has asked the target, and got another answer or none.
  if (Connection_.route()) {
    LastReason_ = TargetRestarted;
    co_return false;
  }
  Check_ = IncarnationCheck::begin(Shared_.Executor_, Shared_.Engines_, Chosen);
  // A stream that begins waits for the answer before its first event.
  if (!Origin_)
    co_return true;
  co_return co_await confirmIncarnation(Chosen);
}

asio::awaitable<bool>
RequestRun::confirmIncarnation(const TargetChoice &Chosen) {
  auto Check = std::exchange(Check_, nullptr);
  if (!Check)
    co_return true;
  IncarnationFinding Finding = co_await Check->finding();
  Shared_.Metrics_->count(
      "anvil_incarnation_checks_total",
      {{"finding", std::string(enumName(Finding, IncarnationNames))}});
  switch (Finding) {
  case IncarnationFinding::Same:
    Connection_.setServerIncarnation(Chosen.Incarnation_);
    co_return true;
  case IncarnationFinding::NotStated:
    co_return true;
  case IncarnationFinding::Other:
    // No VM sends it anything until its new entry is listed.
    Shared_.Fleet_->recordDraining(Chosen.Target_, Chosen.Incarnation_,
                                   BootClock::now());
    LastReason_ = TargetRestarted;
    co_return false;
  case IncarnationFinding::NoReport:
    break;
  }
  // What begins goes by the list alone.
  if (!Origin_)
    co_return true;
  LastReason_ = NoReport;
  ++Sends_;
  co_return false;
}

asio::awaitable<bool> RequestRun::confirmOrigin(const TargetChoice &Chosen) {
  if (!co_await confirmIncarnation(Chosen))
    co_return false;
  if (Origin_)
    co_return true;
  // A target that restarted meanwhile may run another version now.
  if (!Shared_.Picker_->isSameIncarnation(Chosen)) {
    LastReason_ = TargetRestarted;
    co_return false;
  }
  TimePoint Now = BootClock::now();
  StreamOrigin Origin = originAt(Chosen);
  // Since the request was sent, the baseline may have been closed.
  bool IsRecordable = beginRecord(Chosen);
  bool IsRecorded = Record_.has_value();
  bool IsWritten =
      IsRecordable &&
      (!IsRecorded ||
       co_await Shared_.Streams_->awaitRecord(
           Record_->second, std::min(Now + MaxRecordWait, Request_.Deadline_)));
  if (!IsWritten) {
    LastReason_ = NotRecorded;
    co_return false;
  }
  Shared_.Metrics_->count(
      "anvil_stream_begins_total",
      {{"service", Query_.Service_}, {"recorded", IsRecorded ? "yes" : "no"}});
  if (IsRecorded)
    Shared_.Metrics_->observe("anvil_stream_record_wait_seconds", {},
                              BootClock::now() - Now);
  Origin_ = std::move(Origin);
  co_return true;
}

void RequestRun::recordEvents() {
  if (std::exchange(HasEvents_, true) || !Origin_)
    return;
  const platform::CallerFields &Fields = Request_.Fields_;
  Shared_.Streams_->remember(
      {streamKey(IsTakenUp_ ? Fields.ResumedId_ : Fields.RequestId_), *Origin_,
       takeUpTime()},
      BootClock::now());
}

} // namespace anvil
