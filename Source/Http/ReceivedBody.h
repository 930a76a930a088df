#ifndef ANVIL_HTTP_RECEIVEDBODY_H
#define ANVIL_HTTP_RECEIVEDBODY_H

#include "Kernel/BufferBudget.h"
#include "Kernel/Error.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace anvil {

/// What a receiver accepts of one message.
struct ReceiveLimits {
  std::size_t BodyBytes_ = 16 * 1024 * 1024;
  /// What all messages of a kind share; no limit if absent.
  std::shared_ptr<BufferBudget> Budget_;
};

/// A body that arrives in parts, within a size limit and a budget that it
/// shares with other messages.
class ReceivedBody {
public:
  /// `OnRevoke` is called if the body must give way to other messages while it
  /// is incomplete; it should close the connection.
  ReceivedBody(const ReceiveLimits &Limits, std::function<void()> OnRevoke)
      : MaxBytes_(Limits.BodyBytes_), ExpectedBytes_(MaxBytes_),
        Share_(std::make_unique<BufferShare>(Limits.Budget_,
                                             std::move(OnRevoke))) {}

  /// Says that the body has a length, so that no more is reserved for it.
  void expect(std::uint64_t Bytes) {
    ExpectedBytes_ =
        static_cast<std::size_t>(std::min<std::uint64_t>(Bytes, MaxBytes_));
  }

  /// Adds a part. Errors: too large, if the body exceeds its limit or must give
  /// way to others.
  Status append(std::string_view Part);

  /// Returns the whole body, which counts until `takeShare` is destroyed.
  /// Errors: too large, if there is no room to keep it.
  Result<std::string> finish();

  /// The size of what has arrived, in bytes.
  std::size_t size() const { return Bytes_.size(); }

  /// Whether it had to give way to other messages.
  bool gaveWay() const { return Share_ && Share_->isRevoked(); }

  /// What the body still counts for, for owners that keep it longer.
  std::unique_ptr<BufferShare> takeShare() { return std::move(Share_); }

private:
  std::size_t MaxBytes_;
  std::size_t ExpectedBytes_;
  std::string Bytes_;
  std::unique_ptr<BufferShare> Share_;
};

} // namespace anvil

#endif // ANVIL_HTTP_RECEIVEDBODY_H
