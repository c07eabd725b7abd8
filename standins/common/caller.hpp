#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace arbutusferry::standin {

/// What one call came to, as its caller sees it.
struct call_result
{
  int status = 0;      ///< 0 if there was no complete answer.
  std::string outcome; ///< Header `Arbutusferry-Outcome`; empty without one.
  std::string body;
  std::string failure; ///< Transport failure, empty if there was none.
  double seconds = 0;
};

/// Caller that keeps one connection to one entry or target.
class caller
{
public:
  using header_list = std::vector<std::pair<std::string, std::string>>;

  /// @param aAddress "IP:port".
  /// @param aKey Key to present; none if empty.
  /// @param aTimeoutSeconds Time limit of each read and write.
  caller(const std::string& aAddress,
         const std::string& aKey,
         int aTimeoutSeconds);
  caller(const caller&) = delete;
  caller& operator=(const caller&) = delete;
  ~caller();

  /// Sends a POST.
  /// @param aPiece If given, receives the body as it arrives; returns false to
  /// break the connection off.
  [[nodiscard]] call_result Post(
    const std::string& aPath,
    const std::string& aBody,
    const header_list& aHeaders = {},
    const std::function<bool(const std::string&)>& aPiece = {});

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace arbutusferry::standin
