#include "Config/ConfigPublisher.h"

#include "Objects/Digest.h"
#include "Objects/ObjectCodec.h"
#include "Objects/SetDigest.h"
#include "Telemetry/Log.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace anvil {

namespace asio = boost::asio;
using PublishOutcome = std::variant<PublishedChange, ErrorList>;

/// Maximum attempts of a publication, which restarts when another one was
/// committed first.
static constexpr int MaxPublishAttempts = 3;

/// Maximum reads of the outcome of a commit whose reply was lost.
static constexpr int MaxLookupAttempts = 3;

ConfigPublisher::ConfigPublisher(std::shared_ptr<PlatformService> Platform,
                                 std::shared_ptr<ConfigState> State)
    : Platform_(std::move(Platform)), State_(std::move(State)) {}

asio::awaitable<Result<ConfigPublisher::HeadRow>>
ConfigPublisher::readHead(std::string SubmitId) {
  std::vector<std::string> Keys;
  Keys.emplace_back(ConfigHead::Row);
  Keys.push_back(submitRow(SubmitId));
  auto Rows = co_await Platform_->read(std::move(Keys));
  if (!isOk(Rows))
    co_return errorOf(Rows);
  HeadRow Read;
  for (const TableRow &Row : valueOf(Rows)) {
    if (Row.Key_ != ConfigHead::Row) {
      if (Row.Version_ != 0)
        Read.SubmittedRevision_ =
            std::strtoull(Row.Value_.c_str(), nullptr, 10);
      continue;
    }
    auto Head = decodeHead(Row.Value_);
    if (!isOk(Head))
      co_return errorOf(Head);
    Read.Head_ = valueOf(Head);
    Read.Version_ = Row.Version_;
  }
  co_return Read;
}

asio::awaitable<Result<SnapshotPtr>>
ConfigPublisher::loadSnapshot(ConfigHead Head) {
  if (Head.Revision_ == State_->current()->Revision_)
    co_return State_->current();
  if (Head.Revision_ == 0)
    co_return std::make_shared<const ConfigSnapshot>();
  auto Text = co_await Platform_->getObject(Head.Object_);
  if (!isOk(Text))
    co_return errorOf(Text);
  auto Snapshot = decodeSnapshot(valueOf(Text));
  if (!isOk(Snapshot))
    co_return errorOf(Snapshot);
  co_return std::make_shared<const ConfigSnapshot>(
      std::move(valueOf(Snapshot)));
}

asio::awaitable<std::optional<ErrorList>>
ConfigPublisher::checkBase(const ChangeSet &Change, const ConfigHead &Head,
                           const ObjectSet &Newest) {
  if (!Change.BaseRevision_ || *Change.BaseRevision_ == Head.Revision_)
    co_return std::nullopt;
  ErrorList Conflicts;
  std::string Base = std::to_string(*Change.BaseRevision_);
  if (*Change.BaseRevision_ > Head.Revision_) {
    Conflicts.push_back({ErrorCode::Conflict, "base_revision",
                         Base + " does not exist yet",
                         "read the newest revision and apply again"});
    co_return Conflicts;
  }
  ConfigHead BaseHead;
  BaseHead.Revision_ = *Change.BaseRevision_;
  if (BaseHead.Revision_ > 0) {
    std::vector<std::string> Keys{historyRow(BaseHead.Revision_)};
    auto Rows = co_await Platform_->read(std::move(Keys));
    if (!isOk(Rows))
      co_return ErrorList{errorOf(Rows)};
    auto Decoded = decodeHead(valueOf(Rows).front().Value_);
    if (isOk(Decoded))
      BaseHead = valueOf(Decoded);
  }
  auto Old = co_await loadSnapshot(BaseHead);
  if (!isOk(Old))
    co_return ErrorList{errorOf(Old)};
  ChangeSet Since = computeDiff(valueOf(Old)->Objects_, Newest);
  for (const std::string &Name : objectsInBoth(Since, Change))
    Conflicts.push_back({ErrorCode::Conflict, Name,
                         "was changed after revision " + Base,
                         "review that change and apply again"});
  if (Conflicts.empty())
    co_return std::nullopt;
  co_return Conflicts;
}

