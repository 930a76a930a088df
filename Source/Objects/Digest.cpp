#include "Objects/Digest.h"

#include "Kernel/Invariant.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <vector>

namespace anvil {

static std::string toHex(const unsigned char *Bytes, std::size_t Count) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(Count * 2);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Text += Digits[Bytes[Index] >> 4];
    Text += Digits[Bytes[Index] & 15];
  }
  return Text;
}

std::string sha256Hex(std::string_view Bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
         Digest.data());
  return toHex(Digest.data(), Digest.size());
}

bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string randomHex(std::size_t ByteCount) {
  std::vector<unsigned char> Bytes(ByteCount);
  int Outcome = RAND_bytes(Bytes.data(), static_cast<int>(ByteCount));
  checkInvariant(Outcome == 1, "the system's random number generator failed");
  return toHex(Bytes.data(), Bytes.size());
}

std::string base64Encode(std::string_view Bytes) {
  // Four characters for every three bytes, rounded up, and a terminating zero.
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::optional<std::string> base64Decode(std::string_view Text) {
  if (Text.size() % 4 != 0)
    return std::nullopt;
  std::string Bytes(Text.size() / 4 * 3, '\0');
  int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  // EVP_DecodeBlock counts padding characters as zero bytes.
  std::size_t Padding = 0;
  while (Padding < 2 && Text.size() > Padding &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(static_cast<std::size_t>(Length) - Padding);
  return Bytes;
}

} // namespace anvil
