#pragma once

#include "arbutusferry/node/call_forwarder.hpp"
#include "arbutusferry/node/event_loop.hpp"
#include "arbutusferry/node/http_client.hpp"
#include "arbutusferry/node/http_listener.hpp"
#include "arbutusferry/node/record_log.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace arbutusferry::node {

/// Event loop with a clock that tests advance.
class manual_loop final : public event_loop
{
public:
  [[nodiscard]] time_point Now() const noexcept override { return mNow; }
  [[nodiscard]] unix_seconds UnixNow() const noexcept override
  {
    return UnixMilliseconds() / 1000;
  }
  [[nodiscard]] std::int64_t UnixMilliseconds() const noexcept override
  {
    return kStartUnixMs + ToMilliseconds(mNow - kStart + clockStep);
  }
  [[nodiscard]] std::unique_ptr<timer> After(
    duration aDelay,
    std::function<void()> aFunction) override
  {
    auto entry = std::make_shared<std::function<void()>>(std::move(aFunction));
    mTimers.emplace(mNow + std::max(aDelay, duration::zero()), entry);
    return std::make_unique<manual_timer>(std::move(entry));
  }
  duration clockStep{}; ///< Offset of the wall clock after a jump.
  /// Calls a function after a delay and keeps the handle.
  void Post(duration aDelay, std::function<void()> aFunction)
  {
    mPosted.push_back(After(aDelay, std::move(aFunction)));
  }
  /// Advances the clock and runs the timers that fall due, in order.
  void Advance(duration aTime)
  {
    const time_point end = mNow + aTime;
    while (!mTimers.empty() && mTimers.begin()->first <= end) {
      auto entry = mTimers.extract(mTimers.begin());
      mNow = std::max(mNow, entry.key());
      if (const auto function = entry.mapped().lock()) {
        const auto call = std::move(*function);
        *function = nullptr;
        if (call) {
          call();
        }
      }
    }
    mNow = end;
  }

private:
  static constexpr time_point kStart{ std::chrono::hours(1) };
  static constexpr std::int64_t kStartUnixMs = 1'700'000'000'000;

  class manual_timer final : public timer
  {
  public:
    explicit manual_timer(std::shared_ptr<std::function<void()>> aEntry)
      : mEntry(std::move(aEntry))
    {
    }

  private:
    std::shared_ptr<std::function<void()>> mEntry;
  };

  time_point mNow = kStart;
  std::multimap<time_point, std::weak_ptr<std::function<void()>>> mTimers;
  std::vector<std::unique_ptr<timer>> mPosted;
};

/// In-memory store: partitions with ends, producer epochs and sequence numbers,
/// whose history can be truncated.
class memory_store
{
public:
  struct partition
  {
    std::vector<log_record> records;
    std::size_t first = 0; ///< Earlier records are truncated.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> producers;
    std::map<std::string, append_result> last; ///< Last result of a producer.
  };

  [[nodiscard]] append_result Append(const append_request& aRequest)
  {
    partition& target = At(aRequest.where);
    append_result result;
    result.end = target.records.size();
    if (aRequest.producer) {
      const log_producer& producer = *aRequest.producer;
      const auto known = target.producers.find(producer.name);
      if (known != target.producers.end()) {
        const auto [epoch, next] = known->second;
        if (producer.epoch < epoch) {
          result.status = append_status::Fenced;
          return result;
        }
        if (producer.epoch == epoch && producer.sequence + 1 == next &&
            !aRequest.records.empty()) {
          return target.last[producer.name];
        }
        if (producer.epoch == epoch && producer.sequence != next &&
            !aRequest.records.empty()) {
          result.status = append_status::WrongSequence;
          result.expectedSequence = next;
          return result;
        }
      }
    }
    if (aRequest.expectedEnd && *aRequest.expectedEnd != result.end) {
      result.status = append_status::WrongEnd;
      return result;
    }
    result.status = append_status::Done;
    result.offset = target.records.size();
    target.records.insert(
      target.records.end(), aRequest.records.begin(), aRequest.records.end());
    result.end = target.records.size();
    if (aRequest.producer) {
      target.producers[aRequest.producer->name] = {
        aRequest.producer->epoch,
        aRequest.records.empty() ? aRequest.producer->sequence
                                 : aRequest.producer->sequence + 1
      };
      target.last[aRequest.producer->name] = result;
    }
    return result;
  }
  [[nodiscard]] partition& At(const log_partition& aWhere)
  {
    return mPartitions[aWhere.topic + "/" + std::to_string(aWhere.part)];
  }
  /// Truncates the history of all partitions; the newest of each key stays.
  void Compact()
  {
    for (auto& [name, entry] : mPartitions) {
      entry.first = entry.records.size();
    }
  }

private:
  std::map<std::string, partition> mPartitions;
};

