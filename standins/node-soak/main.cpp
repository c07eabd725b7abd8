#include "soak.hpp"

#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "random seed of faults and load");
DEFINE_int32(seconds, 8, "duration of load and faults in seconds");
DEFINE_int32(nodes, 4, "number of node processes");
DEFINE_bool(limits, false, "let targets name limits on their requests");
DEFINE_bool(fences, true, "let targets and duties check fencing tokens");
DEFINE_bool(stops, false, "only stop nodes, one after the other");
DEFINE_bool(zones, false, "evacuate a zone, and restart targets that are cold");
DEFINE_bool(zone_readers,
            false,
            "let two nodes read the registry of targets for the others");
DEFINE_string(node_program, "", "path of the arbutusferry-node program");
DEFINE_string(
  logs,
  "",
  "existing directory for the logs of the nodes; empty discards them");

int
main(int aCount, char** aArguments)
{
  try {
    gflags::SetUsageMessage(
      "Runs node processes under load and random faults, and checks the "
      "responses to callers and the requests to targets.");
    gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
    std::signal(SIGPIPE, SIG_IGN);
    if (FLAGS_node_program.empty()) {
      std::fputs("node-soak: --node_program is required\n", stderr);
      return 2;
    }
    arbutusferry::node_soak::soak_test run(
      { FLAGS_seed,
        std::chrono::seconds(FLAGS_seconds),
        FLAGS_nodes,
        FLAGS_limits,
        FLAGS_fences,
        FLAGS_stops,
        FLAGS_zones,
        FLAGS_zone_readers,
        FLAGS_node_program,
        FLAGS_logs });
    return run.Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "node-soak: %s\n", error.what());
    return 1;
  }
}
