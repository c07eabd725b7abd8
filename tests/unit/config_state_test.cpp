#include "arbutusferry/config_state.hpp"
#include "arbutusferry/hash.hpp"
#include "arbutusferry/message_json.hpp"
#include "support/sample_environment.hpp"

#include <catch2/catch.hpp>
#include <random>

using namespace arbutusferry;

namespace {

raw_log_record
Raw(log_offset aOffset, const log_record& aRecord, std::string aId = "")
{
  return { aOffset, std::move(aId), WriteLogRecord(aRecord) };
}

environment_applied
Applied(stage aStage, log_offset aBase, double aShare = 2)
{
  environment_document document = SampleEnvironment();
  document.teams[0].share = aShare;
  return { aStage, aBase, document };
}

key_granted
Granted(const std::string& aId, const std::string& aTeam = "north")
{
  return { "trust", stage::Production, aTeam, aId, "s", Sha256Hex(aId) };
}

/// A log of random records, many with a stale base revision.
std::vector<raw_log_record>
RandomLog(std::mt19937_64& aRandom, std::size_t aCount)
{
  const auto pick = [&](std::uint64_t aBound) {
    return static_cast<std::int64_t>(aRandom() % aBound);
  };
  std::vector<raw_log_record> log;
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto recordStage = pick(2) == 0 ? stage::Trial : stage::Production;
    const log_offset base = pick(4) - 1;
    const std::string key = "k" + std::to_string(pick(4));
    log_record record;
    switch (pick(7)) {
      case 0:
      case 1:
        record = Applied(recordStage, base, 1.0 + static_cast<double>(pick(3)));
        break;
      case 2:
        record = environment_promoted{
          "trust",
          base,
          EnvironmentHash(
            Applied(recordStage, 0, 1.0 + static_cast<double>(pick(3)))
              .document)
        };
        break;
      case 3:
        record = Granted(key);
        break;
      case 4:
        record = key_withdrawn{ "trust", stage::Production, key };
        break;
      case 5:
        record = weights_published{ "trust", recordStage, "slips", pick(9) };
        break;
      default:
        record = lease_claimed{ "usage", "vm", base };
    }
    log.push_back(Raw(static_cast<log_offset>(i), record, std::to_string(i)));
  }
  return log;
}

} // namespace

// Guards against fields that are lost or renamed between writer and reader.
TEST_CASE("Log records round-trip through JSON")
{
  Json::Value state(Json::objectValue);
  state["x"] = 1;
  const std::vector<log_record> records = {
    Applied(stage::Trial, 4),
    environment_promoted{ "trust", -1, Sha256Hex("x") },
    Granted("k"),
    key_withdrawn{ "trust", stage::Trial, "k" },
    weights_published{ "trust", stage::Trial, "slips", 9 },
    lease_claimed{ "orders/a", "vm", -1 },
    lease_renewed{ "orders/a", "vm", 3 },
    lease_released{ "orders/a", "vm", 5 },
    order_intent{
      { "a", "o1", 7, { { "c", target_pool::Reclaimable, 2 } }, { "t" } } },
    usage_batch{ "a", { { "north", 60, "i", 1, 2, 3 } } },
    usage_closed{
      { 60, 8, { { "north", 1, 2, 3, -1 }, { "south", 1, 2, 3, 0 } } } },
    checkpoint{ 9, state },
  };
  for (const log_record& record : records) {
    const Json::Value value = WriteLogRecord(record);
    const auto text = ParseJson(WriteJson(value), "x").value();
    const auto again = ReadLogRecord(text).value();
    REQUIRE(again);
    CHECK(again->index() == record.index());
    CHECK(WriteLogRecord(*again) == value);
    Json::Value wrong = value;
    wrong["extra"] = 1;
    CHECK_FALSE(ReadLogRecord(wrong));
    for (const std::string& field : value.getMemberNames()) {
      wrong = value;
      wrong[field] = Json::Value(true);
      CAPTURE(field);
      CHECK_FALSE(ReadLogRecord(wrong));
    }
  }
  Json::Value unknown(Json::objectValue);
  unknown["type"] = "from_the_future";
  CHECK_FALSE(ReadLogRecord(unknown).value());
}

