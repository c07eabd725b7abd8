#include "arbutusferry/hash.hpp"
#include "arbutusferry/permit.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <random>

using namespace arbutusferry;
using namespace std::chrono_literals;

namespace {

constexpr time_point kStart{ 1000s };

stored_answer
MakeAnswer(const std::string& aBody, outcome aOutcome = outcome::Answered)
{
  return { aOutcome, 200, "text/plain", { { "ETag", "e" } }, aBody };
}

permit_table
MakeTable(const std::string& aInstance, permit_limits aLimits = {})
{
  return permit_table(aInstance, "secret of " + aInstance, aLimits);
}

std::string
IssueOne(permit_table& aTable, time_point aNow = kStart)
{
  return aTable.Issue(1, "u", aNow).value().front();
}

} // namespace

// Guards against a request that runs twice or gets another request's answer.
TEST_CASE("A permit runs once, repeats wait and then get the stored answer")
{
  permit_table table = MakeTable("i1");
  const std::string permit = IssueOne(table);
  CHECK(permit_table::IssuerOf(permit) == "i1");
  const auto claim = [&](const std::string& aHash, const char* aUser = "u") {
    return table.Claim(permit, aUser, aHash, kStart);
  };
  CHECK(claim("h", "other").action == permit_action::OwnerMismatch);
  CHECK(claim("h").action == permit_action::Run);
  CHECK(claim("h").action == permit_action::Wait);
  CHECK(claim("h2").action == permit_action::RequestMismatch);
  table.Finish(permit, MakeAnswer("done"), kStart);
  const auto repeat = claim("h");
  REQUIRE(repeat.action == permit_action::Replay);
  CHECK(repeat.answer->body == "done");
  CHECK(claim("h2").action == permit_action::RequestMismatch);
  CHECK(claim("h", "other").action == permit_action::OwnerMismatch);
  table.Finish(permit, MakeAnswer("second"), kStart);
  CHECK(claim("h").answer->body == "done");
}

// Guards against a permit that stays blocked although nothing was sent.
TEST_CASE("A released permit runs again, for the same request only")
{
  permit_table table = MakeTable("i1");
  const std::string permit = IssueOne(table);
  CHECK(table.Claim(permit, "u", "h", kStart).action == permit_action::Run);
  table.Release(permit);
  CHECK(table.Claim(permit, "u", "x", kStart).action ==
        permit_action::RequestMismatch);
  CHECK(table.Claim(permit, "u", "h", kStart, false).action ==
        permit_action::Full);
  CHECK(table.Claim(permit, "u", "h", kStart).action == permit_action::Run);
}

// Guards against forged permits and against running a permit whose state was
// dropped.
TEST_CASE("Forged, foreign and expired permits never run")
{
  permit_table table = MakeTable("i1");
  permit_table other = MakeTable("i2");
  const std::string permit = IssueOne(table);
  const auto action = [&](const std::string& aPermit, time_point aNow) {
    return table.Claim(aPermit, "u", "h", aNow).action;
  };
  CHECK(action(IssueOne(other), kStart) == permit_action::Foreign);
  for (std::size_t i = 3; i < permit.size(); ++i) {
    std::string forged = permit;
    forged[i] = forged[i] == '0' ? '1' : '0';
    CHECK(action(forged, kStart) == permit_action::Forged);
  }
  for (const char* text : { "", ".", "..", "i1..", "i1.00.00" }) {
    CHECK(action(text, kStart) == permit_action::Forged);
  }
  CHECK(action(permit, kStart + 10min) == permit_action::Expired);
  CHECK(table.Size() == 0);
}

