#include "arbutusferry/percent.hpp"

namespace arbutusferry {

namespace {

int
HexDigit(char aCharacter)
{
  if (aCharacter >= '0' && aCharacter <= '9') {
    return aCharacter - '0';
  }
  if (aCharacter >= 'a' && aCharacter <= 'f') {
    return aCharacter - 'a' + 10;
  }
  if (aCharacter >= 'A' && aCharacter <= 'F') {
    return aCharacter - 'A' + 10;
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
