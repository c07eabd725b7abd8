#include "arbutusferry/node/batch_table.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };

batch_request
Request(const std::string& aId,
        const std::vector<std::string>& aItems,
        std::int64_t aMinimum)
{
  batch_request request;
  request.id = aId;
  request.team = "acme";
  request.minimumVersion = aMinimum;
  for (const std::string& item : aItems) {
    request.items.push_back({ item, "/p", {}, "body", 0, item.substr(0, 1) });
  }
  return request;
}

batch_result
Result(std::size_t aItem)
{
  batch_result result;
  result.item = aItem;
  result.text = "t";
  return result;
}

} // namespace

TEST_CASE("a group is complete when all of its items have results")
{
  batch entry(Request("b", { "a1", "a2", "c1" }, 1), false);
  entry.CommitResult(Result(0));
  CHECK(entry.CompleteGroups() == 0);
  CHECK(entry.UncommittedItems("a") == 1);
  entry.CommitResult(Result(2));
  CHECK(entry.CompleteGroups() == 1);
  entry.CommitResult(Result(1));
  CHECK(entry.CompleteGroups() == 2);
  CHECK(entry.Complete());
  CHECK(entry.Results()[1].item == 2);
}

// Guards against results whose text must be read from the journal although no
// record holds it.
TEST_CASE("only texts that have a record are released")
{
  batch entry(Request("b", { "a1", "a2", "a3" }, 1), true);
  batch_result empty = Result(0);
  empty.text.clear();
  entry.CommitResult(empty);
  CHECK_FALSE(entry.HoldsTexts());
  entry.CommitResult(Result(1));
  batch_result unread = Result(2);
  unread.text.clear();
  unread.loaded = false;
  entry.CommitResult(unread);
  CHECK(entry.HoldsTexts());
  entry.ReleaseTexts();
  CHECK_FALSE(entry.HoldsTexts());
  CHECK(entry.Results()[0].loaded);
  CHECK_FALSE(entry.Results()[1].loaded);
  CHECK_FALSE(entry.Results()[2].loaded);
  entry.SetText(2, "t");
  CHECK(entry.HoldsTexts());
}

TEST_CASE("missing items are those of the groups nearest to completion")
{
  batch_request request =
    Request("b", { "a1", "a2", "a3", "c1", "c2", "d1", "d2", "d3" }, 1);
  request.neededGroups = 2;
  batch entry(request, false);
  CHECK(entry.MissingItems() == 5);
  entry.CommitResult(Result(0));
  entry.CommitResult(Result(1));
  CHECK(entry.MissingItems() == 3);
  entry.CommitResult(Result(3));
  entry.CommitResult(Result(4));
  CHECK(entry.MissingItems() == 1);
  entry.CommitResult(Result(2));
  CHECK(entry.MissingItems() == 0);
  // A resubmitted group is always needed.
  entry.Items()[5].carried = true;
  CHECK(entry.MissingItems() == 3);
}

TEST_CASE("unfinished items resume from kept progress in the next batch")
{
  batch_table table;
  batch& first = table.Add(Request("b1", { "a1", "a2" }, 1));
  first.Items()[0].progress = { { "e1", "e2" }, { 2, 3 } };
  first.Items()[1].progress = { { "e1" }, { 1 } };
  table.End(first, kStart);
  CHECK(first.Ended());
  batch& second = table.Add(Request("b2", { "a1", "a2", "n" }, 2));
  CHECK(second.Items()[0].carried);
  CHECK(second.Items()[0].progress.events.size() == 2);
  // Its event is older than the minimum version of the new batch.
  CHECK(second.Items()[1].carried);
  CHECK(second.Items()[1].progress.events.empty());
  CHECK_FALSE(second.Items()[2].carried);
}

TEST_CASE("kept progress expires after its retention time")
{
  batch_table table;
  batch& first = table.Add(Request("b1", { "a1" }, 1));
  first.Items()[0].progress = { { "e1" }, { 2 } };
  table.End(first, kStart);
  table.ExpireProgress(kStart + std::chrono::seconds(31));
  CHECK_FALSE(table.Add(Request("b2", { "a1" }, 1)).Items()[0].carried);
}

TEST_CASE("progress reports the weight versions of its events")
{
  item_progress progress{ { "a", "b", "c" }, { 4, 5, 5 } };
  CHECK(progress.Text() == "a\nb\nc");
  CHECK(progress.DistinctVersions() == std::vector<std::int64_t>{ 4, 5 });
  CHECK(progress.MeetsMinimumVersion(4));
  CHECK_FALSE(progress.MeetsMinimumVersion(5));
}

TEST_CASE("an event stream is parsed from chunks of any size")
{
  const std::string text = "id: 1\ndata: one\n\nweights: 7\nid: 2\n"
                           "data: two\ndata: more\r\n\n: comment\n\nid: 3\n";
  for (std::size_t size = 1; size < text.size(); ++size) {
    event_stream_parser stream;
    std::vector<event_stream_parser::event> events;
    for (std::size_t at = 0; at < text.size(); at += size) {
      for (auto& event : stream.Feed(std::string_view(text).substr(at, size))) {
        events.push_back(std::move(event));
      }
    }
    REQUIRE(events.size() == 2);
    CHECK(events[0].id == 1);
    CHECK(events[0].data == "one");
    CHECK(events[1].data == "two\nmore");
    CHECK(events[1].otherLines == std::vector<std::string>{ "weights: 7" });
    // The third event is incomplete.
    CHECK_FALSE(stream.AtBoundary());
  }
}
