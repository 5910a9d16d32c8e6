// All decisions of balancer. The types, events and actions are in include/balancer/balancer.h.
// Sections are numbered; what only some deployments need is decided by their settings.
#include "balancer/balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <unordered_map>
#include <utility>

namespace balancer {
namespace {

// ---- 1 constants ----

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kAlpha = 0.7;  // Weight of the latest figure, as in the paper.
constexpr double kStep = 0.05;  // Share of own connections moved on a fresh figure over the margin, likewise.
// A server is hot when its figure lies over mean + kMargin * (1 - mean). At a mean of 2/3 that is the paper's
// 20% above the mean; the margin shrinks as the fleet fills, as the paper suggests, and grows while there is
// room and a move would gain nothing.
constexpr double kMargin = 0.4;
constexpr double kIdle = 0.2;  // Idle: a told load under this part of the mean of those on the server.
// The mean counts no figure over this: a few servers asked for many times their capacity would hide the rest.
constexpr double kFigureCap = 1.0;
// A server near or over its capacity is sick: a step of 5% a figure would take minutes. Then all that lies
// over kRelief goes. Each gateway takes that part of its own connections once for a figure, so all together
// take it once: the step needs no damping.
constexpr double kSick = 0.95, kRelief = 0.8;
// A message later than its aim: more is asked of the server than it can do, by an amount not told.
constexpr double kDelayFigure = 1.2;
// Figures take no notice of a move for about a report's age: no further move from the server until then.
constexpr Micros kSettle = seconds(3);

constexpr int kSampleSends = 4;                 // Probe a server after so many own sends there.
constexpr Micros kSampleInterval = seconds(3);  // Sample held servers no more often than this.
constexpr Micros kHotInterval = seconds(1);     // Likewise near full, where few arrivals tell of it.
constexpr double kHotSample = 0.4;  // Charged for one: what stands too full must not wait for its turn.
constexpr Micros kBlankInterval = milliseconds(500);  // Likewise while reports come back empty.
constexpr double kSamplesPerRequest = 1.5;  // Budget of samples: keeps their price independent of fleet size.
constexpr double kMinSampleRate = 0.2;  // A second: a gateway without arrivals still watches what it holds.
constexpr Micros kTick = milliseconds(250);  // Period of sampling and of looking again for held requests.

constexpr int kPoolTarget = 4;             // Fresh answers wanted for a landing.
constexpr int kThinTarget = 3;             // Where each would serve but one landing.
constexpr std::size_t kPoolSize = 12;      // Answers kept.
constexpr int kPoolUses = 2;               // An answer used more often would herd the gateway's clients.
constexpr Micros kPoolAge = seconds(1);    // About the age of a report when it comes: older ones mislead.
constexpr int kCandidates = 3;             // Table figures looked at for each landing probe.
constexpr std::size_t kTableLooks = 8;     // And for a landing without a fresh answer.
constexpr double kAimForProbes = 1.0 / 8;  // Part of the aim that a request may wait for landing probes.
// A crossing of zones that costs one point counts like so much utilization.
constexpr double kZoneWeight = 5.0;

// Part of the cold budget used: capacity is estimated, arrivals vary.
constexpr double kColdPart = 0.4;
// Reports are made now and then and come late: own sends of so long may be missing in one, and those up to
// this long before the last look at the server are missing in none that differs from what was seen then.
constexpr Micros kReportAge = milliseconds(1500);
constexpr Micros kReportDelay = milliseconds(300);
constexpr double kCore = 1e6;        // Of work a second, in microseconds: the unit of told loads.
constexpr double kToldMemory = 200;  // Connections; their loads differ by a factor of hundreds.
constexpr double kLeastCount = 4;    // Connections that a fleet must report to tell what one of them weighs.
constexpr double kFullShareWeight = 0.03;         // Of what a tick shows: a memory of some eight seconds.
constexpr Micros kRateMemory = seconds(10);       // Memory of the arrival rate.
constexpr Micros kAvoidBase = milliseconds(500);  // A failed server is avoided so long, doubled each time ...
constexpr int kAvoidDoublings = 4;                // ... up to 16 times.
constexpr double kFirstTimeout = 0.5;  // Part of the time left for an attempt while others may follow.
// With even the best server over this, set-ups are refused: a server asked for too much serves nobody.
constexpr double kAdmit = 0.8;
// Those that return after a break or a move bring no new load: the figures still count them where they were.
// Not so once the fleet is full: then what broke them is too much load, which they would bring back.
constexpr double kAdmitBack = 0.95;
constexpr double kRoomBack = 0.65;
constexpr Micros kHerdMemory = seconds(2);  // About the age of what the other gateways know, too.
// A client that comes back seldom does so alone: with thin traffic own sends tell of a herd when it is over.
constexpr double kHerdPrior = 2.0;
// Of what the others would send if they did as this one: part of it their reports show already, and one that
// drains or has just started sends little.
constexpr double kHerdPart = 0.5;
// Those of one group share work: a server that holds some of a connection's own group counts as emptier by so
// much, and while none does, the one that the group's name falls to at every gateway.
constexpr double kGroupHeld = 0.5;
constexpr double kGroupHome = 0.3;
constexpr double kGroupFull = 0.6;  // Not over this: the next one in the group's order is its home then.
constexpr Micros kFullMemory = milliseconds(200);  // So long a full fleet needs no new probes to be known.
// Attempts may be this many times those that stood, and a few more: faults told by all servers alike mean
// that something behind them is overrun, and more attempts would keep it so.
constexpr double kAttemptsPerSuccess = 2.0;
constexpr double kAttemptsFree = 4.0;
constexpr Micros kFaultMemory = seconds(2);  // Longer than a set-up may take, short enough to try again soon.
// Set-ups out at once, as TCP sets its window: one more for each that stands, less by this factor for one
// that timed out. When thousands come again at once they wait here, not in a queue that outlasts them.
constexpr double kWindowStart = 8.0;
constexpr double kWindowMax = 64.0;
constexpr double kWindowCut = 0.5;
constexpr double kCountMean = 0.5;  // Where only counts are known the mean is taken for half of capacity.
constexpr Micros kWatchRetry = seconds(1);  // Base of the jittered wait before a failed watch is renewed.
constexpr Micros kWatchLost = seconds(6);   // A watch without any answer for so long is made again.

class Random {  // SplitMix64: small, seeded, the same everywhere.
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(Unit() * static_cast<double>(n)); }

