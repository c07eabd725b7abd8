#pragma once

#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/record_log.hpp"

namespace arbutusferry::node {

/// Sends an append again while the store is silent, and takes the first
/// conclusive response. A connection that the store accepted while it was
/// silent never carries a response, so without this an append would wait for
/// its timeout long after the store has returned.
///
/// Only appends that the store executes once at most are repeated: those of a
/// producer and those on condition of the partition's end. All other calls pass
/// through unchanged.
class repeating_log final : public record_log
{
public:
  repeating_log(event_loop& aLoop, record_log& aLog)
    : mLoop(aLoop)
    , mLog(aLog)
  {
  }

  void Append(append_request aRequest,
              std::function<void(const append_result&)> aDone) override;
  void Read(const log_partition& aWhere,
            std::uint64_t aFrom,
            std::int64_t aWaitMilliseconds,
            std::function<void(const read_result&)> aDone) override
  {
    mLog.Read(aWhere, aFrom, aWaitMilliseconds, std::move(aDone));
  }
  void Newest(const log_partition& aWhere,
              const std::string& aAfter,
              std::function<void(const newest_result&)> aDone) override
  {
    mLog.Newest(aWhere, aAfter, std::move(aDone));
  }
  [[nodiscard]] std::size_t MaxRecordBytes() const override
  {
    return mLog.MaxRecordBytes();
  }
  [[nodiscard]] std::size_t MaxCallBytes() const override
  {
    return mLog.MaxCallBytes();
  }

private:
  class repeated_append;

  event_loop& mLoop;
  record_log& mLog;
};

} // namespace arbutusferry::node
