#include "LoadTool/ZipfSampler.h"

#include <algorithm>
#include <cmath>

namespace anvil {

ZipfSampler::ZipfSampler(std::size_t Count, double Exponent) {
  double Sum = 0;
  for (std::size_t Rank = 0; Rank < Count; ++Rank) {
    Sum += std::pow(static_cast<double>(Rank + 1), -Exponent);
    Cumulative_.push_back(Sum);
  }
}

std::size_t ZipfSampler::rankOf(double Uniform) const {
  auto Found =
      std::ranges::upper_bound(Cumulative_, Uniform * Cumulative_.back());
  auto Rank = static_cast<std::size_t>(Found - Cumulative_.begin());
  return std::min(Rank, Cumulative_.size() - 1);
}

} // namespace anvil
