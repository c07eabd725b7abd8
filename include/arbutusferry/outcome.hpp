#pragma once

#include "arbutusferry/enum_names.hpp"

namespace arbutusferry {

/// Outcome of a request, as reported to the caller.
enum class outcome
{
  Answered, ///< The caller received the whole answer of the target.
  NotRun,   ///< No byte of the request reached a target; safe to retry.
  Unknown,  ///< The target may have run the request.
};

template<>
inline constexpr enum_name_table<outcome, 3> kEnumNames<outcome>{ {
  { outcome::Answered, "answered" },
  { outcome::NotRun, "not_run" },
  { outcome::Unknown, "unknown" },
} };

/// Response header that carries the outcome.
inline constexpr const char* kOutcomeHeader = "Arbutusferry-Outcome";

} // namespace arbutusferry
