#ifndef ANVIL_PLACEMENT_FAIRQUEUE_H
#define ANVIL_PLACEMENT_FAIRQUEUE_H

#include "Placement/PermitTypes.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>

namespace anvil {

/// The order in which waiting requests are served.
enum class QueueOrder { Fair, FirstCome };

inline constexpr std::pair<QueueOrder, std::string_view> QueueOrderNames[] = {
    {QueueOrder::Fair, "fair"},
    {QueueOrder::FirstCome, "first_come"},
};

/// Limits on the number of waiting requests.
struct QueueLimits {
  std::size_t Total_ = 512;
  std::size_t PerCustomer_ = 256;
};

/// The queue of requests for one target. Requests past their ageing bound are
/// served first, oldest first; then the highest class; within a class,
/// customers by deficit round robin on tokens; within a customer, first come,
/// first served.
class FairQueue {
public:
  using Predicate = std::function<bool(const QueuedRequest &)>;
  using Visitor = std::function<void(const QueuedRequest &)>;

  explicit FairQueue(QueueLimits Limits = {},
                     QueueOrder Order = QueueOrder::Fair);

  /// Adds a request; false when the queue or its customer's limit is full.
  bool push(QueuedRequest Request);

  /// Removes and returns the next request among the eligible ones.
  std::optional<QueuedRequest> pop(TimePoint Now, const Predicate &IsEligible);

  /// Removes and returns the requests for which `ShouldRemove` holds.
  std::vector<QueuedRequest> removeIf(const Predicate &ShouldRemove);

  /// Whether a request with that key waits.
  bool contains(const PermitKey &Key) const { return Keys_.count(Key) > 0; }

  /// Visits all waiting requests in order of arrival.
  void forEach(const Visitor &Visit) const;

  std::size_t size() const { return Items_.size(); }

private:
  using Items = std::list<QueuedRequest>;
  /// A customer's account within one class.
  struct Account {
    double Deficit_ = 0;
    std::uint64_t ServedAt_ = 0;
    std::size_t Waiting_ = 0;
  };
  using AccountKey = std::pair<std::int64_t, std::string>;

  static AccountKey accountOf(const QueuedRequest &Request);
  Items::iterator choose(TimePoint Now, const Predicate &IsEligible);
  Items::iterator chooseByDeficit(const std::vector<Items::iterator> &Heads);
  QueuedRequest remove(Items::iterator Chosen);

  QueueLimits Limits_;
  QueueOrder Order_;
  Items Items_;
  std::set<PermitKey> Keys_;
  std::map<AccountKey, Account> Accounts_;
  std::map<std::string, std::size_t> PerCustomer_;
  std::uint64_t Served_ = 0;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_FAIRQUEUE_H
