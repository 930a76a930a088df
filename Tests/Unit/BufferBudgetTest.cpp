#include "Kernel/BufferBudget.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace anvil;

static constexpr std::size_t Limit = 1024 * 1024;
static constexpr std::size_t Half = Limit / 2;

TEST_CASE("connections together hold no more than the buffer budget") {
  auto Budget = std::make_shared<BufferBudget>(Limit);
  int Revocations = 0;
  BufferShare Large(Budget, [&] { ++Revocations; });
  BufferShare Small(Budget);
  REQUIRE(Large.resize(Limit - 1000));
  REQUIRE(Small.resize(1000));
  CHECK(Budget->heldBytes() == Limit);

  SECTION("and the largest share gives way to others") {
    CHECK(Small.resize(2000));
    CHECK(Large.isRevoked());
    CHECK(Revocations == 1);
    CHECK(Budget->heldBytes() == 2000);
    CHECK_FALSE(Large.resize(1));
    SECTION("until it is released") {
      Large.release();
      CHECK(Large.resize(1));
    }
  }
  SECTION("also if it is the one that grows") {
    CHECK_FALSE(Large.resize(Limit - 999));
    CHECK(Revocations == 0);
    CHECK(Small.bytes() == 1000);
    CHECK(Budget->heldBytes() == 1000);
  }
  SECTION("and a share in use is kept") {
    Large.release();
    REQUIRE(Large.resize(Half));
    REQUIRE(Large.retain());
    CHECK_FALSE(Small.resize(Half + 1));
    CHECK_FALSE(Large.isRevoked());
    SECTION("until it yields; it then gives way before larger ones") {
      Small.release();
      Large.release();
      REQUIRE(Large.resize(Half - 1000));
      REQUIRE(Large.retain());
      REQUIRE(Small.resize(Half + 1000));
      Large.yield();
      BufferShare Third(Budget);
      CHECK(Third.resize(1));
      CHECK(Large.isRevoked());
      CHECK_FALSE(Small.isRevoked());
    }
    SECTION("but large ones retain half of the budget at most") {
      BufferShare Third(Budget);
      REQUIRE(Third.resize(BufferBudget::SmallShareBytes + 1));
      CHECK_FALSE(Third.retain());
      BufferShare Fourth(Budget);
      REQUIRE(Fourth.resize(BufferBudget::SmallShareBytes));
      CHECK(Fourth.retain());
    }
  }
}

TEST_CASE("the buffer budget holds for any order of changes") {
  std::mt19937 Random(51);
  auto Budget = std::make_shared<BufferBudget>(Limit);
  std::deque<BufferShare> Shares;
  for (int Index = 0; Index < 20; ++Index)
    Shares.emplace_back(Budget);
  for (int Step = 0; Step < 20000; ++Step) {
    BufferShare &Share = Shares[Random() % Shares.size()];
    switch (Random() % 4) {
    case 0:
      Share.release();
      break;
    case 1:
      Share.retain();
      break;
    default:
      Share.resize(Random() % (Limit / 4));
    }
    std::size_t Sum = 0;
    for (const BufferShare &Each : Shares)
      Sum += Each.bytes();
    REQUIRE(Sum == Budget->heldBytes());
    REQUIRE(Sum <= Limit);
  }
}
