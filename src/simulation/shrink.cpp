#include "simulation/shrink.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace stoatrun::simulation {
namespace {

constexpr Micros kMinCut = std::chrono::milliseconds(200);

class Shrinker {
 public:
  Shrinker(Schedule schedule, const std::function<bool(const Schedule&)>& violates, std::size_t max_plays)
      : schedule_(std::move(schedule)), violates_(violates), max_plays_(max_plays) {}

  Schedule Run() {
    ShortenEnd();  // First: what comes after the violation only costs time.
    for (std::size_t run = std::max<std::size_t>(1, schedule_.steps.size() / 2); run >= 1; run /= 2) {
      RemoveSteps(run);
    }
    return std::move(schedule_);
  }

 private:
  void ShortenEnd() {
    for (Micros cut = schedule_.length / 2; cut > kMinCut; cut /= 2) {
      Schedule shorter = schedule_;
      shorter.length -= cut;
      std::erase_if(shorter.steps, [&](const Step& step) { return step.at > shorter.length; });
      AcceptIfViolating(std::move(shorter));
    }
  }

  // Tries to leave out each run of so many steps.
  void RemoveSteps(std::size_t run) {
    for (std::size_t at = 0; at < schedule_.steps.size();) {
      Schedule fewer = schedule_;
      const auto first = fewer.steps.begin() + static_cast<std::ptrdiff_t>(at);
      fewer.steps.erase(first, first + static_cast<std::ptrdiff_t>(std::min(run, fewer.steps.size() - at)));
      if (!AcceptIfViolating(std::move(fewer))) at += run;
    }
  }

  bool AcceptIfViolating(Schedule candidate) {
    if (plays_++ >= max_plays_ || !violates_(candidate)) return false;
    schedule_ = std::move(candidate);
    return true;
  }

  Schedule schedule_;
  const std::function<bool(const Schedule&)>& violates_;
  const std::size_t max_plays_;
  std::size_t plays_ = 0;
};

}  // namespace

Schedule Shrink(Schedule schedule, const std::function<bool(const Schedule&)>& violates,
                std::size_t max_plays) {
  return Shrinker(std::move(schedule), violates, max_plays).Run();
}

}  // namespace stoatrun::simulation
