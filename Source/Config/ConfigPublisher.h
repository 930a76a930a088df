#ifndef ANVIL_CONFIG_CONFIGPUBLISHER_H
#define ANVIL_CONFIG_CONFIGPUBLISHER_H

#include "Config/ConfigHead.h"
#include "Config/ConfigState.h"
#include "Objects/ChangeSet.h"
#include "TableService/PlatformService.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <variant>

namespace anvil {

/// The result of a publication, or of a dry run.
struct PublishedChange {
  std::uint64_t Revision_ = 0;
  /// The difference to the previous revision.
  ChangeSet Difference_;
  bool DryRun_ = false;
};

/// Validates change sets and publishes them as new configuration revisions
/// through the platform.
class ConfigPublisher : public Service {
public:
  static constexpr std::string_view Name = "config_publisher";

  ConfigPublisher(std::shared_ptr<PlatformService> Platform,
                  std::shared_ptr<ConfigState> State);

  std::string_view serviceName() const override { return Name; }

  /// Publishes a change set, or only validates it when `DryRun`. Resubmitting
  /// the same submit id returns the same revision. Errors: every fault of the
  /// change, conflict with the names of the objects, unavailable (not
  /// published), ambiguous (resubmit with the same id to get the outcome).
  boost::asio::awaitable<std::variant<PublishedChange, ErrorList>>
  publish(ChangeSet Change, bool DryRun);

  /// Refuses further publications, as when the VM is stopping.
  void close() { Closed_ = true; }

  /// Whether a publication is in progress, so that its outcome is unknown.
  bool isPublishing() const { return ActivePublications_ > 0; }

  /// The last revision published by this VM.
  struct Publication {
    std::uint64_t Revision_ = 0;
    ChangeSet Difference_;
    /// The text of the set's `SetDigest`.
    std::string Digest_;
  };

  const Publication &lastPublication() const { return LastPublication_; }

  /// Loads the snapshot that a head refers to.
  boost::asio::awaitable<Result<SnapshotPtr>> loadSnapshot(ConfigHead Head);

private:
  struct HeadRow {
    ConfigHead Head_;
    std::uint64_t Version_ = 0;
    /// The revision that the submission produced earlier; zero if it is new.
    std::uint64_t SubmittedRevision_ = 0;
  };

  boost::asio::awaitable<std::variant<PublishedChange, ErrorList>>
  runPublish(ChangeSet Change, bool DryRun);
  boost::asio::awaitable<Result<HeadRow>> readHead(std::string SubmitId);
  boost::asio::awaitable<std::optional<ErrorList>>
  checkBase(const ChangeSet &Change, const ConfigHead &Head,
            const ObjectSet &Newest);
  boost::asio::awaitable<CommitOutcome> commit(const HeadRow &Current,
                                               const ConfigHead &Next,
                                               const ChangeSet &Difference);

  std::shared_ptr<PlatformService> Platform_;
  std::shared_ptr<ConfigState> State_;
  Publication LastPublication_;
  std::size_t ActivePublications_ = 0;
  bool Closed_ = false;
};

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGPUBLISHER_H
