#include "common/log_store.hpp"

#include <algorithm>
#include <thread>

namespace arbutusferry::standin {

namespace {

/// Appends accepted in a burst before the rate limit delays them.
constexpr int kAppendBurst = 100;

} // namespace

std::optional<std::int64_t>
log_store::Append(const std::string& aId, const Json::Value& aRecord)
{
  std::unique_lock lock(mMutex);
  const auto now = std::chrono::steady_clock::now();
  const auto step = std::chrono::duration_cast<std::chrono::nanoseconds>(
    std::chrono::duration<double>(1.0 / mAppendsPerSecond));
  mNextAppend = std::max(mNextAppend, now - kAppendBurst * step) + step;
  if (mNextAppend > now) {
    const auto due = mNextAppend;
    lock.unlock();
    std::this_thread::sleep_until(due);
    lock.lock();
  }
  if (mDown) {
    return std::nullopt;
  }
  const std::int64_t offset =
    mFirstOffset + static_cast<std::int64_t>(mRecords.size());
  Json::Value item(Json::objectValue);
  item["offset"] = Json::Int64(offset);
  item["id"] = aId;
  item["record"] = aRecord;
  mRecords.push_back(std::move(item));
  Trim();
  mChanged.notify_all();
  return offset;
}

log_read
log_store::Read(std::int64_t aFrom,
                std::size_t aLimit,
                std::chrono::milliseconds aWait)
{
  std::unique_lock lock(mMutex);
  const auto end = [this] {
    return mFirstOffset + static_cast<std::int64_t>(mRecords.size());
  };
  mChanged.wait_for(lock, aWait, [&] {
    return mDown || aFrom < mFirstOffset || aFrom < end();
  });
  log_read read;
  read.first = mFirstOffset;
  read.next = std::max(aFrom, end());
  read.down = mDown;
  read.gone = aFrom < mFirstOffset;
  if (read.down || read.gone || aFrom >= end()) {
    return read;
  }
  const auto begin = static_cast<std::size_t>(aFrom - mFirstOffset);
  const std::size_t count = std::min(aLimit, mRecords.size() - begin);
  for (std::size_t i = 0; i < count; ++i) {
    read.records.push_back(mRecords[begin + i]);
  }
  read.next = aFrom + static_cast<std::int64_t>(count);
  return read;
}

void
log_store::SetDown(bool aDown)
{
  const std::lock_guard lock(mMutex);
  mDown = aDown;
  mChanged.notify_all();
}

void
log_store::SetRetention(std::size_t aRecords)
{
  const std::lock_guard lock(mMutex);
  mRetention = aRecords;
  Trim();
  mChanged.notify_all();
}

void
log_store::SetRate(double aPerSecond)
{
  const std::lock_guard lock(mMutex);
  mAppendsPerSecond = std::max(1.0, aPerSecond);
}

void
log_store::Trim()
{
  while (mRetention > 0 && mRecords.size() > mRetention) {
    mRecords.pop_front();
    ++mFirstOffset;
  }
}

} // namespace arbutusferry::standin
