#ifndef ANVIL_LOADTOOL_ZIPFSAMPLER_H
#define ANVIL_LOADTOOL_ZIPFSAMPLER_H

#include <cstddef>
#include <vector>

namespace anvil {

/// Draws ranks whose probability falls with a power of the rank.
class ZipfSampler {
public:
  /// Ranks 0 to `Count` - 1; rank r has weight 1 / (r + 1)^`Exponent`.
  ZipfSampler(std::size_t Count, double Exponent);

  /// The rank for a number in [0, 1).
  std::size_t rankOf(double Uniform) const;

private:
  std::vector<double> Cumulative_;
};

} // namespace anvil

#endif // ANVIL_LOADTOOL_ZIPFSAMPLER_H
