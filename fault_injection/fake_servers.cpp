#include "fake_servers.h"

#include <fmt/format.h>

#include <algorithm>

namespace stoatrun::fault_injection {
namespace {

constexpr std::string_view kOpenVerb = "OPEN ";
constexpr std::string_view kGroupField = ",t=";
constexpr double kConnectionsAtFullLoad = 400;
// To a relay that misreports, every third server fails.
constexpr std::size_t kMisreportedServerStride = 3;

// The group field's value in an OPEN line; empty if there is none.
std::string GroupOf(std::string_view line) {
  const std::size_t field = line.find(kGroupField);
  if (field == std::string_view::npos) return "";
  const std::size_t begin = field + kGroupField.size();
  return std::string(line.substr(begin, line.find_first_of(", ", begin) - begin));
}

}  // namespace

FakeServers::FakeServers(Harness& harness) : harness_(harness) {
  for (const auto& relay : harness_.relays) {
    for (std::size_t server = 0; server < harness_.servers.size(); ++server) Listen(*relay, server);
  }
}

void FakeServers::CloseAll() {
  for (const auto& attempt : attempts_) attempt->stream.reset();
}

void FakeServers::Listen(ManagedRelay& relay, std::size_t server) {
  const int listen_fd = ListenTcp(harness_.network.ServerIp(server, relay.index), kServerPort);
  listeners_.push_back(
      std::make_unique<DescriptorWatcher>(harness_.loop, listen_fd, [this, &relay, server, listen_fd] {
        for (int fd = AcceptTcp(listen_fd); fd >= 0; fd = AcceptTcp(listen_fd)) Accept(relay, server, fd);
      }));
}

void FakeServers::Accept(ManagedRelay& relay, std::size_t server, int fd) {
  auto attempt = std::make_shared<Attempt>();
  attempts_.push_back(attempt);
  attempt->relay = &relay;
  attempt->stream = std::make_shared<LineConnection>(
      harness_.loop, fd,
      [this, server, attempt](std::string_view line) { OnLine(harness_.servers[server], attempt, line); },
      [this, attempt] { OnAttemptEnded(attempt); });
}

void FakeServers::OnAttemptEnded(const std::shared_ptr<Attempt>& attempt) {
  if (attempt->ended) return;
  attempt->ended = true;
  // If the relay's run has ended, all its units are already released.
  if (attempt->holds_unit && attempt->relay->process.IsRunning()) {
    harness_.history.UnitReleased(attempt->relay->name, "connections:" + attempt->group);
  }
  attempt->stream->Close();
  harness_.closer.CloseStream(attempt);
  std::erase(attempts_, attempt);
}

void FakeServers::EndClosedAttempts() {
  for (const auto& attempt : std::vector(attempts_)) {
    if (attempt->holds_unit && attempt->stream->PeerHasClosed()) OnAttemptEnded(attempt);
  }
}

void FakeServers::OnLine(FakeServer& server, const std::shared_ptr<Attempt>& attempt, std::string_view line) {
  if (line == "PING") {
    attempt->stream->Send("PONG\r\n");
  } else if (line == "STATS") {
    SendLoadReport(*attempt);
  } else if (line.starts_with(kOpenVerb)) {
    OnOpen(server, attempt, line);
  } else {
    attempt->stream->Send(fmt::format("{}\r\n", line));
  }
}

void FakeServers::SendLoadReport(Attempt& attempt) const {
  const auto open = std::count_if(attempts_.begin(), attempts_.end(),
                                  [](const auto& candidate) { return candidate->holds_unit; });
  attempt.stream->Send(fmt::format("PONG outstanding={},errors_per_s=0,x0={:.2f}\r\n", open,
                                   static_cast<double>(open) / kConnectionsAtFullLoad));
}

void FakeServers::OnOpen(FakeServer& server, const std::shared_ptr<Attempt>& attempt, std::string_view line) {
  const ManagedRelay& relay = *attempt->relay;
  const std::string id(line.substr(kOpenVerb.size(), line.find(' ', kOpenVerb.size()) - kOpenVerb.size()));
  if (harness_.InSlowStart(server)) harness_.history.RateUnitSpent(relay.name, "cold:" + server.name);
  if (!attempted_requests_.insert(id).second) harness_.history.RateUnitSpent(relay.name, "attempts");
  const bool misreported =
      relay.faults.misreports && simulation::IndexFromName(server.name) % kMisreportedServerStride == 0;
  const bool failing = server.failing || relay.faults.server_links_broken || misreported;
  harness_.history.ServerObserved(relay.name, server.name, failing);
  if (failing) return attempt->stream->Send("ERR\r\n");
  if (const std::string group = GroupOf(line); !group.empty()) AcquireUnit(*attempt, group);
  attempt->stream->Send(fmt::format("UP {}\r\n", id));
}

void FakeServers::AcquireUnit(Attempt& attempt, const std::string& group) {
  attempt.group = group;
  EndClosedAttempts();
  attempt.holds_unit = true;
  harness_.history.UnitAcquired(attempt.relay->name, "connections:" + group);
}

}  // namespace stoatrun::fault_injection
