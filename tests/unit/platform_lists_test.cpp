#include "arbutusferry/platform_http.hpp"
#include "common/fake_platform.hpp"
#include "control/zone_view.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <httplib.h>
#include <thread>

using namespace arbutusferry;

namespace {

const std::string kTarget =
  R"("pool":"protected","class":"s","kind":"engine","address":"127.0.0.1:1",)"
  R"("slots":1,"state":"live","checks_fencing":true})";
const std::string kTargets = R"({"targets":[{"id":"a1","zone":"a",)" + kTarget +
                             R"(,{"id":"b1","zone":"b",)" + kTarget + "]}";

std::vector<std::string>
Ids(vm_directory& aDirectory, const std::string& aZone)
{
  auto read = Capture([&] { return aDirectory.ListTargets(aZone); });
  REQUIRE(std::holds_alternative<std::vector<target_info>>(read));
  std::vector<std::string> ids;
  for (const target_info& target : std::get<std::vector<target_info>>(read)) {
    ids.push_back(target.id);
  }
  return ids;
}

using ids = std::vector<std::string>;

} // namespace

// Guards against stale ETags, ETags shared between zones, and full bodies for
// unchanged lists.
TEST_CASE("the platform filters lists and answers 304 when unchanged")
{
  standin::fake_platform platform;
  REQUIRE(platform.Start("127.0.0.1:0", 0));
  httplib::Client client("http://" + platform.Address());
  const auto put = [&](const char* aPath, const std::string& aBody) {
    const auto answer = client.Put(aPath, aBody, "application/json");
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
  };
  put("/admin/targets", kTargets);
  put("/admin/vms", R"({"vms":[{"id":"v","zone":"a","state":"live"}]})");
  for (const std::string path :
       { "/vms", "/targets", "/targets?zone=a", "/targets?zone=none" }) {
    const auto first = client.Get(path);
    REQUIRE(first);
    const std::string tag = first->get_header_value("ETag");
    CHECK_FALSE(tag.empty());
    for (const std::string& known : { tag, "\"x\", " + tag }) {
      const auto same = client.Get(path, { { "If-None-Match", known } });
      REQUIRE(same);
      CHECK(same->status == 304);
      CHECK(same->body.empty());
    }
    const auto other = client.Get(path, { { "If-None-Match", "\"x\"" } });
    REQUIRE(other);
    CHECK(other->body == first->body);
  }

  const auto directory =
    MakeHttpPlatform(platform.Address(), std::chrono::seconds(10)).directory;
  for (int i = 0; i < 2; ++i) {
    CHECK(Ids(*directory, "a") == ids{ "a1" });
    CHECK(Ids(*directory, "") == ids{ "a1", "b1" });
    CHECK(Ids(*directory, "b") == ids{ "b1" });
  }
  put("/admin/targets", R"({"targets":[]})");
  CHECK(Ids(*directory, "a").empty());
}

// Guards against a client that relies on the zone filter or on ETags, which a
// platform may ignore, or that loses its cached list on 304.
TEST_CASE("the directory works with and without conditional reads")
{
  httplib::Server server;
  std::atomic<bool> tags{ false };
  std::atomic<int> unchanged{ 0 };
  server.Get("/targets",
             [&](const httplib::Request& aRequest, httplib::Response& aAnswer) {
               if (tags &&
                   aRequest.get_header_value("If-None-Match") == "\"1\"") {
                 ++unchanged;
                 aAnswer.status = 304;
                 return;
               }
               if (tags) {
                 aAnswer.set_header("ETag", "\"1\"");
               }
               aAnswer.set_content(kTargets, "application/json");
             });
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread thread([&] { server.listen_after_bind(); });
  {
    const auto directory = MakeHttpPlatform("127.0.0.1:" + std::to_string(port),
                                            std::chrono::seconds(10))
                             .directory;
    CHECK(Ids(*directory, "a") == ids{ "a1" });
    CHECK(Ids(*directory, "a") == ids{ "a1" });
    CHECK(unchanged == 0);
    tags = true;
    CHECK(Ids(*directory, "a") == ids{ "a1" });
    CHECK(Ids(*directory, "a") == ids{ "a1" });
    CHECK(unchanged == 1);
  }
  server.stop();
  thread.join();
}

// Guards against losing the targets of other zones, or their draining state,
// when only the view's own zone is read.
TEST_CASE("updating the own zone's targets keeps the targets of other zones")
{
  const auto target = [](const std::string& aId, const std::string& aZone) {
    target_info info;
    info.id = aId;
    info.zone = aZone;
    info.state = target_state::Live;
    return info;
  };
  zone_view view("v", "a", "instance");
  view.SetTargets({ target("a1", "a"), target("b1", "b") });
  view.SetDraining({ "b1" });
  view.SetZoneTargets({ target("a2", "a") });
  REQUIRE(view.Targets().size() == 2);
  CHECK(view.Targets()[0].id == "a2");
  CHECK(view.Targets()[1].id == "b1");
  CHECK(view.Targets()[1].state == target_state::Leaving);
  CHECK(view.Draining().count("b1") == 1);
  view.SetDraining({});
  CHECK(view.Targets()[1].state == target_state::Live);
}