 private:
  std::uint64_t state_;
};

double Seconds(Micros t) { return std::chrono::duration<double>(t).count(); }
Micros FromSeconds(double s) { return Micros(static_cast<std::int64_t>(s * 1e6)); }

constexpr int kNone = -1;
constexpr double kLastResort = 100.0;  // Over any cost.

class Decaying {  // A count that forgets.
 public:
  explicit Decaying(Micros memory) : memory_(Seconds(memory)) {}
  double At(Micros now) const { return count_ * std::exp(-Seconds(now - at_) / memory_); }
  void Add(Micros now) {
    count_ = At(now) + 1;
    at_ = now;
  }

 private:
  double memory_;
  double count_ = 0;
  Micros at_{0};
};

// ---- 2 state ----

struct Unseen {
  Micros at{0};
  RequestId id{};
  double weight = 1.0;  // In connections of mean load.
};

struct Server {
  Endpoint entry;
  std::uint64_t seen_in = 0;  // Number of the last list that named it.
  // Utilisation table.
  bool has_figure = false;
  double latest = 0, figure = 0;
  double count = -1;  // Connections it reported with the latest; negative: none told.
  Micros figure_at{0};
  std::vector<Unseen> unseen;  // Own sends that its report may not count yet.
  int sends_since_probe = 0;
  bool probe_out = false;
  bool sampled = false;  // The probe out is a sample, paid from their budget.
  // Health, as seen by this gateway.
  int failures = 0;
  bool refuses = false;  // Its last failure was an attempt's: an answer to a probe does not disprove it.
  Micros avoid_until{0};
  Micros settle_until{0};
  // Cold budget, in connections of mean load.
  Micros cold_from{0};  // Start as listed or as seen; 0: long ago.
  double cold_tokens = 0;
  Micros cold_at{0};
  bool cold_told = false;       // What may be sent there is told by the other gateways.
  double others = 0;            // Their connections there that no report shows yet, as they tell.
  std::vector<RequestId> held;  // Own connections that stand here.
  std::unordered_map<std::uint64_t, int> groups;  // Of own attempts and connections here: how many each.
  int eligible_pos = kNone;
};

struct Request {
  RequestArrived info;
  bool finished = false;     // Answered, or its client is gone.
  bool established = false;  // Among the held connections of its server.
  bool stood = false;        // Was established; stays so after a move.
  bool waiting = false;      // For probe answers or for a server that may take it.
  bool attempt_out = false;
  bool may_have_run = false;
  int server = kNone;  // Of the last attempt.
  int ran_at = kNone;  // Of the first attempt that may have run.
  int home = kNone;    // Where its group goes first.
  Micros ran_from{0}, sent_at{0}, decide_by{0};
  std::uint32_t attempts = 0;
  double load = -1;  // Told load; negative: not told.
  std::size_t held_pos = 0;
  std::vector<int> tried;
  std::vector<int> awaited;  // Servers whose landing probes are out.
};

struct Candidate {  // For a move.
  double key, weight;
  RequestId id;
};

struct Cheapest {  // Of what is offered; the first of equals.
  int index = kNone;
  double cost = std::numeric_limits<double>::infinity();
  void Offer(int i, double c) {
    if (c < cost) *this = {i, c};
  }
};

struct PoolAnswer {
  int server = kNone;
  Micros at{0};
  int uses = 0;
};

}  // namespace

class Balancer::Impl {
 public:
  explicit Impl(const Settings& settings) : set_(settings), random_(settings.seed) {
    for (const ClassSettings& c : set_.classes) {
      if (c.message_latency_objective.count() > 0 &&
          (shortest_aim_.count() == 0 || c.message_latency_objective < shortest_aim_)) {
        shortest_aim_ = c.message_latency_objective;
      }
    }
  }

  void Handle(Micros now, const Event& event, std::vector<Action>& out) {
    now_ = std::max(now, now_);
    out_ = &out;
    std::visit([this](const auto& e) { On(e); }, event);
    RunTimers();
  }
  std::size_t Avoided(Micros now) const {  // Listed, and not tried for now after failures.
    std::size_t n = 0;
    for (const Server& s : servers_)
      n += s.entry.state != EndpointState::kGone && now < s.avoid_until ? 1 : 0;
    return n;
  }

 private:
  void Emit(const Action& action) { out_->push_back(action); }
  Micros Jittered(Micros t, double from, double to) {
    return FromSeconds(Seconds(t) * (from + (to - from) * random_.Unit()));
  }
  Request* Find(RequestId id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
  }
  int Index(EndpointId id) const {
    const auto it = index_.find(id);
    return it == index_.end() ? kNone : it->second;
  }
  const ClassSettings& ClassOf(const Request& r) const {
    const auto c = static_cast<std::size_t>(r.info.class_id);
    return c < set_.classes.size() ? set_.classes[c] : unknown_class_;
  }

  // ---- 3 server list ----

