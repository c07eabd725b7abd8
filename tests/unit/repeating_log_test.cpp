#include "recovery/repeating_log.hpp"

#include "arbutusferry/node/batch_journal.hpp"
#include "support/node_fakes.hpp"
#include "support/property.hpp"

#include <catch2/catch.hpp>
#include <random>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

const log_partition kWhere{ "t", 0, true };

/// Store that never responds to what is sent while it is silent.
class silent_log final : public record_log
{
public:
  silent_log(manual_loop& aLoop, memory_log& aLog)
    : mLoop(aLoop)
    , mLog(aLog)
  {
  }

  bool silent = false;
  /// Whether silent appends are executed all the same.
  bool executes = false;
  std::size_t appends = 0;

  void Append(append_request aRequest,
              std::function<void(const append_result&)> aDone) override
  {
    ++appends;
    if (!silent) {
      mLog.Append(std::move(aRequest), std::move(aDone));
      return;
    }
    if (executes) {
      mLog.Append(std::move(aRequest), [](const append_result&) {});
    }
    mLoop.Post(kTimeout, [aDone] { aDone({}); });
  }
  void Read(const log_partition&,
            std::uint64_t,
            std::int64_t,
            std::function<void(const read_result&)>) override
  {
  }
  void Newest(const log_partition& aWhere,
              const std::string& aAfter,
              std::function<void(const newest_result&)> aDone) override
  {
    mLog.Newest(aWhere, aAfter, std::move(aDone));
  }
  [[nodiscard]] std::size_t MaxRecordBytes() const override
  {
    return mLog.MaxRecordBytes();
  }
  [[nodiscard]] std::size_t MaxCallBytes() const override
  {
    return mLog.MaxCallBytes();
  }

private:
  /// Time after which the client gives up on a silent store.
  static constexpr milliseconds kTimeout{ 2'500 };

  manual_loop& mLoop;
  memory_log& mLog;
};

struct repeating_log_test
{
  append_request Request(std::string aKey)
  {
    append_request request;
    request.where = kWhere;
    request.records = { { std::move(aKey), "v" } };
    return request;
  }

  manual_loop loop;
  memory_store store;
  memory_log memory{ loop, store };
  silent_log silent{ loop, memory };
  repeating_log log{ loop, silent };
  std::optional<append_result> result;
  std::function<void(const append_result&)> keep =
    [this](const append_result& aResult) { Keep(aResult); };

private:
  void Keep(const append_result& aResult)
  {
    REQUIRE_FALSE(result);
    result = aResult;
  }
};

} // namespace

// Guards against a leader that can't renew until the timeout of an append that
// it sent shortly before the store returned: others took over meanwhile.
TEST_CASE("an append succeeds soon after a silent store has returned")
{
  repeating_log_test test;
  test.silent.silent = true;
  append_request request = test.Request("k");
  request.expectedEnd = 0;
  test.log.Append(std::move(request), test.keep);
  test.loop.Advance(milliseconds(500));
  CHECK_FALSE(test.result);
  test.silent.silent = false;
  test.loop.Advance(milliseconds(200));
  REQUIRE(test.result);
  CHECK(test.result->status == append_status::Done);
  test.loop.Advance(milliseconds(5'000));
  CHECK(test.store.At(kWhere).records.size() == 1);
}

// Guards against records that are stored twice since the first send was
// executed without a response.
TEST_CASE("a repeated append of a producer is executed once")
{
  repeating_log_test test;
  test.silent.silent = test.silent.executes = true;
  append_request request = test.Request("k");
  request.producer = log_producer{ "p", 1, 0 };
  test.log.Append(std::move(request), test.keep);
  test.loop.Advance(milliseconds(500));
  test.silent.silent = false;
  test.loop.Advance(milliseconds(200));
  REQUIRE(test.result);
  CHECK(test.result->status == append_status::Done);
  CHECK(test.result->offset == 0);
  CHECK(test.store.At(kWhere).records.size() == 1);
}

// Guards against a refusal that claims that nothing was appended although an
// earlier send may have been executed.
TEST_CASE("a refused repeat leaves the append in doubt")
{
  repeating_log_test test;
  test.silent.silent = test.silent.executes = true;
  append_request request = test.Request("k");
  request.producer = log_producer{ "p", 1, 0 };
  test.log.Append(std::move(request), test.keep);
  test.loop.Advance(milliseconds(500));
  test.silent.silent = false;
  test.memory.down = true;
  test.loop.Advance(milliseconds(5'000));
  REQUIRE(test.result);
  CHECK(test.result->status == append_status::Unknown);
}

// Guards against duplicates of appends that the store can't recognize, and
// against extra calls while the store responds.
TEST_CASE("only silent and recognizable appends are repeated")
{
  repeating_log_test test;
  append_request answered = test.Request("a");
  answered.expectedEnd = 0;
  test.log.Append(std::move(answered), test.keep);
  test.loop.Advance(milliseconds(5'000));
  CHECK(test.silent.appends == 1);
  test.result.reset();
  test.silent.silent = true;
  test.log.Append(test.Request("b"), test.keep);
  test.loop.Advance(milliseconds(5'000));
  CHECK(test.silent.appends == 2);
  REQUIRE(test.result);
  CHECK(test.result->status == append_status::Unknown);
}

// Guards against records of the journal that are lost, doubled or out of order
// when the store falls silent at any moment.
TEST_CASE("a journal over a store that falls silent keeps each record once")
{
  CHECK(CheckHistories("repeated appends", 200, [](std::uint64_t aSeed) {
    std::mt19937_64 random(aSeed);
    repeating_log_test test;
    batch_journal journal(test.loop, test.log, kWhere, 5, [] { RC_FAIL(); });
    journal.Open([](const journal_contents&) {});
    test.loop.Advance(milliseconds(200));
    std::size_t durable = 0;
    constexpr std::size_t kRecords = 30;
    for (std::size_t index = 0; index < kRecords; ++index) {
      test.silent.silent = random() % 3 == 0;
      test.silent.executes = random() % 2 == 0;
      test.memory.down = random() % 5 == 0;
      journal.Append({ { ResultKey("b", index), "v" } }, [&] { ++durable; });
      test.loop.Advance(milliseconds(random() % 700));
    }
    test.silent.silent = test.memory.down = false;
    test.loop.Advance(std::chrono::seconds(15));
    RC_ASSERT(durable == kRecords);
    std::vector<std::string> keys;
    for (const log_record& record : test.store.At(kWhere).records) {
      keys.push_back(record.key);
    }
    RC_ASSERT(keys.size() == kRecords);
    RC_ASSERT(std::is_sorted(keys.begin(), keys.end()));
  }));
}
