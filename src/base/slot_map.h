// A slot map: a table whose entries are addressed by generational ids. An id refers to one use of a slot;
// after the entry has been erased, looking up the id returns null. Callbacks can therefore hold ids of
// objects that may no longer exist.
//
// Free slots are reused in last-in first-out order, which keeps the table small. Not thread-safe.
#ifndef STOATRUN_BASE_SLOT_MAP_H_
#define STOATRUN_BASE_SLOT_MAP_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace stoatrun {

// The id of an entry of a SlotMap.
struct SlotId {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;  // 0: refers to no entry.

  // Returns true unless this is the null id. The entry may have been erased already.
  explicit operator bool() const { return generation != 0; }
  bool operator==(const SlotId&) const = default;

  // Packs the id into an integer, for interfaces that carry integers; 0 for the null id.
  std::uint64_t ToUint64() const { return std::uint64_t{generation} << 32U | index; }
  // The inverse of ToUint64.
  static SlotId FromUint64(std::uint64_t number) {
    return {static_cast<std::uint32_t>(number), static_cast<std::uint32_t>(number >> 32U)};
  }
};

// Owns objects of type T, whose constructor takes the SlotId as its first argument.
template <typename T>
class SlotMap {
 public:
  // Constructs an entry from its id and `args`. The reference is valid until the first Reclaim after Erase.
  template <typename... Args>
  T& Add(Args&&... args) {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const std::uint32_t index = free_.back();
    Slot& slot = slots_[index];
    if (++slot.generation == 0) slot.generation = 1;
    slot.value = std::make_unique<T>(SlotId{index, slot.generation}, std::forward<Args>(args)...);
    free_.pop_back();
    ++size_;
    return *slot.value;
  }

  // The entry with this id; null if it has been erased.
  T* Find(SlotId id) {
    if (!id || id.index >= slots_.size() || slots_[id.index].generation != id.generation) return nullptr;
    return slots_[id.index].value.get();
  }

  // Removes the entry; Find returns null for its id from now on. The object itself is kept until Reclaim,
  // since callers further up the stack may still use it.
  void Erase(SlotId id) {
    if (Find(id) == nullptr) return;
    erased_.push_back(std::move(slots_[id.index].value));
    free_.push_back(id.index);
    --size_;
  }

  // Destroys the erased objects. Call it only when none of them is in use, such as at the end of a loop turn.
  void Reclaim() { erased_.clear(); }
  // The number of entries.
  std::size_t Size() const { return size_; }

  // Calls `visit(entry)` for each entry in slot order. `visit` may add and erase entries.
  template <typename Visitor>
  void ForEach(Visitor&& visit) {
    for (std::size_t index = 0; index < slots_.size(); ++index) {
      if (slots_[index].value) visit(*slots_[index].value);
    }
  }

 private:
  struct Slot {
    std::uint32_t generation = 0;
    std::unique_ptr<T> value;
  };
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
  std::vector<std::unique_ptr<T>> erased_;
  std::size_t size_ = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_SLOT_MAP_H_