  void On(const EndpointUpdate& list) {
    if (list.kind ==
        EndpointUpdate::Kind::kFailed) {  // The old list stays in force until a watch stands again.
      watch_due_ = now_ + Jittered(kWatchRetry, 0.5, 1.5);
      Schedule(watch_due_, Task::kWatch);
      return;
    }
    if (list.kind != EndpointUpdate::Kind::kCached) watch_due_ = Micros(0);
    ++list_round_;
    for (const Endpoint& entry : list.entries) TakeEntry(entry);
    const bool whole = list.kind != EndpointUpdate::Kind::kChanges;
    for (std::size_t i = 0; whole && i < servers_.size(); ++i) {  // Who is absent has been removed.
      if (servers_[i].seen_in != list_round_) SetState(static_cast<int>(i), EndpointState::kGone);
    }
    if (std::exchange(started_, true)) return;
    if (set_.list_mode == ListMode::kSubscribed) Watch();
    Schedule(now_ + Jittered(kTick, 0.0, 1.0), Task::kTick);  // Gateways start together, and must not act so.
  }

  void Watch() {
    Emit(WatchEndpoints{});
    watch_due_ = now_ + kWatchLost;
    Schedule(watch_due_, Task::kWatch);
  }

  void TakeEntry(const Endpoint& entry) {
    const auto [at, fresh] = index_.try_emplace(entry.id, static_cast<int>(servers_.size()));
    if (fresh) servers_.emplace_back();
    Server& s = servers_[at->second];
    s.seen_in = list_round_;
    if (entry.started_at.count() > 0 && entry.started_at != s.entry.started_at)
      Restarted(s, entry.started_at);
    s.entry = entry;
    SetState(at->second, entry.state);
  }

  void SetState(int i, EndpointState state) {
    Server& s = servers_[i];
    if (state == EndpointState::kReady) {
      if (s.eligible_pos == kNone) {
        s.eligible_pos = static_cast<int>(eligible_.size());
        eligible_.push_back(i);
      }
    } else if (s.eligible_pos != kNone) {
      DropFigure(s);
      const int last = eligible_.back();
      eligible_[s.eligible_pos] = last;
      servers_[last].eligible_pos = s.eligible_pos;
      eligible_.pop_back();
      s.eligible_pos = kNone;
    }
    s.entry.state = state;
  }

  // What was known of a server's load ended with its process.
  void Restarted(Server& s, Micros at) {
    DropFigure(s);
    s.failures = 0;
    s.refuses = false;
    s.avoid_until = Micros(0);
    s.cold_from = at;
    s.cold_at = now_;
    s.cold_tokens = random_.Unit();  // Gateways start at different points: their first sends don't bunch.
  }

  // ---- 4 utilization table ----

  double Mean() const { return figures_ > 0 ? figure_sum_ / figures_ : 0.0; }

  void DropFigure(Server& s) {
    if (!s.has_figure) return;
    s.has_figure = false;
    figure_sum_ -= std::min(s.figure, kFigureCap);
    s.figure = 0;  // Else a restarted server would count as full as it was.
    --figures_;
  }

  void TakeFigure(int i, double value, double count = -1) {
    Server& s = servers_[i];
    if (s.entry.state != EndpointState::kReady) return;
    const double previous = s.has_figure ? s.latest : value;
    // The same figures are the same report, looked at again: it knows no more of what was sent since. Without
    // counts and told loads what one of them weighs is known too roughly to carry them over.
    const bool same = s.has_figure && value == s.latest && count == s.count;
    const bool rough = count < 0 && told_ <= 0;
    const Micros since = std::max(rough  ? now_
                                  : same ? Micros(0)
                                         : s.figure_at - kReportDelay,
                                  now_ - kReportAge);
    std::erase_if(s.unseen, [&](const Unseen& u) { return u.at <= since; });
    DropFigure(s);
    s.latest = value;
    s.figure = kAlpha * value + (1 - kAlpha) * previous;
    s.has_figure = true;
    s.count = count;
    s.figure_at = now_;
    figure_sum_ += std::min(s.figure, kFigureCap);
    ++figures_;
    Rebalance(i);
  }

  // Load over capacity where it is reported, else CPU use, else the count held, else own connections: the
  // last two against the mean of such figures, for no capacity is known.
  std::optional<double> FigureOf(int i, const std::optional<LoadReport>& report) {
    Server& s = servers_[i];
    if (report) {
      // A server that carries connections of this gateway has load: a zero is a report that was not yet made.
      if (report->load_ratio && *report->load_ratio <= 0 && !s.held.empty()) return std::nullopt;
      const auto& told = report->load_ratio ? report->load_ratio : report->utilization;
      if (told) return std::max(0.0, *told);
      if (report->outstanding) return RelativeCount(s, *report->outstanding);
    }
    if (set_.report_mode == ReportMode::kOff) return RelativeCount(s, static_cast<double>(s.held.size()));
    return std::nullopt;
  }
  double RelativeCount(const Server& s, double count) {
    const double by_size = count / std::max(s.entry.size, 1e-9);
    count_mean_ = count_mean_ < 0 ? by_size : 0.95 * count_mean_ + 0.05 * by_size;
    return kCountMean * by_size / std::max(count_mean_, 1e-9);
  }

  // What a connection of mean load takes of a server of size 1. `wary`: with what its group may cost besides.
  double LoadOfOne(bool wary = false) const {
    double load = 0, sampled = 0, all = 0, counted = 0, count = 0, held = 0;
    for (const int i : eligible_) {
      const Server& s = servers_[i];
      all += s.entry.size;
      held += std::max(
          0.0, static_cast<double>(s.held.size()) - static_cast<double>(s.has_figure ? s.unseen.size() : 0));
      if (!s.has_figure) continue;
      sampled += s.entry.size;
      load += s.figure * s.entry.size;
      counted += s.count < 0 ? 0 : s.figure * s.entry.size;
      count += std::max(s.count, 0.0);
    }
    if (count >= kLeastCount) return counted / count;
    // Own ones stand for the others', and servers looked at for those that were not. After a start own ones
    // are too few, and what they tell is nearer: sizes count cores of the standard in which loads are told.
    if (held <= 0) held = static_cast<double>(held_);
    const double mean = Blind() ? kCountMean : load / std::max(sampled, 1e-9);
    const double told = told_mean_ / kCore, by_own = held > 0 ? mean * all / (held * set_.replicas) : 0;
    return !wary && told > 0 && by_own > 0 ? std::min(told, by_own) : std::max(told, by_own);
  }
  double LoadOfOne(const Server& s) const { return LoadOfOne() / std::max(s.entry.size, 1e-9); }

