#ifndef ANVIL_KERNEL_BUFFERBUDGET_H
#define ANVIL_KERNEL_BUFFERBUDGET_H

#include "Kernel/Hook.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace anvil {

class BufferShare;

/// A limit on the memory of received bytes that several connections hold
/// together. If it would be exceeded, the largest share that may be revoked is
/// revoked, so that peers which send little are not affected by those which
/// send much. Not thread-safe.
class BufferBudget {
public:
  explicit BufferBudget(std::size_t LimitBytes) : Limit_(LimitBytes) {}

  std::size_t limitBytes() const { return Limit_; }

  /// The bytes that are held now, without those of revoked shares.
  std::size_t heldBytes() const { return Held_; }

  /// Fired with the bytes of each share that must give way.
  Hook<std::size_t> Revoked_;

  /// Shares of at most this many bytes can be retained as long as there is room
  /// at all.
  static constexpr std::size_t SmallShareBytes = 64 * 1024;

private:
  friend class BufferShare;

  bool resize(BufferShare &Share, std::size_t Bytes);
  bool retain(BufferShare &Share);
  void release(BufferShare &Share);
  void yield(BufferShare &Share);
  /// The order in which shares are revoked: yielded ones first, each by size.
  std::size_t rank(const BufferShare &Share) const;
  void revoke(BufferShare &Share);

  std::size_t Limit_;
  std::size_t Held_ = 0;
  /// The part of `Held_` in shares that can't be revoked.
  std::size_t Retained_ = 0;
  /// The shares that may be revoked, by their rank.
  std::set<std::pair<std::size_t, BufferShare *>> Revocable_;
};

/// The bytes that one connection holds of a budget. Without a budget there is
/// no limit.
class BufferShare {
public:
  /// `OnRevoke` is called once if the share is revoked in favour of another
  /// one. It must make the owner free its memory soon, for instance by closing
  /// the connection, and must not destroy the share.
  explicit BufferShare(std::shared_ptr<BufferBudget> Budget,
                       std::function<void()> OnRevoke = {});
  ~BufferShare();
  BufferShare(const BufferShare &) = delete;
  BufferShare &operator=(const BufferShare &) = delete;

  /// Sets the number of bytes held. False if they exceed the budget and this
  /// share must give way; it then holds none.
  bool resize(std::size_t Bytes);

  /// Makes the share irrevocable, for a message that is complete and in use.
  /// All large shares together can retain half of the budget. False if there is
  /// no room, and the share then holds none.
  bool retain();

  /// Makes a share that was retained revocable again, before all others.
  void yield();

  /// Gives all bytes back; the share can be used again.
  void release();

  std::size_t bytes() const { return Bytes_; }
  bool isRevoked() const { return Revoked_; }

private:
  friend class BufferBudget;

  std::shared_ptr<BufferBudget> Budget_;
  std::function<void()> OnRevoke_;
  std::size_t Bytes_ = 0;
  bool Retained_ = false;
  bool Revoked_ = false;
  bool Yielded_ = false;
};

} // namespace anvil

#endif // ANVIL_KERNEL_BUFFERBUDGET_H
