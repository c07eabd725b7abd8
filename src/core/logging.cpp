#include "arbutusferry/logging.hpp"

#include "arbutusferry/json.hpp"
#include "arbutusferry/log_limiter.hpp"

#include <fcntl.h>
#include <json/value.h>
#include <memory>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace arbutusferry {

namespace {

spdlog::level::level_enum
ToSpdlog(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Debug:
      return spdlog::level::debug;
    case log_level::Info:
      return spdlog::level::info;
    case log_level::Warning:
      return spdlog::level::warn;
    case log_level::Error:
      break;
  }
  return spdlog::level::err;
}

/// Rate limiter of the bounded logger; null unless it is in use.
std::unique_ptr<log_limiter>&
Limiter()
{
  static std::unique_ptr<log_limiter> sLimiter;
  return sLimiter;
}

/// Writes whole lines to standard output and drops those that would block.
class nonblocking_sink final : public spdlog::sinks::base_sink<std::mutex>
{
public:
  nonblocking_sink()
  {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
      fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
  }

private:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    spdlog::memory_buf_t line;
    formatter_->format(aMessage, line);
    // The rest of a partially written line goes before the next one.
    if (!Flush(mUnwritten)) {
      Limiter()->NoteDropped("any");
      return;
    }
    mUnwritten.assign(line.data(), line.size());
    Flush(mUnwritten);
  }
  void flush_() override {}

  static bool Flush(std::string& aText)
  {
    while (!aText.empty()) {
      const auto written = write(STDOUT_FILENO, aText.data(), aText.size());
      if (written <= 0) {
        return false;
      }
      aText.erase(0, static_cast<std::size_t>(written));
    }
    return true;
  }

  std::string mUnwritten;
};

void
WriteLine(log_level aLevel,
          std::string_view aEvent,
          std::initializer_list<log_field> aFields)
{
  Json::Value line(Json::objectValue);
  line["event"] = std::string(aEvent);
  for (const auto& [name, value] : aFields) {
    line[std::string(name)] = value;
  }
  const std::string text = WriteJson(line);
  spdlog::log(ToSpdlog(aLevel),
              spdlog::string_view_t(text.data() + 1, text.size() - 2));
}

} // namespace

namespace {

/// Makes a logger the default one. The message holds the remaining members of
/// the JSON object.
void
SetLogger(std::shared_ptr<spdlog::logger> aLogger, log_level aLevel)
{
  aLogger->set_pattern(
    R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","program":"%n",%v})",
    spdlog::pattern_time_type::utc);
  aLogger->set_level(ToSpdlog(aLevel));
  aLogger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(aLogger));
}

} // namespace

void
InitLogging(const std::string& aProgram, log_level aLevel)
{
  SetLogger(spdlog::stderr_logger_mt(aProgram), aLevel);
}

void
InitBoundedLogging(const std::string& aProgram,
                   log_level aLevel,
                   const log_bounds& aBounds)
{
  Limiter() = std::make_unique<log_limiter>(aBounds.linesPerSecond);
  SetLogger(std::make_shared<spdlog::logger>(
              aProgram, std::make_shared<nonblocking_sink>()),
            aLevel);
}

void
Log(log_level aLevel,
    std::string_view aEvent,
    std::initializer_list<log_field> aFields)
{
  if (!spdlog::should_log(ToSpdlog(aLevel))) {
    return;
  }
  if (log_limiter* limiter = Limiter().get()) {
    const time_point now = boot_clock::now();
    for (const auto& dropped : limiter->TakeDropped(now)) {
      WriteLine(log_level::Warning,
                "log_lines_dropped",
                { { "dropped_event", dropped.event },
                  { "lines", std::to_string(dropped.lines) } });
    }
    if (!limiter->Allow(aEvent, now)) {
      return;
    }
  }
  WriteLine(aLevel, aEvent, aFields);
}

void
LogError(log_level aLevel, std::string_view aEvent, const error_info& aError)
{
  Log(aLevel,
      aEvent,
      { { "code", std::string(EnumName(aError.code)) },
        { "step", aError.step },
        { "peer", aError.peer },
        { "message", aError.message } });
}

} // namespace arbutusferry
