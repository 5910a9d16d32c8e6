#include "simulation/shrink.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace stoatrun::simulation {
namespace {

constexpr Micros kMinReduction = std::chrono::milliseconds(200);

class Shrinker {
 public:
  Shrinker(Schedule schedule, const std::function<bool(const Schedule&)>& violates, std::size_t max_runs)
      : schedule_(std::move(schedule)), violates_(violates), max_runs_(max_runs) {}

  Schedule Run() {
    ReduceLength();  // First, since simulating the time after the violation is wasted.
    for (std::size_t count = std::max<std::size_t>(1, schedule_.steps.size() / 2); count >= 1; count /= 2) {
      RemoveSteps(count);
    }
    return std::move(schedule_);
  }

 private:
  void ReduceLength() {
    for (Micros reduction = schedule_.length / 2; reduction > kMinReduction; reduction /= 2) {
      Schedule shorter = schedule_;
      shorter.length -= reduction;
      std::erase_if(shorter.steps, [&](const Step& step) { return step.at > shorter.length; });
      AcceptIfViolating(std::move(shorter));
    }
  }

  // Tries to remove each sequence of `count` consecutive steps.
  void RemoveSteps(std::size_t count) {
    for (std::size_t at = 0; at < schedule_.steps.size();) {
      Schedule fewer = schedule_;
      const auto first = fewer.steps.begin() + static_cast<std::ptrdiff_t>(at);
      fewer.steps.erase(first, first + static_cast<std::ptrdiff_t>(std::min(count, fewer.steps.size() - at)));
      if (!AcceptIfViolating(std::move(fewer))) at += count;
    }
  }

  // Keeps the candidate if it still violates the bound; returns whether it did.
  bool AcceptIfViolating(Schedule candidate) {
    if (runs_++ >= max_runs_ || !violates_(candidate)) return false;
    schedule_ = std::move(candidate);
    return true;
  }

  Schedule schedule_;
  const std::function<bool(const Schedule&)>& violates_;
  const std::size_t max_runs_;
  std::size_t runs_ = 0;
};

}  // namespace

Schedule Shrink(Schedule schedule, const std::function<bool(const Schedule&)>& violates,
                std::size_t max_runs) {
  return Shrinker(std::move(schedule), violates, max_runs).Run();
}

}  // namespace stoatrun::simulation
