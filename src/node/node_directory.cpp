#include "arbutusferry/node/node_directory.hpp"

#include "arbutusferry/hash.hpp"
#include "arbutusferry/json.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace arbutusferry::node {

namespace {

using std::chrono::milliseconds;

/// Backoff after a node could not be reached; doubles with each further failure
/// up to the maximum.
constexpr milliseconds kInitialBackoff{ 1'000 };
constexpr milliseconds kMaxBackoff{ 30'000 };
constexpr int kMaxDoublings = 5;
/// Time after which a node that reached no target is asked again.
constexpr milliseconds kCutOffRetry{ 1'000 };
/// A node that sends no byte for this long is taken to be frozen or cut off:
/// any of its streams would have sent several events.
constexpr milliseconds kNodeTimeout{ 250 };

} // namespace

std::string
EncodeNode(const node_entry& aNode)
{
  Json::Value value(Json::objectValue);
  value["vm"] = aNode.vm;
  value["instance"] = aNode.instance;
  value["zone"] = aNode.zone;
  value["address"] = FormatAddress(aNode.address);
  value["cpu"] = aNode.cpuShare;
  return WriteJson(value);
}

std::optional<node_entry>
DecodeNode(const std::string& aText)
{
  return DecodeObject(
    aText,
    "node record",
    [](const Json::Value& aValue) -> std::optional<node_entry> {
      node_entry node;
      node.vm = aValue["vm"].asString();
      node.instance = aValue["instance"].asString();
      node.zone = aValue["zone"].asString();
      const auto address = ParseAddress(aValue["address"].asString());
      if (!address || node.vm.empty()) {
        return std::nullopt;
      }
      node.address = *address;
      if (aValue["cpu"].isNumeric()) {
        node.cpuShare = aValue["cpu"].asDouble();
      }
      return node;
    });
}

void
node_directory::Update(node_entry aNode)
{
  if (aNode.instance == mOwnInstance) {
    mNodes.erase(aNode.vm); // An earlier incarnation of this node.
    return;
  }
  known_node& known = mNodes[aNode.vm];
  if (known.entry.instance != aNode.instance) {
    known = {};
  }
  known.entry = std::move(aNode);
}

std::vector<node_entry>
node_directory::InZone(const std::string& aZone) const
{
  std::vector<node_entry> nodes;
  for (const auto& [vm, known] : mNodes) {
    if (known.entry.zone == aZone) {
      nodes.push_back(known.entry);
    }
  }
  return nodes;
}

std::optional<node_entry>
node_directory::ChooseRelay(const std::string& aSampler,
                            const std::string& aZone,
                            time_point aNow) const
{
  const known_node* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const auto& [vm, known] : mNodes) {
    if (known.entry.zone != aZone || known.avoidUntil > aNow) {
      continue;
    }
    std::string pair = aSampler;
    const std::uint64_t weight = Hash64(pair.append("/").append(vm));
    if (!best || weight > bestWeight) {
      best = &known;
      bestWeight = weight;
    }
  }
  return best ? std::optional(best->entry) : std::nullopt;
}

std::optional<node_entry>
node_directory::ChooseGateway(
  const std::string& aTarget,
  const std::set<std::string>& aTried,
  time_point aNow,
  const std::function<bool(const std::string&)>& aZoneAllowed) const
{
  const known_node* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const auto& [vm, known] : mNodes) {
    if (known.avoidUntil > aNow || known.cutOffUntil > aNow ||
        aTried.contains(vm) ||
        (aZoneAllowed && !aZoneAllowed(known.entry.zone))) {
      continue;
    }
    const std::uint64_t weight = RendezvousWeight(aTarget, vm);
    if (!best || weight > bestWeight) {
      best = &known;
      bestWeight = weight;
    }
  }
  return best ? std::optional(best->entry) : std::nullopt;
}

void
node_directory::NoteCutOff(const socket_address& aAddress, time_point aNow)
{
  if (known_node* node = Find(aAddress)) {
    node->cutOffUntil = aNow + kCutOffRetry;
  }
}

std::vector<node_entry>
node_directory::ChooseKeepers(const std::string& aKey,
                              const std::string& aOwnVm,
                              std::size_t aCount) const
{
  std::vector<std::pair<std::uint64_t, const node_entry*>> ranked;
  // Null stands for this node.
  ranked.emplace_back(RendezvousWeight(aKey, aOwnVm), nullptr);
  for (const auto& [vm, known] : mNodes) {
    if (vm != aOwnVm) {
      ranked.emplace_back(RendezvousWeight(aKey, vm), &known.entry);
    }
  }
  const auto last = ranked.begin() + static_cast<std::ptrdiff_t>(
                                       std::min(aCount, ranked.size()));
  std::partial_sort(ranked.begin(), last, ranked.end(), std::greater<>());
  std::vector<node_entry> keepers;
  for (auto entry = ranked.begin(); entry != last; ++entry) {
    if (entry->second) {
      keepers.push_back(*entry->second);
    }
  }
  return keepers;
}

std::vector<node_entry>
node_directory::ChooseOutside(const std::string& aZone,
                              const std::string& aOwnVm,
                              std::uint64_t aSalt,
                              std::size_t aCount) const
{
  std::vector<std::tuple<bool, std::uint64_t, const node_entry*>> ranked;
  for (const auto& [vm, known] : mNodes) {
    if (vm != aOwnVm) {
      ranked.emplace_back(
        known.entry.zone == aZone, Hash64(vm, aSalt), &known.entry);
    }
  }
  const auto last = ranked.begin() + static_cast<std::ptrdiff_t>(
                                       std::min(aCount, ranked.size()));
  std::partial_sort(ranked.begin(), last, ranked.end());
  std::vector<node_entry> chosen;
  for (auto entry = ranked.begin(); entry != last; ++entry) {
    // A node of the own zone may lie behind the same partition.
    if (std::get<0>(*entry) == std::get<0>(ranked.front())) {
      chosen.push_back(*std::get<2>(*entry));
    }
  }
  return chosen;
}

node_directory::known_node*
node_directory::Find(const socket_address& aAddress)
{
  const auto found =
    std::find_if(mNodes.begin(), mNodes.end(), [&](const auto& aKnown) {
      return aKnown.second.entry.address == aAddress;
    });
  return found == mNodes.end() ? nullptr : &found->second;
}

void
node_directory::BackOff(known_node& aNode, time_point aNow)
{
  const duration backoff =
    kInitialBackoff * (1 << std::min(aNode.failures, kMaxDoublings));
  aNode.avoidUntil = aNow + std::min<duration>(backoff, kMaxBackoff);
  ++aNode.failures;
}

void
node_directory::NoteAlive(const socket_address& aAddress, time_point aNow)
{
  if (known_node* node = Find(aAddress)) {
    node->lastByteAt = aNow;
    node->failures = 0;
  }
}

void
node_directory::NoteClock(const socket_address& aAddress,
                          std::int64_t aClockMs,
                          time_point aNow)
{
  if (known_node* node = Find(aAddress)) {
    node->clockMs = aClockMs;
    node->clockAt = aNow;
  }
}

std::optional<std::int64_t>
node_directory::ClockOf(const std::string& aVm, time_point aNow) const
{
  const auto found = mNodes.find(aVm);
  if (found == mNodes.end() || !found->second.clockMs) {
    return std::nullopt;
  }
  return *found->second.clockMs + ToMilliseconds(aNow - found->second.clockAt);
}

void
node_directory::NoteFailure(const socket_address& aAddress, time_point aNow)
{
  known_node* node = Find(aAddress);
  if (node && node->avoidUntil <= aNow) {
    BackOff(*node, aNow);
  }
}

bool
node_directory::NoteSilence(const socket_address& aAddress, time_point aNow)
{
  known_node* node = Find(aAddress);
  if (!node) {
    return true;
  }
  if (node->avoidUntil <= aNow && aNow - node->lastByteAt > kNodeTimeout) {
    BackOff(*node, aNow);
  }
  return node->avoidUntil > aNow;
}

} // namespace arbutusferry::node