// Guards against unbounded memory use and against answers dropped too early.
TEST_CASE("Limits stop the issue of permits but never shorten retention")
{
  permit_limits limits;
  limits.maxPermits = 3;
  limits.maxAnswerBytes = 2000;
  permit_table table = MakeTable("i1", limits);
  const auto permits = table.Issue(3, "u", kStart).value();
  const auto more = [&](time_point aNow) {
    return Capture([&] { return table.Issue(1, "u", aNow); }).index() == 0;
  };
  CHECK_FALSE(more(kStart));
  // A running permit outlives its retention, and its answer is kept in full.
  CHECK(table.Claim(permits[0], "u", "h", kStart).action == permit_action::Run);
  CHECK(table.Claim(permits[1], "u", "h", kStart).action == permit_action::Run);
  table.Expire(kStart + 11min);
  CHECK(table.Size() == 2);
  const time_point answered = kStart + 12min;
  table.Finish(permits[0], MakeAnswer(std::string(3000, 'a')), answered);
  CHECK_FALSE(more(answered));
  table.Release(permits[1]);
  CHECK(table.Claim(permits[1], "u", "h", answered).action ==
        permit_action::Full);
  CHECK(table.Claim(permits[0], "u", "h", answered + 10min - 1ns).action ==
        permit_action::Replay);
  CHECK(table.Claim(permits[0], "u", "h", answered + 10min).action ==
        permit_action::Expired);
  CHECK(table.AnswerBytes() == 0);
  CHECK(more(answered + 10min));
}

// Guards against a handover after which two entries run a permit or none knows
// its answer.
TEST_CASE("A handover transfers every permit state, also across two entries")
{
  permit_table first = MakeTable("i1");
  const auto permits = first.Issue(3, "u", kStart).value();
  (void)first.Claim(permits[0], "u", "h", kStart);
  first.Finish(permits[0], MakeAnswer(std::string("\0\xff", 2)), kStart);
  (void)first.Claim(permits[1], "u", "h", kStart);
  permit_table second = MakeTable("i2");
  permit_table third = MakeTable("i3");
  const Json::Value table = first.Export(kStart + 1min, 1U << 20U).at(0);
  REQUIRE(second.Import(table, "p", kStart + 1min));
  const std::string own = IssueOne(second, kStart + 1min);
  REQUIRE(third.Import(
    second.Export(kStart + 2min, 1U << 20U).at(0), "p", kStart + 2min));
  CHECK(third.Adopted() == std::vector<std::string>{ "i1", "i2" });
  const auto claim = [&](const std::string& aPermit, const char* aHash) {
    return third.Claim(aPermit, "u", aHash, kStart + 2min);
  };
  CHECK(claim(permits[0], "h").answer->body == std::string("\0\xff", 2));
  CHECK(claim(permits[0], "x").action == permit_action::RequestMismatch);
  // It was running when its owner stopped: the outcome stays unknown.
  CHECK(claim(permits[1], "h").answer->result == outcome::Unknown);
  CHECK(claim(permits[2], "h").action == permit_action::Run);
  CHECK(claim(own, "h").action == permit_action::Run);
  // A repeated handover must not make a used permit unused.
  REQUIRE(third.Import(table, "p", kStart + 2min));
  CHECK(claim(permits[2], "h").action == permit_action::Wait);
  CHECK(third.Claim(permits[2], "u", "h", kStart + 10min).action ==
        permit_action::Wait);
}

// Guards against tables that are too long for one request, and against
// decisions based on an incomplete table.
TEST_CASE("A table in parts takes effect with its last part")
{
  permit_table first = MakeTable("i1");
  const auto permits = first.Issue(30, "u", kStart).value();
  for (std::size_t i = 0; i < 30; i += 2) {
    (void)first.Claim(permits[i], "u", "h", kStart);
    first.Finish(
      permits[i], MakeAnswer(std::string(i == 0 ? 5000 : 100, 'a')), kStart);
  }
  auto parts = first.Export(kStart, 3000);
  REQUIRE(parts.size() > 2);
  std::reverse(parts.begin(), parts.end());
  permit_table second = MakeTable("i2");
  const auto claim = [&](std::size_t aPermit) {
    return second.Claim(permits[aPermit], "u", "h", kStart);
  };
  for (const Json::Value& part : parts) {
    CHECK(claim(1).action == permit_action::Foreign);
    CHECK(second.Adopted().empty());
    REQUIRE(second.Import(part, "p", kStart));
    REQUIRE(second.Import(part, "p", kStart));
  }
  // Too large for a part: it ran, and its answer is lost.
  CHECK(claim(0).answer->result == outcome::Unknown);
  for (std::size_t i = 1; i < 30; ++i) {
    CHECK(claim(i).action ==
          (i % 2 == 0 ? permit_action::Replay : permit_action::Run));
  }
}

