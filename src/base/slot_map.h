// Tables of numbered slots. A number names one use of its slot: once the use has ended it finds nothing.
#ifndef STOATRUN_BASE_SLOT_MAP_H_
#define STOATRUN_BASE_SLOT_MAP_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace stoatrun {

struct SlotId {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;  // 0: names nothing.

  explicit operator bool() const { return generation != 0; }
  bool operator==(const SlotId&) const = default;
  std::uint64_t Packed() const { return std::uint64_t{generation} << 32U | index; }
  static SlotId Unpack(std::uint64_t packed) {
    return {static_cast<std::uint32_t>(packed), static_cast<std::uint32_t>(packed >> 32U)};
  }
};

template <typename T>
class SlotMap {
 public:
  // The constructor of T takes the new number first.
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

  T* Find(SlotId id) {
    if (!id || id.index >= slots_.size() || slots_[id.index].generation != id.generation) return nullptr;
    return slots_[id.index].value.get();
  }

  // The number finds nothing from here on; the value itself lives until Reclaim, for it may be further up the
  // stack.
  void Erase(SlotId id) {
    if (Find(id) == nullptr) return;
    dead_.push_back(std::move(slots_[id.index].value));
    free_.push_back(id.index);
    --size_;
  }

  void Reclaim() { dead_.clear(); }
  std::size_t Size() const { return size_; }

  template <typename F>
  void ForEach(F&& f) {
    for (std::size_t k = 0; k < slots_.size(); ++k) {
      if (slots_[k].value) f(*slots_[k].value);
    }
  }

 private:
  struct Slot {
    std::uint32_t generation = 0;
    std::unique_ptr<T> value;
  };
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
  std::vector<std::unique_ptr<T>> dead_;
  std::size_t size_ = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_SLOT_MAP_H_
