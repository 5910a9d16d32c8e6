#include "simulation/simulated_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <utility>
#include <vector>

#include "base/random.h"
#include "fleet/node.h"

namespace stoatrun::simulation {
namespace {

using fleet::Datagram;
using fleet::HealthVerdict;
using fleet::Incarnation;
using fleet::MemberId;
using fleet::Node;
using fleet::Outbox;
using fleet::Random;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kColdUnits = 9, kRetryUnits = 13, kGroupUnits = 12;
constexpr Micros kWindow = seconds(1);
constexpr std::size_t kGroups = 2;
constexpr std::size_t kMostQueued = 128;  // Datagrams that wait for a stopped process.
constexpr Micros kHearsayPoll = milliseconds(200);
constexpr Micros kSumPoll = milliseconds(700);
// What the checker must allow the relays: how long evidence holds, own observations count, and hearsay
// avoids.
constexpr std::int64_t kEvidenceUs = 6'600'000, kOwnUs = 4'900'000, kHearsayUs = 2'300'000;

class World {
 public:
  World(const Schedule& schedule, const WorldSetup& setup)
      : schedule_(schedule), setup_(setup), random_(fleet::Mixed(schedule.seed, 0xfacade)) {}

  WorldResult Run() {
    Begin();
    for (const Step& step : schedule_.steps) At(step.at, [this, &step] { Do(step); });
    while (!queue_.empty() && queue_.top().at <= schedule_.length) {
      const Event event = queue_.top();
      queue_.pop();
      now_ = event.at;
      (*event.act)();
    }
    WorldResult result;
    const double relay_seconds =
        static_cast<double>(relays_.size()) * static_cast<double>(schedule_.length.count()) / 1e6;
    figures_.datagrams_per_relay_s = static_cast<double>(figures_.datagrams) / relay_seconds;
    figures_.bytes_per_relay_s = static_cast<double>(figures_.bytes) / relay_seconds;
    for (const auto& [budget, n] : settled_spends_) {
      const auto units = budget == "retry" ? RetryUnits() : ColdUnits();
      figures_.used[budget] = static_cast<double>(n) / units * 1e6 /
                              static_cast<double>((schedule_.length - setup_.settled).count());
    }
    for (const auto& r : relays_) {
      if (r->avoided_at.count() > 0)
        figures_.avoided_after_s.push_back(static_cast<double>((r->avoided_at - bad_at_).count()) / 1e6);
    }
    result.figures = figures_;
    result.history = fmt::to_string(history_);
    return result;
  }

 private:
  struct Connection {
    fleet::LocalConnectionCounts::Handle ticket;
    std::string budget;  // Of the level it holds; empty: none.
    bool ended = false;
  };
  struct Relay {
    std::string name;
    std::unique_ptr<Node> node;  // None: not running.
    std::uint64_t run = 0;
    bool paused = false;
    Micros offset{0};
    double rate = 1.0;
    std::vector<std::function<void()>> waiting;  // What came due while it was stopped.
    std::vector<std::shared_ptr<Connection>> open;
    double busy = -1;  // Part of each budget that it wants; under 0: by chance.
    bool bad_link = false, lies = false;
    std::set<std::string> looking;
    Micros avoided_at{0};                   // The first bad server.
    std::map<std::string, Micros> wrongly;  // Sound servers avoided on hearsay, since when.
  };
  struct Server {
    std::string name;
    bool bad = false;
    std::int64_t start = 1;
  };
  struct Event {
    Micros at{0};
    std::uint64_t order = 0;
    std::shared_ptr<std::function<void()>> act;
    bool operator<(const Event& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };

  void At(Micros at, std::function<void()> act) {
    queue_.push({at, next_++, std::make_shared<std::function<void()>>(std::move(act))});
  }
  // For what a process does: not after its run has ended, and not while it is stopped.
  void In(Relay& r, Micros delay, std::function<void()> act) {
    const std::uint64_t run = r.run;
    At(now_ + delay, [&r, run, act = std::move(act)] {
      if (!r.node || r.run != run) return;
      if (r.paused) {
        r.waiting.push_back(act);
      } else {
        act();
      }
    });
  }

