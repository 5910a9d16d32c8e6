// The time from which an endpoint list counts as overdue, because changes count as known that it may lack: in
// whatever way the calls of discovery fail or drag, after whatever ended the watch.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "endpoint/discovery_script.h"
#include "proxy/loopback_fixture.h"

namespace stoatrun {
namespace {

constexpr int kKnownAfterLossMs = 6000, kKnownAfterReloadMs = 4000;
constexpr int kStepMs = 50;
constexpr int kMaxOverdueMs = 30'000, kMaxOverdueInDoubtMs = 10'000;

const std::string kHead = R"(HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n)";
const std::string kList = R"({"revision":2,"members":[]}\n)";
const std::string kRejection = R"(HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n)";

// What a call meets.
enum class CallFault {
  kRejectedAtOnce,
  kRejectedLate,
  kResetAtOnce,
  kResetLate,
  kRefused,
  kUnanswered,
  kHalfAnswerThenSilence,
  kHalfAnswerThenReset,
  kHeartbeatThenSilence,
};

// How the relay lost the watch.
enum class WatchLoss { kSilence, kReset, kReload };

// A relay with one endpoint whose watch is lost, and whose calls of discovery then meet faults in turn. The
// call after them is answered, late.
class OverdueListTrial {
 public:
  OverdueListTrial(WatchLoss loss, const std::string& mode, int fleet_size, int seed = 7)
      : fixture({"s-1"}, {.fleet_size = fleet_size, .discovery_mode = mode, .seed = seed}),
        loss_(loss),
        late_ms_(mode == "subscribe" ? 2900 : 900) {
    TimeToCall(fixture, service_, 0, 6000);
    fixture.Play(R"(discovery send {"revision":1,"members":[]})");
    fixture.Play("a send OPEN 1 k c=watch,d=2000\ns-1 expect OPEN 1*\ns-1 send UP r1\na expect UP r1");
  }

  // Loses the watch. `faults`: what the next calls meet.
  void Lose(std::vector<CallFault> faults = {}) {
    faults_ = std::move(faults);
    fixture.Play("discovery mute");
    if (loss_ == WatchLoss::kReset) fixture.Play("discovery reset");
    if (loss_ == WatchLoss::kReload) {
      fixture.Play("reload discovery2");
      service_ = "discovery2";
    }
    calls_ = loss_ == WatchLoss::kReload ? 0 : 1;
  }

  // Serves the calls until so long after the loss.
  void PlayUntil(int ms) {
    for (; elapsed_ms_ < ms; elapsed_ms_ += kStepMs) {
      ServeCalls();
      Wait(kStepMs);
    }
  }
  // Serves the calls until the list has arrived. Fails if a request is sent from the time on from which
  // changes count as known.
  void PlayUntilAnswered() {
    const int known_at = loss_ == WatchLoss::kReload ? kKnownAfterReloadMs : kKnownAfterLossMs;
    while (!answered_ && elapsed_ms_ < kMaxOverdueMs) {
      ServeCalls();
      if (!answered_ && elapsed_ms_ >= known_at) CheckRejected();
      Wait(kStepMs);
      elapsed_ms_ += kStepMs;
    }
    CHECK(answered_);
    CheckSent();
  }

  void Wait(int ms) { fixture.Play("wait " + std::to_string(ms)); }
  void CheckRejected() {
    const auto attempts = fixture.Counts().attempts;
    fixture.Play(Numbered("cK send OPEN K k c=watch,d=2000\ncK expect BUSY*\ncK close", ++requests_));
    CHECK(fixture.Counts().attempts == attempts);
  }
  void CheckSent() {
    const auto attempts = fixture.Counts().attempts;
    fixture.Play(Numbered("cK send OPEN K k c=watch,d=2000\nwait 100", ++requests_));
    CHECK(fixture.Counts().attempts == attempts + 1);
    fixture.Play(Numbered("cK close", requests_));
  }

  LoopbackFixture fixture;

 private:
  void Reply(const std::string& text) { fixture.Play(service_ + " " + text); }