  double Estimate(const Server& s) const {
    // Nothing told of a server that has just started means that it has taken nothing yet.
    const double base = s.has_figure ? s.figure : Cold(s) ? 0.0 : Mean();
    double weight = s.others;
    for (const Unseen& u : s.unseen) weight += u.weight;
    return base + weight * LoadOfOne(s);
  }

  // ---- 5 probing ----

  bool CanProbe() const { return set_.probes_allowed && set_.report_mode != ReportMode::kOff; }

  bool Probe(int i) {
    Server& s = servers_[i];
    if (s.probe_out || s.entry.state != EndpointState::kReady) return false;
    s.probe_out = true;
    s.sends_since_probe = 0;
    Emit(ProbeEndpoint{s.entry.id});
    return true;
  }

  void On(const ProbeCompleted& e) {
    const int i = Index(e.endpoint);
    if (i == kNone) return;
    Server& s = servers_[i];
    s.probe_out = false;
    const bool sampled = std::exchange(s.sampled, false);
    if (e.ok && !s.refuses && now_ >= s.avoid_until) s.failures = 0;
    if (!e.ok) {
      NoteFailure(i, false);
    } else if (const auto figure = FigureOf(i, e.report)) {
      TakeFigure(i, *figure, e.report ? e.report->outstanding.value_or(-1) : -1);
      AddToPool(i);
    } else if (sampled) {
      // Right after a start servers have no report made yet. A budget spent on such answers would leave the
      // gateway blind for seconds to what it holds on a sick server.
      sample_allowance_ += 1;
      if (!s.has_figure) s.figure_at = now_;
    }
    for (std::size_t k = 0; k < waiting_.size();) {  // Those that waited for this answer may be placed now.
      Request& r = *Find(waiting_[k]);
      std::erase(r.awaited, i);
      if (!r.awaited.empty() || !Decide(r)) ++k;
    }
  }

  bool Probable(const Request& r, int i) {
    const Server& s = servers_[i];
    return !s.probe_out && !Contains(r.tried, i) && now_ >= s.avoid_until && MaySend(r, i);
  }

  // A cold server with budget left here. A gateway of many has little of it and seldom: it goes first.
  int OpenCold(const Request& r) {
    const std::size_t start = random_.Below(std::max<std::size_t>(eligible_.size(), 1));
    for (std::size_t k = 0; k < eligible_.size(); ++k) {
      const int i = eligible_[(start + k) % eligible_.size()];
      if (Cold(servers_[i]) && servers_[i].figure < kAdmit && Probable(r, i)) return i;
    }
    return kNone;
  }

  // Candidates for landing: the best of a few by the table, so that probes go where a landing is likely.
  int LandingCandidate(const Request& r) {
    if (const int cold = OpenCold(r); cold != kNone) return cold;
    Cheapest best;
    if (r.home != kNone && r.awaited.empty() && Probable(r, r.home)) return r.home;
    for (int k = 0; k < kCandidates; ++k) {
      const int i = eligible_[random_.Below(eligible_.size())];
      if (Probable(r, i)) best.Offer(i, Cost(r, i));
    }
    return best.index;
  }

  void SeekLanding(Request& r) {
    if (MayRefuse(r) && ((now_ < full_until_ && OpenCold(r) == kNone) || Overrun())) return Answer(r);
    r.home = Home(r);
    if (CanProbe() && !eligible_.empty()) {
      const auto fresh = std::count_if(pool_.begin(), pool_.end(), [&](auto& a) { return Usable(r, a); });
      const std::ptrdiff_t target = Thin() ? kThinTarget : kPoolTarget;
      for (auto k = std::min(fresh, target - 1); k < target; ++k) {
        const int i = LandingCandidate(r);
        if (i != kNone && Probe(i)) r.awaited.push_back(i);
      }
    }
    if (r.awaited.empty() && Decide(r)) return;
    Wait(r, now_ + FromSeconds(Seconds(ClassOf(r).setup_latency_objective) * kAimForProbes));
  }

  // One of many gateways: arrivals tell it little, and its answers are old when it uses them.
  bool Thin() const {
    return set_.replicas > eligible_.size() && kSamplesPerRequest * ArrivalRate() < kMinSampleRate;
  }

  // Samples of the servers on which this gateway holds connections, oldest figures first by turns.
  void Sample() {
    if (!CanProbe() && set_.report_mode != ReportMode::kOff) return;
    // A look at each that is held, at most two by all gateways together.
    if (sample_allowance_ < 0)
      sample_allowance_ =
          std::min(1.0, 2.0 / set_.replicas) * static_cast<double>(std::min(held_, servers_.size()));
    const double rate = std::max(kMinSampleRate, kSamplesPerRequest * ArrivalRate());
    sample_allowance_ = std::min(sample_allowance_ + rate * Seconds(kTick), std::max(2.0, sample_allowance_));
    int this_tick = 8;
    const double least = Thin() ? kHotSample : 1.0;
    for (std::size_t k = 0; k < eligible_.size() && sample_allowance_ >= least && this_tick > 0; ++k) {
      sample_cursor_ = (sample_cursor_ + 1) % eligible_.size();
      const int i = eligible_[sample_cursor_];
      Server& s = servers_[i];
      const double charge = s.has_figure && s.figure > kAdmit ? least : 1.0;
      const Micros interval = charge < 1 ? kHotInterval : s.has_figure ? kSampleInterval : kBlankInterval;
      const bool due = s.figure_at.count() == 0 || now_ >= s.figure_at + interval;
      if ((s.held.empty() && !Blind()) || !due || sample_allowance_ < charge) continue;
      if (Blind()) {
        DropFigure(s);  // Of late messages: nothing else would ever end what it says.
      } else if (set_.report_mode == ReportMode::kOff) {
        TakeFigure(i, *FigureOf(i, std::nullopt));
      } else if (Probe(i)) {
        s.sampled = true;
        sample_allowance_ -= charge;
        --this_tick;
      }
    }
  }

