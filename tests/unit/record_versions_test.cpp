#include "arbutusferry/node/batch_journal.hpp"
#include "arbutusferry/node/crash_ledger.hpp"
#include "arbutusferry/node/leader_election.hpp"
#include "arbutusferry/node/node_directory.hpp"
#include "arbutusferry/node/usage_windows.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry::node;

// While nodes are replaced one after the other, builds of two versions read
// each other's records. The texts below are as commit 9d3428a wrote them; they
// must not be changed when the encoding is.

TEST_CASE("records of the version before are read")
{
  const auto batch = DecodeBatch(
    R"({"host":"h.example","id":"b1","items":[{"body":"_v4","group":"g1",)"
    R"("headers":["X-One","1"],"hint":50,"id":"b1-0","path":"/p",)"
    R"("tokens":100}],"minimum_version":2,"model":"m","route":"r","step":3,)"
    R"("submitted_unix_ms":1700000000123,"target_groups":1,)"
    R"("tenant":"acme"})");
  REQUIRE(batch);
  CHECK(batch->team == "acme");
  REQUIRE(batch->items.size() == 1);
  CHECK(batch->items[0].body == "\xfe\xfe");
  CHECK_FALSE(batch->items[0].reward);

  const auto result =
    DecodeResult(R"({"errored":false,"item":2,"versions":[4,5]})");
  REQUIRE(result);
  CHECK(result->item == 2);
  CHECK(result->score.empty());

  const auto progress = DecodeProgress(
    R"({"events":["a","b"],"relay":"10.0.0.1:80","resumed-after":1,)"
    R"("run":"7-1","sampler":"s1","software":"v1","versions":[1,2]})");
  REQUIRE(progress);
  CHECK(progress->events.size() == 2);
  REQUIRE(progress->location);
  CHECK(progress->location->resumedAfter == 1);
  CHECK_FALSE(progress->complete);
  CHECK(progress->rewardErrors == 0);

  const auto leader =
    DecodeLeader(R"({"address":"10.0.0.1:80","fence":7,"holder":"vm1/a",)"
                 R"("released":false,"vm":"vm1","zone":"z"})");
  REQUIRE(leader);
  CHECK(leader->fence == 7);

  const auto node = DecodeNode(
    R"({"address":"10.0.0.1:80","instance":"vm1/a","vm":"vm1","zone":"z"})");
  REQUIRE(node);
  CHECK(node->zone == "z");

  const auto usage = DecodeUsage(R"({"353445120":{"acme":3}})");
  REQUIRE(usage);
  CHECK(usage->at(353445120).at("acme") == 3);
  CHECK(DecodeCounts(R"({"acme":3})")->at("acme") == 3);

  const auto crash = DecodeCrash(
    R"({"born":5,"fingerprint":"f","served_before":true,"target":"t"})");
  REQUIRE(crash);
  CHECK(crash->servedBefore);
}

// A later version may add fields; this one ignores them.
TEST_CASE("fields of a later version are ignored")
{
  CHECK(DecodeBatch(R"({"id":"b1","items":[{"id":"i","new":[1]}],"new":{}})"));
  CHECK(DecodeResult(R"({"errored":false,"item":2,"versions":[4],"new":1})"));
  CHECK(DecodeProgress(R"({"events":["a"],"versions":[1],"new":null})"));
  CHECK(DecodeLeader(R"({"address":"10.0.0.1:80","fence":7,"holder":"vm1/a",)"
                     R"("released":false,"vm":"vm1","zone":"z","new":"x"})"));
  CHECK(DecodeNode(R"({"address":"10.0.0.1:80","instance":"vm1/a","vm":"vm1",)"
                   R"("zone":"z","new":2})"));
  CHECK(DecodeCrash(R"({"born":5,"fingerprint":"f","served_before":true,)"
                    R"("target":"t","new":[]})"));
}

// Guards against a record of another writer that ends the process.
TEST_CASE("records with fields of other types are rejected")
{
  for (const char* text : { "[]",
                            "7",
                            "{",
                            R"({"id":["b"],"items":[]})",
                            R"({"id":"b","items":["x"]})",
                            R"({"id":"b","items":[{"id":{}}]})",
                            R"({"id":"b","items":[],"step":"x"})" }) {
    INFO(text);
    CHECK_FALSE(DecodeBatch(text));
  }
  for (const char* text : { R"({"errored":{},"item":2,"versions":[4]})",
                            R"({"errored":false,"item":-1,"versions":[]})",
                            R"({"errored":false,"item":1,"versions":["x"]})",
                            R"({"errored":false,"item":1,"versions":[],)"
                            R"("score":{}})" }) {
    INFO(text);
    CHECK_FALSE(DecodeResult(text));
  }
  for (const char* text : { R"({"events":[{}],"versions":[1]})",
                            R"({"events":["a"],"versions":["x"]})",
                            R"({"events":["a"],"versions":[1],"relay":{}})",
                            R"({"events":["a"],"versions":[1],)"
                            R"("complete":[]})" }) {
    INFO(text);
    CHECK_FALSE(DecodeProgress(text));
  }
  CHECK_FALSE(DecodeNode(R"({"address":{},"vm":"vm1","zone":"z"})"));
  CHECK_FALSE(DecodeNode(R"({"address":"10.0.0.1:80","vm":[],"zone":"z"})"));
}
