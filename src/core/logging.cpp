#include "arbutusferry/logging.hpp"

#include "arbutusferry/json.hpp"

#include <json/value.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

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

} // namespace

void
InitLogging(const std::string& aProgram, log_level aLevel)
{
  auto logger = spdlog::stderr_logger_mt(aProgram);
  // The message holds the remaining members of the JSON object.
  logger->set_pattern(
    R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","program":"%n",%v})",
    spdlog::pattern_time_type::utc);
  logger->set_level(ToSpdlog(aLevel));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
}

void
Log(log_level aLevel,
    std::string_view aEvent,
    std::initializer_list<log_field> aFields)
{
  if (!spdlog::should_log(ToSpdlog(aLevel))) {
    return;
  }
  Json::Value line(Json::objectValue);
  line["event"] = std::string(aEvent);
  for (const auto& [name, value] : aFields) {
    line[std::string(name)] = value;
  }
  const std::string text = WriteJson(line);
  spdlog::log(ToSpdlog(aLevel),
              spdlog::string_view_t(text.data() + 1, text.size() - 2));
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
