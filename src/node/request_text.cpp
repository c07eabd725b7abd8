#include "arbutusferry/node/request_text.hpp"

namespace arbutusferry::node {

std::string
SerializeRequest(const http_request& aRequest)
{
  std::string text = aRequest.method + " " + aRequest.target + "\n";
  for (const auto& [name, value] : aRequest.headers) {
    text.append(name).append(": ").append(value).append("\n");
  }
  return text.append("\n").append(aRequest.body.Text());
}

std::optional<http_request>
ParseRequest(std::string_view aText)
{
  http_request request;
  const auto nextLine = [&aText]() -> std::optional<std::string_view> {
    const auto end = aText.find('\n');
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view text = aText.substr(0, end);
    aText.remove_prefix(end + 1);
    return text;
  };
  const auto first = nextLine();
  const auto space = first ? first->find(' ') : std::string_view::npos;
  if (space == std::string_view::npos) {
    return std::nullopt;
  }
  request.method = first->substr(0, space);
  request.target = first->substr(space + 1);
  for (;;) {
    const auto header = nextLine();
    if (!header) {
      return std::nullopt;
    }
    if (header->empty()) {
      break;
    }
    const auto colon = header->find(": ");
    if (colon == std::string_view::npos) {
      return std::nullopt;
    }
    request.headers.Add(std::string(header->substr(0, colon)),
                        std::string(header->substr(colon + 2)));
  }
  request.body = std::string(aText);
  return request;
}

} // namespace arbutusferry::node
