#include "status_poller.h"

#include <fmt/format.h>

#include <cstdint>
#include <utility>

namespace stoatrun::fault_injection {
namespace {

using simdjson::dom::element;
using std::chrono::milliseconds;

constexpr Micros kPollInterval = milliseconds(500);
constexpr Micros kRequestDelay = milliseconds(1);
constexpr std::size_t kMaxRequests = 4;

// Parses `[low, high]`, in which a null `high` means that there is no upper bound.
simulation::ReportedTotals::Interval ParseInterval(const element& pair) {
  const simdjson::dom::array bounds(pair);
  const element high = bounds.at(1);
  return {std::uint64_t(bounds.at(0)), high.is_null() ? UINT64_MAX : std::uint64_t(high)};
}

}  // namespace

void StatusPoller::Start(ManagedRelay& relay) {
  if (relay.process.IsRunning() && !relay.paused) SendRequest(relay);
  harness_.loop.RunAfter(kPollInterval, [this, &relay] { Start(relay); });
}

void StatusPoller::SendRequest(ManagedRelay& relay) {
  const int fd = LineConnection::Connect(harness_.network.RelayIp(relay.index), kManagementPort);
  if (fd < 0) return;
  const auto request = std::make_shared<LineConnection>(
      harness_.loop, fd,
      [this, &relay, run = relay.run](std::string_view line) {
        const bool is_body = !line.empty() && line[0] == '{';
        if (is_body && relay.run == run && relay.process.IsRunning()) OnStatus(relay, std::string(line));
      },
      [] {});
  harness_.loop.RunAfter(kRequestDelay,
                         [request] { request->Send("GET /v1/fleet HTTP/1.1\r\nHost: r\r\n\r\n"); });
  auto& requests = requests_[relay.index];
  requests.push_back(request);
  if (requests.size() <= kMaxRequests) return;
  harness_.closer.Close(requests.front());
  requests.pop_front();
}

void StatusPoller::OnStatus(const ManagedRelay& relay, const std::string& json) {
  element status;
  if (parser_.parse(json).get(status) != simdjson::SUCCESS) return;
  RecordTotals(relay, status["total"]);
  RecordEjected(relay, status["servers"]);
  if (!bool(status["balanced"])) {
    // The status gives no counts for this; unbalanced ones make the checker report a violation.
    harness_.history.CountsReported(relay.name, {.accepted = 1});
  }
  RecordMembers(relay, status["members"]);
}

void StatusPoller::RecordTotals(const ManagedRelay& relay, const element& total) {
  simulation::ReportedTotals totals;
  // The status rounds down to milliseconds.
  totals.oldest_us = std::int64_t(total["oldest_ms"]) * 1000 + 1000;
  totals.accepted = ParseInterval(total["taken"]);
  totals.served = ParseInterval(total["served"]);
  totals.rejected = ParseInterval(total["refused"]);
  totals.failed = ParseInterval(total["failed"]);
  totals.open = ParseInterval(total["open"]);
  harness_.history.TotalsReported(relay.name, totals);
}

void StatusPoller::RecordEjected(const ManagedRelay& relay, const element& servers) {
  std::vector<std::string> ejected;
  for (const element server : simdjson::dom::array(servers)) {
    if (bool(server["avoided"])) ejected.emplace_back(std::string_view(server["server"]));
  }
  harness_.history.EjectedReported(relay.name, harness_.servers.size(), ejected);
}

void StatusPoller::RecordMembers(const ManagedRelay& relay, const element& members) {
  std::string states;
  for (const element member : simdjson::dom::array(members)) {
    states += fmt::format("{}{} {}{}", states.empty() ? "" : ", ", std::string_view(member["name"]),
                          std::string_view(member["standing"]), bool(member["twins"]) ? " twins" : "");
  }
  std::string& previous = member_states_[relay.index];
  if (std::exchange(previous, states) != states) {
    harness_.history.Note(fmt::format("{} member states: {}", relay.name, states));
  }
}

}  // namespace stoatrun::fault_injection
