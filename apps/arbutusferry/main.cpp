#include "commands.hpp"
#include "common/command_line.hpp"

#include <cstdio>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(control, "", "Comma-separated IP:port of control processes.");
DEFINE_string(stage, "", "trial or production.");
DEFINE_string(base, "", "Revision in force, or \"current\".");
DEFINE_string(record_id, "", "Id of the record of a change.");
DEFINE_string(sha256, "", "Expected hash of the trial document.");
DEFINE_string(entry, "", "IP:port of an entry process.");
DEFINE_string(name, "", "Substring of the names of the histograms to show.");
DEFINE_int64(window, -1, "Start of a usage window in Unix seconds.");
DEFINE_int32(timeout_s, 20, "Time limit of one call in seconds.");
DEFINE_bool(json, false, "Print JSON.");
DECLARE_bool(help);
DECLARE_bool(version);

namespace {

using namespace arbutusferry;

constexpr const char* kHelp =
  R"(usage: arbutusferry [FLAGS] COMMAND [ARGUMENTS]

commands
  check FILE                   check an environment document
  diff FILE                    show what changes between the document in force
                               and a file (--stage, default trial)
  apply FILE                   put a document in force (--stage, default trial;
                               --base REVISION, or --base current)
  promote ENVIRONMENT          copy the trial document to production (--base;
                               --sha256 to name the document)
  grant ENVIRONMENT TENANT     create a key and show it once (--stage, default
                               production)
  withdraw ENVIRONMENT KEY_ID  withdraw a key (--stage, default production)
  record RECORD_ID             outcome of an earlier change
  status                       state of a control process
  drain target ID | vm ID      take a target or VM out of service
  usage                        usage by tenant (--window START)
  metrics                      histograms of an entry process (--entry IP:port;
                               --name PART)

flags
  --control IP:port[,IP:port]  control processes; the next one is used when one
                               cannot be reached
  --record_id ID               id for a change, instead of a random one
  --timeout_s N                time limit of one call (default 20)
  --json                       print JSON
  --help, --version

exit codes: 0 success, 1 refused or failed, 2 bad input, 3 outcome unknown
(query the printed record id), 4 unreachable
)";

exit_code
ToExitCode(error_code aCode)
{
  switch (aCode) {
    case error_code::InvalidArgument:
    case error_code::InvalidSettings:
      return exit_code::BadInput;
    case error_code::Unreachable:
    case error_code::Timeout:
      return exit_code::Unreachable;
    default:
      return exit_code::Failed;
  }
}

result<exit_code>
Run(int aCount, char** aArguments)
{
  BOOST_LEAF_AUTO(arguments, ReadCommandLine(aCount, aArguments));
  if (FLAGS_help) {
    std::cout << kHelp;
    return exit_code::Success;
  }
  if (FLAGS_version) {
    std::cout << "arbutusferry " << ARBUTUSFERRY_VERSION << '\n';
    return exit_code::Success;
  }
  if (FLAGS_timeout_s < 1 || FLAGS_timeout_s > 3600) {
    return MakeError(error_code::InvalidArgument,
                     "command line",
                     "",
                     "argument \"--timeout_s\": expected 1 to 3600");
  }
  command_options options;
  std::istringstream control(FLAGS_control);
  for (std::string address; std::getline(control, address, ',');) {
    options.controlAddresses.push_back(address);
  }
  options.stage = FLAGS_stage;
  options.base = FLAGS_base;
  options.recordId = FLAGS_record_id;
  options.sha256 = FLAGS_sha256;
  options.entryAddress = FLAGS_entry;
  options.nameFilter = FLAGS_name;
  if (FLAGS_window >= 0) {
    options.windowStart = FLAGS_window;
  }
  options.json = FLAGS_json;
  options.timeout = std::chrono::seconds(FLAGS_timeout_s);
  return RunCommand(options, arguments);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    const auto outcome = Capture([&] { return Run(aCount, aArguments); });
    if (const auto* failure = std::get_if<error_info>(&outcome)) {
      std::cerr << FormatError(*failure) << '\n';
      return static_cast<int>(ToExitCode(failure->code));
    }
    return static_cast<int>(std::get<exit_code>(outcome));
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "arbutusferry: %s\n", exception.what());
    return static_cast<int>(exit_code::Failed);
  }
}
