// Late-notice trials: real relay processes learn in different ways, and late, that an endpoint drains.
// Measures how long after the change counts as known to a relay it still sends requests to that endpoint.
#ifndef STOATRUN_FAULT_INJECTION_LATE_NOTICE_LATE_NOTICE_H_
#define STOATRUN_FAULT_INJECTION_LATE_NOTICE_LATE_NOTICE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace stoatrun::fault_injection {

// How the relays learn of the change.
enum class NoticeFault : std::uint8_t {
  kNone,          // On an open watch.
  kReload,        // A reload moves the watch; only the new address tells the change.
  kReloadSeries,  // The same, with five reloads 0.8 s apart.
  kSilent,        // All watches fall silent.
  kReset,         // All watches are reset.
  kEnded,         // All watches end.
  kMalformed,     // All watches send something malformed.
  kRejected,      // All watches are reset, and calls are answered 503 for 2 s.
  kSlow,          // All watches are reset, and each answer takes 2.5 s.
  kCrowded,       // All watches are reset; the calls of the whole fleet keep the service busy for 5.5 s.
  kOutage,        // The service is down for 8 s; the change is made meanwhile.
  kLateList,      // All watches are reset, and the change enters the lists 2 s later.
  kNewProcess,    // All relays are killed and started with the list from before the change.
  kStall,         // All relays are stopped for 3 s; the change is written to them meanwhile.
};

// All faults, with their names on the command line.
struct NamedNoticeFault {
  std::string_view name;
  NoticeFault fault;
};
inline constexpr NamedNoticeFault kNoticeFaults[] = {
    {"none", NoticeFault::kNone},
    {"reload", NoticeFault::kReload},
    {"reload-series", NoticeFault::kReloadSeries},
    {"silent", NoticeFault::kSilent},
    {"reset", NoticeFault::kReset},
    {"ended", NoticeFault::kEnded},
    {"malformed", NoticeFault::kMalformed},
    {"rejected", NoticeFault::kRejected},
    {"slow", NoticeFault::kSlow},
    {"crowded", NoticeFault::kCrowded},
    {"outage", NoticeFault::kOutage},
    {"late-list", NoticeFault::kLateList},
    {"new-process", NoticeFault::kNewProcess},
    {"stall", NoticeFault::kStall},
};

// The grace time of a drain, and the tolerance that all limits have on sockets.
inline constexpr std::chrono::microseconds kNoticeBound = std::chrono::milliseconds(250 + 50);

// Settings of a trial.
struct NoticeTrial {
  NoticeFault fault = NoticeFault::kReload;
  bool pushed = false;         // Lists are pushed by an agent of each relay.
  bool removed = false;        // The endpoint leaves the list instead of draining.
  std::size_t relays = 3;      // Processes.
  std::size_t fleet_size = 3;  // The setting `balancers`; the service has that many callers' load.
  std::size_t endpoints = 2;   // Entries of the list. Two of them accept requests.
  std::chrono::milliseconds reload_spread{1500};  // From the first relay's reload to the last one's.
  std::chrono::milliseconds fleet_work{0};  // Of the service, for one call of each relay; 0: by the fault.
  std::uint64_t seed = 1;
  std::string program;  // Path of the relay program.
  std::string folder;   // For settings files and logs; must exist.
};

// Results of a trial, over its relays.
struct NoticeResult {
  std::vector<double> lateness_s;          // Last request to the endpoint, after the change counted as known.
  std::vector<double> learned_s;           // List written to the relay, after the change counted as known.
  std::size_t late_relays = 0;             // With a lateness of more than kNoticeBound.
  std::size_t uninformed_relays = 0;       // To which the change was never written.
  std::size_t requests = 0, rejected = 0;  // Of clients, from the fault to the end.
  std::size_t calls = 0, rejected_calls = 0;  // At discovery, from the fault to the end.
  double longest_answer_s = 0;                // The longest wait of an answered call.
  std::size_t crashed = 0;                    // Processes that exited on their own.
};

// Runs a trial in real time on the calling thread. Throws std::runtime_error if the fleet can't be started.
NoticeResult RunNoticeTrial(const NoticeTrial& trial);

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_LATE_NOTICE_LATE_NOTICE_H_
