#ifndef ANVIL_SERVING_DISPATCHPOLICY_H
#define ANVIL_SERVING_DISPATCHPOLICY_H

#include <string_view>
#include <utility>

namespace anvil {

/// How a request's target is chosen. All but the first are baselines for
/// comparison.
enum class DispatchPolicy { LeastCost, Random, LeastRequests, Home };

inline constexpr std::pair<DispatchPolicy, std::string_view>
    DispatchPolicyNames[] = {
        {DispatchPolicy::LeastCost, "least_cost"},
        {DispatchPolicy::Random, "random"},
        {DispatchPolicy::LeastRequests, "least_requests"},
        {DispatchPolicy::Home, "home"},
};

} // namespace anvil

#endif // ANVIL_SERVING_DISPATCHPOLICY_H
