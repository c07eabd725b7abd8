#include "arbutusferry/percent.hpp"

namespace arbutusferry {

namespace {

int
HexDigit(char aLetter)
{
  if (aLetter >= '0' && aLetter <= '9') {
    return aLetter - '0';
  }
  if (aLetter >= 'a' && aLetter <= 'f') {
    return aLetter - 'a' + 10;
  }
  if (aLetter >= 'A' && aLetter <= 'F') {
    return aLetter - 'A' + 10;
  }
  return -1;
}

} // namespace

std::string
DecodePercent(std::string_view aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size() &&
        HexDigit(aText[i + 1]) >= 0 && HexDigit(aText[i + 2]) >= 0) {
      text +=
        static_cast<char>(HexDigit(aText[i + 1]) * 16 + HexDigit(aText[i + 2]));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

} // namespace arbutusferry
