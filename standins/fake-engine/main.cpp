#include "common/fake_engine.hpp"
#include "common/standin_server.hpp"

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <unistd.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:port to listen on");
DEFINE_int64(slots, 8, "requests that run at once");
DEFINE_double(tokens_per_s, 400, "tokens a second of each stream");
DEFINE_int64(event_tokens, 4, "tokens in one event");
DEFINE_int64(weight_version, 1, "weight version at the start");
DEFINE_bool(checks_fencing,
            true,
            "reject weight swaps with an old fencing token");
DEFINE_int64(load_lag_ms, 0, "age of load reports");
DEFINE_int64(cache_lag_ms, 0, "delay of cache events");
DEFINE_int64(cache_gap_every, 0, "lose every nth cache event; 0 for none");
DEFINE_int64(swap_ms, 0, "time that a weight swap takes");

int
main(int aCount, char** aArguments)
{
  namespace standin = arbutusferry::standin;
  gflags::SetVersionString(ARBUTUSFERRY_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  standin::BlockStopSignals();
  standin::engine_options options;
  options.slots = FLAGS_slots;
  options.tokensPerSecond = FLAGS_tokens_per_s;
  options.eventTokens = FLAGS_event_tokens;
  options.version = FLAGS_weight_version;
  options.checksFencing = FLAGS_checks_fencing;
  options.loadLagMs = FLAGS_load_lag_ms;
  options.cacheLagMs = FLAGS_cache_lag_ms;
  options.cacheGapEvery = FLAGS_cache_gap_every;
  options.swapMs = FLAGS_swap_ms;
  standin::fake_engine engine(options);
  engine.OnCrash([] { _exit(134); });
  if (!engine.Start(FLAGS_listen)) {
    std::cerr << "--listen: " << FLAGS_listen << ": cannot listen\n";
    return 2;
  }
  standin::PrintReadyAndWait(engine.Address());
  _exit(EXIT_SUCCESS);
}
