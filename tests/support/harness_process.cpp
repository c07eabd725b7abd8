#include "support/harness.hpp"

#include "arbutusferry/json.hpp"

#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <set>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>

namespace arbutusferry::harness {

namespace {

/// Only a process that hangs reaches it; no check depends on it.
constexpr std::chrono::seconds kWaitTimeout{ 60 };
constexpr std::size_t kLogTailBytes = 3000;

std::mutex gChildrenMutex;
std::set<child_process*> gChildren;

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string
ChildLogs()
{
  const std::lock_guard lock(gChildrenMutex);
  std::string logs;
  for (child_process* child : gChildren) {
    std::string text = child->StandardError();
    if (text.size() > kLogTailBytes) {
      text = "..." + text.substr(text.size() - kLogTailBytes);
    }
    const auto code = child->ExitCode();
    logs += "\n--- " + child->Name() + " (" +
            (code ? "ended with " + std::to_string(*code) : "running") + ")\n" +
            text;
  }
  return logs;
}

temporary_directory&
OutputDirectory()
{
  static temporary_directory sDirectory;
  return sDirectory;
}

} // namespace

void
WaitUntil(const std::string& aDescription,
          const std::function<bool()>& aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw std::runtime_error("timed out waiting until " + aDescription +
                               ChildLogs());
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

temporary_directory::temporary_directory()
{
  std::string path =
    (std::filesystem::temp_directory_path() / "arbutusferry-XXXXXX").string();
  if (::mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  mPath = path;
}

temporary_directory::~temporary_directory()
{
  std::error_code error;
  std::filesystem::remove_all(mPath, error);
}

std::string
temporary_directory::Path(const std::string& aName) const
{
  return mPath + "/" + aName;
}

std::string
temporary_directory::Write(const std::string& aName,
                           const std::string& aText) const
{
  std::string path = Path(aName);
  std::ofstream(path, std::ios::binary) << aText;
  return path;
}

child_process::child_process(const std::string& aName,
                             const std::string& aProgram,
                             const std::vector<std::string>& aArguments)
  : mName(aName)
{
  static std::atomic<int> sNumber{ 0 };
  const std::string file = aName + "." + std::to_string(sNumber++);
  mOutputPath = OutputDirectory().Path(file + ".out");
  mErrorPath = OutputDirectory().Path(file + ".err");
  // The kernel kills the children if the test is killed and cannot do so.
  std::vector<std::string> commandLine{ "/usr/bin/setpriv",
                                        "--pdeathsig",
                                        "KILL",
                                        std::string(ARBUTUSFERRY_BIN_DIR) +
                                          "/" + aProgram };
  commandLine.insert(commandLine.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> arguments;
  arguments.reserve(commandLine.size() + 1);
  for (std::string& argument : commandLine) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const int flags = O_WRONLY | O_CREAT | O_TRUNC;
  posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(
    &actions, 1, mOutputPath.c_str(), flags, 0600);
  posix_spawn_file_actions_addopen(
    &actions, 2, mErrorPath.c_str(), flags, 0600);
  const int failure = ::posix_spawn(
    &mPid, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) {
    throw std::runtime_error("cannot start " + aProgram);
  }
  const std::lock_guard lock(gChildrenMutex);
  gChildren.insert(this);
}

child_process::~child_process()
{
  {
    const std::lock_guard lock(gChildrenMutex);
    gChildren.erase(this);
  }
  if (!ExitCode()) {
    ::kill(mPid, SIGKILL);
    int status = 0;
    ::waitpid(mPid, &status, 0);
  }
}

const Json::Value&
child_process::Ready()
{
  if (mReady.isNull()) {
    WaitUntil(mName + " is ready", [this] {
      const std::string text = StandardOutput();
      const std::size_t end = text.find('\n');
      if (end == std::string::npos) {
        if (const auto code = ExitCode()) {
          throw std::runtime_error(mName + " ended with " +
                                   std::to_string(*code) +
                                   " before it was ready\n" + StandardError());
        }
        return false;
      }
      const auto line =
        Capture([&] { return ParseJson(text.substr(0, end), mName); });
      if (const auto* value = std::get_if<Json::Value>(&line)) {
        mReady = *value;
      } else {
        throw std::runtime_error(mName + ": invalid ready line: " + text);
      }
      return true;
    });
  }
  return mReady;
}

std::string
child_process::Address()
{
  return Ready()["address"].asString();
}

std::optional<int>
child_process::ExitCode()
{
  int status = 0;
  if (!mExit && ::waitpid(mPid, &status, WNOHANG) == mPid) {
    mExit = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  return mExit;
}

void
child_process::Signal(int aSignal)
{
  if (!ExitCode()) {
    ::kill(mPid, aSignal);
  }
}

void
child_process::Kill()
{
  Signal(SIGKILL);
  (void)WaitForExit();
}

int
child_process::WaitForExit()
{
  WaitUntil(mName + " ends", [this] { return ExitCode().has_value(); });
  return *ExitCode();
}

int
child_process::Terminate()
{
  Signal(SIGTERM);
  return WaitForExit();
}

std::string
child_process::StandardOutput() const
{
  return ReadFile(mOutputPath);
}

std::string
child_process::StandardError() const
{
  return ReadFile(mErrorPath);
}

} // namespace arbutusferry::harness