  // Begins with the next fault at each new call, and carries on with the present one.
  void ServeCalls() {
    if (is_refusing_ && fixture.Counts().watch_failures > failures_before_refusal_) {
      Reply("up");
      is_refusing_ = false;
    }
    if (fixture.DiscoveryCallCount(service_) > calls_) {
      calls_ = fixture.DiscoveryCallCount(service_);
      called_at_ms_ = elapsed_ms_;
      position_ = std::min(position_ + 1, faults_.size());
      is_served_ = false;
      if (position_ < faults_.size()) Begin(faults_[position_]);
    }
    const bool has_call = position_ != kNone && !is_served_ && elapsed_ms_ >= called_at_ms_ + late_ms_;
    if (!has_call) return;
    is_served_ = true;
    if (position_ < faults_.size()) {
      EndLate(faults_[position_]);
    } else {
      Reply("plain " + kHead + kList);
      answered_ = true;
    }
  }
  void Begin(CallFault fault) {
    switch (fault) {
      case CallFault::kRejectedAtOnce:
        return Reply("plain " + kRejection);
      case CallFault::kResetAtOnce:
        return Reply("reset");
      case CallFault::kRefused:  // The next call, as this one is reset.
        failures_before_refusal_ = fixture.Counts().watch_failures + 1;
        is_refusing_ = true;
        Reply("down");
        return Reply("reset");
      case CallFault::kHalfAnswerThenSilence:
      case CallFault::kHalfAnswerThenReset:
        Reply("plain " + kHead + kList.substr(0, 15));
        if (fault == CallFault::kHalfAnswerThenReset) Reply("reset");
        return;
      case CallFault::kHeartbeatThenSilence:
        // Proves nothing before the whole list, which a new address owes.
        return Reply("plain " + kHead + (loss_ == WatchLoss::kReload ? R"(\n)" : ""));
      case CallFault::kRejectedLate:
      case CallFault::kResetLate:
      case CallFault::kUnanswered:
        return;
    }
  }
  void EndLate(CallFault fault) {
    if (fault == CallFault::kRejectedLate) Reply("plain " + kRejection);
    if (fault == CallFault::kResetLate) Reply("reset");
  }

  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

