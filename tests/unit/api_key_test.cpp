#include "arbutusferry/api_key.hpp"
#include "support/sample_environment.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;

// Guards against a key that works for another team, with a wrong secret, or
// after it was withdrawn.
TEST_CASE("Keys are accepted only for their team and while in force")
{
  const generated_key north = GenerateKey();
  const generated_key south = GenerateKey();
  CHECK(north.text != south.text);
  stage_config config;
  config.document = SampleEnvironment();
  config.keys[north.keyId] = { "north", north.salt, north.hash, false };
  config.keys[south.keyId] = { "south", south.salt, south.hash, false };

  const auto owner = std::get<key_owner>(CheckKey(config, north.text));
  CHECK(owner.team == "north");
  CHECK(owner.keyId == north.keyId);
  CHECK_FALSE(RecheckKey(config, owner));

  const auto refusal = [&](const std::string& aText) {
    const auto outcome = CheckKey(config, aText);
    REQUIRE(outcome.index() == 1);
    const std::string text(DescribeRefusal(std::get<1>(outcome)));
    CHECK(text.find(north.keyId) == std::string::npos);
    return std::get<1>(outcome);
  };
  CHECK(refusal("") == key_refusal::Missing);
  for (const char* text : { "x", "af_", "af__x", "af_x_", "af_x", "AF_x_y" }) {
    CHECK(refusal(text) == key_refusal::Malformed);
  }
  CHECK(refusal(std::string(10'000, 'a')) == key_refusal::Malformed);
  CHECK(refusal("af_0000_0000") == key_refusal::Unknown);
  const auto secret = std::string(ParseKey(south.text)->secret);
  CHECK(refusal("af_" + north.keyId + "_" + secret) == key_refusal::Unknown);
  CHECK(refusal(north.text + "0") == key_refusal::Unknown);

  config.keys[north.keyId] = { "north", "", "", true };
  CHECK(refusal(north.text) == key_refusal::Withdrawn);
  CHECK(RecheckKey(config, owner) == key_refusal::Withdrawn);
  config.document->teams.erase(config.document->teams.begin() + 1);
  CHECK(refusal(south.text) == key_refusal::TeamRemoved);
}
