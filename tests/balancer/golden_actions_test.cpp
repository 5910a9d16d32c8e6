// Compares the actions of a Balancer for seeded event sequences, which cover every kind of event, with those
// in the golden files.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "balancer/balancer.h"
#include "balancer/balancer_fixture.h"
#include "golden.h"

namespace balancer {
namespace {

// SplitMix64, which gives the same sequence with every standard library.
class Generator {
 public:
  explicit Generator(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Below(std::uint64_t n) {
    std::uint64_t bits = (state_ += 0x9e3779b97f4a7c15ULL);
    bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
    bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
    return (bits ^ (bits >> 31)) % n;
  }
  bool OneIn(std::uint64_t n) { return Below(n) == 0; }
  double Fraction() { return static_cast<double>(Below(1000)) / 1000; }

 private:
  std::uint64_t state_;
};

std::string ToText(const Action& action) {
  std::ostringstream out;
  const auto number = [](auto id) { return static_cast<std::uint64_t>(id); };
  if (const auto* send = std::get_if<SendAttempt>(&action)) {
    out << "send " << number(send->id) << ' ' << number(send->endpoint) << ' ' << send->timeout.count();
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    out << "cancel " << number(cancel->id) << ' ' << cancel->attempt;
  } else if (const auto* reject = std::get_if<RejectRequest>(&action)) {
    out << "refuse " << number(reject->id) << ' ' << reject->retry_after.count();
  } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
    out << "fail " << number(fail->id);
  } else if (const auto* migrate = std::get_if<MigrateConnection>(&action)) {
    out << "move " << number(migrate->id);
  } else if (const auto* probe = std::get_if<ProbeEndpoint>(&action)) {
    out << "probe " << number(probe->endpoint);
  } else if (const auto* timer = std::get_if<StartTimer>(&action)) {
    out << "timer " << timer->delay.count();
  } else {
    out << "watch";
  }
  return out.str();
}

// Generates random events that respect the contract of the caller, and records them with the resulting
// actions.
class EventSequence {
 public:
  EventSequence(const Settings& settings, std::uint64_t seed)
      : generator_(seed),
        balancer_(settings),
        classes_(settings.classes.size()),
        subscribed_(settings.list_mode == ListMode::kSubscribed) {}

