#pragma once

namespace arbutusferry {

/// @return Whether a number is a status code of HTTP (RFC 9110, section 15):
/// 100 to 599.
[[nodiscard]] constexpr bool
IsHttpStatus(int aStatus) noexcept
{
  return aStatus >= 100 && aStatus <= 599;
}

/// @return Whether a status code can end an exchange: one of HTTP that isn't an
/// interim response (1xx).
[[nodiscard]] constexpr bool
IsFinalHttpStatus(int aStatus) noexcept
{
  return IsHttpStatus(aStatus) && aStatus >= 200;
}

/// @return Whether a response with a status code never has a body, whatever its
/// headers say (RFC 9112, section 6.3): 1xx, 204 and 304.
[[nodiscard]] constexpr bool
IsBodilessHttpStatus(int aStatus) noexcept
{
  return aStatus / 100 == 1 || aStatus == 204 || aStatus == 304;
}

} // namespace arbutusferry
