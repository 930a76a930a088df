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

/// Times that a publish starts over because another operator was faster.
static constexpr int PublishTries = 3;

/// Times that a lost answer is looked up before the publisher gives up.
static constexpr int LookupTries = 3;

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
  HeadRow Found;
  for (const TableRow &Row : valueOf(Rows)) {
    if (Row.Key_ != ConfigHead::Row) {
      if (Row.Version_ != 0)
        Found.SubmittedRevision_ =
            std::strtoull(Row.Value_.c_str(), nullptr, 10);
      continue;
    }
    auto Head = decodeHead(Row.Value_);
    if (!isOk(Head))
      co_return errorOf(Head);
    Found.Head_ = valueOf(Head);
    Found.Version_ = Row.Version_;
  }
  co_return Found;
}

asio::awaitable<Result<SnapshotPtr>> ConfigPublisher::load(ConfigHead Head) {
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
                         Base + " doesn't exist yet",
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
    auto Known = decodeHead(valueOf(Rows).front().Value_);
    if (isOk(Known))
      BaseHead = valueOf(Known);
  }
  auto Old = co_await load(BaseHead);
  if (!isOk(Old))
    co_return ErrorList{errorOf(Old)};
  ChangeSet Since = differenceOf(valueOf(Old)->Objects_, Newest);
  for (const std::string &Name : overlapOf(Since, Change))
    Conflicts.push_back({ErrorCode::Conflict, Name,
                         "was changed after revision " + Base,
                         "look at the change and apply again"});
  if (Conflicts.empty())
    co_return std::nullopt;
  co_return Conflicts;
}

asio::awaitable<CommitOutcome>
ConfigPublisher::commit(const HeadRow &Old, const ConfigHead &Next,
                        const ChangeSet &Difference) {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
  auto History = nlohmann::json::parse(encodeHead(Next));
  History["time_ms"] = Millis;
  History["changed"] = Difference.Put_.size();
  History["removed"] = Difference.Removals_.size();
  TableTransaction Transaction;
  Transaction.Checks_.push_back({std::string(ConfigHead::Row), Old.Version_});
  Transaction.Writes_.push_back(
      {std::string(ConfigHead::Row), encodeHead(Next)});
  Transaction.Writes_.push_back(
      {submitRow(Next.SubmitId_), std::to_string(Next.Revision_)});
  Transaction.Writes_.push_back({historyRow(Next.Revision_), History.dump()});
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
  ++Running_;
  auto Ended = co_await publishOpen(std::move(Change), DryRun);
  --Running_;
  co_return Ended;
}

asio::awaitable<PublishOutcome> ConfigPublisher::publishOpen(ChangeSet Change,
                                                             bool DryRun) {
  if (Change.SubmitId_.empty())
    Change.SubmitId_ = randomHex(16);
  int Lookups = 0;
  bool MayHaveCommitted = false;
  for (int Try = 0; Try < PublishTries; ++Try) {
    auto Old = co_await readHead(Change.SubmitId_);
    while (!isOk(Old) && MayHaveCommitted && ++Lookups < LookupTries)
      Old = co_await readHead(Change.SubmitId_);
    if (!isOk(Old)) {
      Error Problem = errorOf(Old);
      if (MayHaveCommitted)
        Problem = {ErrorCode::Ambiguous, "publish",
                   "the platform's answer was lost",
                   "apply again with submit_id " + Change.SubmitId_};
      co_return ErrorList{Problem};
    }
    HeadRow &Head = valueOf(Old);
    PublishedChange Published;
    Published.DryRun_ = DryRun;
    if (Head.SubmittedRevision_ != 0) {
      Published.Revision_ = Head.SubmittedRevision_;
      co_return Published;
    }
    auto Base = co_await load(Head.Head_);
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
    Published.Difference_ = differenceOf(Newest, Next->Objects_);
    if (DryRun)
      co_return Published;

    std::string Text = encodeSnapshot(*Next);
    std::string Digest = SetDigest::of(Next->Objects_).text();
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
    // After a conflict or a lost answer the head says what happened.
    MayHaveCommitted |= Outcome.Result_ == CommitResult::Ambiguous;
  }
  if (MayHaveCommitted)
    co_return ErrorList{{ErrorCode::Ambiguous, "publish",
                         "the platform's answer was lost",
                         "apply again with submit_id " + Change.SubmitId_}};
  co_return ErrorList{{ErrorCode::Conflict, "publish",
                       "other operators were faster several times",
                       "apply again"}};
}

} // namespace anvil
