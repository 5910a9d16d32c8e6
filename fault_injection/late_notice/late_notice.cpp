#include "late_notice/late_notice.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>

#include "event_loop.h"
#include "late_notice/shared_discovery.h"
#include "line_connection.h"
#include "loopback_network.h"
#include "relay_process.h"

namespace stoatrun::fault_injection {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxRelays = 250;
constexpr std::size_t kServingEndpoints = 2, kDrainedEndpoint = 1;
// The service needs this long for one call of each relay of the fleet.
constexpr Micros kFleetWork = milliseconds(3500), kCrowdedFleetWork = milliseconds(5500);
constexpr Micros kSlowAnswer = milliseconds(2500);
constexpr Micros kClientInterval = milliseconds(150), kClientTimeout = seconds(3);
constexpr Micros kRequestDelay = milliseconds(2);  // On loopback a connection is established within it.
constexpr Micros kWatchPollInterval = milliseconds(100), kWatchTimeout = seconds(30);
constexpr Micros kChangeDelay = milliseconds(20);  // From the fault to the change.
constexpr Micros kRejection = seconds(2), kOutage = seconds(8), kStall = seconds(3), kListDelay = seconds(2);
constexpr Micros kSeriesInterval = milliseconds(800);
constexpr int kSeriesReloads = 5;
constexpr Micros kObservation = milliseconds(4000);  // After the last relay's change counts as known.
// When a change that was not written to a relay counts as known.
constexpr Micros kKnownAfterChange = seconds(6), kKnownAfterReload = seconds(4);
constexpr auto kShutdownTimeout = seconds(6);

double Seconds(Micros time) { return std::chrono::duration<double>(time).count(); }

struct Relay {
  RelayProcess process;
  RelayProcess::Files files;
  std::optional<Micros> written_at;  // The change was written to it.
  Micros known_at{0};                // The change counts as known, if it was not written earlier.
  Micros last_attempt{0};            // At the drained endpoint.
};

class TrialRun {
 public:
  explicit TrialRun(const NoticeTrial& trial)
      : trial_(trial),
        random_(trial.seed),
        network_(loop_),
        discovery_(
            loop_, DiscoverySettings(trial), [this] { return ListText(); },
            [this](std::size_t relay) { OnListWritten(relay); }) {
    for (std::size_t index = 0; index < trial.relays; ++index) {
      relays_.push_back(std::make_unique<Relay>());
      const std::string base = fmt::format("{}/n{}", trial.folder, index);
      relays_.back()->files = {base + ".json", base + ".txtpb", base + ".log"};
      std::ofstream(relays_.back()->files.operator_file).flush();
      discovery_.Listen(index, ServiceAddress::kOriginal, DiscoveryIp(index, ServiceAddress::kOriginal),
                        kDiscoveryPort);
      discovery_.Listen(index, ServiceAddress::kNew, DiscoveryIp(index, ServiceAddress::kNew),
                        kDiscoveryPort);
    }
    for (std::size_t endpoint = 0; endpoint < kServingEndpoints; ++endpoint) ListenAsEndpoint(endpoint);
  }

  NoticeResult Run() {
    for (std::size_t index = 0; index < relays_.size(); ++index) Start(index);
    loop_.RunAfter(kWatchPollInterval, [this] { AwaitWatches(); });
    loop_.Run();
    StopAll();
    return Summarize();
  }

 private:
  static SharedDiscoverySettings DiscoverySettings(const NoticeTrial& trial) {
    SharedDiscoverySettings settings;
    settings.relays = trial.relays;
    settings.answers_queued_calls = trial.pushed;
    if (trial.pushed) return settings;
    Micros work = trial.fault == NoticeFault::kCrowded ? kCrowdedFleetWork : kFleetWork;
    if (trial.fleet_work.count() > 0) work = trial.fleet_work;
    // The processes stand for the whole fleet, so that its calls take as long as they would together.
    settings.service_time = work / std::max<std::size_t>(trial.relays, 1);
    if (trial.fleet_size < 10) settings.service_time = milliseconds(40);
    return settings;
  }

  std::string DiscoveryIp(std::size_t relay, ServiceAddress address) const {
    return address == ServiceAddress::kNew ? network_.DuplicateIp(relay) : network_.DiscoveryIp(relay);
  }

  // ---- lists and settings ----

  std::string ListText() const { return ListText(drained_); }