// Guards against two operators who both believe their change is in force.
TEST_CASE("A change with a stale base revision is void")
{
  config_state state;
  CHECK(state.Apply(Raw(0, Applied(stage::Trial, -1), "a")) ==
        fold_outcome::InForce);
  CHECK(state.Apply(Raw(1, Applied(stage::Trial, 0, 3), "b")) ==
        fold_outcome::InForce);
  CHECK(state.Apply(Raw(2, Applied(stage::Trial, 0, 4), "c")) ==
        fold_outcome::Void);
  CHECK(state.Find("trust", stage::Trial)->revision == 1);
  const std::string hash =
    EnvironmentHash(*state.Find("trust", stage::Trial)->document);
  CHECK(
    state.Apply(Raw(3, environment_promoted{ "trust", -1, Sha256Hex("") })) ==
    fold_outcome::Void);
  CHECK(state.Find("trust", stage::Production) == nullptr);
  CHECK(state.Apply(Raw(4, environment_promoted{ "trust", -1, hash })) ==
        fold_outcome::InForce);
  CHECK(state.Find("trust", stage::Production)->revision == 4);
  CHECK(state.FindRecord("c")->second == fold_outcome::Void);
  CHECK(state.FindRecord("b")->first == 1);
  CHECK_FALSE(state.FindRecord("d"));
  Json::Value broken(Json::objectValue);
  broken["type"] = "key_granted";
  CHECK(state.Apply({ 5, "e", broken }) == fold_outcome::Void);
  CHECK(state.VoidCount() == 3);
}

// Guards against a withdrawn key that works again after a duplicate grant, and
// against a withdrawal of a misspelt key that is reported as in force.
TEST_CASE("A withdrawn key is never reactivated")
{
  config_state state;
  state.Apply(Raw(0, Applied(stage::Production, -1)));
  const key_withdrawn withdrawal{ "trust", stage::Production, "k" };
  CHECK(state.Apply(Raw(1, withdrawal)) == fold_outcome::Void);
  CHECK(state.Apply(Raw(2, Granted("k"))) == fold_outcome::InForce);
  CHECK(state.Apply(Raw(3, Granted("k"))) == fold_outcome::Void);
  CHECK(state.Apply(Raw(4, withdrawal)) == fold_outcome::InForce);
  CHECK(state.Apply(Raw(5, Granted("k"))) == fold_outcome::Void);
  CHECK(state.Find("trust", stage::Production)->keys.at("k").withdrawn);
  CHECK(state.Apply(Raw(6, Granted("l", "nobody"))) == fold_outcome::Void);
}

// Guards against state that depends on duplicates, late records, or on where a
// process started to read.
TEST_CASE("Replays, checkpoints and saved states give the same state")
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto log = RandomLog(random, 60);
    config_state straight;
    config_state disturbed;
    log_offset highest = kNoOffset;
    for (const auto& record : log) {
      straight.Apply(record);
      disturbed.Apply(record);
      disturbed.Apply(
        log[random() % log.size()].offset <= record.offset
          ? log[random() % static_cast<std::size_t>(record.offset + 1)]
          : record);
      CHECK(disturbed.Offset() > highest);
      highest = disturbed.Offset();
    }
    CHECK(disturbed.Save() == straight.Save());

    const std::size_t cut = random() % (log.size() - 1);
    config_state prefix;
    for (std::size_t i = 0; i <= cut; ++i) {
      prefix.Apply(log[i]);
    }
    config_state late;
    const auto through = static_cast<log_offset>(cut);
    const auto saved = ParseJson(WriteJson(prefix.Save()), "x").value();
    const auto raw = Raw(1000, checkpoint{ through, saved });
    late.Apply(raw);
    CHECK(late.Offset() == through);
    for (const auto& record : log) {
      late.Apply(record);
    }
    CHECK(late.Save() == straight.Save());
    REQUIRE(late.Restore(saved));
    CHECK(late.Save() == straight.Save());
    late.Apply(raw);
    CHECK(late.Offset() == 1000);
  }
}

// Guards against sync messages that lose a field.
TEST_CASE("Sync messages round-trip through JSON")
{
  node_sync_request request;
  request.entry = { "i1", "a", "127.0.0.1:1", true, { "i0" } };
  request.offset = 7;
  request.demand = { { "north", "sampler", 3, 4, 5.5 } };
  request.usage = { { "north", 60, "i1", 1, 2, 3 } };
  request.inFlight = { { "t1", 2 } };
  request.grantRound = 9;
  const Json::Value first = WriteNodeSyncRequest(request);
  CHECK(WriteNodeSyncRequest(ReadNodeSyncRequest(first, "p").value()) == first);

  node_sync_response response;
  response.state = config_state().Save();
  response.records = { Raw(8, Granted("k"), "r") };
  response.viewAgeMs = 12;
  response.hasGrants = true;
  response.grants = { { "t1", 3 } };
  response.grantRound = 9;
  response.teamGrants = { { "north", "sampler", 1.5 } };
  response.entries = { request.entry };
  response.targets.resize(1);
  response.targets[0].id = "t1";
  response.targets[0].zone = "a";
  response.targets[0].targetClass = "sampler";
  response.targets[0].pool = target_pool::Reclaimable;
  response.targets[0].weightVersion = 5;
  Json::Value second = WriteNodeSyncResponse(response);
  CHECK(WriteNodeSyncResponse(ReadNodeSyncResponse(second, "p").value()) ==
        second);
  second["from_a_newer_version"] = 1;
  CHECK(ReadNodeSyncResponse(second, "p"));
  second["targets"][0]["pool"] = "x";
  CHECK_FALSE(ReadNodeSyncResponse(second, "p"));
}
