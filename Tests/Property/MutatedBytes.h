#ifndef ANVIL_TESTS_PROPERTY_MUTATEDBYTES_H
#define ANVIL_TESTS_PROPERTY_MUTATEDBYTES_H

#include <cstdint>
#include <random>
#include <string>

namespace anvil {

/// A sequence of bytes that are almost those of a valid message: some changed,
/// cut off, repeated, or replaced by values at the ends of what JSON and
/// msgpack can express. Depends on the seed alone.
class MutatedBytes {
public:
  MutatedBytes(std::uint64_t Seed, std::string Valid)
      : Random_(Seed), Valid_(std::move(Valid)) {}

  std::string next();

private:
  std::size_t below(std::size_t End) { return Random_() % End; }
  void replaceValue(std::string &Text);
  void replaceNumber(std::string &Bytes);

  std::mt19937_64 Random_;
  std::string Valid_;
};

} // namespace anvil

#endif // ANVIL_TESTS_PROPERTY_MUTATEDBYTES_H
