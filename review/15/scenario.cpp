#include "harness.hpp"

/// A sampler answers requests of a stream route with an error of its own.

namespace {

using namespace review;

constexpr int kRequests = 8; ///< With an error, each on a channel of its own.
/// The rule allows three.
constexpr int kMostUnanswered = 3;

verdict
Scenario(rig& aRig)
{
  Json::Value routes(Json::arrayValue);
  routes.append(MakeRoute("chat", "/s/", "stream", "desk"));
  aRig.PutRecord("keyed.op", "config", ToJsonText(MakeManifest(3, routes)));
  sampler& only = aRig.AddSampler("d1", "desk", "zone-a", 16, {});
  aRig.OnLoop([&] {
    only.plan = [](const node::http_request& aRequest) {
      run_plan made;
      if (Trouble() && aRequest.target == "/s/long") {
        made.status = 400;
        made.body = R"({"error":"the prompt is longer than the context"})";
      } else {
        made.events.assign(5, "event");
      }
      return made;
    };
  });
  node_process& first = aRig.AddNode("vm-1", "zone-a");
  first.Start();
  if (!aRig.AwaitLeader(15'000)) {
    return verdict::NotRun;
  }
  int unanswered = 0;
  for (int number = 0; number < kRequests; ++number) {
    kept_channel channel(first.Port());
    for (const char* path : { "/s/short", "/s/long" }) {
      const std::string id = "9c41d07be2a35f6" + std::to_string(number) +
                             (path == std::string("/s/long") ? "b" : "a");
      const answer result =
        channel.Call("POST",
                     path,
                     { { "Host", kHost },
                       { "Authorization", "Bearer key-acme" },
                       { "Arbutusferry-Request-Id", id },
                       { "Arbutusferry-Deadline-Ms", "3000" } },
                     "prompt",
                     4'000);
      aRig.record.Note("client asks " + id + " for " + path + ": " +
                       (result.status == 0
                          ? "the channel ends without a complete answer"
                          : std::to_string(result.status)));
      unanswered += result.status == 0 ? 1 : 0;
    }
  }
  if (unanswered > kMostUnanswered) {
    aRig.record.Note("LOST: " + std::to_string(unanswered) +
                     " requests were passed on to a sound sampler, which "
                     "answered them, and their channels were closed without "
                     "a complete answer");
    return verdict::Broken;
  }
  return verdict::Held;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Scenario);
}
