#ifndef ANVIL_ENTRY_REQUESTRUN_H
#define ANVIL_ENTRY_REQUESTRUN_H

#include "Entry/AdapterWait.h"
#include "Entry/IncarnationCheck.h"
#include "Entry/PlaceLease.h"
#include "Entry/RequestServices.h"
#include "Http/HttpExchange.h"
#include "Routing/LongRunDetector.h"
#include "Serving/EventSplitter.h"
#include "Serving/ServingPlan.h"
#include "Serving/StreamEnding.h"
#include "platform/RequestCodec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace anvil {

/// An admitted request with the plan, route and customer that were determined
/// at its admission.
struct EntryRequest {
  ServingPlanPtr Plan_;
  const RoutePlan *Route_ = nullptr;
  const CustomerPlan *Customer_ = nullptr;
  platform::CallerFields Fields_;
  std::string Service_;
  std::string Digest_;
  /// The parts of the prompt that are shared with other requests.
  std::vector<PartId> Parts_;
  TimePoint ArrivedAt_{};
  /// When the caller's or the route's time limit expires.
  TimePoint Deadline_{};
};

/// The reason that callers get for a request that crashes targets.
inline constexpr std::string_view CrashesTargets =
    "the request crashes targets";

/// Serves one admitted request: selects targets, sends the request and
/// forwards the reply to the caller as it arrives.
class RequestRun : public RunHook {
public:
  RequestRun(RequestServices &Shared, HttpExchange &Exchange,
             EntryRequest Request);

  /// Serves the request to its end. The caller gets exactly one final reply,
  /// or a closed connection if a reply had begun and can't be continued.
  boost::asio::awaitable<void> serve();

  /// Whether it is certain that no target has run the request.
  bool neverRan() const { return Runs_ == 0; }

  /// Cancels a pause and closes the connection to the target.
  void interrupt();

  /// Checks whether the request that was sent last has been received: if the
  /// target's machine acknowledges nothing, checks the target, and gives the
  /// send up if the request may run elsewhere.
  void checkDelivery(TimePoint Now);

  /// Whether the request has a quiet connection to the target that was opened
  /// before that time and doesn't lead through another VM.
  bool hasOpenConnection(const TargetAddress &Target,
                         TimePoint OpenedBefore) const;

  /// Closes the connection to the target if the request may still wait there to
  /// start on a version of its adapter that is too old by now.
  void endIfOutdated(const VersionRequirements &Versions, TimePoint Now);

private:
  /// Time reserved before the deadline for sending the reply.
  static constexpr Duration ReplyMargin = std::chrono::milliseconds(20);

  /// The reason logged for requests that no target outside evacuated data
  /// centres can take.
  static constexpr std::string_view Evacuated = "evacuated";

  /// The reasons logged when a chosen target could no longer get the request
  /// after the connection was open: its data centre was evacuated, or there was
  /// no valid permit.
  static constexpr std::string_view TargetEvacuated = "target_evacuated";
  static constexpr std::string_view PermitMissing = "permit_missing";

  /// The reason logged when the version of the adapter became outdated while
  /// the request waited at its target.
  static constexpr std::string_view VersionOutdated = "version_outdated";

  /// The reason logged for requests whose prompt has a part that crashes
  /// targets.
  static constexpr std::string_view PartQuarantined = "part_quarantined";

  /// The reasons logged when a stream can't go on or begin: no target has the
  /// software version that began it, that version is unknown or couldn't be
  /// looked up, it can't be recorded at present, or the record wasn't written
  /// in time.
  static constexpr std::string_view VersionLeft = "version_left";
  static constexpr std::string_view OriginUnknown = "origin_unknown";
  static constexpr std::string_view NotLookedUp = "origin_not_looked_up";
  static constexpr std::string_view NotRecordable = "stream_not_recordable";
  static constexpr std::string_view NotRecorded = "stream_not_recorded";

  /// The reason logged when the machine of the target acknowledged no part of
  /// the request.
  static constexpr std::string_view NotReceived = "not_received";

  /// The reason logged when all places at brittle targets are taken.
  static constexpr std::string_view PlacesFull = "places_full";

  /// The reasons logged when the chosen target has started again, or may have.
  static constexpr std::string_view TargetRestarted = "target_restarted";
  static constexpr std::string_view NoReport = "target_not_reporting";

  /// The result of one attempt at a target.
  enum class SendOutcome {
    /// The caller has its final reply or has disconnected.
    Done,
    /// The target has not run the request.
    NotRun,
    /// The target may have run the request, but there is no reply.
    Lost,
    /// The target ran the request and failed; its reply is kept in `Failure_`.
    Failed,
    /// A stream was interrupted after some events.
    Broken,
  };