  std::string Run(int events) {
    Start();
    for (int k = 0; k < events; ++k) {
      AdvanceTime(Micros(static_cast<std::int64_t>(generator_.Below(60'000))));
      NextEvent();
    }
    return transcript_.str();
  }

 private:
  struct Attempt {
    std::uint64_t endpoint = 0;
    bool established = false;
  };

  void Handle(const std::string& label, const Event& event) {
    std::vector<Action> actions;
    balancer_.Handle(now_, event, actions);
    transcript_ << now_.count() << ' ' << label << '\n';
    for (const Action& action : actions) {
      transcript_ << "  " << ToText(action) << '\n';
      RecordAction(action);
    }
    const std::size_t ejected_count = balancer_.EjectedCount(now_);
    if (ejected_count != ejected_count_) transcript_ << "  avoided: " << ejected_count << '\n';
    ejected_count_ = ejected_count;
  }
  void RecordAction(const Action& action) {
    if (const auto* send = std::get_if<SendAttempt>(&action)) {
      attempts_[static_cast<std::uint64_t>(send->id)] = {static_cast<std::uint64_t>(send->endpoint), false};
    } else if (const auto* probe = std::get_if<ProbeEndpoint>(&action)) {
      probes_.push_back(static_cast<std::uint64_t>(probe->endpoint));
    } else if (const auto* timer = std::get_if<StartTimer>(&action)) {
      timers_.push_back(now_ + timer->delay);
    } else if (std::holds_alternative<WatchEndpoints>(action)) {
      watch_in_force_ = true;
    }
  }

  void AdvanceTime(Micros span) {
    const Micros end = now_ + span;
    for (;;) {
      std::optional<std::size_t> next;
      for (std::size_t k = 0; k < timers_.size(); ++k) {
        if (timers_[k] <= end && (!next || timers_[k] < timers_[*next])) next = k;
      }
      if (!next) break;
      now_ = std::max(now_, timers_[*next]);
      timers_.erase(timers_.begin() + static_cast<std::ptrdiff_t>(*next));
      Handle("timer", TimerFired{});
    }
    now_ = end;
  }

  std::vector<Endpoint> Entries() {
    std::vector<Endpoint> entries;
    for (std::uint64_t id = 1; id <= kEndpoints; ++id) {
      Endpoint entry = ReadyEndpoint(id, static_cast<std::uint32_t>(id % 2), id % 3);
      entry.size = 1.0 + static_cast<double>(id % 4);
      entry.name_hash = 100 + id;
      entry.started_at = started_[id];
      entry.state = states_[id];
      entries.push_back(entry);
    }
    return entries;
  }
  void Start() {
    states_[kEndpoints] = EndpointState::kDraining;
    Handle("cached list", EndpointUpdate{EndpointUpdate::Kind::kCached, Entries()});
    for (std::uint64_t k = 0; k < 30; ++k) {
      ConnectionResumed event;
      event.request = NewRequest();
      event.endpoint = EndpointId(1 + k % 4);
      attempts_[static_cast<std::uint64_t>(event.request.id)] = {1 + k % 4, true};
      Handle("resumed", event);
    }
  }
  RequestArrived NewRequest() {
    RequestArrived request;
    request.id = RequestId(++last_request_);
    request.class_id = ClassId(static_cast<std::uint32_t>(generator_.Below(classes_)));
    request.deadline = now_ + Milliseconds(static_cast<std::int64_t>(100 + generator_.Below(1500)));
    if (generator_.OneIn(2)) request.load_hint = 4000 * generator_.Fraction();
    request.is_reconnect = generator_.OneIn(4);
    request.affinity_group = generator_.OneIn(2) ? 0 : 1 + generator_.Below(5);
    return request;
  }
  std::optional<LoadReport> NewReport() {
    if (generator_.OneIn(8)) return std::nullopt;
    LoadReport report;
    const double max_load = high_load_ ? 1.4 : 0.8;
    if (!generator_.OneIn(6)) report.load_ratio = max_load * generator_.Fraction();
    if (generator_.OneIn(2)) report.utilization = std::min(1.0, max_load * generator_.Fraction());
    if (generator_.OneIn(2)) report.outstanding = static_cast<double>(generator_.Below(40));
    return report;
  }
  std::uint64_t AnyEndpoint() { return 1 + generator_.Below(kEndpoints); }
  std::pair<std::uint64_t, Attempt> AnyAttempt() {
    return *std::next(attempts_.begin(), static_cast<std::ptrdiff_t>(generator_.Below(attempts_.size())));
  }
  std::uint64_t AnyRequest() { return 1 + generator_.Below(last_request_); }
  std::string WithId(const char* label, std::uint64_t id) { return std::string(label) + std::to_string(id); }

  void NextEvent() {
    if (generator_.OneIn(60)) high_load_ = !high_load_;
    if (!probes_.empty() && !generator_.OneIn(3)) return CompleteProbe();
    switch (generator_.Below(12)) {
      case 0:
        return ChangeList();
      case 1:
        return ReportLoad();
      case 2:
        return Handle("delay",
                      MessageLatencyReported{
                          EndpointId(AnyEndpoint()),
                          Milliseconds(static_cast<std::int64_t>(generator_.Below(high_load_ ? 250 : 60)))});
      case 3:
        return SendFleetHint();
      case 4:
        return DisconnectClient();
      case 5:
      case 6:
      case 7:
      case 8:
        return ProgressAttempt();
      default:
        const RequestArrived request = NewRequest();
        return Handle(WithId("request ", last_request_), request);
    }
  }
  void CompleteProbe() {
    const std::uint64_t endpoint = probes_.front();
    probes_.erase(probes_.begin());
    const bool ok = !generator_.OneIn(10);
    Handle(WithId(ok ? "probe answered " : "probe failed ", endpoint),
           ProbeCompleted{EndpointId(endpoint), ok, ok ? NewReport() : std::nullopt});
  }
  void ChangeList() {
    if (subscribed_ && !watch_in_force_) return;
    if (subscribed_ && generator_.OneIn(4)) {
      watch_in_force_ = false;
      return Handle("failed list", EndpointUpdate{EndpointUpdate::Kind::kFailed, {}});
    }
    const std::uint64_t id = AnyEndpoint();
    const auto state = static_cast<EndpointState>(generator_.Below(3));
    states_[id] = generator_.OneIn(2) ? EndpointState::kReady : state;
    if (states_[id] == EndpointState::kReady && generator_.OneIn(2)) started_[id] = now_;
    const bool full = generator_.OneIn(3);
    EndpointUpdate list{full ? EndpointUpdate::Kind::kFull : EndpointUpdate::Kind::kChanges, Entries()};
    if (!full) list.entries = {list.entries[id - 1]};
    Handle(WithId(full ? "full list " : "changes ", id), list);
  }
  void ReportLoad() {  // Of an established connection only, as the contract demands.
    if (attempts_.empty()) return;
    const auto [id, attempt] = AnyAttempt();
    if (!attempt.established) return;
    Handle(WithId("load ", id), LoadReported{RequestId(id), 6000 * generator_.Fraction()});
  }
  void SendFleetHint() {
    FleetHint hint;
    hint.endpoint = EndpointId(AnyEndpoint());
    hint.unreported_in_flight = 4 * generator_.Fraction();
    hint.slow_start_tokens = generator_.OneIn(2) ? -1 : 3 * generator_.Fraction();
    hint.eject = generator_.OneIn(4);
    Handle(WithId("peers ", static_cast<std::uint64_t>(hint.endpoint)), hint);
  }
  void DisconnectClient() {
    const std::uint64_t id = AnyRequest();
    Handle(WithId("client left ", id), ClientDisconnected{RequestId(id)});
  }
  void ProgressAttempt() {
    if (attempts_.empty()) return;
    const auto [id, attempt] = AnyAttempt();
    if (!attempt.established && !generator_.OneIn(high_load_ ? 2 : 4)) {
      attempts_[id].established = true;
      return Handle(WithId("established ", id),
                    AttemptEstablished{RequestId(id), EndpointId(attempt.endpoint)});
    }
    if (attempt.established && generator_.OneIn(2)) return;  // Lets connections last longer.
    attempts_.erase(id);
    AttemptEnded event{RequestId(id), EndpointId(attempt.endpoint), Outcome::kServed, false, NewReport()};
    if (!attempt.established || generator_.OneIn(3)) {
      event.outcome = static_cast<Outcome>(1 + generator_.Below(8));
    }
    event.request_finished = event.outcome == Outcome::kServed || generator_.OneIn(4);
    Handle(WithId("ended ", id) + WithId(" outcome ", static_cast<std::uint64_t>(event.outcome)), event);
  }

  static constexpr std::uint64_t kEndpoints = 8;
  Generator generator_;
  Balancer balancer_;
  std::size_t classes_;
  std::ostringstream transcript_;
  Micros now_{10'000'000};
  std::map<std::uint64_t, EndpointState> states_;
  std::map<std::uint64_t, Micros> started_;
  std::map<std::uint64_t, Attempt> attempts_;
  std::vector<std::uint64_t> probes_;
  std::vector<Micros> timers_;
  bool subscribed_, watch_in_force_ = false;
  std::size_t ejected_count_ = 0;
  std::uint64_t last_request_ = 0;
  bool high_load_ = false;
};

// Every setting differs from its default.
Settings AllSettings() {
  Settings settings = DefaultSettings();
  settings.replicas = 3;
  settings.zone = ZoneId(1);
  settings.list_mode = ListMode::kSubscribed;
  settings.max_retry_after = Milliseconds(2000);
  settings.zone_crossing_cost = 0.02;
  ClassSettings cell_scoped;
  cell_scoped.setup_latency_objective = Milliseconds(500);
  cell_scoped.idempotency = Idempotency::kIdempotencyKey;
  cell_scoped.deduplication_scope = DeduplicationScope::kCell;
  cell_scoped.deduplication_window = Milliseconds(700);
  cell_scoped.message_latency_objective = Milliseconds(80);
  ClassSettings zone_scoped = cell_scoped;
  zone_scoped.deduplication_scope = DeduplicationScope::kZone;
  ClassSettings not_idempotent;
  not_idempotent.setup_latency_objective = Milliseconds(400);
  settings.classes.insert(settings.classes.end(), {cell_scoped, zone_scoped, not_idempotent});
  return settings;
}

Settings SettingsWithResponses() {
  Settings settings = AllSettings();
  settings.list_mode = ListMode::kPushed;
  settings.report_mode = ReportMode::kWithResponses;
  settings.probes_allowed = false;
  return settings;
}

// Compares line by line, so that a failure shows the first line that differs and its number.
void ExpectGolden(const std::string& name, const std::string& now) {
  const std::string path = "actions/" + name;
  const std::string golden = stoatrun::tests::GoldenText(path, now);
  ASSERT_FALSE(golden.empty()) << path;
  std::istringstream expected_lines(golden), actual_lines(now);
  std::string expected, actual;
  for (int number = 1; std::getline(expected_lines, expected); ++number) {
    ASSERT_TRUE(std::getline(actual_lines, actual)) << path << ':' << number;
    ASSERT_EQ(actual, expected) << path << ':' << number;
  }
  EXPECT_EQ(now, golden);
}

TEST(GoldenActions, MatchForEveryKindOfEvent) {
  const std::string default_settings = EventSequence(DefaultSettings(), 1).Run(1200);
  const std::string all_settings = EventSequence(AllSettings(), 2).Run(1200);
  const std::string with_responses = EventSequence(SettingsWithResponses(), 3).Run(800);
  ExpectGolden("plain.txt", default_settings);
  ExpectGolden("all-settings.txt", all_settings);
  ExpectGolden("reports-with-answers.txt", with_responses);
  // The sequences cover every kind of event and of action.
  const std::string transcript = default_settings + all_settings + with_responses;
  for (const char* event :
       {"cached list", "full list", "changes", "failed list", "request", "resumed", "established", "ended",
        "load", "delay", "probe answered", "probe failed", "client left", "peers", "timer"}) {
    EXPECT_NE(transcript.find(std::string(" ") + event), std::string::npos) << event;
  }
  for (const char* action :
       {"send", "cancel", "refuse", "fail", "move", "probe", "timer", "watch", "avoided:"}) {
    EXPECT_NE(transcript.find(std::string("\n  ") + action), std::string::npos) << action;
  }
}

}  // namespace
}  // namespace balancer
