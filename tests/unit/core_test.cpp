#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"
#include "arbutusferry/rpc.hpp"
#include "arbutusferry/time.hpp"

#include <catch2/catch.hpp>

using namespace arbutusferry;

// Guards against settings that are silently misread.
TEST_CASE("JSON with comments is read strictly")
{
  const auto parse = [](const char* aText) {
    return Capture([&] { return ParseJson(aText, "settings.json"); });
  };
  REQUIRE(parse("{\"a\": 1 /* one */}").index() == 0);
  for (const char* text : { "{\"a\":1,\"a\":2}", "{} x", "{\"a\":NaN}", "{" }) {
    const auto outcome = parse(text);
    REQUIRE(outcome.index() == 1);
    CHECK(std::get<1>(outcome).peer == "settings.json");
  }
  const std::string deep(1000, '[');
  CHECK(parse(deep.c_str()).index() == 1);
}

// Guards against an error that does not say which field is wrong.
TEST_CASE("An error names the invalid field")
{
  const auto value =
    ParseJson(R"({"port": 70000, "prot": 1})", "s.json").value();
  const auto outcome = Capture([&]() -> result<void> {
    object_reader reader(value, "s.json");
    (void)reader.Integer("port", 1, 65535);
    return reader.Finish(error_code::InvalidSettings);
  });
  REQUIRE(outcome.index() == 1);
  CHECK(std::get<1>(outcome).message ==
        "field \"port\": expected an integer from 1 to 65535");
}

// Guards against a decoder that accepts text which no encoder produces.
TEST_CASE("Base64url round trip and bad input")
{
  for (std::size_t size = 0; size < 20; ++size) {
    const std::string data(size, '\xfe');
    CHECK(DecodeBase64Url(EncodeBase64Url(data)) == data);
  }
  CHECK_FALSE(DecodeBase64Url("a"));
  CHECK_FALSE(DecodeBase64Url("ab=="));
  CHECK_FALSE(DecodeBase64Url("a b"));
}

// Guards against losing the error code that a method returns.
TEST_CASE("JSON-RPC calls reach methods and return their errors")
{
  auto dispatcher = MakeRpcDispatcher(
    { { "add",
        [](const Json::Value& aParams) {
          return Json::Value(aParams["a"].asInt() + aParams["b"].asInt());
        } },
      { "refuse", [](const Json::Value&) -> Json::Value {
         throw rpc_failure("no", true, -32010);
       } } });
  auto client = MakeRpcClient(
    [&](const std::string& aMessage) { return dispatcher->Handle(aMessage); });
  Json::Value params(Json::objectValue);
  params["a"] = 2;
  params["b"] = 3;
  CHECK(client->Call("add", params).asInt() == 5);
  try {
    client->Call("refuse", params);
    FAIL("no error");
  } catch (const rpc_failure& failure) {
    CHECK(failure.Code() == -32010);
  }
  CHECK_THROWS_AS(client->Call("missing", params), rpc_failure);
}