  // ---- 6 rebalancing ----

  void On(const MessageLatencyReported& e) {
    const int i = Index(e.endpoint);
    if (i == kNone || shortest_aim_.count() == 0 || e.delay < shortest_aim_) return;
    TakeFigure(i, std::max(servers_[i].latest, kDelayFigure));  // Fresh evidence that costs no probe.
  }

  void On(const LoadReported& e) {
    Request* r = Find(e.id);
    if (r == nullptr) return;
    if (r->load < 0) told_mean_ += (e.load - told_mean_) / std::min(++told_, kToldMemory);
    r->load = e.load;
    for (Unseen& u : servers_[r->server].unseen) {
      if (u.id == e.id && told_mean_ > 0) u.weight = e.load / told_mean_;
    }
  }

  void Rebalance(int i) {
    Server& s = servers_[i];
    const double mean = Mean();
    if (s.held.empty() || now_ < s.settle_until || s.figure <= mean + kMargin * (1 - mean)) return;
    const double over =
        std::min(s.figure, s.latest);  // An older figure must not make a falling load look higher.
    const bool sick = over > kSick;
    std::vector<Candidate> order;
    double total = 0, loads = 0;
    for (const RequestId id : s.held) {
      const Request& r = *Find(id);
      const double load = r.load >= 0 ? r.load : r.info.load_hint.value_or(-1);
      // Idle first: told load, else hint, else at random. From a sick server the heaviest: the fewest moves.
      const double key = load < 0 ? random_.Unit() : sick ? -load : load;
      order.push_back({key, sick && load >= 0 ? load : 1.0, id});
      total += order.back().weight;
      loads += std::max(load, 0.0);
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.key < b.key; });
    // Relief counts load, not connections: a count of the heaviest would overshoot.
    double left = total * (sick ? std::max(kStep, 1 - kRelief / over) : kStep);
    const double idle = kIdle * loads / static_cast<double>(s.held.size());
    for (const Candidate& c : order) {
      if (random_.Unit() * c.weight >= left)
        break;  // 5% of two is none in nine of ten cases: rounded at random.
      if (!sick && Find(c.id)->load > idle) break;  // Never more than are idle, where load is told.
      left -= c.weight;
      s.settle_until = now_ + kSettle;  // One late figure must not be acted on twice.
      Move(c.id);
    }
  }

  void Move(RequestId id) {
    Request& r = *Find(id);
    Emit(MigrateConnection{id});
    Release(r);
    r.finished = true;  // The client comes again as a new request; the attempt's end is still told.
  }

  // ---- 7 placement ----

  void AddToPool(int i) {
    std::erase_if(pool_, [&](const PoolAnswer& a) { return a.server == i || now_ > a.at + kPoolAge; });
    if (pool_.size() >= kPoolSize) pool_.erase(pool_.begin());
    pool_.push_back({i, now_, 0});
  }

  bool Usable(const Request& r, const PoolAnswer& a) {
    return a.uses < kPoolUses && now_ <= a.at + kPoolAge && now_ >= servers_[a.server].avoid_until &&
           !Contains(r.tried, a.server) && MaySend(r, a.server);
  }

  // One of more gateways than there are servers, without reports: the few connections that it holds itself
  // tell nothing of how full a server is.
  bool Blind() const { return set_.report_mode == ReportMode::kOff && set_.replicas > eligible_.size(); }
  // One of more gateways than there are servers holds too little of a group to know where it stands, and all
  // would send it to one server by views equally old. The blind have no views, and nothing else to go by.
  bool Grouped(const Request& r) const {
    return r.info.affinity_group != 0 && (set_.replicas <= eligible_.size() || Blind());
  }

  double Cost(const Request& r, int i) const {
    const Server& s = servers_[i];
    const double crossing = s.entry.zone == set_.zone ? 0.0 : kZoneWeight * set_.zone_crossing_cost;
    if (!Grouped(r)) return Estimate(s) + crossing;
    return Estimate(s) + crossing -
           (s.groups.contains(r.info.affinity_group) ? kGroupHeld
            : i == r.home                            ? kGroupHome
                                                     : 0);
  }

  // Where a group's connections go first: to the server that holds some and has most room, else to the first
  // with room in an order that the group's name gives at every gateway, by size.
  int Home(const Request& r) const {
    if (!Grouped(r)) return kNone;
    Cheapest held, home;
    for (const int i : eligible_) {
      const Server& s = servers_[i];
      if (now_ < s.avoid_until || Estimate(s) > kGroupFull) continue;
      if (s.groups.contains(r.info.affinity_group)) held.Offer(i, Estimate(s));
      const double u = Random(r.info.affinity_group ^ s.entry.name_hash).Unit();
      home.Offer(i, -std::log(1 - u) / std::max(s.entry.size, 1e-9));
    }
    return held.index != kNone ? held.index : home.index;
  }

  // Places a request by the pool; without an answer in it, by the table. False: no server may take it now.
  bool Decide(Request& r) {
    if (static_cast<double>(setups_out_) >= window_) return false;
    Cheapest best;
    const double others = Herd(r, sends_.At(now_));
    for (std::size_t k = 0; k < pool_.size(); ++k) {
      if (!Usable(r, pool_[k])) continue;
      // Equal views must not lead to equal choices: each gateway guesses at random what others placed there.
      best.Offer(static_cast<int>(k), Cost(r, pool_[k].server) - others * std::log(1 - random_.Unit()));
    }
    if (best.index != kNone) ++pool_[best.index].uses;
    const int target = best.index != kNone ? pool_[best.index].server : ByTable(r);
    if (target == kNone) return false;
    if (TooFull(r, target)) {
      full_until_ = now_ + Jittered(kFullMemory, 0.5, 1.5);
      Answer(r);
      return true;
    }
    return Send(r, target);
  }

  int ByTable(const Request& r) {
    if (Blind() && r.home != kNone && !Contains(r.tried, r.home) && MaySend(r, r.home)) return r.home;
    if (const int cold = Blind() ? OpenCold(r) : kNone; cold != kNone) return cold;
    Cheapest best;
    const std::size_t start = random_.Below(eligible_.size());
    for (std::size_t k = 0; k < eligible_.size() && (k < kTableLooks || best.index == kNone); ++k) {
      const int i = eligible_[(start + k) % eligible_.size()];
      // Tried or failing ones only for want of others.
      const bool last = Contains(r.tried, i) || now_ < servers_[i].avoid_until;
      if (MaySend(r, i)) best.Offer(i, Cost(r, i) + (last ? kLastResort : 0.0));
    }
    return best.cost < kLastResort || now_ >= r.decide_by ? best.index : kNone;
  }

  static bool Contains(const std::vector<int>& v, int i) { return std::count(v.begin(), v.end(), i) > 0; }

  // ---- 8 cold starts ----

  bool Cold(const Server& s) const {
    return s.cold_from.count() > 0 && now_ < s.cold_from + set_.slow_start_duration;
  }

  // This gateway's share of the connections that fill a server, by what the others carry; slow to follow, as
  // held connections and figures jump apart when clients drop or come again in masses.
  void LearnFullShare() {
    const double one = LoadOfOne(true) * set_.replicas;
    if (one <= 0) return;
    full_share_ = full_share_ <= 0 ? 1 / one : full_share_ + kFullShareWeight * (1 / one - full_share_);
  }

  // Every gateway keeps its own share of the budget, so that all together keep the whole. The bucket holds
  // part of a window's worth and a fraction of a connection, which rounds at random over the gateways.
  void FillCold(Server& s) {
    if (s.cold_at == now_ || s.cold_told) return;
    const double age = Seconds(now_ - s.cold_from) / std::max(Seconds(set_.slow_start_duration), 1e-6);
    const double present =
        std::min(1.0, set_.slow_start_share + (1 - set_.slow_start_share) * std::max(0.0, age));
    // What it can do at a moment is to carry so many connections; sent a multiple of that in a window, falls.
    const double window = kColdPart * set_.slow_start_overload_factor * present * full_share_ * s.entry.size;
    s.cold_tokens += window * Seconds(now_ - s.cold_at) / std::max(Seconds(set_.slow_start_window), 1e-6);
    // Where the part of each is less than one connection in a window, what many had saved would be more than
    // a server bears: what was not spent in the window in which it was whole lapses.
    const double most = 1.0 + window / (window < 1 ? 1 : 4);
    if (s.cold_tokens > most)
      s.cold_tokens = window < 1 ? s.cold_tokens - std::ceil(s.cold_tokens - most) : most;
    s.cold_at = now_;
  }

  double ColdCost(const Request& r) const {
    return r.info.load_hint && hint_mean_ > 0 ? std::max(0.5, *r.info.load_hint / hint_mean_) : 1.0;
  }

  bool ColdAllows(const Request& r, int i) {
    Server& s = servers_[i];
    if (!Cold(s)) return true;
    FillCold(s);
    return s.cold_tokens >= std::min(1.0, ColdCost(r));
  }

  // ---- 9 attempts ----

  bool MayAttempt(const Request& r) const {
    return !r.finished && !r.established && !r.attempt_out && r.attempts < set_.max_attempts &&
           now_ < r.info.deadline;
  }

  // Rules 2 to 4 for one server: every send passes here.
  bool MaySend(const Request& r, int i) {
    const Server& s = servers_[i];
    if (s.entry.state != EndpointState::kReady)
      return false;  // Drains are kept from the moment they are told.
    if (!MayRepeat(r)) return false;
    if (const ClassSettings& c = ClassOf(r);
        r.may_have_run && c.idempotency == Idempotency::kIdempotencyKey) {
      const Endpoint& ran = servers_[r.ran_at].entry;
      if (c.deduplication_scope == DeduplicationScope::kZone && ran.zone != s.entry.zone) return false;
      if (c.deduplication_scope == DeduplicationScope::kCell && ran.cell != s.entry.cell) return false;
    }
    return ColdAllows(r, i);
  }

  bool MayRefuse(const Request& r) const {
    const ClassSettings& c = ClassOf(r);
    const bool open = r.may_have_run || r.attempt_out;  // It may run, or have run.
    return c.idempotency == Idempotency::kIdempotent || !open ||
           (c.idempotency == Idempotency::kIdempotencyKey &&
            c.deduplication_scope == DeduplicationScope::kAll);
  }

  bool Send(Request& r, int i) {
    if (!MayAttempt(r) || !MaySend(r, i)) return false;
    Unwait(r);
    Server& s = servers_[i];
    if (Cold(s)) s.cold_tokens -= ColdCost(r);
    const Micros left = r.info.deadline - now_;
    Micros timeout = left;
    if (r.attempts + 1 < set_.max_attempts) {  // Leave room for a further attempt.
      timeout = std::max(FromSeconds(Seconds(left) * kFirstTimeout),
                         std::min(left, ClassOf(r).setup_latency_objective));
    }
    ++r.attempts;
    r.attempt_out = true;
    ++setups_out_;
    r.server = i;
    r.sent_at = now_;
    r.tried.push_back(i);
    std::erase_if(s.unseen, [&](const Unseen& u) { return u.at < now_ - kReportAge; });
    s.unseen.push_back({now_, r.info.id});
    ++s.groups[r.info.affinity_group];
    sends_.Add(now_);
    Emit(SendAttempt{r.info.id, s.entry.id, timeout});
    if (++s.sends_since_probe >= kSampleSends && CanProbe()) Probe(i);
    return true;
  }

  // The one final answer. Refused where that is allowed: it tells the client that trying again is harmless.
  void Answer(Request& r) {
    if (r.finished) return;
    if (r.attempt_out && set_.cancel_allowed) Emit(CancelAttempt{r.info.id, r.attempts - 1});
    Emit(MayRefuse(r) ? Action(RejectRequest{r.info.id, RetryAfter()}) : Action(FailRequest{r.info.id}));
    Close(r);
  }

  // Forgets a finished request once no attempt of it is out. The reference is dead afterwards.
  void Close(Request& r) {
    Unwait(r);
    r.finished = true;
    if (!r.attempt_out) requests_.erase(RequestId(r.info.id));
  }

  void Hold(Request& r) {
    Server& s = servers_[r.server];
    r.established = true;
    r.stood = true;
    r.held_pos = s.held.size();
    s.held.push_back(r.info.id);
    ++held_;
  }
  void Release(Request& r) {
    if (!r.established) return;
    Server& s = servers_[r.server];
    const RequestId last = s.held.back();
    s.held[r.held_pos] = last;
    Find(last)->held_pos = r.held_pos;
    s.held.pop_back();
    r.established = false;
    --held_;
  }

  void Wait(Request& r, Micros until) {
    r.decide_by = until;
    if (!std::exchange(r.waiting, true)) waiting_.push_back(r.info.id);
    Schedule(until, Task::kRequest, r.info.id);
  }
  void Unwait(Request& r) {
    if (r.waiting) std::erase(waiting_, r.info.id);
    r.waiting = false;
    r.awaited.clear();
  }

  void NoteFailure(int i, bool of_attempt) {
    Server& s = servers_[i];
    s.refuses |= of_attempt;
    if (now_ < s.avoid_until) return;  // One trouble, told by several.
    s.avoid_until = now_ + Jittered(kAvoidBase * (1 << std::min(s.failures, kAvoidDoublings)), 0.75, 1.25);
    ++s.failures;
  }

  void On(const RequestArrived& e) {
    Request* r = Add(e);
    if (r == nullptr) return;
    Schedule(e.deadline, Task::kRequest, e.id);
    SeekLanding(*r);
  }

  Request* Add(const RequestArrived& e) {
    const auto [it, fresh] = requests_.try_emplace(e.id);
    if (!fresh) return nullptr;
    it->second.info = e;
    if (e.load_hint) hint_mean_ = hint_mean_ <= 0 ? *e.load_hint : 0.98 * hint_mean_ + 0.02 * *e.load_hint;
    return &it->second;
  }

  void On(const ConnectionResumed& e) {
    const int i = Index(e.endpoint);
    Request* r = i == kNone ? nullptr : Add(e.request);
    if (r == nullptr) return;
    r->attempts = 1;
    r->attempt_out = true;
    r->server = i;
    r->may_have_run = true;
    ++servers_[i].groups[e.request.affinity_group];
    Hold(*r);
  }

  void On(const AttemptEstablished& e) {
    Request* r = Find(e.id);
    if (r == nullptr || r->finished || r->established || !r->attempt_out) return;
    servers_[r->server].failures = 0;
    servers_[r->server].refuses = false;
    successes_.Add(now_);
    --setups_out_;
    window_ = std::min(kWindowMax, window_ + 1);
    if (!r->info.is_reconnect) arrivals_.Add(now_);
    Hold(*r);
  }

  void On(const AttemptEnded& e) {
    const int i = Index(e.endpoint);
    if (i != kNone && e.report) {
      if (const auto figure = FigureOf(i, e.report)) {
        TakeFigure(i, *figure, e.report->outstanding.value_or(-1));
        if (set_.report_mode == ReportMode::kWithAnswers) AddToPool(i);
      }
    }
    Request* r = Find(e.id);
    if (r == nullptr || !r->attempt_out) return;
    const bool stood = r->stood;
    const bool timed_out = !stood && e.outcome == Outcome::kTimedOut;
    const bool never_ran = e.outcome == Outcome::kRejected || e.outcome == Outcome::kNotConnected ||
                           e.outcome == Outcome::kNotSent;
    Release(*r);
    r->attempt_out = false;
    if (auto& of = servers_[r->server].groups; --of[r->info.affinity_group] == 0)
      of.erase(r->info.affinity_group);
    if (!stood) {
      --setups_out_;
      std::erase_if(servers_[r->server].unseen, [&](const Unseen& u) { return u.id == e.id; });
    }
    if (timed_out && now_ >= window_cut_ + kFaultMemory / 4) {  // Once for those that were out together.
      window_cut_ = now_;
      window_ = std::max(1.0, window_ * kWindowCut);
    }
    if (timed_out || (!stood && e.outcome == Outcome::kError)) faults_.Add(now_);
    if (i != kNone && (timed_out || (never_ran && e.outcome != Outcome::kNotSent) ||
                       e.outcome == Outcome::kConnectionLost || (!stood && e.outcome == Outcome::kError))) {
      NoteFailure(i, true);
    }
    if (e.request_finished || r->finished) return Close(*r);
    if (!never_ran && !r->may_have_run) {
      r->may_have_run = true;
      r->ran_at = r->server;
      r->ran_from = r->sent_at;
    }
    if (e.outcome == Outcome::kNotSent || !MayAttempt(*r) || !MayRepeat(*r)) return Answer(*r);
    SeekLanding(*r);
  }

  bool MayRepeat(const Request& r) const {
    const ClassSettings& c = ClassOf(r);
    return !r.may_have_run || c.idempotency == Idempotency::kIdempotent ||
           (c.idempotency == Idempotency::kIdempotencyKey && now_ < r.ran_from + c.deduplication_window);
  }

  void On(const ClientDisconnected& e) {
    Request* r = Find(e.id);
    if (r == nullptr) return;
    Release(*r);
    Close(*r);
  }

  // ---- 10 overload ----

  // A server asked for more than it can do serves nobody within the aim: one more set-up takes from all.
  bool TooFull(const Request& r, int i) const {
    const bool back = r.info.is_reconnect && Mean() <= kRoomBack;
    const double over =
        Estimate(servers_[i]) + Herd(r, back ? 0 : sends_.At(now_)) - (back ? kAdmitBack : kAdmit);
    return servers_[i].has_figure && over > 0 && MayRefuse(r);
  }

  // What the other gateways may have placed on a server since its report, if they do as this one does. Damps
  // admission when many come at once: all gateways see the same servers with room. `own`: its sends lately.
  double Herd(const Request& r, double own) const {
    double size = 0;
    for (const int i : eligible_) size += servers_[i].entry.size;
    return kHerdPart * LoadOfOne() * (own + (r.info.is_reconnect ? kHerdPrior : 0)) * (set_.replicas - 1) /
           std::max(1.0, size);
  }

  // New connections a second. Rejoins and refused tries say nothing of how many connections the fleet
  // carries.
  double ArrivalRate() const { return arrivals_.At(now_) / Seconds(kRateMemory); }

  // Guards against a storm on what all servers share, such as a store that each set-up must ask.
  bool Overrun() const {
    return faults_.At(now_) > (kAttemptsPerSuccess - 1) * successes_.At(now_) + kAttemptsFree;
  }

  // When the reason to refuse, as known now, will be over: a client told less would be refused again, one
  // told more would lose service that is to be had.
  Micros RetryAfter() const {
    Micros over = std::max(Micros(0), full_until_ - now_);
    if (Overrun()) {  // Faults and successes fade alike, so their excess fades to what is free.
      const double excess = faults_.At(now_) - (kAttemptsPerSuccess - 1) * successes_.At(now_);
      over = std::max(over, FromSeconds(Seconds(kFaultMemory) * std::log(excess / kAttemptsFree)));
    }
    return std::min(over, set_.max_retry_after);
  }

  // ---- 11 dispatch ----

  struct Task {
    enum Kind { kTick, kRequest, kWatch };
    Kind kind;
    RequestId id;
  };

  void Schedule(Micros at, Task::Kind kind, RequestId id = {}) {
    tasks_.emplace(at, Task{kind, id});
    Arm();
  }
  void Arm() {
    if (tasks_.empty() || (armed_ > now_ && armed_ <= tasks_.begin()->first)) return;
    armed_ = std::max(tasks_.begin()->first, now_ + Micros(1));
    Emit(StartTimer{armed_ - now_});
  }

  void On(const FleetHint& e) {
    const int i = Index(e.endpoint);
    if (i == kNone) return;
    Server& s = servers_[i];
    s.others = e.unreported_in_flight;
    if ((s.cold_told = e.slow_start_tokens >= 0)) s.cold_tokens = e.slow_start_tokens;
    if (e.eject) s.avoid_until = std::max(s.avoid_until, now_ + kAvoidBase);
  }

  void On(const TimerFired&) {}  // Due tasks run after every event.

  void RunTimers() {
    while (!tasks_.empty() && tasks_.begin()->first <= now_) {
      const Task t = tasks_.extract(tasks_.begin()).mapped();
      if (t.kind == Task::kTick) {
        Sample();
        LearnFullShare();
        Schedule(now_ + Jittered(kTick, 0.75, 1.25), Task::kTick);
      } else if (t.kind == Task::kWatch) {
        if (watch_due_.count() > 0 && now_ >= watch_due_) Watch();
      } else if (Request* r = Find(t.id); r != nullptr && !r->finished && !r->established) {
        if (now_ >= r->info.deadline) {
          Answer(*r);
        } else if (r->waiting && now_ >= r->decide_by && !Decide(*r)) {
          Wait(*r, now_ + Jittered(kTick, 0.25, 0.5));
        }
      }
    }
    Arm();
  }

  const Settings set_;
  const ClassSettings unknown_class_{};
  Random random_;
  Micros now_{0}, armed_{0};
  std::vector<Action>* out_ = nullptr;
  Micros shortest_aim_{0};
  std::vector<Server> servers_;
  std::unordered_map<EndpointId, int> index_;  // Looked up only, never walked: its order is not defined.
  std::vector<int> eligible_;                  // Servers that are ready.
  std::uint64_t list_round_ = 0;
  bool started_ = false;
  Micros watch_due_{0};  // When a watch is to be asked for, unless its answer comes before; 0: one stands.
  std::unordered_map<RequestId, Request> requests_;  // Looked up only, likewise.
  std::vector<RequestId> waiting_;
  std::size_t held_ = 0;
  double figure_sum_ = 0;
  int figures_ = 0;
  double count_mean_ = -1, hint_mean_ = 0, full_share_ = 0;
  double told_mean_ = 0, told_ = 0;  // Of the loads told first of connections, and how many were.
  std::vector<PoolAnswer> pool_;
  double sample_allowance_ = -1;  // Set at the first tick, when it is known what is held.
  std::size_t sample_cursor_ = 0;
  Decaying arrivals_{kRateMemory}, successes_{kFaultMemory}, sends_{kHerdMemory}, faults_{kFaultMemory};
  double window_ = kWindowStart;  // Set-ups that may be out at once.
  std::size_t setups_out_ = 0;
  Micros window_cut_{0};
  Micros full_until_{0};
  std::multimap<Micros, Task> tasks_;  // By time; those of one moment in the order of their making.
};

Balancer::Balancer(const Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::Handle(Micros now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}
std::size_t Balancer::EjectedCount(Micros now) const { return impl_->Avoided(now); }

}  // namespace balancer
