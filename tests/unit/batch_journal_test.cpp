#include "arbutusferry/node/batch_journal.hpp"

#include "support/node_fakes.hpp"
#include "support/property.hpp"

#include <random>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

const log_partition kWhere{ "batches", 0, true };

batch_request
Batch(const std::string& aId, std::size_t aItems, std::size_t aBodyBytes = 20)
{
  batch_request batch;
  batch.id = aId;
  batch.team = "acme";
  batch.host = "models.example";
  batch.model = "m";
  batch.step = 3;
  batch.minimumVersion = 2;
  batch.neededGroups = 1;
  batch.submittedUnixMs = 1'700'000'000'123;
  for (std::size_t index = 0; index < aItems; ++index) {
    batch.items.push_back({ aId + "-" + std::to_string(index),
                            "/p",
                            { { "X-One", "1" } },
                            std::string(aBodyBytes, '\xfe'),
                            100,
                            "g",
                            50 });
  }
  return batch;
}

struct journal_test
{
  std::unique_ptr<batch_journal> Open(std::uint64_t aEpoch)
  {
    auto journal = std::make_unique<batch_journal>(
      loop, log, kWhere, aEpoch, [this] { ++fenced; });
    journal->Open([this](journal_contents aContents) {
      contents = std::move(aContents);
      ++opened;
    });
    loop.Advance(milliseconds(200));
    return journal;
  }

  manual_loop loop;
  memory_store store;
  memory_log log{ loop, store };
  journal_contents contents;
  int opened = 0;
  int fenced = 0;
};

} // namespace

TEST_CASE("batches, results and progress round-trip through their encoding")
{
  const auto batch = DecodeBatch(EncodeBatch(Batch("b1", 3)));
  REQUIRE(batch);
  CHECK(batch->id == "b1");
  CHECK(batch->items.size() == 3);
  CHECK(batch->items[2].body == std::string(20, '\xfe'));
  CHECK(batch->items[2].headers.Get("x-one") == "1");
  CHECK(batch->submittedUnixMs == 1'700'000'000'123);

  batch_result result;
  result.item = 2;
  result.text = "one\n\"two\"\nthree";
  result.versions = { 4, 5 };
  const auto decoded = DecodeResult(EncodeResult(result));
  REQUIRE(decoded);
  CHECK(decoded->item == 2);
  CHECK_FALSE(decoded->loaded);
  CHECK(decoded->versions == result.versions);
  CHECK(decoded->state == result_state::Completed);
  CHECK_FALSE(DecodeResult("garbage"));
  // There is no text record to wait for.
  result.text.clear();
  CHECK(DecodeResult(EncodeResult(result))->loaded);

  item_progress progress;
  progress.events = { "a", "b" };
  progress.versions = { 1, 2 };
  const auto restored = DecodeProgress(EncodeProgress(progress));
  REQUIRE(restored);
  CHECK(restored->events == progress.events);
  CHECK(restored->versions == progress.versions);
  CHECK_FALSE(restored->complete);
}

TEST_CASE("scoring round-trips through the journal's encoding")
{
  batch_request scored = Batch("b1", 2);
  scored.items[1].reward = { "w", "h.example", "/s", std::string(3, '\xfe') };
  const auto batch = DecodeBatch(EncodeBatch(scored));
  REQUIRE(batch);
  CHECK_FALSE(batch->items[0].reward);
  REQUIRE(batch->items[1].reward);
  CHECK(batch->items[1].reward->id == "w");
  CHECK(batch->items[1].reward->host == "h.example");
  CHECK(batch->items[1].reward->path == "/s");
  CHECK(batch->items[1].reward->body == std::string(3, '\xfe'));

  batch_result result;
  result.score = "s1";
  CHECK(DecodeResult(EncodeResult(result))->score == "s1");

  item_progress progress;
  progress.complete = true;
  progress.rewardErrors = 3;
  const auto restored = DecodeProgress(EncodeProgress(progress));
  REQUIRE(restored);
  CHECK(restored->complete);
  CHECK(restored->rewardErrors == 3);
}

// Guards against values that are empty, over the limit or not the whole batch.
TEST_CASE("the parts of a batch fill records up to their limit")
{
  const std::size_t encoded = EncodeBatch(Batch("b1", 2)).size();
  for (std::size_t limit = 3; limit <= encoded + 4; ++limit) {
    const auto parts = EncodeBatchParts(Batch("b1", 2), limit);
    std::string text;
    for (const std::string& part : parts) {
      CHECK_FALSE(part.empty());
      CHECK(part.size() <= limit);
      text += part;
    }
    CHECK(text ==
          std::to_string(parts.size()) + ":" + EncodeBatch(Batch("b1", 2)));
  }
}

