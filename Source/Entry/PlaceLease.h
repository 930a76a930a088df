#ifndef ANVIL_ENTRY_PLACELEASE_H
#define ANVIL_ENTRY_PLACELEASE_H

#include <functional>
#include <utility>

namespace anvil {

/// A place for one request at a brittle target. It is released on destruction.
class PlaceLease {
public:
  /// Called once, with whether the target rejected the request.
  using ReleaseHook = std::function<void(bool WasRejected)>;

  PlaceLease() = default;
  explicit PlaceLease(ReleaseHook OnRelease)
      : OnRelease_(std::move(OnRelease)) {}
  ~PlaceLease() { release(false); }
  PlaceLease(PlaceLease &&Other) noexcept
      : OnRelease_(std::exchange(Other.OnRelease_, nullptr)) {}
  PlaceLease &operator=(PlaceLease &&Other) noexcept {
    release(false);
    OnRelease_ = std::exchange(Other.OnRelease_, nullptr);
    return *this;
  }

  void release(bool WasRejected) {
    if (auto Hook = std::exchange(OnRelease_, nullptr))
      Hook(WasRejected);
  }

private:
  ReleaseHook OnRelease_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_PLACELEASE_H
