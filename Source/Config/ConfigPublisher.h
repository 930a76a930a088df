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

/// A change that is accepted, or that would be.
struct PublishedChange {
  std::uint64_t Revision_ = 0;
  /// What differs from the revision before.
  ChangeSet Difference_;
  bool DryRun_ = false;
};

/// Checks change sets as a whole and publishes them through the platform.
class ConfigPublisher : public Service {
public:
  static constexpr std::string_view Name = "config_publisher";

  ConfigPublisher(std::shared_ptr<PlatformService> Platform,
                  std::shared_ptr<ConfigState> State);

  std::string_view serviceName() const override { return Name; }

  /// Publishes a change set, or only checks it when `DryRun`. Sending the same
  /// submit id again gives the same revision. Errors: all that is wrong with
  /// the change, a conflict with the objects' names, unavailable (not
  /// published), ambiguous (resubmit with the same id to learn the outcome).
  boost::asio::awaitable<std::variant<PublishedChange, ErrorList>>
  publish(ChangeSet Change, bool DryRun);

  /// Refuses publications from now on, as on a VM that stops.
  void close() { Closed_ = true; }

  /// Whether a publication is under way whose outcome is not known yet.
  bool isPublishing() const { return Running_ > 0; }

  /// What this VM published last.
  struct Publication {
    std::uint64_t Revision_ = 0;
    ChangeSet Difference_;
    /// The text of the set's `SetDigest`.
    std::string Digest_;
  };

  const Publication &lastPublication() const { return LastPublication_; }

  /// Reads the snapshot that a head points to.
  boost::asio::awaitable<Result<SnapshotPtr>> load(ConfigHead Head);

private:
  struct HeadRow {
    ConfigHead Head_;
    std::uint64_t Version_ = 0;
    /// The revision that the submission made before; zero if it is new.
    std::uint64_t SubmittedRevision_ = 0;
  };

  boost::asio::awaitable<std::variant<PublishedChange, ErrorList>>
  publishOpen(ChangeSet Change, bool DryRun);
  boost::asio::awaitable<Result<HeadRow>> readHead(std::string SubmitId);
  boost::asio::awaitable<std::optional<ErrorList>>
  checkBase(const ChangeSet &Change, const ConfigHead &Head,
            const ObjectSet &Newest);
  boost::asio::awaitable<CommitOutcome> commit(const HeadRow &Old,
                                               const ConfigHead &Next,
                                               const ChangeSet &Difference);

  std::shared_ptr<PlatformService> Platform_;
  std::shared_ptr<ConfigState> State_;
  Publication LastPublication_;
  std::size_t Running_ = 0;
  bool Closed_ = false;
};

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGPUBLISHER_H
