#include "arbutusferry/environment.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/settings.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;

// Guards against examples that operators copy and that no longer validate.
TEST_CASE("The examples are valid")
{
  const std::string directory = ARBUTUSFERRY_EXAMPLES_DIR;
  for (const char* name : { "trust", "boothshare" }) {
    CAPTURE(name);
    const std::string file = directory + "/" + name + ".json";
    const auto read = Capture([&]() -> result<environment_document> {
      BOOST_LEAF_AUTO(text, ReadTextFile(file));
      BOOST_LEAF_AUTO(value, ParseJson(text, file));
      return ReadEnvironment(value, file);
    });
    REQUIRE(read.index() == 0);
    CHECK(std::get<0>(read).environment == name);
    CHECK(std::get<0>(read).teams.size() == 8);
  }
  CHECK(LoadEntrySettings(directory + "/entry.json").value().vm == "vm1");
  const auto control =
    LoadControlSettings(directory + "/control.json").value().timing;
  CHECK(control.lease == control_timing{}.lease);
  CHECK(control.checkpointInterval == control_timing{}.checkpointInterval);
}
