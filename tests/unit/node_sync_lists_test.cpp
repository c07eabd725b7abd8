#include "arbutusferry/node_sync.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;

// Guards against an entry whose lists differ from those of its control process
// after an answer that carries only changed loads.
TEST_CASE("Answers with only changed loads keep the lists of an entry")
{
  node_sync_lists lists;
  node_sync_response whole;
  whole.listsVersion = "one";
  whole.targets.resize(2);
  whole.targets[0].id = "x";
  whole.targets[1].id = "y";
  whole.entries.resize(1);
  lists.Complete(whole);
  CHECK(lists.Version() == "one");
  node_sync_response changes;
  changes.listsVersion = "two";
  changes.hasLists = false;
  changes.loads = { { "y", 3, 4, 5 }, { "gone", 1, 1, 1 } };
  auto read =
    ReadNodeSyncResponse(WriteNodeSyncResponse(changes), "control").value();
  lists.Complete(read);
  CHECK(lists.Version() == "two");
  REQUIRE(read.targets.size() == 2);
  CHECK(read.targets[1].weightVersion == 5);
  CHECK(read.targets[0].weightVersion == -1);
  CHECK(read.entries.size() == 1);
}
