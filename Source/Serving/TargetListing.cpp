#include "Serving/TargetListing.h"

#include "Membership/Rendezvous.h"

namespace anvil {

/// The maximum size of the changes in one datagram, in bytes; all engines may
/// register at once.
static constexpr std::size_t MaxNoticeBytes = 32 * 1024;

/// Estimated bytes of an entry beside its texts, and of an adapter or a removed
/// name.
static constexpr std::size_t EntryBytes = 40;
static constexpr std::size_t NameBytes = 16;

bool ListingChanges::fitsDatagram() const {
  std::size_t Bytes = NameBytes * Removed_.size();
  for (const RegisteredTarget &Entry : Entries_) {
    Bytes += EntryBytes + Entry.Id_.size() + Entry.Service_.size() +
             Entry.SoftwareVersion_.size() + Entry.Address_.size() +
             Entry.DataCentre_.size();
    for (const auto &[Model, Held] : Entry.Models_)
      Bytes += NameBytes * (1 + Held.Adapters_.size());
  }
  return Bytes <= MaxNoticeBytes;
}

/// The fields on which routing depends, as text.
static std::string identityOf(const RegisteredTarget &Entry) {
  std::string Text = Entry.Id_;
  for (const std::string &Part :
       {std::to_string(Entry.Incarnation_), Entry.Service_,
        Entry.SoftwareVersion_, Entry.Address_, Entry.DataCentre_,
        std::to_string(Entry.Slots_),
        std::to_string(static_cast<int>(Entry.State_)),
        std::to_string(isCold(Entry))})
    Text += '\n' + Part;
  return Text;
}

/// Whether an entry states a longer cold time than before: the target is cold
/// again. The time is no part of the identity, since it changes all the time.
static bool isColdAgain(const RegisteredTarget &Before,
                        const RegisteredTarget &After) {
  return isCold(After) && After.ColdRemaining_ > Before.ColdRemaining_;
}

void TargetListing::replace(const std::vector<RegisteredTarget> &Entries,
                            TimePoint Now) {
  std::map<std::string, RegisteredTarget> New;
  for (const RegisteredTarget &Entry : Entries)
    New.insert_or_assign(Entry.Id_, Entry);
  // The first list is no change: every VM reads it itself.
  if (HasRead_) {
    for (const auto &[Id, Entry] : New) {
      auto Known = Entries_.find(Id);
      if (Known == Entries_.end() ||
          identityOf(Known->second) != identityOf(Entry) ||
          isColdAgain(Known->second, Entry))
        ChangedAt_[Id] = Now;
    }
    for (const auto &[Id, Entry] : Entries_)
      if (!New.contains(Id))
        ChangedAt_[Id] = Now;
  }
  HasRead_ = true;
  Entries_ = std::move(New);
  std::erase_if(ChangedAt_, [&](const auto &Change) {
    return Change.second + ChangeMemory < Now;
  });
}

bool TargetListing::applyChanges(const ListingChanges &Changes,
                                 std::uint64_t Digest, TimePoint Now) {
  if (!HasRead_)
    return false;
  if (Changes.size() == 0)
    return digest() == Digest;
  TargetListing Next = *this;
  for (const RegisteredTarget &Entry : Changes.Entries_)
    Next.Entries_.insert_or_assign(Entry.Id_, Entry);
  for (const std::string &Id : Changes.Removed_)
    Next.Entries_.erase(Id);
  if (Next.digest() != Digest)
    return false;
  replace(Next.entries(), Now);
  return true;
}

ListingChanges TargetListing::recentChanges(TimePoint Now) const {
  ListingChanges Changes;
  for (const auto &[Id, At] : ChangedAt_) {
    if (At + ChangeMemory < Now)
      continue;
    auto Known = Entries_.find(Id);
    if (Known == Entries_.end())
      Changes.Removed_.push_back(Id);
    else
      Changes.Entries_.push_back(Known->second);
  }
  return Changes;
}

std::uint64_t TargetListing::digest() const {
  std::uint64_t Sum = 0;
  for (const auto &[Id, Entry] : Entries_)
    Sum += stableHash(identityOf(Entry));
  return Sum;
}

std::vector<RegisteredTarget> TargetListing::entries() const {
  std::vector<RegisteredTarget> All;
  for (const auto &[Id, Entry] : Entries_)
    All.push_back(Entry);
  return All;
}

} // namespace anvil
