#include "fake_clients.h"

#include <fmt/format.h>

#include <algorithm>

namespace stoatrun::fault_injection {
namespace {

using std::chrono::milliseconds;

// The relay may not have seen yet what its clients did so lately.
constexpr Micros kRecent = milliseconds(150);
constexpr std::size_t kMaxRecorded = 64;
// On loopback a connection is established within this time or rejected.
constexpr Micros kConnectWait = milliseconds(1);
// However little a relay is to want, some connections come.
constexpr double kMinDemand = 0.1;
constexpr Micros kPausedRetry = milliseconds(200);

}  // namespace

void FakeClients::ScheduleNext(ManagedRelay& relay) {
  const double per_second =
      harness_.setup.connections_per_s * std::max(kMinDemand, relay.faults.demand.value_or(1));
  harness_.loop.After(harness_.random.Interval(per_second), [this, &relay] {
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
  connection->lines = std::make_shared<LineConnection>(
      harness_.loop, fd,
      [this, &relay, connection](std::string_view line) { OnLine(relay, connection, line); },
      [this, &relay, connection] { OnPeerClosed(relay, connection); });
  LoadOf(relay).connections.push_back(connection);
  harness_.loop.After(kConnectWait,
                      [this, &relay, connection, run = relay.run] { SendRequest(relay, connection, run); });
}

void FakeClients::SendRequest(ManagedRelay& relay, const ConnectionPtr& connection, std::uint64_t run) {
  if (connection->over || relay.run != run || relay.paused) return;
  connection->requested = true;
  ++harness_.results.connections;
  RecordChange(relay);
  harness_.history.ConnectionAccepted(relay.name);
  const std::string group_field = connection->group.empty() ? "" : ",t=" + connection->group;
  connection->lines->Send(fmt::format("OPEN {} k c=chat{},d=2000\r\n", connection->id, group_field));
}

void FakeClients::OnLine(ManagedRelay& relay, const ConnectionPtr& connection, std::string_view line) {
  if (connection->over || connection->established) return;
  if (!line.starts_with("UP ")) {
    RecordEnd(relay, *connection, line.starts_with("BUSY") ? Outcome::kRejected : Outcome::kFailed);
    return Remove(relay, connection);
  }
  connection->established = true;
  const milliseconds stay(300 + static_cast<int>(harness_.random.Unit() * 5000));
  harness_.loop.After(stay, [this, &relay, connection, run = relay.run] { Leave(relay, connection, run); });
}

void FakeClients::Leave(ManagedRelay& relay, const ConnectionPtr& connection, std::uint64_t run) {
  if (connection->over || relay.run != run || !relay.process.IsRunning()) return;
  if (relay.paused) {
    harness_.loop.After(kPausedRetry, [this, &relay, connection, run] { Leave(relay, connection, run); });
    return;
  }
  RecordEnd(relay, *connection, Outcome::kServed);
  Remove(relay, connection);
}

void FakeClients::OnPeerClosed(ManagedRelay& relay, const ConnectionPtr& connection) {
  if (connection->over || !relay.process.IsRunning()) return;
  if (connection->established) {
    RecordEnd(relay, *connection, Outcome::kServed);  // Migrated, or its server ended it.
  } else if (connection->requested) {
    RecordEnd(relay, *connection, Outcome::kFailed);
    harness_.history.UncertainConnections(relay.name, 1);  // The relay may never have read the request.
  }
  connection->over = true;
  Remove(relay, connection);
}

void FakeClients::RecordChange(const ManagedRelay& relay) {
  std::deque<Micros>& changed_at = LoadOf(relay).changed_at;
  changed_at.push_back(harness_.loop.Now());
  if (changed_at.size() > kMaxRecorded) changed_at.pop_front();
}

void FakeClients::RecordEnd(const ManagedRelay& relay, Connection& connection, Outcome outcome) {
  connection.over = true;
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
  connection->lines->Close();
  harness_.closer.CloseLines(connection);
  std::erase(LoadOf(relay).connections, connection);
}

void FakeClients::RecordUncertain(const ManagedRelay& relay) {
  const RelayLoad& load = LoadOf(relay);
  auto uncertain =
      std::count_if(load.connections.begin(), load.connections.end(), [](const auto& connection) {
        return connection->requested && !connection->over && !connection->established;
      });
  const Micros recent = harness_.loop.Now() - kRecent;
  uncertain += std::count_if(load.changed_at.begin(), load.changed_at.end(),
                             [&](Micros changed_at) { return changed_at > recent; });
  if (uncertain > 0) harness_.history.UncertainConnections(relay.name, uncertain);
}

void FakeClients::OnRunEnded(const ManagedRelay& relay) {
  auto& connections = LoadOf(relay).connections;
  for (const auto& connection : connections) {
    connection->over = true;  // Callbacks that are still to come find that.
    harness_.closer.CloseLines(connection);
  }
  connections.clear();
}

void FakeClients::CloseAll() {
  for (const auto& load : load_) {
    for (const auto& connection : load.connections) connection->lines.reset();
  }
}

}  // namespace stoatrun::fault_injection
