// Schedule::Generate: random schedules. The order in which random numbers are drawn must not change: a seed
// must always give the same schedule, since seeds that found faults are kept as references.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/random.h"
#include "simulation/schedule.h"

namespace stoatrun::simulation {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kGeneratorSalt = 0x5eed;
constexpr std::int64_t kFirstFaultMs = 500;       // Gives the relays time to discover each other.
constexpr const char* kIdleDemandPercent = "10";  // The demand of a relay after a period of high demand.

class ScheduleGenerator {
 public:
  ScheduleGenerator(std::uint64_t seed, std::size_t relays, Micros length)
      : random_(fleet::HashCombine(seed, kGeneratorSalt)) {
    schedule_.seed = seed;
    schedule_.relays = relays;
    schedule_.length = length;
    schedule_.servers = 3 + random_.Below(5);
  }

  Schedule Generate() {
    const std::size_t faults = 2 + random_.Below(10);
    for (std::size_t k = 0; k < faults; ++k) AddFault();
    std::stable_sort(schedule_.steps.begin(), schedule_.steps.end(),
                     [](const Step& a, const Step& b) { return a.at < b.at; });
    return std::move(schedule_);
  }

 private:
  struct Fault {
    FaultAction action;
    std::vector<std::string> arguments;
  };
  // The range from which the duration of a fault is drawn, in milliseconds.
  struct Duration {
    std::int64_t min_ms, max_ms;
  };

  void AddFault() {
    const std::string relay = RandomRelay();
    const std::string other = RandomRelay();
    switch (random_.Below(15)) {
      case 0:
        return AddTemporary({200, 8000}, {FaultAction::kCutLink, {relay, other}},
                            {FaultAction::kHealLink, {relay, other}});
      case 1:
        return AddPartition(relay);
      case 2:
        return AddTemporary({500, 10000}, {FaultAction::kSetLoss, {RandomNumber(5, 60)}},
                            {FaultAction::kSetLoss, {"0"}});
      case 3:
        return AddTemporary({500, 10000}, {FaultAction::kSetDuplication, {RandomNumber(10, 80)}},
                            {FaultAction::kSetDuplication, {"0"}});
      case 4:
        return AddDelay();
      case 5:
      case 6:
        return AddTemporary({100, 6000}, {FaultAction::kPause, {relay}}, {FaultAction::kResume, {relay}});
      case 7:
      case 8:
        return AddTemporary({50, 5000}, {FaultAction::kKill, {relay}}, {FaultAction::kStart, {relay}});
      case 9:
        return AddServerFailure();
      case 10:
        return AddTemporary({1000, 6000}, {FaultAction::kBreakServerLinks, {relay}},
                            {FaultAction::kRestoreServerLinks, {relay}});
      case 11:
        return AddTemporary({1000, 8000}, {FaultAction::kStartMisreporting, {relay}},
                            {FaultAction::kStopMisreporting, {relay}});
      case 12:
        return AddServerRestart();
      case 13:
        return AddDemandShift(relay);
      default:
        return AddTemporary({1000, 10000}, {FaultAction::kSetDemand, {relay, RandomNumber(100, 200)}},
                            {FaultAction::kSetDemand, {relay, kIdleDemandPercent}});
    }
  }

  void AddPartition(const std::string& relay) {
    std::string side = relay;
    for (std::size_t more = random_.Below(schedule_.relays); more > 0; --more) {
      side += fmt::format(",{}", RandomRelay());
    }
    AddTemporary({500, 12000}, {FaultAction::kPartition, {side}}, {FaultAction::kHealAll, {}});
  }

  void AddDelay() {
    const std::string least_ms = RandomNumber(0, 200);
    const std::string most_ms = RandomNumber(200, 2500);
    AddTemporary({500, 10000}, {FaultAction::kSetDelay, {least_ms, most_ms}},
                 {FaultAction::kSetDelay, {"0", "2"}});
  }

  // The server that recovers is drawn independently of the one that fails, so that failures may last to the
  // end of the run and accumulate.
  void AddServerFailure() {
    const std::string recovering = RandomServer();
    const std::string failing = RandomServer();
    AddTemporary({1000, 8000}, {FaultAction::kFailServer, {failing}},
                 {FaultAction::kRecoverServer, {recovering}});
  }

  void AddServerRestart() {
    const std::string server = RandomServer();
    const Micros at = RandomStart();
    Add(at, {FaultAction::kRestartServer, {server}});
  }

  // Demand first rises at one relay, then at all relays, and then returns to idle.
  void AddDemandShift(const std::string& relay) {
    const Micros at = RandomStart();
    Add(at, {FaultAction::kSetDemand, {relay, RandomNumber(200, 300)}});
    const Micros shift_at = at + RandomTime(1500, 5000);
    for (std::size_t k = 0; k < schedule_.relays; ++k) {
      Add(shift_at, {FaultAction::kSetDemand, {RelayName(k), RandomNumber(100, 200)}});
      Add(shift_at + RandomTime(2000, 5000), {FaultAction::kSetDemand, {RelayName(k), kIdleDemandPercent}});
    }
  }

  void AddTemporary(Duration duration, Fault begin, Fault end) {
    const Micros at = RandomStart();
    Add(at, std::move(begin));
    Add(at + RandomTime(duration.min_ms, duration.max_ms), std::move(end));
  }

  void Add(Micros at, Fault fault) {
    schedule_.steps.push_back({at, fault.action, std::move(fault.arguments)});
  }

  Micros RandomStart() { return RandomTime(kFirstFaultMs, schedule_.length.count() / 1000); }
  // A random number of whole milliseconds from `min_ms` to `max_ms`, both inclusive.
  Micros RandomTime(std::int64_t min_ms, std::int64_t max_ms) {
    return milliseconds(
        min_ms + static_cast<std::int64_t>(random_.Below(static_cast<std::size_t>(max_ms - min_ms + 1))));
  }
  // A random number from `base` to below `base + range`, as text.
  std::string RandomNumber(std::size_t base, std::size_t range) {
    return std::to_string(base + random_.Below(range));
  }
  std::string RandomRelay() { return RelayName(random_.Below(schedule_.relays)); }
  std::string RandomServer() { return ServerName(random_.Below(schedule_.servers)); }

  fleet::Random random_;
  Schedule schedule_;
};

}  // namespace

Schedule Schedule::Generate(std::uint64_t seed, std::size_t relays, Micros length) {
  return ScheduleGenerator(seed, relays, length).Generate();
}

}  // namespace stoatrun::simulation
