#include "arbutusferry/node/target_view.hpp"

#include "http_protocols.hpp"
#include "support/node_fakes.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;
using namespace arbutusferry::node;
using std::chrono::milliseconds;

namespace {

target_entry
Target(std::int64_t aBornUnixMs = 1)
{
  target_entry entry;
  entry.id = "t0";
  entry.service = "desk";
  entry.address = { "10.0.0.1", 80 };
  entry.bornUnixMs = aBornUnixMs;
  return entry;
}

} // namespace

// Guards against a limit that is read from malformed text, or lost by it.
TEST_CASE("a response's limit is a decimal number of requests a second")
{
  const platform::http_target_protocol protocol;
  const auto read = [&](const char* aText) {
    return protocol.ReadLimit({ { "server-limit", aText } });
  };
  CHECK_FALSE(protocol.ReadLimit({}).present);
  CHECK(read("2.5").perSecond == 2.5);
  CHECK(read("0").perSecond == 0.0);
  for (const char* text : { "", "-1", "nan", "inf", "2,5", "3/s", "1e3" }) {
    CAPTURE(text);
    CHECK(read(text).present);
    CHECK_FALSE(read(text).perSecond);
  }
}

// Guards against a limit that outlasts the target's need, and against one that
// a late, unreadable or failed response ends too early.
TEST_CASE("a limit holds until a later request's response names none")
{
  target_view targets;
  time_point now{ std::chrono::hours(1) };
  targets.Update(Target(), now);
  const target_limit& known = targets.Find("t0")->limit;
  targets.NoteLimit("t0", { true, 2.0 }, true, now, now + milliseconds(10));
  REQUIRE(known.Named());
  CHECK(known.Named()->perSecond == 2.0);

  targets.NoteLimit("t0", {}, true, now, now + milliseconds(20));
  CHECK(known.Named()); // Sent before the limit was named.
  now += milliseconds(30);
  targets.NoteLimit("t0", {}, false, now, now);
  CHECK(known.Named()); // Not run, or failed.
  targets.NoteLimit("t0", { true, std::nullopt }, true, now, now);
  CHECK(known.Named()); // Unreadable.
  targets.NoteLimit("t0", {}, true, now, now);
  CHECK_FALSE(known.Named());

  targets.NoteLimit("t0", { true, 1.0 }, true, now, now);
  targets.Update(Target(2), now);
  CHECK_FALSE(known.Named()); // A new process under the same id.
}
