#include "soak.hpp"

#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of faults and load");
DEFINE_int32(seconds, 8, "seconds of load and faults");
DEFINE_int32(nodes, 4, "number of node processes");
DEFINE_string(node_program, "", "path of arbutusferry-node");
DEFINE_string(logs, "", "existing directory for the nodes' logs");

int
main(int aCount, char** aArguments)
{
  try {
    gflags::SetUsageMessage(
      "Runs node processes under load and random faults, and checks what "
      "callers and targets see.");
    gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
    std::signal(SIGPIPE, SIG_IGN);
    if (FLAGS_node_program.empty()) {
      std::fputs("node-soak: --node_program is needed\n", stderr);
      return 2;
    }
    arbutusferry::lab::soak run({ FLAGS_seed,
                                  std::chrono::seconds(FLAGS_seconds),
                                  FLAGS_nodes,
                                  FLAGS_node_program,
                                  FLAGS_logs });
    return run.Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "node-soak: %s\n", error.what());
    return 1;
  }
}
