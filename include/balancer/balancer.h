// The balancer: decides for one gateway of a fleet which endpoint serves which client and which connections
// migrate.
//
// It is a deterministic state machine without I/O, clock or threads: the caller hands in events with the time
// and carries out the actions that come back. Equal settings, times and events give equal actions.
//
// Contract of the caller:
//  - One Balancer per gateway (replica), used by one thread at a time. Balancers share nothing.
//  - `now` never goes backwards, and all times handed in have the same origin.
//  - The first event is an EndpointUpdate with the cached list. Events come in the order of their happening.
//  - Every SendAttempt is answered by exactly one AttemptEnded, every ProbeEndpoint by one ProbeCompleted.
//  - Every WatchEndpoints is answered by one EndpointUpdate.
//  - Every StartTimer is answered by one TimerFired: timers are never cancelled.
//
// Events that name an unknown or finished request or an unknown endpoint are ignored. Nothing throws except
// for lack of memory. Rebalancing follows Xu, Huang, Yan and Drwiega, "De-Registration Based S-CSCF Load
// Balancing in IMS Core Network": when an endpoint's utilization exceeds the mean by a margin, a few percent
// of its connections are migrated, and their clients are placed anew.
#ifndef BALANCER_BALANCER_H_
#define BALANCER_BALANCER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace balancer {

// A duration, or a point in time since the origin of the caller's clock.
using Micros = std::chrono::microseconds;

// A client's request for a connection and, once established, the connection. Chosen by the caller; used once.
enum class RequestId : std::uint64_t {};
// An endpoint, in this gateway only.
enum class EndpointId : std::uint64_t {};
// The index of a request's class in Settings::classes.
enum class ClassId : std::uint32_t {};
// A zone; traffic between zones costs Settings::zone_crossing_cost.
enum class ZoneId : std::uint32_t {};
// A cell: a group of endpoints, the narrowest deduplication scope.
enum class CellId : std::uint64_t {};

// Whether a request that may have run may be sent again: always, within its deduplication scope and window by
// an idempotency key, or never.
enum class Idempotency { kIdempotent, kIdempotencyKey, kNotIdempotent };
// The endpoints that recognize each other's idempotency keys: all, those of a zone, or those of a cell.
enum class DeduplicationScope { kAll, kZone, kCell };
// Whether list changes come unasked, or only after WatchEndpoints.
enum class ListMode { kPushed, kSubscribed };
// Whether endpoints report load: never, with each answer to a probe, or with every answer.
enum class ReportMode { kOff, kOnProbe, kWithResponses };

// What holds for all requests of a class. The defaults also serve requests of an unknown class.
struct ClassSettings {
  Micros setup_latency_objective{0};  // Wanted time from the request to the established connection.
  Idempotency idempotency = Idempotency::kNotIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  Micros deduplication_window{0};       // How long endpoints remember an idempotency key.
  Micros message_latency_objective{0};  // Wanted message time on an established connection; 0: none.
};

// The settings of a gateway, fixed for its life.
struct Settings {
  std::uint64_t seed = 0;      // Of all random draws. Gateways must not share one.
  std::uint32_t replicas = 1;  // Gateways of this tier, this one included.
  ZoneId zone{0};              // Where this gateway runs.
  ListMode list_mode = ListMode::kPushed;
  ReportMode report_mode = ReportMode::kOff;
  bool probes_allowed = false;
  bool cancel_allowed = false;     // Whether CancelAttempt may be used.
  std::uint32_t max_attempts = 1;  // Per request.
  Micros max_retry_after{0};       // Clients obey a Retry-After up to this; 0: they are sent none.
  std::vector<ClassSettings> classes;
  double zone_crossing_cost = 0.0;          // Points per request that crosses zones.
  double slow_start_share = 1.0;            // An endpoint starts with this share of its capacity ...
  Micros slow_start_duration{0};            // ... and has all of it after this time.
  double slow_start_overload_factor = 1.0;  // Sent more than this multiple of its present capacity ...
  Micros slow_start_window{0};              // ... for this time, an endpoint in slow start fails.
};

// An endpoint's report of its load. Absent values are not reported.
struct LoadReport {
  std::optional<double> load_ratio;   // Demand over capacity; may exceed 1.
  std::optional<double> utilization;  // Busy fraction of the CPU.
  std::optional<double> outstanding;  // Open requests or connections.
};

// Only ready endpoints are sent attempts. Connections to a draining one go on; a gone one has been removed.
enum class EndpointState { kReady, kDraining, kRemoved };

// An endpoint as discovery lists it.
struct Endpoint {
  EndpointId id{};
  ZoneId zone{};
  CellId cell{};
  EndpointState state = EndpointState::kReady;
  double size = 1.0;            // Capacity, in standard cores.
  Micros started_at{0};         // 0: long ago. A new value means a restart.
  std::uint64_t name_hash = 0;  // The same at every gateway, unlike the id; 0: not known.
};

// ---- Events ----