/// One process's connection to the in-memory store, with faults to inject.
class memory_log final : public record_log
{
public:
  memory_log(manual_loop& aLoop, memory_store& aStore)
    : mLoop(aLoop)
    , mStore(aStore)
  {
  }

  bool down = false; ///< Calls are refused.
  /// Appends are carried out, and their responses are lost.
  bool loseResponses = false;
  /// Appends get no response and are carried out after this time.
  duration appendDelay{};
  /// Waiting reads see new records only at the end of their wait.
  bool waitsMissAppends = false;
  duration latency = std::chrono::milliseconds(4);
  std::size_t appends = 0;
  std::size_t listedPages = 0; ///< Calls for a page of newest records.
  std::size_t invalid = 0;     ///< Appends over the limits of the store.

  void Append(append_request aRequest,
              std::function<void(const append_result&)> aDone) override
  {
    ++appends;
    if (down) {
      append_result refused;
      refused.status = append_status::Refused;
      mLoop.Post(latency, [aDone, refused] { aDone(refused); });
      return;
    }
    if (appendDelay > duration::zero()) {
      mLoop.Post(appendDelay,
                 [this, aRequest] { (void)mStore.Append(aRequest); });
      mLoop.Post(latency, [aDone] { aDone(append_result{}); });
      return;
    }
    std::size_t bytes = 0;
    bool oversized = false;
    for (const log_record& record : aRequest.records) {
      const std::size_t size = record.key.size() + record.value.size() + 5;
      oversized = oversized || size > MaxRecordBytes();
      bytes += size;
    }
    if (oversized || bytes > MaxCallBytes()) {
      ++invalid;
      append_result refused;
      refused.status = append_status::Invalid;
      mLoop.Post(latency, [aDone, refused] { aDone(refused); });
      return;
    }
    append_result result = mStore.Append(aRequest);
    if (loseResponses) {
      result = append_result{};
    }
    mLoop.Post(latency, [aDone, result] { aDone(result); });
  }

  void Read(const log_partition& aWhere,
            std::uint64_t aFrom,
            std::int64_t aWaitMilliseconds,
            std::function<void(const read_result&)> aDone) override
  {
    mLoop.Post(latency, [this, aWhere, aFrom, aWaitMilliseconds, aDone] {
      read_result result;
      const auto& source = mStore.At(aWhere);
      if (down) {
        aDone(result);
        return;
      }
      if (aFrom < source.first) {
        result.status = read_status::Truncated;
        aDone(result);
        return;
      }
      if (waitsMissAppends && aWaitMilliseconds > 0) {
        mLoop.Post(
          std::chrono::milliseconds(aWaitMilliseconds),
          [this, aWhere, aFrom, aDone] { Read(aWhere, aFrom, 0, aDone); });
        return;
      }
      if (aFrom >= source.records.size() && aWaitMilliseconds > 0) {
        Read(aWhere, aFrom, aWaitMilliseconds - ToMilliseconds(latency), aDone);
        return;
      }
      result.status = read_status::Done;
      result.end = source.records.size();
      for (std::size_t at = aFrom; at < source.records.size(); ++at) {
        result.entries.push_back({ at, source.records[at] });
      }
      aDone(result);
    });
  }

