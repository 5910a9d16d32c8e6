#include "proxy/sent_request_ids.h"

#include <algorithm>

namespace stoatrun {
namespace {

// A slot holds a part of the hash above the time at which the id was claimed, in seconds and never 0; 0:
// empty.
constexpr unsigned kTimeBits = 24;
constexpr std::uint64_t kTimeMask = (std::uint64_t{1} << kTimeBits) - 1;

std::uint64_t TagOf(std::uint64_t id) { return id & ~kTimeMask; }

std::uint64_t ToSeconds(Micros now) {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(now).count());
}

std::uint64_t StampOf(Micros now) { return std::max<std::uint64_t>(1, ToSeconds(now) & kTimeMask); }

// The age of an entry in seconds; the times wrap around after half a year.
std::uint64_t AgeOf(std::uint64_t entry, Micros now) { return (ToSeconds(now) - entry) & kTimeMask; }

bool IsRetained(std::uint64_t entry, Micros now) {
  const auto retention = std::chrono::seconds(SentRequestIds::kRetention).count();
  return entry != 0 && AgeOf(entry, now) <= static_cast<std::uint64_t>(retention);
}

}  // namespace

std::span<SentRequestIds::Slot, SentRequestIds::kSlotsPerSet> SentRequestIds::SetOf(std::uint64_t id) const {
  // The low bits, which the tag leaves out.
  const std::size_t set = (id & kTimeMask) % (kSlotCount / kSlotsPerSet);
  return std::span<Slot, kSlotsPerSet>(slots_.data() + set * kSlotsPerSet, kSlotsPerSet);
}

bool SentRequestIds::Contains(std::uint64_t id, Micros now) const {
  const auto set = SetOf(id);
  return std::any_of(set.begin(), set.end(), [&](const Slot& slot) {
    const std::uint64_t entry = slot.load(std::memory_order_acquire);
    return TagOf(entry) == TagOf(id) && IsRetained(entry, now);
  });
}

bool SentRequestIds::Claim(std::uint64_t id, Micros now) {
  for (;;) {
    if (Contains(id, now)) return false;
    Slot* oldest = nullptr;
    std::uint64_t oldest_entry = 0;
    for (Slot& slot : SetOf(id)) {
      const std::uint64_t entry = slot.load(std::memory_order_acquire);
      const bool is_free = !IsRetained(entry, now);
      if (oldest == nullptr || is_free || AgeOf(entry, now) > AgeOf(oldest_entry, now)) {
        oldest = &slot;
        oldest_entry = entry;
      }
      if (is_free) break;
    }
    // Fails if the other process has just written the slot, perhaps for the same id.
    if (oldest->compare_exchange_strong(oldest_entry, TagOf(id) | StampOf(now))) return true;
  }
}

void SentRequestIds::Release(std::uint64_t id) {
  for (Slot& slot : SetOf(id)) {
    std::uint64_t entry = slot.load(std::memory_order_acquire);
    if (entry != 0 && TagOf(entry) == TagOf(id)) slot.compare_exchange_strong(entry, 0);
  }
}

}  // namespace stoatrun
