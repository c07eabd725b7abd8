#pragma once

#include "arbutusferry/logging.hpp"
#include "arbutusferry/node/ferry_node.hpp"

namespace arbutusferry::node {

/// Reads the leadership topic.
class ferry_node::leader_observer final : public record_observer
{
public:
  explicit leader_observer(ferry_node& aNode)
    : mNode(aNode)
  {
  }
  void OnRecord(const std::string&,
                const std::string* aValue,
                std::uint64_t aOffset) override
  {
    if (!aValue) {
      return;
    }
    if (const auto record = DecodeLeader(*aValue)) {
      const auto& before = mNode.mElection.Holder();
      if (record->released || !before || before->fence != record->fence) {
        Log(log_level::Info,
            record->released ? "leader_released" : "leader_seen",
            { { "holder", record->holder },
              { "zone", record->zone },
              { "fence", std::to_string(record->fence) },
              { "offset", std::to_string(aOffset) } });
      }
      mNode.mElection.Observe(aOffset, *record, mNode.mParts.loop.Now());
    } else {
      Log(log_level::Error,
          "leader_record_unreadable",
          { { "offset", std::to_string(aOffset) } });
    }
    mSeenRecord = true;
  }
  void OnCaughtUp() override
  {
    if (!mSeenRecord) {
      // No process has ever led, so there is no holder to wait for.
      mSeenRecord = true;
      mNode.mSoftware.NoteFirstStart();
      leader_record vacant;
      vacant.released = true;
      mNode.mElection.Observe(0, vacant, mNode.mParts.loop.Now());
    }
    mNode.StepElection();
  }
  void OnReconnected() override
  {
    mNode.mElection.ResetSilence(mNode.mParts.loop.Now());
  }

private:
  ferry_node& mNode;
  bool mSeenRecord = false;
};

/// Reads the counts that nodes save, while this node leads.
class ferry_node::usage_observer final : public record_observer
{
public:
  explicit usage_observer(ferry_node& aNode)
    : mNode(aNode)
  {
  }
  void OnRecord(const std::string& aKey,
                const std::string* aValue,
                std::uint64_t aOffset) override
  {
    if (!aValue || !mNode.mUsageReporter) {
      return;
    }
    if (const auto windows = DecodeUsage(*aValue)) {
      mNode.mUsageReporter->Add(aKey, *windows);
    } else {
      Log(log_level::Error,
          "usage_record_unreadable",
          { { "process", aKey }, { "offset", std::to_string(aOffset) } });
    }
  }
  void OnCaughtUp() override {}

private:
  ferry_node& mNode;
};

/// Reads the addresses of the other nodes.
class ferry_node::node_observer final : public record_observer
{
public:
  explicit node_observer(ferry_node& aNode)
    : mNode(aNode)
  {
  }
  void OnRecord(const std::string& aKey,
                const std::string* aValue,
                std::uint64_t aOffset) override
  {
    if (!aValue) {
      mNode.mNodes.Remove(aKey);
    } else if (auto node = DecodeNode(*aValue)) {
      mNode.mNodes.Update(std::move(*node));
    } else {
      Log(log_level::Error,
          "node_record_unreadable",
          { { "vm", aKey }, { "offset", std::to_string(aOffset) } });
    }
  }
  void OnCaughtUp() override {}

private:
  ferry_node& mNode;
};

} // namespace arbutusferry::node