asio::awaitable<CommitOutcome>
ConfigPublisher::commit(const HeadRow &Current, const ConfigHead &Next,
                        const ChangeSet &Difference) {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
  auto History = nlohmann::json::parse(encodeHead(Next));
  History["time_ms"] = Milliseconds;
  History["changed"] = Difference.Put_.size();
  History["removed"] = Difference.Removals_.size();
  TableTransaction Transaction;
  Transaction.Checks_.push_back(
      {std::string(ConfigHead::Row), Current.Version_});
  Transaction.Writes_.push_back(
      {std::string(ConfigHead::Row), encodeHead(Next)});
  Transaction.Writes_.push_back(
      {submitRow(Next.SubmitId_), std::to_string(Next.Revision_)});
  Transaction.Writes_.push_back(
      {historyRow(Next.Revision_),
       History.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
  co_return co_await Platform_->commit(std::move(Transaction));
}

asio::awaitable<PublishOutcome> ConfigPublisher::publish(ChangeSet Change,
                                                         bool DryRun) {
  if (Closed_) {
    ErrorList Refused;
    Refused.push_back({ErrorCode::Unavailable, "publish",
                       "this VM is stopping; nothing changed",
                       "apply through another VM"});
    co_return Refused;
  }
  ++ActivePublications_;
  auto Outcome = co_await runPublish(std::move(Change), DryRun);
  --ActivePublications_;
  co_return Outcome;
}

asio::awaitable<PublishOutcome> ConfigPublisher::runPublish(ChangeSet Change,
                                                            bool DryRun) {
  if (Change.SubmitId_.empty())
    Change.SubmitId_ = randomHex(16);
  int Lookups = 0;
  bool MayHaveCommitted = false;
  for (int Attempt = 0; Attempt < MaxPublishAttempts; ++Attempt) {
    auto Current = co_await readHead(Change.SubmitId_);
    while (!isOk(Current) && MayHaveCommitted && ++Lookups < MaxLookupAttempts)
      Current = co_await readHead(Change.SubmitId_);
    if (!isOk(Current)) {
      Error Problem = errorOf(Current);
      if (MayHaveCommitted)
        Problem = {ErrorCode::Ambiguous, "publish",
                   "the platform's answer was lost",
                   "apply again with submit_id " + Change.SubmitId_};
      co_return ErrorList{Problem};
    }
    HeadRow &Head = valueOf(Current);
    PublishedChange Published;
    Published.DryRun_ = DryRun;
    if (Head.SubmittedRevision_ != 0) {
      Published.Revision_ = Head.SubmittedRevision_;
      co_return Published;
    }
    auto Base = co_await loadSnapshot(Head.Head_);
    if (!isOk(Base))
      co_return ErrorList{errorOf(Base)};
    const ObjectSet &Newest = valueOf(Base)->Objects_;
    auto Conflicts = co_await checkBase(Change, Head.Head_, Newest);
    if (Conflicts)
      co_return *Conflicts;
    auto Applied = applyChange(Newest, Change);
    if (std::holds_alternative<ErrorList>(Applied))
      co_return std::get<ErrorList>(Applied);
    auto Next = std::make_shared<ConfigSnapshot>();
    Next->Revision_ = Head.Head_.Revision_ + 1;
    Next->Objects_ = std::move(std::get<ObjectSet>(Applied));
    Published.Revision_ = Next->Revision_;
    Published.Difference_ = computeDiff(Newest, Next->Objects_);
    if (DryRun)
      co_return Published;

    std::string Text = encodeSnapshot(*Next);
    std::string Digest = SetDigest::compute(Next->Objects_).hexText();
    ConfigHead NextHead{Next->Revision_,
                        "config/" + std::to_string(Next->Revision_) + "-" +
                            Digest.substr(0, 16),
                        Change.SubmitId_};
    auto Stored = co_await Platform_->putObject(NextHead.Object_, Text);
    if (!isOk(Stored))
      co_return ErrorList{errorOf(Stored)};
    auto Outcome = co_await commit(Head, NextHead, Published.Difference_);
    if (Outcome.Result_ == CommitResult::Committed) {
      logEvent(
          LogLevel::Info, "config_published",
          {{"revision", Next->Revision_}, {"submit_id", Change.SubmitId_}});
      LastPublication_ = {Next->Revision_, Published.Difference_, Digest};
      State_->accept(Next);
      co_return Published;
    }
    if (Outcome.Result_ == CommitResult::Unavailable)
      co_return ErrorList{{ErrorCode::Unavailable, "publish",
                           "the platform is not available; nothing changed",
                           "apply again later"}};
    // After a conflict or a lost reply, the next read of the head and the
    // submission row determines the outcome.
    MayHaveCommitted |= Outcome.Result_ == CommitResult::Ambiguous;
  }
  if (MayHaveCommitted)
    co_return ErrorList{{ErrorCode::Ambiguous, "publish",
                         "the platform's answer was lost",
                         "apply again with submit_id " + Change.SubmitId_}};
  co_return ErrorList{{ErrorCode::Conflict, "publish",
                       "other changes were published first on every attempt",
                       "apply again"}};
}

} // namespace anvil
