#include "arbutusferry/percent.hpp"
#include "arbutusferry/upstream.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace arbutusferry {

namespace {

bool
EqualNoCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char aOne, unsigned char aOther) {
                      return std::tolower(aOne) == std::tolower(aOther);
                    });
}

template<std::size_t Size>
bool
ContainsNoCase(const std::array<std::string_view, Size>& aNames,
               std::string_view aName)
{
  return std::any_of(aNames.begin(), aNames.end(), [&](std::string_view aOne) {
    return EqualNoCase(aOne, aName);
  });
}

// The exchange id is set by the transport, so a caller's own is not forwarded.
constexpr std::array<std::string_view, 7> kRequestHeaders{
  "Accept",      "Accept-Language",   "Content-Type", "Idempotency-Key",
  "Traceparent", "If-Modified-Since", "If-None-Match"
};

constexpr std::array<std::string_view, 8> kAnswerHeaders{
  "Cache-Control", "Content-Type", "Content-Encoding", "Content-Language",
  "ETag",          "Location",     "Last-Modified",    "Retry-After"
};

constexpr std::array<std::string_view, 3> kKeyParameters{ "api_key",
                                                          "key",
                                                          "access_token" };

template<std::size_t Size>
header_list
Filter(const header_list& aHeaders,
       const std::array<std::string_view, Size>& aAllowed)
{
  header_list kept;
  for (const auto& header : aHeaders) {
    if (ContainsNoCase(aAllowed, header.first)) {
      kept.push_back(header);
    }
  }
  return kept;
}

} // namespace

std::string
FindHeader(const header_list& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (EqualNoCase(name, aName)) {
      return value;
    }
  }
  return {};
}

header_list
ForwardableRequestHeaders(const header_list& aHeaders)
{
  return Filter(aHeaders, kRequestHeaders);
}

header_list
ForwardableAnswerHeaders(const header_list& aHeaders)
{
  return Filter(aHeaders, kAnswerHeaders);
}

std::string
RemoveKeyParameters(std::string_view aTarget)
{
  const std::size_t queryStart = aTarget.find('?');
  if (queryStart == std::string_view::npos) {
    return std::string(aTarget);
  }
  std::string target(aTarget.substr(0, queryStart));
  std::string_view query = aTarget.substr(queryStart + 1);
  char separator = '?';
  while (!query.empty()) {
    // Some services separate parameters with a semicolon.
    const std::size_t end = query.find_first_of("&;");
    const std::string_view parameter = query.substr(0, end);
    const std::string_view name = parameter.substr(0, parameter.find('='));
    // Targets decode percent-encoded names, so the decoded name is compared.
    if (!parameter.empty() &&
        !ContainsNoCase(kKeyParameters, DecodePercent(name))) {
      target += separator;
      target += parameter;
      separator = '&';
    }
    query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
  }
  return target;
}

} // namespace arbutusferry
