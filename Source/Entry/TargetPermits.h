#ifndef ANVIL_ENTRY_TARGETPERMITS_H
#define ANVIL_ENTRY_TARGETPERMITS_H

#include "Entry/FleetState.h"
#include "Kernel/ServiceRegistry.h"
#include "Routing/PermitKeeper.h"
#include "Settings/EntrySettings.h"
#include "Telemetry/Metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace anvil {

/// Says which targets are closed for a while by their own word, to this VM or
/// to all. Keeps the requests of all VMs together within the limits that
/// targets name: each request needs a permit, which is good for one request and
/// a short time. Permits for a target come from one VM of those that hear each
/// other; a VM that hears nobody hands out its own from its part of the limit.
class TargetPermits : public Service {
public:
  static constexpr std::string_view Name = "target_permits";

  TargetPermits(const EntrySettings &Settings, const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }
  Status start() override;

  /// Whether requests to a target need a permit.
  bool needsPermit(const std::string &Target, std::int64_t Incarnation) const;

  /// Takes in that a target wants nothing from this VM for a time.
  void backOff(const std::string &Target, std::int64_t Incarnation,
               Duration Time, TimePoint Now);

  /// How long a target is closed, for want of a permit or by its own word; zero
  /// when it isn't.
  Duration suspendedFor(const std::string &Target, std::int64_t Incarnation,
                        TimePoint Now) const;

  /// Asks for a permit and waits for the answer for a few milliseconds. `Pause`
  /// is a timer of the caller's that ends the wait if cancelled. Without a
  /// permit the target is closed for a while.
  boost::asio::awaitable<bool> acquire(const std::string &Target,
                                       std::int64_t Incarnation,
                                       boost::asio::steady_timer &Pause);

private:
  /// A question without an answer yet.
  struct Pending {
    boost::asio::steady_timer &Pause_;
    std::optional<PermitVerdict> Decision_;
  };
  struct Suspension {
    std::int64_t Incarnation_ = 0;
    /// Until when no permit is to be had, and the target wants nothing.
    TimePoint NoPermitUntil_{};
    TimePoint BackOffUntil_{};
  };

  Suspension &suspensionOf(const std::string &Target, std::int64_t Incarnation,
                           TimePoint Now);
  void receive(const FleetMessage &Message);
  std::string managerOf(const std::string &Target, TimePoint Now) const;
  PermitVerdict decide(PermitQuestion Request, TimePoint Now);
  boost::asio::awaitable<std::optional<PermitVerdict>>
  requestPermit(const std::string &Manager, const PermitQuestion &Request,
                boost::asio::steady_timer &Pause);

  std::string Self_;
  std::shared_ptr<FleetLink> Link_;
  std::shared_ptr<FleetState> Fleet_;
  std::shared_ptr<Metrics> Metrics_;
  PermitKeeper PermitManager_;
  std::map<std::uint64_t, std::shared_ptr<Pending>> Pending_;
  std::map<std::string, Suspension> Suspensions_;
  /// Starts anywhere, so that an answer to an earlier life of this VM fits no
  /// question.
  std::uint64_t LastSerial_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_TARGETPERMITS_H