  template <typename... Args>
  void Tell(fmt::format_string<Args...> form, Args&&... args) {
    if (!setup_.history) return;
    fmt::format_to(std::back_inserter(history_), R"({{"t":{},)", now_.count());
    fmt::format_to(std::back_inserter(history_), form, std::forward<Args>(args)...);
    history_.push_back('\n');
  }

  Micros Local(const Relay& r) const {
    return r.offset + Micros(static_cast<std::int64_t>(static_cast<double>(now_.count()) * r.rate));
  }

  fleet::Settings SettingsOf(std::size_t k) const {
    fleet::Settings s;
    s.fleet = "lab";
    s.self = static_cast<MemberId>(k);
    s.fleet_size = static_cast<std::uint32_t>(schedule_.relays);
    for (std::size_t n = 0; n < schedule_.relays; ++n) {
      if (n != k) s.peers.push_back({static_cast<MemberId>(n), RelayName(n)});
    }
    s.quota_templates = {{"cold", ColdUnits(), kWindow}};
    s.quotas = {{"retry", RetryUnits(), kWindow}};
    for (std::size_t g = 0; g < kGroups; ++g) s.quotas.push_back({Group(g), GroupUnits(), Micros(0)});
    s.max_accepted_per_s = 50;
    s.max_open = 500;
    return s;
  }
  std::uint32_t Size() const { return static_cast<std::uint32_t>(schedule_.relays); }
  std::uint32_t ColdUnits() const { return std::max(kColdUnits, Size()); }
  std::uint32_t RetryUnits() const { return std::max(kRetryUnits, 2 * Size()); }
  std::uint32_t GroupUnits() const { return std::max(kGroupUnits, Size()); }
  static std::string Group(std::size_t g) { return fmt::format("group-{}", g); }

  void Begin() {
    const fleet::Settings s = SettingsOf(0);
    std::string relays, budgets;
    for (std::size_t k = 0; k < schedule_.relays; ++k) {
      relays += fmt::format("{}\"{}\"", k > 0 ? "," : "", RelayName(k));
      relays_.push_back(std::make_unique<Relay>());
      Relay& r = *relays_.back();
      r.name = RelayName(k);
      // Clocks that began at other times and run fast or slow, within what is allowed.
      r.offset = seconds(1000 + static_cast<std::int64_t>(random_.Below(1'000'000)));
      r.rate = 1 + (random_.Unit() * 2 - 1) * 0.95 * fleet::kMaxClockDrift;
    }
    for (const auto& b : s.quotas)
      budgets +=
          fmt::format(R"({{"name":"{}","units":{},"window_us":{}}},)", b.name, b.units, b.window.count());
    budgets += fmt::format(R"({{"name":"cold:","units":{},"window_us":{}}})", s.quota_templates[0].units,
                           s.quota_templates[0].window.count());
    Tell(R"("e":"fleet","relays":[{}],"budgets":[{}],"slack_us":0,"avoid_part":{},"evidence_us":{},)"
         R"("own_us":{},"hearsay_us":{},"witnesses":2}})",
         relays, budgets, s.max_ejected_fraction, kEvidenceUs, kOwnUs, kHearsayUs);
    for (std::size_t k = 0; k < schedule_.servers; ++k) servers_.push_back({ServerName(k), false, 1});
    for (std::size_t k = 0; k < relays_.size(); ++k)
      At(milliseconds(static_cast<std::int64_t>(random_.Below(400))), [this, k] { Start(k); });
    PickBusy();
  }

  void PickBusy() {
    busiest_ = random_.Below(relays_.size());
    busy_server_ = random_.Below(servers_.size());
    At(now_ + milliseconds(2000 + static_cast<std::int64_t>(random_.Below(3000))), [this] { PickBusy(); });
  }

