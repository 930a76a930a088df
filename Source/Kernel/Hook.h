#ifndef ANVIL_KERNEL_HOOK_H
#define ANVIL_KERNEL_HOOK_H

#include <functional>
#include <vector>

namespace anvil {

/// An event to which components of the daemon attach callbacks. `fire` calls
/// all of them in the order of attachment. Callbacks cannot be detached, so the
/// service that attaches one must live until the daemon stops.
template <class... Arguments> class Hook {
public:
  using Function = std::function<void(Arguments...)>;

  void attach(Function Callback) { Functions_.push_back(std::move(Callback)); }

  void fire(Arguments... Values) const {
    for (const Function &Attached : Functions_)
      Attached(Values...);
  }

private:
  std::vector<Function> Functions_;
};

} // namespace anvil

#endif // ANVIL_KERNEL_HOOK_H
