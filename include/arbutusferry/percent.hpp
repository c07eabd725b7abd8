#pragma once

#include <string>
#include <string_view>

namespace arbutusferry {

/// Decodes percent escapes of a URL; malformed escapes stay as they are.
[[nodiscard]] std::string
DecodePercent(std::string_view aText);

} // namespace arbutusferry
