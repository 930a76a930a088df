#include "Streams/CopyHolders.h"

#include <algorithm>

namespace anvil {

static constexpr std::size_t MaxHolders = 2;

std::vector<std::string>
copyHolders(const std::string &Self, const std::vector<std::string> &Peers,
            const std::function<bool(const std::string &)> &IsServing) {
  std::vector<std::string> Holders;
  auto Next = std::ranges::upper_bound(Peers, Self);
  for (std::size_t Looked = 0;
       Looked < Peers.size() && Holders.size() < MaxHolders; ++Looked, ++Next) {
    if (Next == Peers.end())
      Next = Peers.begin();
    if (*Next != Self && IsServing(*Next))
      Holders.push_back(*Next);
  }
  return Holders;
}

} // namespace anvil
