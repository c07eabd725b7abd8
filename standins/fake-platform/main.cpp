#include "common/fake_platform.hpp"
#include "common/standin_server.hpp"

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <unistd.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:port to listen on");
DEFINE_uint64(views, 0, "additional listeners with rewritten addresses");

int
main(int aCount, char** aArguments)
{
  namespace standin = arbutusferry::standin;
  gflags::SetVersionString(ARBUTUSFERRY_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  standin::BlockStopSignals();
  standin::fake_platform platform;
  if (!platform.Start(FLAGS_listen, FLAGS_views)) {
    std::cerr << "--listen: " << FLAGS_listen << ": cannot listen\n";
    return 2;
  }
  std::string views;
  for (const std::string& address : platform.ViewAddresses()) {
    views += (views.empty() ? "\"" : ",\"") + address + "\"";
  }
  standin::PrintReadyAndWait(platform.Address(), ",\"views\":[" + views + "]");
  _exit(EXIT_SUCCESS);
}