  boost::asio::awaitable<SendOutcome> tryTarget(TargetChoice Chosen);
  boost::asio::awaitable<SendOutcome> sendTo(const TargetChoice &Chosen);
  boost::asio::awaitable<bool> connect(const TargetChoice &Chosen);
  /// Waits while other VMs are being asked about targets. False if no target
  /// could have been found since.
  boost::asio::awaitable<bool> awaitReach();
  /// Waits until a place may be free at a brittle target. False if too many
  /// wait, or this request has waited for long enough.
  boost::asio::awaitable<bool> awaitPlace(TimePoint Now);
  /// Requests the permit and the place that a request to the chosen target
  /// needs, if any. False if it may not be sent now.
  boost::asio::awaitable<bool> acquirePermit(const TargetChoice &Chosen);
  /// Whether the request may run at one more target after it may have run.
  bool mayRunAgain() const;
  boost::asio::awaitable<Result<HttpReplyHead>>
  readMatchingHead(Result<HttpReplyHead> Head, Duration Timeout);
  /// Records that a target sent the reply to another request.
  void recordForeignReply(const platform::TargetResponse &Response);
  boost::asio::awaitable<SendOutcome>
  forwardReply(const TargetChoice &Chosen, HttpReplyHead Head,
               const platform::TargetResponse &Response);
  boost::asio::awaitable<SendOutcome>
  forwardBuffered(const TargetChoice &Chosen, HttpReplyHead Head,
                  const platform::TargetResponse &Response);
  boost::asio::awaitable<SendOutcome>
  forwardStream(const TargetChoice &Chosen, HttpReplyHead Head,
                const platform::TargetResponse &Response);
  bool isResumableStream() const;
  /// Looks up where the stream began that the caller takes up, if it does.
  /// False if that is unknown.
  boost::asio::awaitable<bool> findOrigin();
  /// Requires targets at which the stream may begin or go on. False if no
  /// stream may begin at present.
  bool restrictVersion(TimePoint Now);
  /// Where a stream begins that the chosen target answers.
  StreamOrigin originAt(const TargetChoice &Chosen) const;
  /// Whether a stream may begin at that origin without a record.
  bool mayBeginUnrecorded(const StreamOrigin &Origin, TimePoint Now) const;
  /// Begins to record where the stream begins, if it needs a record. False if
  /// records can't be written at present.
  bool beginRecord(const TargetChoice &Chosen);
  /// Begins to ask the chosen target which of its incarnations runs, if a
  /// stream's version depends on it. Waits for the answer if the stream has
  /// begun before. False if it may not go on there.
  boost::asio::awaitable<bool> checkIncarnation(const TargetChoice &Chosen);
  /// Waits for the answer, if there is a question. False if the chosen target
  /// may run another version than its entry names.
  boost::asio::awaitable<bool> confirmIncarnation(const TargetChoice &Chosen);
  /// Waits until it is certain that each VM can find out where the stream
  /// began. False if that isn't possible in time.
  boost::asio::awaitable<bool> confirmOrigin(const TargetChoice &Chosen);
  /// Records that the caller has received events of the stream.
  void recordEvents();
  /// For how long the caller may take the stream up again.
  Duration takeUpTime() const;
  /// Waits until the chosen target has loaded the adapter, or all targets
  /// should be compared again. False if the adapter can't be available in time.
  boost::asio::awaitable<bool> awaitAdapter(const TargetChoice &Chosen);
  /// Holds the request back for a while if it would wait for too long at the
  /// chosen target. Returns whether the target must be chosen anew.
  boost::asio::awaitable<bool> holdForSlot(const TargetChoice &Chosen);
  boost::asio::awaitable<void> refuse(int Status, std::string_view Reason,
                                      std::optional<Duration> RetryAfter);
  boost::asio::awaitable<void> finishUnserved();
  /// Whether another attempt is useful, regardless of the retry budget.
  bool isRetryable(SendOutcome End) const;
  /// Waits until the retry budget allows one more attempt. False if the
  /// request should not wait for it.
  boost::asio::awaitable<bool> awaitRetryBudget(SendOutcome End);
  /// The request's rank at targets; zero is the most urgent.
  int rank() const;
  HttpRequest targetRequest(const TargetChoice &Chosen, TimePoint Now) const;
  /// Applies what the target states about itself in the headers of its reply.
  void applyTargetHeaders(const TargetChoice &Chosen,
                          const platform::TargetResponse &Response,
                          TimePoint SentAt, TimePoint Now);
  /// Records a measurement of the target's speed, if there is one.
  void recordSpeed(const TargetChoice &Chosen,
                   const std::optional<SpeedMeasurement> &Measurement);
  SendConditions sendConditions(const TargetChoice &Chosen) const;
  void keepConnection(const TargetChoice &Chosen,
                      const platform::TargetResponse &Response);
  /// Whether the end of the target's answer is the one that it meant: stated by
  /// the framing, or confirmed by a sign of life after the connection ended.
  boost::asio::awaitable<bool> confirmEnd(const TargetChoice &Chosen);
  /// Records that a target broke off, unless this VM or the caller ended the
  /// request.
  void recordFailure(const TargetChoice &Chosen, Duration Took, TimePoint Now);
  /// Whether the prompt has a part that crashes targets.
  bool isPartRefused(TimePoint Now) const;
  /// What a complete response shows.
  SuccessProof endProof() const;
  /// Ends the connection to the target, and that to the caller if it doesn't
  /// read.
  void giveWay();
  /// Lets the reply give way to others while the caller doesn't read it.
  void yieldIfUnread();
  /// Records that the request has worked at a target.
  void recordSuccess(const TargetChoice &Chosen, SuccessProof Proof,
                     TimePoint Now);
  void logEnd(std::string_view Outcome, int Status);
  /// Logs the end of a request that has a reply, or a disconnect if the reply
  /// could not be sent.
  void logReply(bool IsSent, std::string_view Outcome, int Status);
  /// Logs the end of a request whose connection to the caller is closed.
  void logDisconnect(int Status);
  /// Counts and keeps for the log how a target's stream ended.
  void recordStreamEnd(StreamEnding Ending);
  /// The name of how the last target's stream ended, for logs; empty if there
  /// was none.
  std::string_view streamEndName() const;
  void countResult(std::string_view Outcome, int Status, TimePoint Now);
  Duration timeLeft() const;
  /// When a reply that has begun must be complete.
  TimePoint replyDeadline() const;
  /// Whether the deadline has passed or this VM has stopped serving.
  bool isOutOfTime() const;
  /// Whether to stop at once because the VM stops or the caller has
  /// disconnected.
  bool isCancelled() const;

