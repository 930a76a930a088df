#include "Entry/RandomFraction.h"

#include <random>

namespace anvil {

double randomFraction() {
  static std::mt19937_64 Source{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(Source);
}

} // namespace anvil
