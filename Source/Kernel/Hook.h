#ifndef ANVIL_KERNEL_HOOK_H
#define ANVIL_KERNEL_HOOK_H

#include <functional>
#include <vector>

namespace anvil {

/// An event that parts of the daemon attach functions to. All are called, in
/// the order in which they were attached. Attached functions outlive the hook's
/// last call, so the attaching service must live until the daemon stops.
template <class... Arguments> class Hook {
public:
  using Function = std::function<void(Arguments...)>;

  /// Attaches a function.
  void attach(Function Added) { Functions_.push_back(std::move(Added)); }

  /// Calls every attached function.
  void fire(Arguments... Given) const {
    for (const Function &Attached : Functions_)
      Attached(Given...);
  }

private:
  std::vector<Function> Functions_;
};

} // namespace anvil

#endif // ANVIL_KERNEL_HOOK_H
