#pragma once

#include "arbutusferry/time.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_set>

namespace arbutusferry::node {

/// A holder of memory that frees it on demand.
class memory_holder
{
public:
  virtual ~memory_holder() = default;
  /// Frees all memory; its account is empty afterwards.
  virtual void GiveWay() = 0;
};

class memory_account;

/// Adds up the memory held for clients and decides who gives it up when it is
/// used up. Small holdings may use a reserved part, so that ordinary requests
/// and messages of other nodes are served while large ones fill the rest.
class memory_budget final : public std::enable_shared_from_this<memory_budget>
{
public:
  /// Holdings up to this size are small: an ordinary request with its buffers.
  static constexpr std::size_t kSmallBytes = std::size_t{ 64 } * 1024;

  /// @param aLimit Bytes that all accounts may hold together.
  explicit memory_budget(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;

  [[nodiscard]] std::size_t Limit() const noexcept { return mLimit; }
  [[nodiscard]] std::size_t Used() const noexcept { return mUsed; }
  /// @return Bytes that large holdings may reach in all.
  [[nodiscard]] std::size_t LargeLimit() const noexcept
  {
    return mLimit - mLimit / kReservedPart;
  }
  /// @return Whether a small holding was refused within the last second.
  [[nodiscard]] bool Full(time_point aNow) const;
  /// Ends a window of progress if it is over, and returns unused memory to the
  /// system after a large part was released. Called several times a second.
  void Check(time_point aNow);
  /// Reports a refusal, or a connection closed for a limit, by its reason.
  void NoteRefusal(std::string_view aReason);

  /// Called with the reason of each refusal.
  std::function<void(std::string_view)> onRefusal;

private:
  friend class memory_account;

  /// An eighth of the memory serves several hundred ordinary requests on the
  /// smallest machine and leaves room for two copies of the largest body.
  static constexpr std::size_t kReservedPart = 8;

  [[nodiscard]] bool Resize(memory_account& aAccount, std::size_t aBytes);
  [[nodiscard]] memory_account* FindVictim(const memory_account& aFor,
                                           bool aSmall) const;

  std::size_t mLimit;
  std::size_t mUsed = 0;
  std::size_t mPeak = 0; ///< Since memory was last returned to the system.
  std::unordered_set<memory_account*> mAccounts; ///< Of holders that give way.
  time_point mWindowStart;
  time_point mNow;
  std::optional<time_point> mSmallRefused;
};

/// Memory that one holder has reserved; released when it is destroyed.
class memory_account
{
public:
  /// @param aHolder Frees the memory on demand; null if it can't be freed.
  explicit memory_account(std::shared_ptr<memory_budget> aBudget,
                          memory_holder* aHolder = nullptr);
  ~memory_account();
  memory_account(const memory_account&) = delete;
  memory_account& operator=(const memory_account&) = delete;

  /// Changes the size of the holding. One that grows beyond what is left makes
  /// holders with less progress give way.
  /// @return Whether it is changed; always if it shrinks.
  [[nodiscard]] bool Resize(std::size_t aBytes);
  void Clear() { (void)Resize(0); }
  [[nodiscard]] std::size_t Bytes() const noexcept { return mBytes; }
  /// Sets whether the holder may be asked to give way.
  void SetCanGiveWay(bool aCan) noexcept { mCanGiveWay = aCan; }
  /// Counts bytes that were received or sent.
  void NoteProgress(std::size_t aBytes) noexcept { mProgress += aBytes; }
  /// @return Bytes that were moved in this window and the one before.
  [[nodiscard]] std::size_t Progress() const noexcept
  {
    return mLastProgress + mProgress;
  }

private:
  friend class memory_budget;

  std::shared_ptr<memory_budget> mBudget;
  memory_holder* mHolder;
  std::size_t mBytes = 0;
  std::size_t mProgress = 0;     ///< Bytes moved in this window.
  std::size_t mLastProgress = 0; ///< In the window before.
  bool mCanGiveWay = false;
};

} // namespace arbutusferry::node
