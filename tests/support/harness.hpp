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

/// Waits until a condition holds. Fails the test with the logs of all running
/// processes when it does not hold within a deadline that only a process that
/// hangs can reach.
void
WaitUntil(const std::string& aWhat, const std::function<bool()>& aCondition);

/// Directory that is removed with the object.
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

/// Child process with its output kept in files. Killed by the destructor.
class child_process
{
public:
  /// Starts a program of the build.
  /// @param aName Name in logs.
  /// @param aProgram Name of the executable in the build's bin directory.
  child_process(const std::string& aName,
                const std::string& aProgram,
                const std::vector<std::string>& aArguments);
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;
  ~child_process();

  /// Waits for the ready line.
  /// @return The ready line.
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
  std::string mOutput;
  std::string mErrors;
  pid_t mPid = -1;
  std::optional<int> mExit;
  Json::Value mReady;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

/// @return JSON of a text that is known to be valid.
[[nodiscard]] Json::Value
Parse(const std::string& aText);

struct http_reply
{
  int status = 0; ///< 0 when there was no complete answer.
  std::string body;
  std::map<std::string, std::string> headers;
  std::string failure; ///< Transport failure, empty if there was none.

  [[nodiscard]] std::string Outcome() const;
  [[nodiscard]] Json::Value Parsed() const;
};

/// Sends one request over a connection of its own.
[[nodiscard]] http_reply
Send(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody = {},
     const header_list& aHeaders = {});

/// Sends one POST and passes on the body as it arrives.
/// @param aPiece Returns false to break the connection off.
[[nodiscard]] http_reply
SendStreaming(const std::string& aAddress,
              const std::string& aPath,
              const std::string& aBody,
              const header_list& aHeaders,
              const std::function<bool(const std::string&)>& aPiece);

/// Calls an entry with a key.
[[nodiscard]] http_reply
Call(const std::string& aEntry,
     const std::string& aPath,
     const std::string& aBody,
     const std::string& aKey,
     const header_list& aHeaders = {});

/// Obtains permits for a route that is not idempotent; requires success.
[[nodiscard]] std::vector<std::string>
TakePermits(const std::string& aEntry,
            const std::string& aRoute,
            const std::string& aKey,
            int aCount);

/// Calls a route that is not idempotent.
[[nodiscard]] http_reply
CallOnce(const std::string& aEntry,
         const std::string& aPath,
         const std::string& aBody,
         const std::string& aKey,
         const std::string& aPermit);

/// @return Bodies that a target received on a path, with how often each came.
[[nodiscard]] std::map<std::string, int>
SeenBodies(const std::string& aTarget, const std::string& aPath);

/// Sends JSON and requires status 200.
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
  /// Fault proxies between zones, and between each zone and the platform.
  bool linkProxies = false;
  Json::Value timing{ Json::objectValue }; ///< Of the control settings.
  Json::Value limits{ Json::objectValue }; ///< Of the entry settings.
  std::string logLevel = "info";
};

/// VM with its two daemons.
struct vm_node
{
  std::string id;
  std::string zone;
  std::unique_ptr<child_process> control;
  std::unique_ptr<child_process> entry;
  bool leaving = false;
};

/// Target process with a fault proxy in front of it if asked for.
struct target_node
{
  target_info info; ///< `info.address` is what the platform lists.
  std::unique_ptr<child_process> process;
  std::unique_ptr<standin::tcp_proxy> proxy;

  /// @return Own address of the process, for administration.
  [[nodiscard]] std::string Direct() const { return process->Address(); }
};

/// Result of one run of the client.
struct client_result
{
  int exitCode = 0;
  std::string output;
  std::string errors;
};

/// Platform, zones of VMs with both daemons, targets and proxies.
class cluster
{
public:
  explicit cluster(cluster_options aOptions);
  cluster(const cluster&) = delete;
  cluster& operator=(const cluster&) = delete;
  ~cluster();

  /// Adds a target process; `PublishLists` makes it known.
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
  /// @return Path of a file with the document.
  [[nodiscard]] std::string WriteDocument(const Json::Value& aDocument);
  /// Runs the client against the control process of a VM.
  [[nodiscard]] client_result Client(const std::vector<std::string>& aArguments,
                                     std::size_t aVm = 0);
  /// Waits until every entry answers `GET /readyz` with 200.
  void WaitReady();

  [[nodiscard]] std::vector<vm_node>& Vms() noexcept { return mVms; }
  [[nodiscard]] std::vector<target_node>& Targets() noexcept
  {
    return mTargets;
  }
  [[nodiscard]] std::string Entry(std::size_t aVm);
  [[nodiscard]] std::string Platform();
  /// @return Events of the platform's history of one kind.
  [[nodiscard]] std::vector<Json::Value> History(const std::string& aEvent);
  [[nodiscard]] std::string ZoneName(std::size_t aZone) const;

  void StartControl(vm_node& aVm);
  void StartEntry(vm_node& aVm);

  /// Sets a fault on all links between a zone and the rest; needs
  /// `linkProxies`.
  /// @param aPlatform Whether the link to the platform is included.
  void FaultZone(const std::string& aZone,
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

  std::string PlatformFor(const std::string& aZone);
  std::string Linked(const std::string& aFrom,
                     const std::string& aTo,
                     const std::string& aAddress);

  cluster_options mOptions;
  temporary_directory mDirectory;
  std::unique_ptr<child_process> mPlatform;
  std::vector<link> mLinks;
  std::vector<vm_node> mVms;
  std::vector<target_node> mTargets;
  std::size_t mNextFile = 0;
};

/// @return A document with a model engine class `sampler`, a plain service
/// class `desk`, teams `acme` and `birch`, and one route of each kind; the
/// service route `/bookings` is not idempotent and `/quotes` is. Each zone has
/// one target of each class.
[[nodiscard]] Json::Value
ExampleDocument(const std::string& aEnvironment, std::size_t aZones);

} // namespace arbutusferry::harness