  // Endpoints beyond the serving ones are listed as draining: they only add to the size of the list.
  std::string ListText(bool drained) const {
    std::string members;
    for (std::size_t index = 0; index < std::max(trial_.endpoints, kServingEndpoints); ++index) {
      const bool changed = drained && index == kDrainedEndpoint;
      if (changed && trial_.removed) continue;
      const bool ready = index < kServingEndpoints && !changed;
      members +=
          fmt::format(R"({}{{"id":"s-{:08x}","host_port":"{}:{}","locality":"here","flavor":"x","cell":{},)"
                      R"("phase":"{}","size":1.0,"up_since_ms":0}})",
                      index == 0 ? "" : ",", index, network_.ServerIp(std::min(index, kServingEndpoints), 0),
                      kServerPort, index, ready ? "ready" : "draining");
    }
    return fmt::format(R"({{"revision":{},"complete":true,"members":[{}]}})", drained ? 2 : 1, members);
  }

  std::string ConfigText(std::size_t index, ServiceAddress address) const {
    return fmt::format(R"({{"name":"n{}","listen":"{}:{}","discovery":"{}:{}","seed":"{:016x}",)"
                       R"("limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},"known":{},)"
                       R"("settings":{{"balancers":{},"zone":0,"azs":["here"],"discovery":"{}",)"
                       R"("classes":[{{"name":"chat","effect":"idempotent","group":"all","target":500000,)"
                       R"("hardLimit":2000000}}],"familyInfo":{{"messageAim":[50000]}},)"
                       R"("stats":{{"how":"on_probe","fields":["outstanding","errors_per_s","x0"]}},)"
                       R"("limits":{{"probes":true,"cancel":true,"sendCap":5,"connectTimeout":250000,)"
                       R"("idleClose":10000000,"retryAfter":true,"maxRetryAfter":2000000}},)"
                       R"("invariants":{{"askWithin":10000000,"cold":9000000,"coldFrom":0.32,"fall":1000000,)"
                       R"("fallMultiple":3.0,"stopSendingWithin":250000}}}}}})",
                       index, network_.RelayIp(index), kClientPort, DiscoveryIp(index, address),
                       kDiscoveryPort, trial_.seed * kMaxRelays + index + 1, ListText(false),
                       trial_.fleet_size, trial_.pushed ? "automatic" : "subscribe");
  }

  void WriteConfig(std::size_t index, ServiceAddress address) const {
    std::ofstream out(relays_[index]->files.config, std::ios::trunc);
    if (!(out << ConfigText(index, address)) || !out.flush()) {
      throw std::runtime_error("can't write " + relays_[index]->files.config);
    }
  }

  // ---- relays ----

  void Start(std::size_t index) {
    WriteConfig(index, ServiceAddress::kOriginal);
    relays_[index]->process.Start(trial_.program, relays_[index]->files);
  }

  void Reload(std::size_t index) {
    WriteConfig(index, ServiceAddress::kNew);
    relays_[index]->process.Signal(SIGHUP);
  }

  void SignalAll(int signal_number) const {
    for (const auto& relay : relays_) relay->process.Signal(signal_number);
  }

  void StopAll() {
    for (const auto& relay : relays_) {
      if (relay->process.ReapIfEnded()) ++result_.crashed;
    }
    SignalAll(SIGTERM);
    const auto deadline = std::chrono::steady_clock::now() + kShutdownTimeout;
    for (const auto& relay : relays_) relay->process.WaitUntil(deadline);
  }

  void AwaitWatches() {
    if (loop_.Now() > kWatchTimeout) throw std::runtime_error("not all relays watch the endpoint list");
    if (discovery_.WatchingRelays() < relays_.size()) {
      loop_.RunAfter(kWatchPollInterval, [this] { AwaitWatches(); });
      return;
    }
    for (std::size_t index = 0; index < relays_.size(); ++index) {
      loop_.RunAfter(Random(kClientInterval), [this, index] { StartClients(index); });
    }
    loop_.RunAfter(seconds(1), [this] { BeginFault(); });
  }

  // ---- faults ----

  void BeginFault() {
    fault_began_ = true;
    calls_before_fault_ = discovery_.Calls();
    if (const auto how = BrokenWatches()) discovery_.BreakWatches(*how);
    DisturbService();
    DisturbRelays();
    const Micros known_at = loop_.Now() + KnownAfterFault();
    for (const auto& relay : relays_) {
      const bool reloads = relay->known_at.count() > 0;
      relay->known_at = reloads ? std::min(relay->known_at, known_at) : known_at;
    }
    loop_.RunAfter(ChangeDelay(), [this] { ChangeList(); });
    loop_.RunAfter(KnownAfterFault() + kObservation, [this] { loop_.Stop(); });
  }

  std::optional<WatchBreak> BrokenWatches() const {
    switch (trial_.fault) {
      case NoticeFault::kSilent:
        return WatchBreak::kSilent;
      case NoticeFault::kEnded:
        return WatchBreak::kEnded;
      case NoticeFault::kMalformed:
        return WatchBreak::kMalformed;
      case NoticeFault::kReset:
      case NoticeFault::kRejected:
      case NoticeFault::kSlow:
      case NoticeFault::kCrowded:
      case NoticeFault::kLateList:
        return WatchBreak::kReset;
      default:
        return std::nullopt;
    }
  }

  void DisturbService() {
    if (trial_.fault == NoticeFault::kSlow) discovery_.SetExtraLatency(kSlowAnswer);
    if (trial_.fault == NoticeFault::kRejected) {
      discovery_.RejectCalls(true);
      loop_.RunAfter(kRejection, [this] { discovery_.RejectCalls(false); });
    }
    if (trial_.fault == NoticeFault::kOutage) {
      discovery_.BeginOutage();
      loop_.RunAfter(kOutage, [this] { discovery_.EndOutage(); });
    }
  }

  void DisturbRelays() {
    if (trial_.fault == NoticeFault::kReload) BeginReloads(1);
    if (trial_.fault == NoticeFault::kReloadSeries) BeginReloads(kSeriesReloads);
    if (trial_.fault == NoticeFault::kNewProcess) RestartAll();
    if (trial_.fault == NoticeFault::kStall) {
      SignalAll(SIGSTOP);
      resumed_at_ = loop_.Now() + kStall;
      loop_.RunAfter(kStall, [this] { SignalAll(SIGCONT); });
    }
  }

  // From the fault to the change.
  Micros ChangeDelay() const {
    switch (trial_.fault) {
      case NoticeFault::kLateList:
        return kListDelay;
      case NoticeFault::kOutage:
        return kOutage / 2;
      case NoticeFault::kStall:
        return kStall / 3;
      default:
        return kChangeDelay;
    }
  }

  // From the fault to the time from which the change counts as known to a relay to which it was not written.
  // What an agent has at the end of an outage, or at the start of a process, counts at once.
  Micros KnownAfterFault() const {
    const Micros after_service = trial_.pushed ? Micros(0) : kKnownAfterChange;
    if (trial_.fault == NoticeFault::kOutage) return kOutage + after_service;
    if (trial_.fault == NoticeFault::kNewProcess) return after_service;
    return ChangeDelay() + kKnownAfterChange;
  }

  void ChangeList() {
    drained_ = true;
    discovery_.Publish();
  }

  void BeginReloads(int reloads) {
    discovery_.FreezeOriginalAddress();
    for (std::size_t index = 0; index < relays_.size(); ++index) {
      const Micros first = Random(trial_.reload_spread);
      relays_[index]->known_at = loop_.Now() + first + kKnownAfterReload;
      for (int k = 0; k < reloads; ++k) {
        loop_.RunAfter(first + k * kSeriesInterval, [this, index] { Reload(index); });
      }
    }
  }

  void RestartAll() {
    drained_ = true;
    for (std::size_t index = 0; index < relays_.size(); ++index) {
      relays_[index]->process.KillAndWait();
      Start(index);
    }
  }

  void OnListWritten(std::size_t index) {
    Relay& relay = *relays_[index];
    if (drained_ && fault_began_ && !relay.written_at) relay.written_at = loop_.Now();
  }

  // ---- endpoints and clients ----

  void ListenAsEndpoint(std::size_t endpoint) {
    const int listen_fd = ListenTcp(network_.ServerIp(endpoint, 0), kServerPort);
    listeners_.push_back(std::make_unique<DescriptorWatcher>(loop_, listen_fd, [=, this] {
      for (int fd = AcceptTcp(listen_fd); fd >= 0; fd = AcceptTcp(listen_fd)) AcceptAtEndpoint(endpoint, fd);
    }));
  }

  void AcceptAtEndpoint(std::size_t endpoint, int fd) {
    auto stream = std::make_shared<std::shared_ptr<LineConnection>>();
    *stream = std::make_shared<LineConnection>(
        loop_, fd,
        [this, endpoint, connection = std::weak_ptr(stream)](std::string_view line) {
          if (const auto held = connection.lock()) OnEndpointLine(endpoint, **held, line);
        },
        [this, stream] { loop_.RunAfter(Micros(0), [stream] { stream->reset(); }); });
  }

  // The id of a request begins with the index of its relay. The endpoint goes on to accept requests, as one
  // would that has been restarted.
  void OnEndpointLine(std::size_t endpoint, LineConnection& stream, std::string_view line) {
    if (line == "STATS") return stream.Send("PONG outstanding=1,errors_per_s=0,x0=0.05\r\n");
    if (!line.starts_with("OPEN ")) return;
    std::size_t relay = 0;
    std::from_chars(line.data() + 5, line.data() + line.size(), relay);
    if (endpoint == kDrainedEndpoint && relay < relays_.size()) relays_[relay]->last_attempt = loop_.Now();
    stream.Send("UP r\r\n");
  }

  void StartClients(std::size_t index) {
    OpenClient(index);
    loop_.RunAfter(kClientInterval, [this, index] { StartClients(index); });
  }

  void OpenClient(std::size_t index) {
    const int fd = LineConnection::Connect(network_.RelayIp(index), kClientPort);
    if (fd < 0) return;
    auto stream = std::make_shared<std::shared_ptr<LineConnection>>();
    const auto end = [this, stream] { loop_.RunAfter(Micros(0), [stream] { stream->reset(); }); };
    *stream = std::make_shared<LineConnection>(
        loop_, fd,
        [this, end](std::string_view line) {
          if (fault_began_ && line.starts_with("BUSY")) ++result_.rejected;
          end();
        },
        end);
    loop_.RunAfter(kRequestDelay, [this, stream, index] {
      if (!*stream) return;
      if (fault_began_) ++result_.requests;
      (*stream)->Send(fmt::format("OPEN {}-{} k c=chat,d=1500\r\n", index, ++last_request_));
    });
    loop_.RunAfter(kClientTimeout, [stream] { stream->reset(); });
  }

  // ---- results ----

  NoticeResult Summarize() {
    for (const auto& relay : relays_) {
      Micros known_at = relay->known_at;
      if (relay->written_at) known_at = std::min(known_at, *relay->written_at);
      known_at = std::max(known_at, resumed_at_);
      const Micros lateness = relay->last_attempt - known_at;
      result_.lateness_s.push_back(Seconds(lateness));
      if (lateness > kNoticeBound) ++result_.late_relays;
      if (relay->written_at) {
        result_.learned_s.push_back(Seconds(*relay->written_at - relay->known_at));
      } else {
        ++result_.uninformed_relays;
      }
    }
    std::sort(result_.lateness_s.begin(), result_.lateness_s.end());
    std::sort(result_.learned_s.begin(), result_.learned_s.end());
    result_.calls = discovery_.Calls() - calls_before_fault_;
    result_.rejected_calls = discovery_.RejectedCalls();
    result_.longest_answer_s = Seconds(discovery_.LongestAnswer());
    return std::move(result_);
  }

  Micros Random(Micros limit) {
    return Micros(std::uniform_int_distribution<Micros::rep>(0, limit.count())(random_));
  }

  const NoticeTrial trial_;
  std::mt19937_64 random_;
  EventLoop loop_;
  LoopbackNetwork network_;
  bool drained_ = false, fault_began_ = false;
  SharedDiscovery discovery_;
  std::vector<std::unique_ptr<DescriptorWatcher>> listeners_;
  std::vector<std::unique_ptr<Relay>> relays_;
  Micros resumed_at_{0};
  std::uint64_t last_request_ = 0;
  std::size_t calls_before_fault_ = 0;
  NoticeResult result_;
};

}  // namespace

NoticeResult RunNoticeTrial(const NoticeTrial& trial) {
  if (trial.relays == 0 || trial.relays > kMaxRelays) throw std::runtime_error("1 to 250 relays");
  return TrialRun(trial).Run();
}

}  // namespace stoatrun::fault_injection