  void Start(std::size_t k) {
    Relay& r = *relays_[k];
    if (r.node) return;
    ++r.run;
    r.paused = false;
    r.waiting.clear();
    // The generation is wall-clock time in a process; here a clock that a restart sometimes finds set back.
    const auto wall = static_cast<std::uint64_t>(1'000'000 + now_.count() / 1000);
    const std::uint64_t generation = random_.Chance(0.2) ? 1 + random_.Below(1000) : wall;
    r.node = std::make_unique<Node>(SettingsOf(k), r.name, Incarnation{generation, random_.Next() | 1U},
                                    random_.Next(), Local(r));
    TakeList(r);
    Tell(R"("e":"up","r":"{}"}})", r.name);
    Every(r, milliseconds(250), [this, k] { Tick(*relays_[k], k); });
    Every(r, kHearsayPoll, [this, &r] { Hearsay(r); });
    Every(r, kSumPoll, [this, &r] { Sum(r); });
    Want(r, k);
    Connect(r, k);
    Try(r);
  }

  void Every(Relay& r, Micros period, const std::function<void()>& act) {
    In(r, Micros(static_cast<std::int64_t>(random_.Below(static_cast<std::size_t>(period.count())))),
       [this, &r, period, act] { Again(r, period, act); });
  }
  void Again(Relay& r, Micros period, const std::function<void()>& act) {
    act();
    if (r.node) In(r, period, [this, &r, period, act] { Again(r, period, act); });
  }

  void TakeList(Relay& r) {
    std::vector<FleetClient::ListedEndpoint> listed;
    for (const Server& s : servers_) listed.push_back({s.name, s.start});
    r.node->Outliers().SetEndpoints(listed);
  }

  // ---- the network ----

  void Send(std::size_t from, Outbox& out) {
    Relay& r = *relays_[from];
    for (fleet::Outgoing& o : out) {
      const std::size_t size = SizeOf(o.datagram);
      if (size > fleet::kMaxDatagramBytes) ++figures_.oversized;
      if (r.lies) Lie(r, o.datagram);
      ++figures_.datagrams;
      figures_.bytes += size;
      if (!setup_.sharing) continue;
      const std::size_t to = o.to;
      const int copies = random_.Below(100) < double_ ? 2 : 1;
      for (int c = 0; c < copies; ++c) {
        if (random_.Below(100) < loss_) continue;
        const auto spread =
            static_cast<std::size_t>(std::max<std::int64_t>(1, (delay_to_ - delay_from_).count() + 1));
        const Micros way = delay_from_ + Micros(static_cast<std::int64_t>(random_.Below(spread)));
        const auto shared = std::make_shared<Datagram>(o.datagram);
        At(now_ + way, [this, from, to, shared] { Arrive(from, to, shared); });
      }
    }
    out.clear();
  }

  void Arrive(std::size_t from, std::size_t to, const std::shared_ptr<Datagram>& d) {
    if (cuts_.contains({from, to}) || (!side_.empty() && side_.contains(from) != side_.contains(to))) return;
    Relay& r = *relays_[to];
    if (!r.node) return;
    const std::uint64_t sender = relays_[from]->run;
    const auto take = [this, &r, from, to, sender, d] {
      if (!r.node) return;
      // The first time that this run hears of that one.
      if (relays_[from]->run == sender && relays_[from]->node &&
          told_.insert({from, sender, to, r.run}).second) {
        Tell(R"("e":"told","r":"{}","by":"{}"}})", r.name, relays_[from]->name);
      }
      Outbox out;
      r.node->OnDatagram(Local(r), *d, out);
      Send(to, out);
    };
    if (!r.paused) {
      take();
    } else if (r.waiting.size() < kMostQueued) {
      r.waiting.emplace_back(take);
    }
  }

  // Claims of a witness that saw nothing. The history knows that they were made.
  void Lie(Relay& r, Datagram& d) {
    const Server& s = servers_[random_.Below(servers_.size())];
    fleet::Evidence e;
    e.author = d.from;
    e.incarnation = d.incarnation;
    e.endpoint = s.name;
    e.endpoint_start = s.start;
    e.verdict = HealthVerdict::kFailing;
    e.observations = 1000;
    e.version = 1'000'000 + next_;
    e.age = Micros(0);
    e.valid = seconds(3600);
    d.evidence.insert(d.evidence.begin(), e);
    Tell(R"("e":"said","r":"{}","s":"{}"}})", r.name, s.name);
  }

