#include "simulation/relay_workload.h"

#include <algorithm>
#include <array>

namespace stoatrun::simulation {
namespace {

// The fraction of slow-start requests that go to the server currently in slow start.
constexpr double kSlowStartServerShare = 0.8;
constexpr double kServedShare = 0.9;  // Of the connections that clients close; the others fail.
// Names of the outcomes in histories, in the order of the enum.
constexpr std::array<const char*, 3> kOutcomeNames{"served", "refused", "failed"};

}  // namespace

void RelayWorkload::DrawHotspots() {
  busiest_relay_ = state_.random.Below(state_.relays.size());
  slow_start_server_ = state_.random.Below(state_.servers.size());
  state_.events.At(state_.Now() + state_.RandomMilliseconds(2000, 3000), [this] { DrawHotspots(); });
}

void RelayWorkload::Start(SimulatedRelay& relay) {
  ScheduleRateUnit(relay, RateQuota::kSlowStart);
  ScheduleRateUnit(relay, RateQuota::kRetry);
  ScheduleConnection(relay);
  ScheduleRequest(relay);
}

// ---- rate quotas ----

std::uint32_t RelayWorkload::UnitsOf(RateQuota quota) const {
  return quota == RateQuota::kSlowStart ? state_.SlowStartUnits() : state_.RetryUnits();
}

double RelayWorkload::DemandRate(const SimulatedRelay& relay, std::uint32_t units) const {
  if (relay.faults.demand) return *relay.faults.demand * units;
  const double total = state_.setup.demand * units;
  if (relay.index == busiest_relay_) return total * state_.setup.busiest_share;
  const std::size_t others = std::max<std::size_t>(1, state_.relays.size() - 1);
  return total * (1 - state_.setup.busiest_share) / static_cast<double>(others);
}

void RelayWorkload::ScheduleRateUnit(SimulatedRelay& relay, RateQuota quota) {
  const Micros wait = state_.RandomInterval(DemandRate(relay, UnitsOf(quota)));
  state_.After(relay, wait, [this, &relay, quota] {
    const SimulatedServer& server = state_.random.Chance(kSlowStartServerShare)
                                        ? state_.servers[slow_start_server_]
                                        : state_.RandomServer();
    AcquireRateUnit(relay,
                    quota == RateQuota::kSlowStart ? kSlowStartQuotaPrefix + server.name : kRetryQuota);
    ScheduleRateUnit(relay, quota);
  });
}

void RelayWorkload::AcquireRateUnit(SimulatedRelay& relay, const std::string& quota) {
  fleet::Outbox out;
  if (relay.node->TryAcquire(state_.LocalTime(relay), quota, out)) {
    if (state_.Now() >= state_.setup.warm_up) ++spent_units_[quota];
    state_.history.RateUnitSpent(relay.name, quota);
  }
  network_.Send(relay, out);
}

void RelayWorkload::RecordQuotaUtilization() {
  const Micros measured = state_.schedule.length - state_.setup.warm_up;
  for (const auto& [quota, spent] : spent_units_) {
    const std::uint32_t units = UnitsOf(quota == kRetryQuota ? RateQuota::kRetry : RateQuota::kSlowStart);
    state_.metrics.quota_utilization[quota] =
        static_cast<double>(spent) / units * 1e6 / static_cast<double>(measured.count());
  }
}

// ---- connections ----

void RelayWorkload::ScheduleConnection(SimulatedRelay& relay) {
  const double rate = state_.setup.connections_per_s * (relay.index == busiest_relay_ ? 2 : 1);
  state_.After(relay, state_.RandomInterval(rate), [this, &relay] {
    OpenConnection(relay);
    std::erase_if(relay.connections, [](const ConnectionPtr& connection) { return connection->ended; });
    ScheduleConnection(relay);
  });
}

void RelayWorkload::OpenConnection(SimulatedRelay& relay) {
  auto connection = std::make_shared<SimulatedConnection>();
  const std::size_t group = state_.random.Below(kGroupCount + 1);
  const std::string group_name = group < kGroupCount ? GroupName(group) : "";
  const auto class_index = static_cast<std::uint32_t>(state_.random.Below(2));
  connection->count_handle = relay.node->LocalConnections().Begin(class_index, group_name);
  state_.history.ConnectionAccepted(relay.name);
  relay.connections.push_back(connection);
  if (!group_name.empty()) {
    fleet::Outbox out;
    const bool admitted = relay.node->TryAcquire(state_.LocalTime(relay), group_name, out);
    network_.Send(relay, out);
    if (!admitted) return Close(relay, *connection, Outcome::kRejected);
    connection->quota = group_name;
    state_.history.UnitAcquired(relay.name, group_name);
  }
  ScheduleClose(relay, connection);
}

void RelayWorkload::ScheduleClose(SimulatedRelay& relay, const ConnectionPtr& connection) {
  state_.After(relay, state_.RandomMilliseconds(200, 7000), [this, &relay, connection] {
    if (connection->ended) return;
    const bool served = state_.random.Chance(kServedShare);
    Close(relay, *connection, served ? Outcome::kServed : Outcome::kFailed);
  });
}

void RelayWorkload::Close(SimulatedRelay& relay, SimulatedConnection& connection, Outcome outcome) {
  connection.ended = true;
  relay.node->LocalConnections().End(connection.count_handle, outcome);
  if (!connection.quota.empty()) {
    relay.node->Release(connection.quota);
    state_.history.UnitReleased(relay.name, connection.quota);
  }
  state_.history.ConnectionEnded(relay.name, kOutcomeNames[static_cast<std::size_t>(outcome)]);
}

void RelayWorkload::CloseExcess(SimulatedRelay& relay) {
  for (std::size_t group = 0; group < kGroupCount; ++group) {
    const std::string quota = GroupName(group);
    std::uint32_t excess = relay.node->Quotas().Excess(state_.LocalTime(relay), quota);
    for (const ConnectionPtr& connection : relay.connections) {
      if (excess == 0) break;
      if (connection->ended || connection->quota != quota) continue;
      --excess;
      Close(relay, *connection, Outcome::kServed);
    }
  }
}

void RelayWorkload::CloseAll(SimulatedRelay& relay) {
  for (const ConnectionPtr& connection : relay.connections) {
    if (!connection->ended) Close(relay, *connection, Outcome::kServed);
  }
}

// ---- requests to servers ----

void RelayWorkload::ScheduleRequest(SimulatedRelay& relay) {
  state_.After(relay, state_.RandomInterval(state_.setup.requests_per_s), [this, &relay] {
    const SimulatedServer& server = state_.RandomServer();
    relay.node->OnRequestSent(state_.LocalTime(relay), server.name);
    ObserveServer(relay, server);
    ScheduleRequest(relay);
  });
}

void RelayWorkload::ObserveServer(SimulatedRelay& relay, const SimulatedServer& server) {
  const bool failing = relay.faults.server_links_broken || server.failing;
  const auto verdict = failing ? fleet::HealthVerdict::kFailing : fleet::HealthVerdict::kHealthy;
  relay.node->Outliers().Observe(state_.LocalTime(relay), server.name, verdict);
  state_.history.ServerObserved(relay.name, server.name, failing);
}

}  // namespace stoatrun::simulation
