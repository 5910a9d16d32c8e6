// The interface of balancer: settings, events, actions and the Balancer that turns the one into the other.
//
// What the caller guarantees:
//  - one Balancer per gateway, used by one thread at a time; Balancers share nothing;
//  - `now` never goes backwards and has the same origin as every other time handed in;
//  - the first event is the cached EndpointUpdate; events come in the order in which they happened;
//  - every SendAttempt is answered by exactly one AttemptEnded, every ProbeEndpoint by one ProbeCompleted,
//  every
//    WatchEndpoints by one EndpointUpdate, every StartTimer by one TimerFired (timers are never taken back).
// Events that name an unknown or finished request, or an unknown server, are ignored.
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

using Micros = std::chrono::microseconds;  // A duration, or a time since the clock's own origin.

enum class RequestId : std::uint64_t {};
enum class EndpointId : std::uint64_t {};
enum class ClassId : std::uint32_t {};
enum class ZoneId : std::uint32_t {};
enum class CellId : std::uint64_t {};

enum class Idempotency {
  kIdempotent,
  kIdempotencyKey,
  kNotIdempotent
};  // May a request be repeated: always, by its key, never.
enum class DeduplicationScope { kAll, kZone, kCell };  // The servers that drop each other's repeats (keyed).
enum class ListMode { kPushed, kSubscribed };  // Do list changes come unasked or after WatchEndpoints.
enum class ReportMode { kOff, kOnProbe, kWithAnswers };

struct ClassSettings {
  Micros setup_latency_objective{0};  // A set-up within this earns full worth.
  Idempotency idempotency = Idempotency::kNotIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  Micros deduplication_window{0};
  Micros message_latency_objective{0};  // Wanted message time on an open connection; 0: none told.
};

struct Settings {
  std::uint64_t seed = 0;
  std::uint32_t replicas = 1;  // Gateways of this tier, this one included.
  ZoneId zone{0};
  ListMode list_mode = ListMode::kPushed;
  ReportMode report_mode = ReportMode::kOff;
  bool probes_allowed = false;
  bool cancel_allowed = false;
  std::uint32_t max_attempts = 1;
  Micros max_retry_after{0};  // Clients heed a time to come back up to this; 0: they are not told one.
  std::vector<ClassSettings> classes;
  double zone_crossing_cost = 0.0;          // Points for a crossing of zones per request.
  double slow_start_share = 1.0;            // A started server has at least this share of its capacity ...
  Micros slow_start_duration{0};            // ... and all of it after this time.
  double slow_start_overload_factor = 1.0;  // Sent more than this multiple of its present capacity ...
  Micros slow_start_window{0};              // ... for this time, a cold server falls over.
};

struct LoadReport {                   // What a server says of itself; absent values are not reported.
  std::optional<double> load_ratio;   // Load asked over capacity.
  std::optional<double> utilization;  // Fraction of CPU busy.
  std::optional<double> outstanding;  // Requests or connections held.
};

enum class EndpointState { kReady, kDraining, kGone };

struct Endpoint {
  EndpointId id{};
  ZoneId zone{};
  CellId cell{};
  EndpointState state = EndpointState::kReady;
  double size = 1.0;
  Micros started_at{0};         // 0: long ago.
  std::uint64_t name_hash = 0;  // The same at every gateway, unlike the id; 0: not told.
};

// ---- Events ----

struct EndpointUpdate {
  enum class Kind { kChanges, kFull, kCached, kFailed };
  Kind kind = Kind::kFull;
  std::vector<Endpoint> entries;
};
struct RequestArrived {
  RequestId id{};
  ClassId class_id{};
  Micros deadline{0};
  std::optional<double> load_hint;   // Expected work a second of the connection.
  bool is_reconnect = false;         // The client returns after a break or a move.
  std::uint64_t affinity_group = 0;  // Those of one group share work at a server; 0: of none.
};
struct ConnectionResumed {  // Already open through this gateway when it started.
  RequestArrived request;
  EndpointId endpoint{};
};
struct AttemptEstablished {
  RequestId id{};
  EndpointId endpoint{};
};
enum class Outcome {
  kServed,
  kError,
  kRejected,
  kTimedOut,
  kNotConnected,
  kConnectionLost,
  kCancelled,
  kNotSent,
  kUnknown
};
struct AttemptEnded {
  RequestId id{};
  EndpointId endpoint{};
  Outcome outcome = Outcome::kUnknown;
  bool request_finished = false;  // The client has its final answer.
  std::optional<LoadReport> report;
};
struct LoadReported {  // The present load of an open connection, in the unit of load_hint.
  RequestId id{};
  double load = 0.0;
};
struct MessageLatencyReported {  // How long a message takes at a server now.
  EndpointId endpoint{};
  Micros delay{0};
};
struct ProbeCompleted {
  EndpointId endpoint{};
  bool ok = false;
  std::optional<LoadReport> report;
};
struct ClientDisconnected {
  RequestId id{};
};
struct FleetHint {  // What other gateways, where they speak to each other, know of a server.
  EndpointId endpoint{};
  double unreported_in_flight = 0;  // Connections that they sent there and no report shows yet.
  double slow_start_tokens =
      -1;  // This gateway may send it so many now while it is cold; under 0: its own share is not known.
  bool eject = false;  // They found it failing: to be avoided for a while.
};
struct TimerFired {};

using Event = std::variant<EndpointUpdate, RequestArrived, ConnectionResumed, AttemptEstablished,
                           AttemptEnded, LoadReported, MessageLatencyReported, ProbeCompleted,
                           ClientDisconnected, FleetHint, TimerFired>;

// ---- Actions ----

struct SendAttempt {
  RequestId id{};
  EndpointId endpoint{};
  Micros timeout{0};
};
struct CancelAttempt {
  RequestId id{};
  std::uint32_t attempt = 0;  // Attempts of a request count from 0.
};
struct RejectRequest {  // Final answer: trying again is harmless.
  RequestId id{};
  Micros retry_after{0};  // When trying again may help; 0: no advice.
};
struct FailRequest {  // Final answer that promises nothing.
  RequestId id{};
};
struct MigrateConnection {  // Ends an open connection politely; its client comes again.
  RequestId id{};
};
struct ProbeEndpoint {
  EndpointId endpoint{};
};
struct StartTimer {
  Micros delay{0};
};
struct WatchEndpoints {};

using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, MigrateConnection,
                            ProbeEndpoint, StartTimer, WatchEndpoints>;

class Balancer {
 public:
  explicit Balancer(const Settings& settings);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Takes one event and appends the actions to carry out now, in order.
  void Handle(Micros now, const Event& event, std::vector<Action>& actions);
  // Listed servers that this gateway avoids at `now` after failures: the operators' `ejected`.
  std::size_t EjectedCount(Micros now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balancer

#endif  // BALANCER_BALANCER_H_