  // ---- what relays do ----

  void Tick(Relay& r, std::size_t k) {
    Outbox out;
    r.node->Tick(Local(r), out);
    Send(k, out);
    GiveUpExcess(r);
    if (!r.node->Balanced()) ++figures_.unbalanced;
    for (const auto& m : r.node->Members().Members()) figures_.false_twins += m.duplicate ? 1 : 0;
    const fleet::ConnectionCounts t = r.node->LocalConnections().Sum();
    Tell(R"("e":"accounts","r":"{}","taken":{},"served":{},"refused":{},"failed":{},"open":{}}})", r.name,
         t.accepted, t.served, t.rejected, t.failed, t.open);
  }

  // A level's units that are no longer this relay's: their connections are moved away at once.
  void GiveUpExcess(Relay& r) {
    for (std::size_t g = 0; g < kGroups; ++g) {
      std::uint32_t excess = r.node->Quotas().Excess(Local(r), Group(g));
      for (auto& c : r.open) {
        if (excess == 0) break;
        if (c->ended || c->budget != Group(g)) continue;
        --excess;
        End(r, *c, fleet::LocalConnectionCounts::Outcome::kServed);
      }
    }
  }

  // How much of a budget this relay wants a second, of all its units.
  double Rate(const Relay& r, std::size_t k, std::uint32_t units) const {
    if (r.busy >= 0) return r.busy * units;
    const double all = setup_.demand * units;
    if (k == busiest_) return all * setup_.busiest;
    return all * (1 - setup_.busiest) / static_cast<double>(std::max<std::size_t>(1, relays_.size() - 1));
  }

  Micros Wait(double a_second) {
    return Micros(static_cast<std::int64_t>(-std::log(1 - random_.Unit()) / std::max(a_second, 0.01) * 1e6) +
                  1);
  }

  void Want(Relay& r, std::size_t k) {
    const auto spend = [this, &r, k](const std::string& budget) {
      Outbox out;
      ++figures_.wanted;
      if (r.node->TryAcquire(Local(r), budget, out)) {
        ++figures_.spent;
        if (now_ >= setup_.settled) ++settled_spends_[budget];
        Tell(R"("e":"spend","r":"{}","b":"{}"}})", r.name, budget);
      } else {
        ++figures_.denied;
      }
      Send(k, out);
    };
    In(r, Wait(Rate(r, k, ColdUnits())), [this, &r, k, spend] { Spending(r, k, spend, true); });
    In(r, Wait(Rate(r, k, RetryUnits())), [this, &r, k, spend] { Spending(r, k, spend, false); });
  }
  void Spending(Relay& r, std::size_t k, const std::function<void(const std::string&)>& spend, bool cold) {
    // Most cold sends go to the one server that has just come up.
    const std::size_t server = random_.Chance(0.8) ? busy_server_ : random_.Below(servers_.size());
    spend(cold ? fmt::format("cold:{}", servers_[server].name) : std::string("retry"));
    In(r, Wait(Rate(r, k, cold ? ColdUnits() : RetryUnits())),
       [this, &r, k, spend, cold] { Spending(r, k, spend, cold); });
  }

