#include "net/memory_budget.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMiB = std::size_t{ 1 } << 20;
constexpr std::size_t kLimit = 80 * kMiB; // Large holdings: 70 MiB.

struct test_holder final : memory_holder
{
  explicit test_holder(const std::shared_ptr<memory_budget>& aBudget)
    : account(aBudget, this)
  {
    account.SetCanGiveWay(true);
  }
  void GiveWay() override
  {
    ++gaveWay;
    account.Clear();
  }

  memory_account account;
  int gaveWay = 0;
};

struct budget_test
{
  /// Ends windows of progress, so that nothing counts as moved.
  void PassTime()
  {
    for (int window = 0; window < 2; ++window) {
      now += milliseconds(500);
      budget->Check(now);
    }
  }

  std::shared_ptr<memory_budget> budget =
    std::make_shared<memory_budget>(kLimit);
  time_point now = time_point(std::chrono::hours(1));
};

} // namespace

// Guards against memory that stays reserved, which would fill a node for good.
TEST_CASE("an account releases what it holds")
{
  budget_test test;
  {
    test_holder holder(test.budget);
    CHECK(holder.account.Resize(3 * kMiB));
    CHECK(holder.account.Resize(kMiB));
    CHECK(test.budget->Used() == kMiB);
    memory_account other(test.budget);
    CHECK(other.Resize(kMiB));
    CHECK(test.budget->Used() == 2 * kMiB);
  }
  CHECK(test.budget->Used() == 0);
}

// Guards against stalled bodies that keep their memory while others progress.
TEST_CASE("the holder with the least progress gives way")
{
  budget_test test;
  test_holder stalled(test.budget);
  test_holder slow(test.budget);
  test_holder fast(test.budget);
  REQUIRE(stalled.account.Resize(20 * kMiB));
  REQUIRE(slow.account.Resize(30 * kMiB));
  test.PassTime();
  slow.account.NoteProgress(kMiB);
  fast.account.NoteProgress(4 * kMiB);
  CHECK(fast.account.Resize(30 * kMiB));
  CHECK(stalled.gaveWay == 1);
  CHECK(slow.gaveWay == 0);
  CHECK(fast.account.Resize(60 * kMiB));
  CHECK(slow.gaveWay == 1);
}

// Guards against newcomers that end bodies which are nearly complete.
TEST_CASE("a large holder takes no memory of one that progresses more")
{
  budget_test test;
  test_holder fast(test.budget);
  test_holder slow(test.budget);
  REQUIRE(fast.account.Resize(60 * kMiB));
  test.PassTime();
  fast.account.NoteProgress(2 * kMiB);
  slow.account.NoteProgress(kMiB);
  CHECK_FALSE(slow.account.Resize(20 * kMiB));
  CHECK(fast.gaveWay == 0);
  CHECK(slow.account.Bytes() == 0);
  CHECK_FALSE(test.budget->Full(test.now));
}

// Guards against large bodies that leave no memory for ordinary requests.
TEST_CASE("a part is reserved for small holdings")
{
  budget_test test;
  memory_account handled(test.budget); // Can't give way.
  REQUIRE(handled.Resize(test.budget->LargeLimit()));
  test_holder large(test.budget);
  CHECK_FALSE(large.account.Resize(kMiB));
  test_holder ordinary(test.budget);
  CHECK(ordinary.account.Resize(memory_budget::kSmallBytes));
}

// Guards against a node that accepts checks while it refuses ordinary requests.
TEST_CASE("a budget that refused a small holding counts as full for a while")
{
  budget_test test;
  test.budget->Check(test.now);
  memory_account handled(test.budget);
  REQUIRE(handled.Resize(test.budget->LargeLimit()));
  std::vector<std::unique_ptr<memory_account>> small;
  for (;;) {
    auto account = std::make_unique<memory_account>(test.budget);
    if (!account->Resize(memory_budget::kSmallBytes)) {
      break;
    }
    small.push_back(std::move(account));
  }
  CHECK(test.budget->Used() <= test.budget->Limit());
  CHECK(test.budget->Full(test.now));
  CHECK_FALSE(test.budget->Full(test.now + milliseconds(1'000)));
}

// Guards against small holders that close each other while all of them move.
TEST_CASE("a small holder takes memory of large ones and of stalled small ones")
{
  budget_test test;
  memory_account handled(test.budget);
  REQUIRE(handled.Resize(test.budget->LargeLimit()));
  std::vector<std::unique_ptr<test_holder>> small;
  while (test.budget->Used() + memory_budget::kSmallBytes <= kLimit) {
    small.push_back(std::make_unique<test_holder>(test.budget));
    REQUIRE(small.back()->account.Resize(memory_budget::kSmallBytes));
  }
  for (const auto& holder : small) {
    holder->account.NoteProgress(100);
  }
  test_holder next(test.budget);
  CHECK_FALSE(next.account.Resize(memory_budget::kSmallBytes));
  test.PassTime();
  CHECK(next.account.Resize(memory_budget::kSmallBytes));
}

// Guards against a connection that is closed while its request runs.
TEST_CASE("a holder that can't give way is spared")
{
  budget_test test;
  test_holder running(test.budget);
  REQUIRE(running.account.Resize(60 * kMiB));
  running.account.SetCanGiveWay(false);
  test_holder other(test.budget);
  test.PassTime();
  other.account.NoteProgress(kMiB);
  CHECK_FALSE(other.account.Resize(30 * kMiB));
  CHECK(running.gaveWay == 0);
}
