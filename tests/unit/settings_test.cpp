#include "arbutusferry/address.hpp"
#include "arbutusferry/settings.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;

namespace {

constexpr const char* kEntry = R"({"vm": "vm1", "zone": "a", // zone
  "environment": "trust", "listen": "127.0.0.1:0",
  "control": ["127.0.0.1:70", "[::1]:71"], "limits": {"max_connections": 9}})";
constexpr const char* kControl = R"({"vm": "vm1", "zone": "a",
  "environment": "trust", "listen": "127.0.0.1:0", "platform": "127.0.0.1:80",
  "timing": {"lease_ms": 900, "guard_ms": 200, "renew_ms": 300},
  "log_level": "debug"})";

std::string
Replace(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const std::size_t at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

template<typename Read>
std::string
Problem(Read aRead, const std::string& aText)
{
  const auto outcome = Capture([&] { return aRead(aText, "f.json"); });
  if (outcome.index() == 0) {
    return "";
  }
  CHECK(std::get<1>(outcome).code == error_code::InvalidSettings);
  CHECK(std::get<1>(outcome).peer == "f.json");
  return std::get<1>(outcome).message;
}

} // namespace

// Guards against daemons that start with misread settings.
TEST_CASE("Settings are checked and errors name the field")
{
  const auto entry = ReadEntrySettings(kEntry, "f.json").value();
  CHECK(entry.control.size() == 2);
  CHECK(entry.limits.maxConnections == 9);
  CHECK(entry.limits.maxQueuePerTeam == 4096);
  const auto control = ReadControlSettings(kControl, "f.json").value();
  CHECK(control.timing.lease == std::chrono::milliseconds(900));
  CHECK(control.timing.stale == std::chrono::milliseconds(4000));
  CHECK(control.logLevel == log_level::Debug);

  const std::pair<const char*, const char*> entryCases[] = {
    { "127.0.0.1:0", "localhost:0" },  { "127.0.0.1:70", "127.0.0.1:0" },
    { "max_connections", "max_conn" }, { "\"vm1\"", "\"vm/1\"" },
    { "\"zone\": \"a\",", "" },        { "9}}", "9}} x" },
  };
  for (const auto& [from, to] : entryCases) {
    CAPTURE(from, to);
    CHECK(!Problem(ReadEntrySettings, Replace(kEntry, from, to)).empty());
  }
  CHECK_THAT(Problem(ReadControlSettings, Replace(kControl, "300", "700")),
             Catch::Contains("\"timing.lease_ms\""));
  CHECK_THAT(Problem(ReadControlSettings, Replace(kControl, "debug", "x")),
             Catch::Contains("\"log_level\": expected one of debug"));
  const auto missing =
    Capture([] { return LoadEntrySettings("/nonexistent/f.json"); });
  CHECK(std::get<1>(missing).peer == "/nonexistent/f.json");
}

// Guards against host names or bad ports that would fail only at connect.
TEST_CASE("Addresses are IP and port")
{
  CHECK(ParseAddress("10.0.0.1:80") == socket_address{ "10.0.0.1", 80 });
  CHECK(FormatAddress(*ParseAddress("[::1]:80")) == "[::1]:80");
  for (const char* text : { "",
                            ":",
                            "1.2.3.4",
                            "1.2.3.4:",
                            "1.2.3.4:70000",
                            "1.2.3.4:-1",
                            "1.2.3.4:8x",
                            "::1:80",
                            "host:80" }) {
    CAPTURE(text);
    CHECK_FALSE(ParseAddress(text));
  }
}