// Guards against the import of tables corrupted in transit.
TEST_CASE("A malformed handover changes nothing")
{
  permit_table first = MakeTable("i1");
  const std::string permit = IssueOne(first);
  const Json::Value good = first.Export(kStart, 1U << 20U).at(0);
  for (int change = 0; change < 6; ++change) {
    Json::Value bad = good;
    Json::Value& item = bad["permits"][0];
    if (change == 0) {
      bad["secrets"] = Json::Value(Json::objectValue);
    } else if (change == 1) {
      item["permit"] = "i9.1.2";
    } else if (change == 2) {
      item["left_ms"] = -1;
    } else if (change == 3) {
      item["answer"]["status"] = 200;
    } else if (change == 4) {
      bad["secrets"]["i2"] = "the receiver's own";
    } else {
      bad = Json::Value("text");
    }
    permit_table second = MakeTable("i2");
    CAPTURE(change);
    CHECK(Capture([&] { return second.Import(bad, "p", kStart); }).index() ==
          1);
    CHECK(second.Adopted().empty());
    CHECK(second.Claim(permit, "u", "h", kStart).action ==
          permit_action::Foreign);
  }
}

// Guards against orders that run twice. Callers retry until they get an answer,
// while answers are lost and entries stop and hand over their permits. The
// naive baseline runs every request that arrives (retry on any error).
TEST_CASE("Permits run each request at most once where retrying does not")
{
  constexpr unsigned kSeeds = 50;
  int naiveDuplicates = 0;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    std::vector<permit_table> entries;
    entries.push_back(MakeTable("i0"));
    const auto permits = entries[0].Issue(8, "u", kStart).value();
    std::map<std::string, int> runs;
    std::map<std::string, int> naiveRuns;
    std::set<std::string> open(permits.begin(), permits.end());
    std::set<std::string> running;
    time_point now = kStart;
    for (int event = 0; event < 300 && !open.empty(); ++event) {
      now += 100ms;
      const std::string& permit = permits[random() % permits.size()];
      permit_table& owner = entries.back();
      if (random() % 40 == 0) {
        entries.push_back(MakeTable("i" + std::to_string(entries.size())));
        REQUIRE(entries.back().Import(
          entries[entries.size() - 2].Export(now, 1U << 20U).at(0), "p", now));
        running.clear();
        continue;
      }
      const bool answerLost = random() % 2 == 0;
      if (open.count(permit) > 0) {
        ++naiveRuns[permit];
      }
      const auto decision = owner.Claim(permit, "u", "h" + permit, now);
      if (decision.action == permit_action::Run) {
        const int kind = static_cast<int>(random() % 3);
        if (kind == 0) {
          owner.Release(permit); // Nothing was sent.
          continue;
        }
        ++runs[permit];
        if (kind == 1) {
          running.insert(permit); // Ends later or with the entry.
          continue;
        }
        owner.Finish(permit, MakeAnswer(permit), now);
      } else if (decision.action == permit_action::Replay) {
        if (decision.answer->result == outcome::Answered) {
          REQUIRE(decision.answer->body == permit);
        }
      } else {
        REQUIRE(decision.action == permit_action::Wait);
        REQUIRE(running.erase(permit) == 1);
        owner.Finish(permit, MakeAnswer(permit), now);
        continue;
      }
      if (!answerLost) {
        open.erase(permit);
      }
    }
    for (const auto& [permit, count] : runs) {
      CHECK(count == 1);
    }
    for (const auto& [permit, count] : naiveRuns) {
      naiveDuplicates += count > 1 ? 1 : 0;
    }
  }
  std::cout << "retry on any error duplicated " << naiveDuplicates << " of "
            << kSeeds * 8 << " requests (seeds 0 to " << kSeeds - 1 << ")\n";
  CHECK(naiveDuplicates > 0);
}
