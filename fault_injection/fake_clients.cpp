#include "fake_clients.h"

#include <fmt/format.h>

#include <algorithm>

namespace stoatrun::fault_injection {
namespace {

using std::chrono::milliseconds;

// A relay may take this long to observe that a client opened or closed a connection.
constexpr Micros kObservationDelay = milliseconds(150);
constexpr std::size_t kMaxChangeTimes = 64;
// On loopback a connection is established or rejected within this time; only then is OPEN sent.
constexpr Micros kRequestDelay = milliseconds(1);
// Lower limit of the demand factor, so that every relay keeps receiving some connections.
constexpr double kMinDemandFactor = 0.1;
constexpr Micros kPausedRetryInterval = milliseconds(200);

}  // namespace

void FakeClients::ScheduleNext(ManagedRelay& relay) {
  const double per_second =
      harness_.setup.connections_per_s * std::max(kMinDemandFactor, relay.faults.demand.value_or(1));
  harness_.loop.RunAfter(harness_.random.Interval(per_second), [this, &relay] {
    if (relay.process.IsRunning() && !relay.paused) Open(relay);
    ScheduleNext(relay);
  });
}

void FakeClients::Open(ManagedRelay& relay) {
  const int fd = LineConnection::Connect(harness_.network.RelayIp(relay.index), kClientPort);
  if (fd < 0) return;
  auto connection = std::make_shared<Connection>();
  connection->id = fmt::format("c{}", ++last_id_);
  const std::size_t group = harness_.random.Below(kGroupCount + 1);
  if (group < kGroupCount) connection->group = GroupName(group);
  connection->stream = std::make_shared<LineConnection>(
      harness_.loop, fd,
      [this, &relay, connection](std::string_view line) { OnLine(relay, connection, line); },
      [this, &relay, connection] { OnPeerClosed(relay, connection); });
  ClientsOf(relay).connections.push_back(connection);
  harness_.loop.RunAfter(kRequestDelay, [this, &relay, connection, run = relay.run] {
    SendOpenRequest(relay, connection, run);
  });
}

void FakeClients::SendOpenRequest(ManagedRelay& relay, const ConnectionPtr& connection, std::uint64_t run) {
  if (connection->ended || relay.run != run || relay.paused) return;
  connection->requested = true;
  ++harness_.results.connections;
  RecordChange(relay);
  harness_.history.ConnectionAccepted(relay.name);
  const std::string group_field = connection->group.empty() ? "" : ",t=" + connection->group;
  connection->stream->Send(fmt::format("OPEN {} k c=chat{},d=2000\r\n", connection->id, group_field));
}

void FakeClients::OnLine(ManagedRelay& relay, const ConnectionPtr& connection, std::string_view line) {
  if (connection->ended || connection->established) return;
  if (!line.starts_with("UP ")) {
    RecordEnd(relay, *connection, line.starts_with("BUSY") ? Outcome::kRejected : Outcome::kFailed);
    return Remove(relay, connection);
  }
  connection->established = true;
  const milliseconds lifetime(300 + static_cast<int>(harness_.random.Unit() * 5000));
  harness_.loop.RunAfter(
      lifetime, [this, &relay, connection, run = relay.run] { CloseByClient(relay, connection, run); });
}

void FakeClients::CloseByClient(ManagedRelay& relay, const ConnectionPtr& connection, std::uint64_t run) {
  if (connection->ended || relay.run != run || !relay.process.IsRunning()) return;
  if (relay.paused) {
    harness_.loop.RunAfter(kPausedRetryInterval,
                           [this, &relay, connection, run] { CloseByClient(relay, connection, run); });
    return;
  }
  RecordEnd(relay, *connection, Outcome::kServed);
  Remove(relay, connection);
}

void FakeClients::OnPeerClosed(ManagedRelay& relay, const ConnectionPtr& connection) {
  if (connection->ended || !relay.process.IsRunning()) return;
  if (connection->established) {
    RecordEnd(relay, *connection, Outcome::kServed);  // Migrated, or closed by its server.
  } else if (connection->requested) {
    RecordEnd(relay, *connection, Outcome::kFailed);
    harness_.history.UncertainConnections(relay.name, 1);  // The relay may never have read the request.
  }
  connection->ended = true;
  Remove(relay, connection);
}

void FakeClients::RecordChange(const ManagedRelay& relay) {
  std::deque<Micros>& changed_at = ClientsOf(relay).changed_at;
  changed_at.push_back(harness_.loop.Now());
  if (changed_at.size() > kMaxChangeTimes) changed_at.pop_front();
}

void FakeClients::RecordEnd(const ManagedRelay& relay, Connection& connection, Outcome outcome) {
  connection.ended = true;
  RecordChange(relay);
  switch (outcome) {
    case Outcome::kServed:
      ++harness_.results.served;
      return harness_.history.ConnectionEnded(relay.name, "served");
    case Outcome::kRejected:
      ++harness_.results.rejected;
      return harness_.history.ConnectionEnded(relay.name, "refused");
    case Outcome::kFailed:
      ++harness_.results.failed;
      return harness_.history.ConnectionEnded(relay.name, "failed");
  }
}

void FakeClients::Remove(const ManagedRelay& relay, const ConnectionPtr& connection) {
  connection->stream->Close();
  harness_.closer.CloseStream(connection);
  std::erase(ClientsOf(relay).connections, connection);
}

void FakeClients::RecordUncertain(const ManagedRelay& relay) {
  const RelayClients& clients = ClientsOf(relay);
  auto uncertain =
      std::count_if(clients.connections.begin(), clients.connections.end(), [](const auto& connection) {
        return connection->requested && !connection->ended && !connection->established;
      });
  const Micros unobserved_since = harness_.loop.Now() - kObservationDelay;
  uncertain += std::count_if(clients.changed_at.begin(), clients.changed_at.end(),
                             [&](Micros changed_at) { return changed_at > unobserved_since; });
  if (uncertain > 0) harness_.history.UncertainConnections(relay.name, uncertain);
}

void FakeClients::OnRunEnded(const ManagedRelay& relay) {
  auto& connections = ClientsOf(relay).connections;
  for (const auto& connection : connections) {
    connection->ended = true;  // Checked by callbacks that are still pending.
    harness_.closer.CloseStream(connection);
  }
  connections.clear();
}

void FakeClients::CloseAll() {
  for (const auto& clients : clients_) {
    for (const auto& connection : clients.connections) connection->stream.reset();
  }
}

}  // namespace stoatrun::fault_injection
