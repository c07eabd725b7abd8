#pragma once

#include "arbutusferry/target.hpp"
#include "common/tcp_proxy.hpp"

#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

/// Starts real processes on 127.0.0.1 and drives them, for integration tests.
namespace arbutusferry::harness {

/// Polls until a condition holds.
/// @throws std::runtime_error With the logs of all child processes on a
/// timeout. The timeout is long enough that only a process that hangs reaches
/// it.
void
WaitUntil(const std::string& aDescription,
          const std::function<bool()>& aCondition);

/// Temporary directory, removed by the destructor.
class temporary_directory
{
public:
  temporary_directory();
  temporary_directory(const temporary_directory&) = delete;
  temporary_directory& operator=(const temporary_directory&) = delete;
  ~temporary_directory();

  [[nodiscard]] std::string Path(const std::string& aName) const;
  /// Writes a file and returns its path.
  std::string Write(const std::string& aName, const std::string& aText) const;

private:
  std::string mPath;
};

/// Child process that writes its output to files. Killed by the destructor.
class child_process
{
public:
  /// Starts a program of the build.
  /// @param aName Name in failure messages and output file names.
  /// @param aProgram Name of the executable in the build's bin directory.
  child_process(const std::string& aName,
                const std::string& aProgram,
                const std::vector<std::string>& aArguments);
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;
  ~child_process();

  /// Waits for the line that the process prints when it is ready.
  /// @return The ready line as JSON.
  const Json::Value& Ready();
  /// @return "IP:port" of the ready line.
  std::string Address();

  [[nodiscard]] const std::string& Name() const noexcept { return mName; }
  [[nodiscard]] pid_t Pid() const noexcept { return mPid; }
  /// @return Exit code, or 128 + signal; nothing while the process runs.
  [[nodiscard]] std::optional<int> ExitCode();
  /// Sends a signal to this child only.
  void Signal(int aSignal);
  /// Kills the process and waits for its end.
  void Kill();
  /// Waits for the end.
  /// @return Exit code, or 128 + signal.
  int WaitForExit();
  /// Sends SIGTERM and waits for the end.
  int Terminate();

  [[nodiscard]] std::string StandardOutput() const;
  [[nodiscard]] std::string StandardError() const;

private:
  std::string mName;
  std::string mOutputPath;
  std::string mErrorPath;
  pid_t mPid = -1;
  std::optional<int> mExit;
  Json::Value mReady;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Parses JSON.
/// @throws std::runtime_error If the text is not valid JSON.
[[nodiscard]] Json::Value
Parse(const std::string& aText);

struct http_reply
{
  int status = 0; ///< 0 if there was no complete response.
  std::string body;
  std::map<std::string, std::string> headers;
  std::string failure; ///< Transport failure, empty if there was none.

  [[nodiscard]] std::string Outcome() const;
  [[nodiscard]] Json::Value Parsed() const;
};

/// Sends one request over a new connection.
[[nodiscard]] http_reply
Send(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody = {},
     const header_list& aHeaders = {});

/// Sends one POST and passes on the response body as it arrives.
/// @param aOnChunk Returns false to close the connection.
[[nodiscard]] http_reply
SendStreaming(const std::string& aAddress,
              const std::string& aPath,
              const std::string& aBody,
              const header_list& aHeaders,
              const std::function<bool(const std::string&)>& aOnChunk);

/// Calls an entry with a key.
[[nodiscard]] http_reply
Call(const std::string& aEntry,
     const std::string& aPath,
     const std::string& aBody,
     const std::string& aKey,
     const header_list& aHeaders = {});

/// Obtains permits for a route that is not idempotent.
/// @throws std::runtime_error If the entry does not grant all of them.
[[nodiscard]] std::vector<std::string>
TakePermits(const std::string& aEntry,
            const std::string& aRoute,
            const std::string& aKey,
            int aCount);

/// Calls a route that is not idempotent with a permit.
[[nodiscard]] http_reply
CallWithPermit(const std::string& aEntry,
               const std::string& aPath,
               const std::string& aBody,
               const std::string& aKey,
               const std::string& aPermit);

/// @return Number of requests that a target received on a path, by body.
[[nodiscard]] std::map<std::string, int>
CountReceivedBodies(const std::string& aTarget, const std::string& aPath);

/// Sends JSON.
/// @return The response body.
/// @throws std::runtime_error If the status is not 200.
Json::Value
SendJson(const std::string& aAddress,
         const std::string& aMethod,
         const std::string& aPath,
         const Json::Value& aBody = Json::Value());

struct cluster_options
{
  std::size_t zones = 1;
  std::size_t vmsPerZone = 1;
  std::string environment = "shop";
  /// Puts fault proxies between zones, and between each zone and the platform.
  bool linkProxies = false;
  Json::Value timing{ Json::objectValue }; ///< In the control settings.
  Json::Value limits{ Json::objectValue }; ///< In the entry settings.
  std::string logLevel = "info";
};

/// VM with its control and entry processes.
struct vm_node
{
  std::string id;
  std::string zone;
  std::unique_ptr<child_process> control;
  std::unique_ptr<child_process> entry;
  bool leaving = false;
};

/// Target process, optionally behind a fault proxy.
struct target_node
{
  target_info info; ///< `info.address` is the address the platform lists.
  std::unique_ptr<child_process> process;
  std::unique_ptr<standin::tcp_proxy> proxy;