  void Newest(const log_partition& aWhere,
              const std::string& aAfter,
              std::function<void(const newest_result&)> aDone) override
  {
    ++listedPages;
    mLoop.Post(latency, [this, aWhere, aAfter, aDone] {
      newest_result result;
      if (!down) {
        const auto& source = mStore.At(aWhere);
        std::map<std::string, log_entry> newest;
        for (std::size_t at = 0; at < source.records.size(); ++at) {
          newest[source.records[at].key] = { at, source.records[at] };
        }
        for (const auto& [key, entry] : newest) {
          if (key <= aAfter || entry.record.value.empty()) {
            continue;
          }
          if (result.entries.size() == pageEntries) {
            result.more = true;
            break;
          }
          result.entries.push_back(entry);
        }
        result.done = true;
        result.end = source.records.size();
      }
      aDone(result);
    });
  }
  [[nodiscard]] std::size_t MaxRecordBytes() const override { return 4'096; }
  [[nodiscard]] std::size_t MaxCallBytes() const override { return 65'536; }

  std::size_t pageEntries = 7;

private:
  manual_loop& mLoop;
  memory_store& mStore;
};

/// Client that records requests, which the test answers.
class scripted_client final : public http_client
{
public:
  struct sent
  {
    socket_address peer;
    http_request request;
    std::shared_ptr<response_sink> sink;
    bool cancelled = false;
    std::function<void()> onCancel; ///< Called when the sender cancels.
    exchange_options options;

    void Answer(int aStatus,
                const header_list& aHeaders = {},
                std::string_view aBody = {})
    {
      if (const auto target = std::exchange(sink, nullptr)) {
        target->OnHead(aStatus, aHeaders);
        if (!aBody.empty()) {
          target->OnBody(aBody);
        }
        target->OnEnd();
      }
    }
    void Fail(exchange_failure aFailure)
    {
      if (const auto target = std::exchange(sink, nullptr)) {
        target->OnFailure(aFailure);
      }
    }
  };

  std::shared_ptr<http_exchange> Send(
    const socket_address& aPeer,
    http_request aRequest,
    const exchange_options& aOptions,
    std::shared_ptr<response_sink> aSink) override
  {
    auto entry = std::make_shared<sent>(sent{
      aPeer, std::move(aRequest), std::move(aSink), false, {}, aOptions });
    requests.push_back(entry);
    if (onSend) {
      onSend(entry);
    }
    return std::make_shared<scripted_exchange>(entry);
  }
  /// Requests that are neither answered nor cancelled.
  [[nodiscard]] std::vector<std::shared_ptr<sent>> Open() const
  {
    std::vector<std::shared_ptr<sent>> open;
    for (const auto& entry : requests) {
      if (entry->sink && !entry->cancelled) {
        open.push_back(entry);
      }
    }
    return open;
  }

  struct probe
  {
    socket_address peer;
    std::function<void(std::optional<exchange_failure>)> done;
    std::chrono::milliseconds timeout;
  };

  void Probe(
    const socket_address& aPeer,
    std::chrono::milliseconds aTimeout,
    std::function<void(std::optional<exchange_failure>)> aDone) override
  {
    probes.push_back({ aPeer, std::move(aDone), aTimeout });
    if (onProbe) {
      onProbe(probes.back());
    }
  }

  std::vector<std::shared_ptr<sent>> requests;
  std::vector<probe> probes;
  std::function<void(const std::shared_ptr<sent>&)> onSend;
  std::function<void(const probe&)> onProbe;

private:
  class scripted_exchange final : public http_exchange
  {
  public:
    explicit scripted_exchange(std::shared_ptr<sent> aEntry)
      : mEntry(std::move(aEntry))
    {
    }
    void Cancel() override
    {
      const bool open = mEntry->sink != nullptr;
      mEntry->cancelled = mEntry->cancelled || open;
      mEntry->sink.reset();
      if (open && mEntry->onCancel) {
        mEntry->onCancel();
      }
    }

  private:
    std::shared_ptr<sent> mEntry;
  };
};

/// Run counter for tests that don't look at usage.
struct ignored_runs final : run_counter
{
  void CountRun(const std::string&, std::int64_t) override {}
};

/// Crash guard for tests in which no target ends.
struct ignored_crashes final : crash_guard
{
  [[nodiscard]] std::optional<std::chrono::milliseconds> BlockedFor(
    const std::string&) const override
  {
    return std::nullopt;
  }
  void NoteBroken(const std::string&, const target_entry&) override {}
  void NoteServed(const std::string&) override {}
};

/// Responder that records the response.
class recording_responder final : public responder
{
public:
  void Send(http_response aResponse) override
  {
    ++answers;
    response = std::move(aResponse);
  }
  void Begin(int aStatus, const header_list& aHeaders) override
  {
    response.status = aStatus;
    response.headers = aHeaders;
  }
  void Write(std::string_view aPart) override { response.body += aPart; }
  void End() override { ++answers; }
  void Abort() override { aborted = true; }
  [[nodiscard]] bool Closed() const override { return gone; }
  [[nodiscard]] std::size_t UnsentBytes() const override { return 0; }
  [[nodiscard]] std::uint16_t PeerPort() const override { return 0; }
  void OnDisconnect(std::function<void()> aFunction) override
  {
    mOnGone = std::move(aFunction);
  }
  /// Simulates that the client closes its connection.
  void Leave()
  {
    gone = true;
    if (mOnGone) {
      mOnGone();
    }
  }

  http_response response;
  int answers = 0;
  bool aborted = false;
  bool gone = false;

private:
  std::function<void()> mOnGone;
};

} // namespace arbutusferry::node
