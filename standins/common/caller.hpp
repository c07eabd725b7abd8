#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace arbutusferry::standin {

/// Result of one HTTP request as the client observed it.
struct call_result
{
  int status = 0;      ///< HTTP status; 0 without a complete response.
  std::string outcome; ///< Header `Arbutusferry-Outcome`; empty if absent.
  std::string body;
  std::string failure; ///< Transport error; empty on success.
  double seconds = 0;
};

/// HTTP client with one keep-alive connection to an entry or target.
class caller
{
public:
  using header_list = std::vector<std::pair<std::string, std::string>>;

  /// @param aAddress "IP:port".
  /// @param aKey Bearer token; no `Authorization` header is sent if empty.
  /// @param aTimeoutSeconds Time limit of connecting and of each read and
  /// write.
  caller(const std::string& aAddress,
         const std::string& aKey,
         int aTimeoutSeconds);
  caller(const caller&) = delete;
  caller& operator=(const caller&) = delete;
  ~caller();

  /// Sends a POST request with a JSON content type.
  /// @param aOnChunk If set, receives each chunk of the response body as it
  /// arrives; returning false aborts the request.
  [[nodiscard]] call_result Post(
    const std::string& aPath,
    const std::string& aBody,
    const header_list& aHeaders = {},
    const std::function<bool(const std::string&)>& aOnChunk = {});

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace arbutusferry::standin
