#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace arbutusferry {

/// Splits a text/event-stream into the data of its events.
class event_parser
{
public:
  /// Longest accepted event in bytes; a longer one fails the stream.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  /// Receives the data of one event; returning false stops the parser.
  using data_handler = std::function<bool(const std::string&)>;

  /// Parses the next bytes of the stream.
  /// @return False if an event was too long or the handler returned false.
  [[nodiscard]] bool Feed(std::string_view aBytes,
                          const data_handler& aHandler);

private:
  [[nodiscard]] bool ProcessLine(const data_handler& aHandler);

  std::string mLine;
  std::string mData;
  bool mHasData = false;
};

} // namespace arbutusferry
