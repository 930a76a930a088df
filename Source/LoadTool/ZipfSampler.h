#ifndef ANVIL_LOADTOOL_ZIPFSAMPLER_H
#define ANVIL_LOADTOOL_ZIPFSAMPLER_H

#include <cstddef>
#include <vector>

namespace anvil {

/// Samples ranks from a Zipf distribution.
class ZipfSampler {
public:
  /// Uses ranks 0 to `Count` - 1; rank r has weight 1 / (r + 1)^`Exponent`.
  ZipfSampler(std::size_t Count, double Exponent);

  /// Maps a uniform number in [0, 1) to a rank.
  std::size_t rankOf(double Uniform) const;

private:
  std::vector<double> Cumulative_;
};

} // namespace anvil

#endif // ANVIL_LOADTOOL_ZIPFSAMPLER_H
