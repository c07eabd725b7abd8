#include "arbutusferry/error.hpp"

namespace arbutusferry {

std::string
FormatError(const error_info& aError)
{
  std::string text = aError.step;
  if (!aError.peer.empty()) {
    text += (text.empty() ? "" : ": ") + aError.peer;
  }
  text += (text.empty() ? "" : ": ") + aError.message;
  return text + " (" + std::string(EnumName(aError.code)) + ")";
}

} // namespace arbutusferry
