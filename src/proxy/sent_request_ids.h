// The ids of requests that were sent to an endpoint lately. A client uses a new id for every connection, so a
// request that comes again with such an id would run twice.
//
// The table lies in memory that several processes may share: while a process is being replaced, both accept
// clients from the same listening socket. Its size is fixed. Each method may be called by several processes
// at the same time, in each process by one thread.
#ifndef STOATRUN_PROXY_SENT_REQUEST_IDS_H_
#define STOATRUN_PROXY_SENT_REQUEST_IDS_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>

#include "base/clock.h"

namespace stoatrun {

// A set-associative hash table; an id is known by its hash. A full set drops its oldest id.
class SentRequestIds {
 public:
  using Slot = std::atomic<std::uint64_t>;
  // The number of slots: 512 KiB.
  static constexpr std::size_t kSlotCount = std::size_t{1} << 16;
  // The size of the slots in bytes.
  static constexpr std::size_t kMemorySize = kSlotCount * sizeof(Slot);
  static_assert(Slot::is_always_lock_free, "several processes use the slots");
  // The slots in `memory` of kMemorySize bytes, which are zeros or the slots of another table.
  static std::span<Slot, kSlotCount> SlotsIn(void* memory) {
    return std::span<Slot, kSlotCount>(static_cast<Slot*>(memory), kSlotCount);
  }
  // How long an id is kept, unless its set is full.
  static constexpr std::chrono::minutes kRetention{10};

  // `slots`: zeros, or the slots of another table, which is shared then. Must outlive the object.
  explicit SentRequestIds(std::span<Slot, kSlotCount> slots) : slots_(slots) {}

  // Whether the id with the hash `id` was claimed within kRetention. `now`: of the machine's monotonic clock.
  bool Contains(std::uint64_t id, Micros now) const;
  // Adds an id. Returns false if it was claimed before.
  bool Claim(std::uint64_t id, Micros now);
  // Removes an id that was not sent after all.
  void Release(std::uint64_t id);

 private:
  static constexpr std::size_t kSlotsPerSet = 16;
  std::span<Slot, kSlotsPerSet> SetOf(std::uint64_t id) const;

  std::span<Slot, kSlotCount> slots_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_SENT_REQUEST_IDS_H_