// The list of endpoints, or changes to it.
struct EndpointUpdate {
  // kChanges: only the entries named have changed. kFull: endpoints that are not named have been removed.
  // kCached: a full list of unknown age, before the first answer. kFailed: a watch ended without an answer.
  enum class Kind { kChanges, kFull, kCached, kFailed };
  Kind kind = Kind::kFull;
  std::vector<Endpoint> entries;
};
// A client asks for a connection. It gets exactly one final answer by its deadline, unless it disconnects.
struct RequestArrived {
  RequestId id{};
  ClassId class_id{};
  Micros deadline{0};
  std::optional<double> load_hint;   // Expected work per second of the connection.
  bool is_reconnect = false;         // The client returns after a lost connection or a migration.
  std::uint64_t affinity_group = 0;  // Connections of a group share work at an endpoint; 0: no group.
};
// A connection that was already established through this gateway when it started.
struct ConnectionResumed {
  RequestArrived request;
  EndpointId endpoint{};
};
// The attempt in flight succeeded: the connection is established, and its deadline no longer applies.
struct AttemptEstablished {
  RequestId id{};
  EndpointId endpoint{};
};
// How an attempt ended. After kRejected, kNotConnected and kNotSent it certainly did not run.
enum class Outcome {
  kServed,          // Complete.
  kError,           // The endpoint answered with an error.
  kRejected,        // The endpoint declined before running it.
  kTimedOut,        // No answer within the attempt's timeout.
  kNotConnected,    // No connection to the endpoint could be made.
  kConnectionLost,  // The connection broke after the request was sent.
  kCancelled,       // By CancelAttempt.
  kNotSent,         // The caller did not send it; no fault of the endpoint.
  kUnknown
};
// An attempt, or the connection established by it, ended.
struct AttemptEnded {
  RequestId id{};
  EndpointId endpoint{};
  Outcome outcome = Outcome::kUnknown;
  bool request_finished = false;  // The client has its final answer.
  std::optional<LoadReport> report;
};
// The present load of an established connection.
struct LoadReported {
  RequestId id{};
  double load = 0.0;  // In the unit of RequestArrived::load_hint.
};
// How long a message takes at an endpoint now.
struct MessageLatencyReported {
  EndpointId endpoint{};
  Micros delay{0};
};
// The answer to a probe, or its failure.
struct ProbeCompleted {
  EndpointId endpoint{};
  bool ok = false;
  std::optional<LoadReport> report;
};
// The client is gone: it needs no answer any more.
struct ClientDisconnected {
  RequestId id{};
};
// What other gateways, where they exchange state, know of an endpoint. Replaces the previous hint for it.
struct FleetHint {
  EndpointId endpoint{};
  double unreported_in_flight = 0;  // Connections that they sent there and no report shows yet.
  double slow_start_tokens =
      -1;              // Connections this gateway may send there in slow start; negative: not known.
  bool eject = false;  // They found it failing: to be ejected for a while.
};
// A timer of StartTimer fired.
struct TimerFired {};

// Anything that happens to the gateway.
using Event = std::variant<EndpointUpdate, RequestArrived, ConnectionResumed, AttemptEstablished,
                           AttemptEnded, LoadReported, MessageLatencyReported, ProbeCompleted,
                           ClientDisconnected, FleetHint, TimerFired>;

// ---- Actions ----

// Send the request to the endpoint.
struct SendAttempt {
  RequestId id{};
  EndpointId endpoint{};
  Micros timeout{0};  // The attempt ends with kTimedOut if not established by then.
};
// Cancel the attempt in flight; its AttemptEnded still comes.
struct CancelAttempt {
  RequestId id{};
  std::uint32_t attempt = 0;  // Attempts of a request count from 0.
};
// Final answer: a retry is harmless.
struct RejectRequest {
  RequestId id{};
  Micros retry_after{0};  // When a retry may succeed; 0: no advice.
};
// Final answer that promises nothing: the request may have run.
struct FailRequest {
  RequestId id{};
};
// Close an established connection gracefully. Its client returns as a new request with is_reconnect.
struct MigrateConnection {
  RequestId id{};
};
// Probe the endpoint's health and load.
struct ProbeEndpoint {
  EndpointId endpoint{};
};
// Start a timer; several may run at once.
struct StartTimer {
  Micros delay{0};
};
// Subscribe to list changes (ListMode::kSubscribed).
struct WatchEndpoints {};

// Anything the caller is to do.
using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, MigrateConnection,
                            ProbeEndpoint, StartTimer, WatchEndpoints>;

// The decisions of one gateway. Movable, not copyable.
class Balancer {
 public:
  // A balancer that knows no endpoints yet.
  explicit Balancer(const Settings& settings);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Takes one event at `now` and appends to `actions` what to do, in order.
  void Handle(Micros now, const Event& event, std::vector<Action>& actions);
  // The number of listed endpoints that are ejected at `now` after failures.
  std::size_t EjectedCount(Micros now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balancer

#endif  // BALANCER_BALANCER_H_
