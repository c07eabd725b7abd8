#include "common/fake_service.hpp"
#include "common/standin_server.hpp"

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <unistd.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:port to listen on");

int
main(int aCount, char** aArguments)
{
  namespace standin = arbutusferry::standin;
  gflags::SetVersionString(ARBUTUSFERRY_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  standin::BlockStopSignals();
  standin::fake_service service;
  if (!service.Start(FLAGS_listen)) {
    std::cerr << "--listen: " << FLAGS_listen << ": cannot listen\n";
    return 2;
  }
  standin::PrintReadyAndWait(service.Address());
  _exit(EXIT_SUCCESS);
}