  void Connect(Relay& r, std::size_t k) {
    const double rate = k == busiest_ ? 2 * setup_.connections : setup_.connections;
    In(r, Wait(rate), [this, &r, k] {
      auto c = std::make_shared<Connection>();
      const std::size_t g = random_.Below(kGroups + 1);
      c->ticket = r.node->LocalConnections().Begin(static_cast<std::uint32_t>(random_.Below(2)),
                                                   g < kGroups ? Group(g) : "");
      Tell(R"("e":"take","r":"{}"}})", r.name);
      r.open.push_back(c);
      Outbox out;
      const bool held = g >= kGroups || r.node->TryAcquire(Local(r), Group(g), out);
      Send(k, out);
      if (!held) {
        End(r, *c, fleet::LocalConnectionCounts::Outcome::kRejected);
      } else {
        if (g < kGroups) {
          c->budget = Group(g);
          Tell(R"("e":"hold","r":"{}","b":"{}"}})", r.name, c->budget);
        }
        In(r, milliseconds(200 + static_cast<std::int64_t>(random_.Below(7000))), [this, &r, c] {
          if (!c->ended) {
            End(r, *c,
                random_.Chance(0.9) ? fleet::LocalConnectionCounts::Outcome::kServed
                                    : fleet::LocalConnectionCounts::Outcome::kFailed);
          }
        });
      }
      std::erase_if(r.open, [](const auto& o) { return o->ended; });
      Connect(r, k);
    });
  }

  void End(Relay& r, Connection& c, fleet::LocalConnectionCounts::Outcome how) {
    c.ended = true;
    r.node->LocalConnections().End(c.ticket, how);
    if (!c.budget.empty()) {
      r.node->Release(c.budget);
      Tell(R"("e":"release","r":"{}","b":"{}"}})", r.name, c.budget);
    }
    constexpr std::array<const char*, 3> kHow{"served", "refused", "failed"};
    Tell(R"("e":"end","r":"{}","how":"{}"}})", r.name, kHow[static_cast<std::size_t>(how)]);
  }

  void Sum(Relay& r) {
    const auto t = r.node->Sum(Local(r));
    Tell(R"("e":"sum","r":"{}","oldest_us":{},"taken":[{},{}],"served":[{},{}],"refused":[{},{}],)"
         R"("failed":[{},{}],"open":[{},{}]}})",
         r.name, t.oldest.count(), t.accepted.low, t.accepted.high, t.served.low, t.served.high,
         t.rejected.low, t.rejected.high, t.failed.low, t.failed.high, t.open.low, t.open.high);
  }

  void Look(Relay& r, const Server& s) {
    const bool bad = r.bad_link || s.bad;
    r.node->Outliers().Observe(Local(r), s.name, bad ? HealthVerdict::kFailing : HealthVerdict::kHealthy);
    Tell(R"("e":"saw","r":"{}","s":"{}","v":"{}"}})", r.name, s.name, bad ? "failing" : "fine");
  }

  void Try(Relay& r) {
    In(r, Wait(setup_.tries), [this, &r] {
      const Server& s = servers_[random_.Below(servers_.size())];
      r.node->OnRequestSent(Local(r), s.name);
      Look(r, s);
      Try(r);
    });
  }

  void Hearsay(Relay& r) {
    const std::set<std::string> avoided = r.node->Outliers().EndpointsToEject(Local(r));
    if (bad_at_.count() > 0 && r.avoided_at.count() == 0) {
      const auto own = r.node->Outliers().OwnVerdict(Local(r), first_bad_);
      if (avoided.contains(first_bad_) || (own && *own != HealthVerdict::kHealthy)) r.avoided_at = now_;
    }
    for (const std::string& s : avoided) {
      if (!servers_[IndexOf(s)].bad) r.wrongly.try_emplace(s, now_);
    }
    std::erase_if(r.wrongly, [&](const auto& w) {
      if (avoided.contains(w.first)) return false;
      figures_.wrongly_for_s.push_back(static_cast<double>((now_ - w.second).count()) / 1e6);
      return true;
    });
    std::string list;
    for (const std::string& s : avoided) {
      list += fmt::format("{}\"{}\"", list.empty() ? "" : ",", s);
      if (!r.looking.insert(s).second) continue;
      In(r, milliseconds(50 + static_cast<std::int64_t>(random_.Below(1500))), [this, &r, s] {
        r.looking.erase(s);
        Look(r, servers_[IndexOf(s)]);
      });
    }
    Tell(R"("e":"hearsay","r":"{}","of":{},"s":[{}]}})", r.name, servers_.size(), list);
  }

  // ---- faults ----

