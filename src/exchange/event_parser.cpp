#include "exchange/event_parser.hpp"

namespace arbutusferry {

bool
event_parser::Feed(std::string_view aBytes, const data_handler& aHandler)
{
  while (!aBytes.empty()) {
    const std::size_t end = aBytes.find('\n');
    mLine += aBytes.substr(0, end);
    if (mLine.size() + mData.size() > kMaxEventBytes) {
      return false;
    }
    if (end == std::string_view::npos) {
      return true;
    }
    aBytes.remove_prefix(end + 1);
    if (!ProcessLine(aHandler)) {
      return false;
    }
  }
  return true;
}

bool
event_parser::ProcessLine(const data_handler& aHandler)
{
  if (!mLine.empty() && mLine.back() == '\r') {
    mLine.pop_back();
  }
  const std::string line = std::move(mLine);
  mLine.clear();
  if (line.empty()) {
    if (!mHasData) {
      return true;
    }
    const std::string data = std::move(mData);
    mData.clear();
    mHasData = false;
    return aHandler(data);
  }
  constexpr std::string_view kField = "data:";
  if (line.starts_with(kField)) {
    std::string_view value = std::string_view(line).substr(kField.size());
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    if (mHasData) {
      mData += '\n';
    }
    mData += value;
    mHasData = true;
  }
  return true;
}

} // namespace arbutusferry