  RequestServices &Shared_;
  HttpExchange &Exchange_;
  EntryRequest Request_;
  TargetQuery Query_;
  AdapterWait Wait_;
  HttpConnection Connection_;
  boost::asio::steady_timer Pause_;
  EventSplitter Events_;
  /// Where the stream began: as looked up for a stream that the caller takes
  /// up, or where it is beginning.
  std::optional<StreamOrigin> Origin_;
  bool IsTakenUp_ = false;
  /// Whether the caller has received events of this answer.
  bool HasEvents_ = false;
  /// The unanswered question which incarnation of the last target runs.
  std::shared_ptr<IncarnationCheck> Check_;
  /// The latest record that was made of this stream.
  std::optional<std::pair<StreamOrigin, RecordTicket>> Record_;
  /// When the permit for the current send was requested; nothing without one.
  std::optional<TimePoint> PermitRequestedAt_;
  /// The place at the target of the current send, if it needs one.
  PlaceLease Place_;
  /// Set while the request waits for a place, and how long it may and did.
  std::shared_ptr<void> PlaceQueue_;
  std::optional<Duration> MaxPlaceWait_;
  Duration PlaceWait_{};
  /// The number of targets that have run the request or may have.
  int Runs_ = 0;
  int Sends_ = 0;
  bool HeadSent_ = false;
  std::optional<HttpReply> Failure_;
  std::unique_ptr<BufferShare> ReplyShare_;
  std::string LastTarget_;
  /// The version of that target's software.
  std::string LastSoftware_;
  std::string LastReason_;
  /// When a refused caller should retry, if known.
  std::optional<Duration> CallerRetryAfter_;
  Duration AdapterWait_{};
  /// The adapter version of the target that hasn't begun to answer yet.
  std::optional<std::uint64_t> AwaitedVersion_;
  /// Whether that target's connection was closed because of its version.
  bool IsOutdated_ = false;
  /// The target to which the request was sent by an own connection.
  std::optional<TargetAddress> SentTo_;
  /// What the target's machine had acknowledged on the connection before the
  /// request was sent; nothing once it has acknowledged more.
  std::optional<std::uint64_t> AcknowledgedBefore_;
  /// Whether the connection was closed since nothing was acknowledged.
  bool IsNotReceived_ = false;
  /// How long the request waited for other VMs that were asked about targets.
  Duration ReachWait_{};
  /// The VM through which the request was sent last, and the name of that
  /// connection; empty without one.
  std::string Through_;
  std::string Tunnel_;
  /// Whether the request may be sent again after a target lacked the adapter.
  bool MaySendAgain_ = true;
  /// How long the request was delayed so that its prefill doesn't pause the
  /// engine's running streams for too long.
  Duration PacingWait_{};
  /// How long the request was held back so that it doesn't wait at a target for
  /// longer than a new version of its adapter allows.
  Duration SlotHold_{};
  /// When the request was sent to the last target, and whether its response
  /// went on for so long that the request can't crash targets.
  TimePoint SentAt_{};
  LongRunDetector LongRun_;
  /// How the last response of a target marked its end, and how its stream
  /// ended.
  BodyFraming Framing_ = BodyFraming::None;
  std::optional<StreamEnding> StreamEnd_;
  /// What showed that the last target outlived an answer that ended with its
  /// connection, and how long it took to find out.
  std::optional<LifeSign> EndSign_;
  Duration EndWait_{};
  TimePoint FirstByteAt_{};
  TimePoint LastChunkAt_{};
  Duration LongestGap_{};
  int RunningAtPick_ = 0;
  /// The expected wait for a slot of the last target.
  Duration SlotWait_{};
};

} // namespace anvil

#endif // ANVIL_ENTRY_REQUESTRUN_H
