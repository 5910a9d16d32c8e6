// The balancer of one replica of a fleet of relays: decides which endpoint serves which client, and which
// connections migrate.
//
// It is a deterministic state machine without I/O, clock or threads: the caller passes events with their time
// and carries out the returned actions. Equal settings, times and events give equal actions.
//
// Contract of the caller:
//  - One Balancer per replica, used by one thread at a time. Balancers share no state.
//  - `now` never goes backwards, and all times passed in have the same origin.
//  - The first event is an EndpointUpdate with the cached list. Events are passed in the order they occur.
//  - Every SendAttempt is answered by exactly one AttemptEnded, every ProbeEndpoint by one ProbeCompleted.
//  - Every WatchEndpoints is answered by one EndpointUpdate.
//  - Every StartTimer is answered by one TimerFired: timers are never cancelled.
//
// Events that name an unknown or finished request or an unknown endpoint are ignored. Only std::bad_alloc is
// thrown. Rebalancing follows Xu, Huang, Yan and Drwiega, "De-Registration Based S-CSCF Load Balancing in IMS
// Core Network": when an endpoint's utilization exceeds the mean by a margin, a few percent of its
// connections are migrated, and their clients are placed again.
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

// A client's request for a connection and, once established, the connection. Ids are never reused.
enum class RequestId : std::uint64_t {};
// An endpoint. Valid in this replica only.
enum class EndpointId : std::uint64_t {};
// The index of a request's class in Settings::classes.
enum class ClassId : std::uint32_t {};
// A zone. Requests to another zone cost Settings::zone_crossing_cost.
enum class ZoneId : std::uint32_t {};
// A cell: a group of endpoints, the narrowest deduplication scope.
enum class CellId : std::uint64_t {};

// Whether a request that may have run may be sent again: always, by its idempotency key within the
// deduplication scope and window, or never.
enum class Idempotency { kIdempotent, kIdempotencyKey, kNotIdempotent };
// The endpoints that recognize each other's idempotency keys: all, those of a zone, or those of a cell.
enum class DeduplicationScope { kAll, kZone, kCell };
// Whether list changes are pushed unasked, or only after WatchEndpoints.
enum class ListMode { kPushed, kSubscribed };
// Whether endpoints report load: never, with probe responses, or with every response.
enum class ReportMode { kOff, kOnProbe, kWithResponses };

// The settings of a request class. Requests of an unknown class have the defaults.
struct ClassSettings {
  Micros setup_latency_objective{0};  // For the time from the request to the established connection.
  Idempotency idempotency = Idempotency::kNotIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  Micros deduplication_window{0};       // How long endpoints remember an idempotency key.
  Micros message_latency_objective{0};  // For messages on an established connection; 0: none.
};

// The settings of a replica, fixed for its lifetime.
struct Settings {
  std::uint64_t seed = 0;      // Of the random generator. Replicas must not share one.
  std::uint32_t replicas = 1;  // Replicas in the fleet, this one included.
  ZoneId zone{0};              // Where this replica runs.
  ListMode list_mode = ListMode::kPushed;
  ReportMode report_mode = ReportMode::kOff;
  bool probes_allowed = false;
  bool cancel_allowed = false;     // Whether CancelAttempt may be used.
  std::uint32_t max_attempts = 1;  // Per request.
  Micros max_retry_after{0};       // Longest Retry-After that clients obey; 0: none is sent.
  std::vector<ClassSettings> classes;
  double zone_crossing_cost = 0.0;  // Points per request that crosses zones.
  double slow_start_share = 1.0;    // Part of its capacity that an endpoint has when it starts.
  Micros slow_start_duration{0};    // Time after its start when an endpoint has its full capacity.
  // An endpoint in slow start fails if it is sent more than `slow_start_overload_factor` times its present
  // capacity within `slow_start_window`.
  double slow_start_overload_factor = 1.0;
  Micros slow_start_window{0};
};

// A load report of an endpoint. Absent values were not reported.
struct LoadReport {
  std::optional<double> load_ratio;   // Demand over capacity; may exceed 1.
  std::optional<double> utilization;  // Busy fraction of the CPU.
  std::optional<double> outstanding;  // Open requests or connections.
};

// Only ready endpoints are sent attempts. Connections to a draining endpoint continue.
enum class EndpointState { kReady, kDraining, kRemoved };