TEST_CASE("the next term reads what was appended")
{
  journal_test test;
  auto journal = test.Open(5);
  REQUIRE(test.opened == 1);
  int durable = 0;
  journal->Append({ { BatchKey("b1", 0), "1:" + EncodeBatch(Batch("b1", 2)) } },
                  [&] { ++durable; });
  batch_result result;
  result.item = 1;
  result.text = "t";
  journal->Append({ { ResultKey("b1", 0), EncodeResult(result) } },
                  [&] { ++durable; });
  journal->Append({ { EndKey("b1"), "1" }, { UsageKey(77), "{}" } },
                  [&] { ++durable; });
  test.loop.Advance(milliseconds(100));
  CHECK(durable == 3);
  journal.reset();
  journal = test.Open(9);
  REQUIRE(test.contents.batches.size() == 1);
  CHECK(test.contents.results["b1"].at(0).item == 1);
  CHECK(test.contents.ended.contains("b1"));
  CHECK(test.contents.usage.contains(77));
}

// Guards against endless retries of an append that the store rejects as
// invalid.
TEST_CASE("an invalid append doesn't block later ones")
{
  journal_test test;
  auto journal = test.Open(5);
  int durable = 0;
  journal->Append({ { EndKey("x"), std::string(5'000, 'x') } },
                  [&] { durable += 100; });
  test.loop.Advance(milliseconds(100));
  journal->Append({ { EndKey("y"), "1" } }, [&] { ++durable; });
  test.loop.Advance(milliseconds(500));
  CHECK(durable == 1);
  CHECK(test.log.invalid == 1);
}

// Guards against a takeover whose duration grows with the number of texts.
TEST_CASE("texts are read on request, not when the journal is opened")
{
  journal_test test;
  auto journal = test.Open(5);
  for (std::size_t at = 0; at < 30; ++at) {
    batch_result result;
    result.item = at;
    journal->Append({ { ResultKey("b1", at), EncodeResult(result) },
                      { TextKey("b1", at), "text " + std::to_string(at) },
                      { TextKey("a0", at), "other" } },
                    {});
  }
  test.loop.Advance(milliseconds(200));
  journal = test.Open(6);
  CHECK(test.contents.results["b1"].size() == 30);
  std::map<std::size_t, std::string> texts;
  journal->ReadTexts("b1", 4, [&](auto& aTexts) { texts = aTexts; });
  test.loop.Advance(milliseconds(50));
  REQUIRE_FALSE(texts.empty());
  CHECK(texts.begin()->first == 4);
  CHECK(texts[5] == "text 5");
  journal->ReadTexts("b1", 28, [&](auto& aTexts) { texts = aTexts; });
  test.loop.Advance(milliseconds(50));
  CHECK(texts.size() == 2);
}

// Guards against treating a partly written batch as accepted.
TEST_CASE("a batch without its last part is not accepted")
{
  journal_test test;
  auto journal = test.Open(5);
  const std::string text = "2:" + EncodeBatch(Batch("b1", 2));
  journal->Append({ { BatchKey("b1", 0), text.substr(0, 40) } }, {});
  test.loop.Advance(milliseconds(100));
  journal = test.Open(6);
  CHECK(test.contents.batches.empty());
  journal->Append({ { BatchKey("b1", 1), text.substr(40) } }, {});
  test.loop.Advance(milliseconds(100));
  journal = test.Open(7);
  CHECK(test.contents.batches.size() == 1);
}

// Guards against results that a former leader appends after its successor has
// read the journal: they would change the order of results already reported.
TEST_CASE("appends of a former leader are refused, even if delayed")
{
  journal_test test;
  auto old = test.Open(5);
  test.log.appendDelay = milliseconds(3'000);
  int durable = 0;
  old->Append({ { EndKey("x"), "1" } }, [&] { ++durable; });
  test.loop.Advance(milliseconds(50));
  test.log.appendDelay = {};
  auto journal = test.Open(6);
  test.loop.Advance(milliseconds(5'000));
  CHECK(durable == 0);
  CHECK(test.fenced == 1);
  auto next = test.Open(7);
  CHECK(test.contents.ended.empty());
}

// Guards against duplicate or lost records when the store's responses are lost
// or delayed.
TEST_CASE("appends without a response are applied exactly once, in order")
{
  CHECK(CheckHistories("appends", 300, [](std::uint64_t aSeed) {
    std::mt19937_64 random(aSeed);
    journal_test test;
    auto journal = test.Open(5);
    std::vector<int> durable;
    for (int index = 0; index < 40; ++index) {
      test.log.loseResponses = random() % 3 == 0;
      test.log.down = random() % 4 == 0;
      test.log.appendDelay =
        milliseconds(random() % 5 == 0 ? random() % 900 : 0);
      journal->Append(
        { { ResultKey("b", static_cast<std::size_t>(index)), "v" } },
        [&durable, index] { durable.push_back(index); });
      test.loop.Advance(milliseconds(random() % 120));
    }
    test.log.loseResponses = test.log.down = false;
    test.log.appendDelay = {};
    test.loop.Advance(std::chrono::seconds(5));
    RC_ASSERT(durable.size() == 40U);
    RC_ASSERT(std::is_sorted(durable.begin(), durable.end()));
    std::vector<std::string> keys;
    for (const log_record& record : test.store.At(kWhere).records) {
      keys.push_back(record.key);
    }
    RC_ASSERT(keys.size() == 40U);
    RC_ASSERT(std::is_sorted(keys.begin(), keys.end()));
    RC_ASSERT(test.fenced == 0);
  }));
}
