#include "arbutusferry/json.hpp"
#include "common/standin_server.hpp"
#include "common/tcp_proxy.hpp"

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <unistd.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:port to listen on");
DEFINE_string(to, "", "IP:port to forward to");
DEFINE_string(admin, "127.0.0.1:0", "IP:port of the admin interface");

namespace {

namespace af = arbutusferry;
namespace standin = arbutusferry::standin;

af::result<standin::fault_setting>
ReadSetting(const std::string& aText)
{
  BOOST_LEAF_AUTO(value, af::ParseJson(aText, "fault"));
  af::object_reader reader(value, "fault");
  standin::fault_setting setting;
  setting.mode = reader.Enumerator<standin::fault_mode>("mode");
  setting.bytes = reader.Integer("bytes", 0, 1'000'000'000, 0);
  setting.delayMs = reader.Integer("delay_ms", 0, 600'000, 0);
  setting.count = reader.Integer("count", -1, 1'000'000'000, -1);
  const std::string direction = reader.String("direction", "to_server");
  setting.toClient = direction == "to_client";
  if (!setting.toClient && direction != "to_server") {
    reader.Fail("direction", "expected to_server or to_client");
  }
  BOOST_LEAF_CHECK(reader.Finish());
  return setting;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetVersionString(ARBUTUSFERRY_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  standin::BlockStopSignals();
  standin::tcp_proxy proxy;
  if (!proxy.Start(FLAGS_listen, FLAGS_to)) {
    std::cerr << "--listen " << FLAGS_listen << " --to " << FLAGS_to
              << ": expected IP:port for both, and a free --listen address\n";
    return 2;
  }
  standin::standin_server admin(16);
  admin.Http().Put(
    "/fault",
    [&proxy](const httplib::Request& aRequest, httplib::Response& aResponse) {
      const auto setting =
        af::Capture([&] { return ReadSetting(aRequest.body); });
      if (const auto* error = std::get_if<af::error_info>(&setting)) {
        Json::Value body(Json::objectValue);
        body["error"] = af::FormatError(*error);
        standin::Reply(aResponse, 400, af::WriteJson(body));
        return;
      }
      proxy.Set(std::get<0>(setting));
      standin::Reply(aResponse, 200, "{}");
    });
  admin.Http().Get(
    "/stats", [&proxy](const httplib::Request&, httplib::Response& aResponse) {
      standin::Reply(aResponse, 200, af::WriteJson(proxy.Stats()));
    });
  if (!admin.Start(FLAGS_admin)) {
    std::cerr << "--admin: " << FLAGS_admin << ": cannot listen\n";
    return 2;
  }
  standin::PrintReadyAndWait(proxy.Address(),
                             ",\"admin\":\"" + admin.Address() + "\"");
  _exit(EXIT_SUCCESS);
}
