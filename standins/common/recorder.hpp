#pragma once

#include <cstdint>
#include <deque>
#include <json/value.h>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace arbutusferry::standin {

/// A request as a target received it.
struct seen_request
{
  std::string method;
  std::string path; ///< With the query.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string requestId;
  bool finished = false; ///< It was processed to the end.
};

/// Keeps the newest requests of a target for `GET /admin/seen`.
class recorder
{
public:
  /// @param aLimit Maximum number of requests kept.
  explicit recorder(std::size_t aLimit = 50'000)
    : mLimit(aLimit)
  {
  }

  /// @return Number of the request, for `Finish`.
  std::uint64_t Add(seen_request aRequest);
  void Finish(std::uint64_t aNumber);

  /// @return `{"total":n,"finished":n,"requests":[..]}`.
  [[nodiscard]] Json::Value Save() const;

private:
  std::size_t mLimit;
  mutable std::mutex mMutex;
  std::deque<seen_request> mRequests;
  std::uint64_t mFirstNumber = 0;
  std::uint64_t mFinished = 0;
};

} // namespace arbutusferry::standin