  /// @return Address of the process itself, without the proxy.
  [[nodiscard]] std::string DirectAddress() const { return process->Address(); }
};

/// Result of one run of the command-line client.
struct client_result
{
  int exitCode = 0;
  std::string output;
  std::string errors;
};

/// Platform, zones of VMs with control and entry processes, targets and
/// proxies.
class cluster
{
public:
  explicit cluster(cluster_options aOptions);
  cluster(const cluster&) = delete;
  cluster& operator=(const cluster&) = delete;
  ~cluster();

  /// Starts a target process. `PublishLists` makes it known to the platform.
  target_node& AddTarget(const std::string& aZone,
                         const std::string& aClass,
                         target_kind aKind,
                         std::int64_t aSlots,
                         bool aProxied = false,
                         const std::vector<std::string>& aArguments = {});
  /// Sends the lists of VMs and targets to the platform.
  void PublishLists();

  /// Applies a document with the client.
  void Apply(const Json::Value& aDocument,
             const std::string& aStage = "production");
  /// Grants a key with the client.
  /// @return The key.
  [[nodiscard]] std::string Grant(const std::string& aTeam,
                                  const std::string& aStage = "production");
  /// Withdraws a key with the client, at the control process of a VM.
  [[nodiscard]] client_result Withdraw(
    const std::string& aKey,
    std::size_t aVm = 0,
    const std::string& aStage = "production");
  /// Writes a document to a file.
  /// @return Path of the file.
  [[nodiscard]] std::string WriteDocument(const Json::Value& aDocument);
  /// Runs the client against the control process of a VM.
  [[nodiscard]] client_result RunClient(
    const std::vector<std::string>& aArguments,
    std::size_t aVm = 0);
  /// Waits until every entry answers `GET /readyz` with 200.
  void WaitUntilReady();

  [[nodiscard]] std::vector<vm_node>& Vms() noexcept { return mVms; }
  [[nodiscard]] std::vector<target_node>& Targets() noexcept
  {
    return mTargets;
  }
  [[nodiscard]] std::string EntryAddress(std::size_t aVm);
  [[nodiscard]] std::string PlatformAddress();
  /// @return Events of one kind from the platform's history.
  [[nodiscard]] std::vector<Json::Value> History(const std::string& aEvent);
  [[nodiscard]] std::string ZoneName(std::size_t aZone) const;

  void StartControl(vm_node& aVm);
  void StartEntry(vm_node& aVm);

  /// Sets a fault on all links between a zone and the other zones. Requires
  /// `linkProxies`.
  /// @param aPlatform Whether to include the link to the platform.
  void SetZoneFault(const std::string& aZone,
                    standin::fault_mode aMode,
                    bool aPlatform = true);

private:
  struct link
  {
    std::string from;
    std::string to; ///< Zone, or "platform".
    std::string address;
    std::unique_ptr<standin::tcp_proxy> proxy;
  };

  std::string PlatformAddressFor(const std::string& aZone);
  std::string LinkAddress(const std::string& aFrom,
                          const std::string& aTo,
                          const std::string& aAddress);

  cluster_options mOptions;
  temporary_directory mDirectory;
  std::unique_ptr<child_process> mPlatform;
  std::vector<link> mLinks;
  std::vector<vm_node> mVms;
  std::vector<target_node> mTargets;
  std::size_t mNextFileNumber = 0;
};

/// @return A document with the model engine class `sampler`, the service class
/// `desk`, teams `acme` and `birch`, and routes of every kind. The service
/// route `/bookings` is not idempotent, `/quotes` is. Each zone has one target
/// of each class.
[[nodiscard]] Json::Value
ExampleDocument(const std::string& aEnvironment, std::size_t aZones);

} // namespace arbutusferry::harness
