#include "common/recorder.hpp"

namespace arbutusferry::standin {

std::uint64_t
recorder::Add(seen_request aRequest)
{
  const std::lock_guard lock(mMutex);
  mRequests.push_back(std::move(aRequest));
  if (mRequests.size() > mLimit) {
    mRequests.pop_front();
    ++mFirstNumber;
  }
  return mFirstNumber + mRequests.size() - 1;
}

void
recorder::Finish(std::uint64_t aNumber)
{
  const std::lock_guard lock(mMutex);
  ++mFinished;
  if (aNumber >= mFirstNumber && aNumber - mFirstNumber < mRequests.size()) {
    mRequests[aNumber - mFirstNumber].finished = true;
  }
}

Json::Value
recorder::Save() const
{
  const std::lock_guard lock(mMutex);
  Json::Value value(Json::objectValue);
  value["total"] = Json::UInt64(mFirstNumber + mRequests.size());
  value["finished"] = Json::UInt64(mFinished);
  Json::Value& list = value["requests"] = Json::Value(Json::arrayValue);
  for (const seen_request& request : mRequests) {
    Json::Value item(Json::objectValue);
    item["method"] = request.method;
    item["path"] = request.path;
    item["body"] = request.body;
    item["request_id"] = request.requestId;
    item["finished"] = request.finished;
    Json::Value& headers = item["headers"] = Json::Value(Json::objectValue);
    for (const auto& [name, text] : request.headers) {
      headers[name] = text;
    }
    list.append(std::move(item));
  }
  return value;
}

} // namespace arbutusferry::standin