// An endpoint as discovery lists it.
struct Endpoint {
  EndpointId id{};
  ZoneId zone{};
  CellId cell{};
  EndpointState state = EndpointState::kReady;
  double size = 1.0;            // Capacity, in standard cores.
  Micros started_at{0};         // 0: long ago. A new value means a restart.
  std::uint64_t name_hash = 0;  // The same at every replica, unlike the id; 0: not known.
};

// ---- Events ----

// The list of endpoints, or changes to it.
struct EndpointUpdate {
  // kChanges: only the listed entries have changed. kFull: endpoints that are not listed have been removed.
  // kCached: a full list of unknown age, used until the first update. kFailed: a watch ended without any.
  enum class Kind { kChanges, kFull, kCached, kFailed };
  Kind kind = Kind::kFull;
  std::vector<Endpoint> entries;
};
// A client requests a connection. It gets exactly one final answer by its deadline, unless it disconnects.
struct RequestArrived {
  RequestId id{};
  ClassId class_id{};
  Micros deadline{0};
  std::optional<double> load_hint;   // Expected work per second of the connection.
  bool is_reconnect = false;         // The client returns after a lost connection or a migration.
  std::uint64_t affinity_group = 0;  // Connections of a group share work at an endpoint; 0: no group.
};
// A connection that was already established through this replica when the balancer started.
struct ConnectionResumed {
  RequestArrived request;
  EndpointId endpoint{};
};
// The attempt in flight succeeded: the connection is established, and its deadline no longer applies.
struct AttemptEstablished {
  RequestId id{};
  EndpointId endpoint{};
};
// How an attempt ended. With kRejected, kNotConnected and kNotSent the attempt has not run.
enum class Outcome {
  kServed,          // Completed.
  kError,           // The endpoint answered with an error.
  kRejected,        // The endpoint declined before running it.
  kTimedOut,        // No answer within the attempt's timeout.
  kNotConnected,    // No connection to the endpoint could be made.
  kConnectionLost,  // The connection broke after the request was sent.
  kCancelled,       // By CancelAttempt.
  kNotSent,         // The caller did not send it. Not a failure of the endpoint.
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
// The present latency of messages at an endpoint.
struct MessageLatencyReported {
  EndpointId endpoint{};
  Micros latency{0};
};
// A probe was answered or failed.
struct ProbeCompleted {
  EndpointId endpoint{};
  bool ok = false;
  std::optional<LoadReport> report;
};
// The client has disconnected and needs no answer.
struct ClientDisconnected {
  RequestId id{};
};
// What the other replicas, where replicas share state, know about an endpoint. Replaces its previous hint.
struct FleetHint {
  EndpointId endpoint{};
  double unreported_in_flight = 0;  // Connections that they sent to it and that no report includes yet.
  double slow_start_tokens = -1;  // Connections this replica may send to it in slow start; negative: not set.
  bool eject = false;             // They found it failing: eject it for a while.
};
// A timer of StartTimer fired.
struct TimerFired {};

using Event = std::variant<EndpointUpdate, RequestArrived, ConnectionResumed, AttemptEstablished,
                           AttemptEnded, LoadReported, MessageLatencyReported, ProbeCompleted,
                           ClientDisconnected, FleetHint, TimerFired>;

// ---- Actions ----

// Send the request to the endpoint.
struct SendAttempt {
  RequestId id{};
  EndpointId endpoint{};
  Micros timeout{0};  // The attempt ends with kTimedOut if not established by then.
  // Set for a repeat that is safe only within a deduplication window: at this time or later the caller must
  // not write the request, and ends the attempt with kNotSent.
  std::optional<Micros> send_before;
};
// Cancel the attempt in flight; its AttemptEnded still comes.
struct CancelAttempt {
  RequestId id{};
  std::uint32_t attempt = 0;  // Attempts of a request count from 0.
};
// Final answer that tells the client that a retry is harmless.
struct RejectRequest {
  RequestId id{};
  Micros retry_after{0};  // Time until a retry may succeed; 0: not known.
};
// Final answer that leaves open whether the request has run.
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

using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, MigrateConnection,
                            ProbeEndpoint, StartTimer, WatchEndpoints>;

// Movable, not copyable.
class Balancer {
 public:
  explicit Balancer(const Settings& settings);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Handles one event at `now` and appends the resulting actions to `actions`, in order.
  void Handle(Micros now, const Event& event, std::vector<Action>& actions);
  // The number of listed endpoints that are ejected at `now` after failures.
  std::size_t EjectedCount(Micros now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balancer

#endif  // BALANCER_BALANCER_H_
