// A table whose entries are addressed by generational ids: an id names one use of a slot, and finds nothing
// once that use has ended. So callbacks can hold ids of objects that may be gone.
//
// Ids are reused last-in first-out, which keeps the table small. Not thread-safe.
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
  std::uint32_t generation = 0;  // 0: names nothing.

  // Does it name anything? The entry may be gone nevertheless.
  explicit operator bool() const { return generation != 0; }
  bool operator==(const SlotId&) const = default;

  // The id as one number, for interfaces that carry numbers; 0 for the id that names nothing.
  std::uint64_t ToUint64() const { return std::uint64_t{generation} << 32U | index; }
  // The reverse of ToUint64.
  static SlotId FromUint64(std::uint64_t number) {
    return {static_cast<std::uint32_t>(number), static_cast<std::uint32_t>(number >> 32U)};
  }
};

// Owns objects of type T, whose constructor takes the SlotId first.
template <typename T>
class SlotMap {
 public:
  // Constructs an entry from its new id and `args`. The reference stays valid until Reclaim after its Erase.
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

  // Removes the entry: its id finds nothing from here on. The object lives until Reclaim, since a caller
  // further up the stack may still use it.
  void Erase(SlotId id) {
    if (Find(id) == nullptr) return;
    erased_.push_back(std::move(slots_[id.index].value));
    free_.push_back(id.index);
    --size_;
  }

  // Destroys the erased objects. To be called where none of them is in use, such as the end of a loop's turn.
  void Reclaim() { erased_.clear(); }
  // The number of entries.
  std::size_t Size() const { return size_; }

  // Calls `visit(entry)` for each entry in the order of the slots. Entries may be added and erased meanwhile.
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