  const WatchLoss loss_;
  const int late_ms_;  // After a call: its late failure, or its answer.
  std::string service_ = "discovery";
  std::vector<CallFault> faults_;
  std::size_t position_ = kNone;  // Of the present call in faults_; behind its end: answered.
  std::size_t calls_ = 0;
  std::uint64_t failures_before_refusal_ = 0;
  int elapsed_ms_ = 0, called_at_ms_ = 0, requests_ = 1;
  bool is_served_ = false, is_refusing_ = false, answered_ = false;
};

// Calls that fail at once show that the service is down, so they are left out where that counts.
std::vector<CallFault> RandomFaults(int seed, WatchLoss loss, bool pushed) {
  using enum CallFault;
  std::vector<CallFault> kinds{kRejectedLate, kResetLate, kHalfAnswerThenSilence, kHalfAnswerThenReset,
                               kHeartbeatThenSilence};
  if (loss != WatchLoss::kReset || pushed) kinds.insert(kinds.end(), {kRejectedAtOnce, kResetAtOnce});
  if (loss == WatchLoss::kSilence) kinds.push_back(kRefused);
  if (!pushed) kinds.push_back(kUnanswered);  // An agent that does not answer has learned nothing.
  std::mt19937 random(static_cast<unsigned>(seed));
  std::vector<CallFault> faults;
  for (int k = 0; k <= seed % 4; ++k) {
    faults.push_back(kinds[std::uniform_int_distribution<std::size_t>(0, kinds.size() - 1)(random)]);
  }
  return faults;
}

// Guards against requests to an endpoint that drains: a call that was rejected, or not answered, used to
// postpone the time from which a missed change counts as known.
TEST_CASE("no request is sent by an overdue list, however the calls of discovery fail or drag") {
  const std::string mode = GENERATE("subscribe", "automatic");
  const WatchLoss loss = GENERATE(WatchLoss::kSilence, WatchLoss::kReset, WatchLoss::kReload);
  const int fleet_size = GENERATE(2, 205, 900);
  const int seed = GENERATE(range(1, 5));
  INFO(mode << ", loss " << static_cast<int>(loss) << ", fleet of " << fleet_size << ", seed " << seed);
  OverdueListTrial trial(loss, mode, fleet_size, seed);
  trial.Lose(RandomFaults(seed, loss, mode == "automatic"));
  trial.PlayUntilAnswered();
}

// Guards against the case of the review: a silent watch, a first call that waits and is rejected, and a
// second one that is answered late.
TEST_CASE("a rejected call after a silence does not postpone the time from which the list is overdue") {
  OverdueListTrial trial(WatchLoss::kSilence, "subscribe", 2);
  trial.Lose({CallFault::kRejectedLate});
  trial.PlayUntilAnswered();
  CHECK(trial.fixture.Counts().attempts_denied_by_overdue_list > 0);
}

// Guards against requests by the list from before a reload, and against rejections without end if the new
// address never answers.
TEST_CASE(
    "after a reload that is not answered requests are rejected, and no longer than for thirty seconds") {
  OverdueListTrial trial(WatchLoss::kReload, "subscribe", GENERATE(1, 205));
  trial.Lose();
  trial.Wait(kKnownAfterReloadMs - 200);
  trial.CheckSent();
  trial.Wait(100);
  for (int ms = 0; ms < kMaxOverdueMs - 500; ms += 500) {
    trial.CheckRejected();
    trial.Wait(500);
  }
  trial.Wait(500);
  trial.CheckSent();
}

// Guards against a relay that rejects requests again and again while discovery accepts calls and never
// answers.
TEST_CASE("while discovery hangs requests are rejected for thirty seconds in all") {
  LoopbackFixture fixture({"s-1"}, {.fleet_size = GENERATE(1, 205)});
  TimeToCall(fixture, "discovery", 0, 6000);
  fixture.Play(R"(discovery send {"revision":1,"members":[]})");
  fixture.Play("discovery mute");
  constexpr int kIntervalMs = 250;
  for (int ms = 0; ms < 80'000; ms += kIntervalMs) {
    const std::string script = "cK send OPEN K k c=watch,d=200\nwait 250\ncK close";
    fixture.Play(Numbered(script, ms));
  }
  CHECK(fixture.Counts().attempts_denied_by_overdue_list >= (kMaxOverdueMs - 500) / kIntervalMs);
  CHECK(fixture.Counts().attempts_denied_by_overdue_list <= kMaxOverdueMs / kIntervalMs + 1);
}

// Guards against rejections through a long outage in which calls are held and then rejected, as a crowded
// service does with them, too.
TEST_CASE("after a reset with rejected calls requests are rejected for ten seconds at most") {
  OverdueListTrial trial(WatchLoss::kReset, "subscribe", GENERATE(2, 205));
  trial.Lose(std::vector(20, CallFault::kRejectedLate));
  trial.PlayUntil(kKnownAfterLossMs - 100);
  trial.CheckSent();
  trial.PlayUntil(kKnownAfterLossMs + 100);
  trial.CheckRejected();
  trial.PlayUntil(kKnownAfterLossMs + kMaxOverdueInDoubtMs - 200);
  trial.CheckRejected();
  for (int ms = 200; ms < 20'000; ms += 1000) {
    trial.PlayUntil(kKnownAfterLossMs + kMaxOverdueInDoubtMs + ms);
    trial.CheckSent();
  }
}

// Guards against a service that is taken to be down for as long as the first call that it accepts again
// drags.
TEST_CASE("once a service that was down accepts a call, the list is overdue until it has answered") {
  OverdueListTrial trial(WatchLoss::kReset, "subscribe", GENERATE(2, 205));
  trial.fixture.Play("discovery refuse\ndiscovery reset\nwait 9000");
  trial.CheckSent();
  trial.fixture.Play("discovery mute");
  const auto calls = trial.fixture.DiscoveryCallCount();
  CHECK(TimeToCall(trial.fixture, "discovery", calls, 4000) < 4000);
  trial.Wait(300);
  trial.CheckRejected();
  trial.fixture.Play("discovery plain " + kHead + kList);
  trial.CheckSent();
}

// Guards against requests to an endpoint that drains: an attempt was decided in time, and its connection came
// up after the list had become overdue.
TEST_CASE("an attempt whose connection comes up after the list is overdue is not written") {
  LoopbackFixture fixture({"s-1"});
  TimeToCall(fixture, "discovery", 0, 6000);
  fixture.Play(R"(discovery send {"revision":1,"members":[]})");
  fixture.Play("discovery mute\nwait 5900\nturns 0\na send OPEN 1 k c=watch,d=2000");
  while (fixture.Counts().attempts == 0) fixture.Play("turn");
  fixture.Play("stall 200 b send PING\nturns 3\na expect BUSY*");
  CHECK(fixture.Counts().classes[0].forwards == 0);
  CHECK(fixture.Counts().attempts_denied_by_overdue_list == 1);
}

// Guards against requests to an endpoint that drains after the process was stopped: an event that had been
// sent long before it was read counted as just sent.
TEST_CASE("an event counts from the earliest time at which it may have been sent") {
  LoopbackFixture fixture({"s-1"});
  TimeToCall(fixture, "discovery", 0, 6000);
  fixture.Play(R"(discovery send {"revision":1,"members":[]})");
  fixture.Play("stall 2000 discovery raw \\n\ndiscovery mute\nwait 3900");
  fixture.Play("a send OPEN 1 k c=watch,d=50\ns-1 expect OPEN 1*\nwait 200");
  fixture.Play("b send OPEN 2 k c=watch,d=2000\nb expect BUSY*");
}

// Guards against rejections in an outage where lists are pushed: the agent is silent then, and has learned
// nothing.
TEST_CASE("while an agent does not answer the list stays in effect, and few calls wait for it") {
  OverdueListTrial trial(WatchLoss::kSilence, "automatic", GENERATE(1, 900));
  trial.Lose();
  for (int k = 0; k < 20; ++k) {
    trial.Wait(900);
    trial.CheckSent();
  }
  CHECK(trial.fixture.DiscoveryCallCount() >= 10);
  trial.fixture.Play("discovery plain " + kHead + kList);
  CHECK(trial.fixture.Counts().endpoint_updates == 2);
}

}  // namespace
}  // namespace stoatrun