  void Do(const Step& step) {
    const auto& w = step.words;
    const auto relay = [&](std::size_t n) -> Relay& { return *relays_[IndexOf(w[n])]; };
    const auto number = [&](std::size_t n) { return std::stoul(w[n]); };
    Tell(R"("e":"note","what":"{} {}"}})", step.verb, fmt::join(w, " "));
    if (step.verb == "cut") cuts_.insert({IndexOf(w[0]), IndexOf(w[1])});
    if (step.verb == "heal") cuts_.erase({IndexOf(w[0]), IndexOf(w[1])});
    if (step.verb == "split") side_ = IndicesOf(w[0]);
    if (step.verb == "join") {
      side_.clear();
      cuts_.clear();
    }
    if (step.verb == "loss") loss_ = number(0);
    if (step.verb == "double") double_ = number(0);
    if (step.verb == "delay") {
      delay_from_ = milliseconds(number(0));
      delay_to_ = milliseconds(number(1));
    }
    if (step.verb == "pause") relay(0).paused = relay(0).node != nullptr;
    if (step.verb == "continue") Continue(relay(0));
    if (step.verb == "kill") Kill(relay(0));
    if (step.verb == "start") Start(IndexOf(w[0]));
    if (step.verb == "leave") Leave(relay(0), IndexOf(w[0]));
    if (step.verb == "bad" || step.verb == "good") servers_[IndexOf(w[0])].bad = step.verb == "bad";
    if (step.verb == "bad" && bad_at_.count() == 0) {
      bad_at_ = now_;
      first_bad_ = w[0];
    }
    if (step.verb == "renew") {
      ++servers_[IndexOf(w[0])].start;
      Tell(R"("e":"server","s":"{}"}})", w[0]);
      for (auto& r : relays_) {
        if (r->node) TakeList(*r);
      }
    }
    if (step.verb == "badlink" || step.verb == "goodlink") relay(0).bad_link = step.verb == "badlink";
    if (step.verb == "lie" || step.verb == "truth") relay(0).lies = step.verb == "lie";
    if (step.verb == "busy") relay(0).busy = static_cast<double>(number(1)) / 100;
  }

  // All that came due meanwhile happens at once, in any order, as the first turn of a loop does it.
  void Continue(Relay& r) {
    if (!r.paused || !r.node) return;
    r.paused = false;
    auto waiting = std::exchange(r.waiting, {});
    random_.Shuffle(waiting);
    const std::uint64_t run = r.run;
    for (const auto& act : waiting) {
      if (r.node && r.run == run) act();
    }
  }

  void Kill(Relay& r) {
    if (!r.node) return;
    Tell(R"("e":"down","r":"{}"}})", r.name);
    r.node.reset();
    r.open.clear();
    r.waiting.clear();
    r.looking.clear();
    r.paused = false;
    ++r.run;
  }

  void Leave(Relay& r, std::size_t k) {
    if (!r.node || r.paused) return;
    for (auto& c : r.open) {
      if (!c->ended) End(r, *c, fleet::LocalConnectionCounts::Outcome::kServed);
    }
    Outbox out;
    r.node->Leave(Local(r), out);
    Send(k, out);
    Kill(r);
  }

  const Schedule& schedule_;
  const WorldSetup setup_;
  Random random_;
  Micros now_{0};
  std::uint64_t next_ = 0;
  std::priority_queue<Event> queue_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::vector<Server> servers_;
  std::size_t busiest_ = 0, busy_server_ = 0;
  std::set<std::array<std::uint64_t, 4>> told_;
  std::map<std::string, std::uint64_t> settled_spends_;
  Micros bad_at_{0};
  std::string first_bad_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::set<std::size_t> side_;
  std::size_t loss_ = 0, double_ = 0;
  Micros delay_from_{0}, delay_to_{2000};
  fmt::memory_buffer history_;
  WorldFigures figures_;
};

}  // namespace

WorldResult Play(const Schedule& schedule, const WorldSetup& setup) { return World(schedule, setup).Run(); }

}  // namespace stoatrun::simulation
