#include "history/history_checker.h"

#include <fmt/format.h>
#include <simdjson.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace stoatrun::history {
namespace {

using simdjson::dom::element;

constexpr std::uint64_t kUnbounded = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t kKinds = 5;
// So long a piece of news may take to all relays that can be reached, and back to one that has just started.
constexpr std::int64_t kSpreads = 5'000'000;
constexpr std::array<const char*, kKinds> kNames{"taken", "served", "refused", "failed", "open"};

struct Rule {
  std::int64_t units = 0;
  std::int64_t window_us = 0;  // 0: a level.
};

// A figure over time: what it was from each moment on.
class Line {
 public:
  void Set(std::int64_t at, std::int64_t value) {
    if (!points_.empty() && points_.back().first == at) {
      // Within one moment the figure has taken both values.
      const std::int64_t before = points_.back().second;
      ranges_.back() = {std::min({ranges_.back().first, before, value}),
                        std::max({ranges_.back().second, before, value})};
      points_.back().second = value;
      return;
    }
    points_.emplace_back(at, value);
    ranges_.emplace_back(value, value);
  }
  std::int64_t Last() const { return points_.empty() ? 0 : points_.back().second; }
  // The least and the most that it was from `from` to `to`, both included.
  std::pair<std::int64_t, std::int64_t> Range(std::int64_t from, std::int64_t to) const {
    auto at = std::upper_bound(points_.begin(), points_.end(),
                               std::pair(from, std::numeric_limits<std::int64_t>::max()));
    std::int64_t least = 0, most = 0;
    if (at != points_.begin()) least = most = std::prev(at)->second;
    if (at != points_.begin() && std::prev(at)->first == from) {
      const auto& range = ranges_[static_cast<std::size_t>(std::prev(at) - points_.begin())];
      least = std::min(least, range.first);
      most = std::max(most, range.second);
    }
    for (; at != points_.end() && at->first <= to; ++at) {
      const auto& range = ranges_[static_cast<std::size_t>(at - points_.begin())];
      least = std::min(least, range.first);
      most = std::max(most, range.second);
    }
    return {least, most};
  }

 private:
  std::vector<std::pair<std::int64_t, std::int64_t>> points_;
  std::vector<std::pair<std::int64_t, std::int64_t>> ranges_;
};

struct Heard {  // A datagram of a relay's run reached a run of another.
  std::size_t listener_run = 0;
  std::string listener;
  std::size_t run = 0;
  std::int64_t at = 0;
};

struct Relay {
  bool up = false;
  std::size_t runs = 0;    // Begun so far.
  bool removed = false;    // From the others' settings: their sums are without it.
  std::int64_t maybe = 0;  // Connections of which it is not sure what it saw.
  std::vector<Heard> heard_by;
  std::vector<std::array<std::int64_t, kKinds>> ends;  // All counts at the end of each run.
  std::array<Line, kKinds> counts;
  std::array<std::int64_t, kKinds> run{};  // Of the present run alone.
  std::map<std::string, std::int64_t> held;
  std::map<std::string, std::deque<std::pair<std::int64_t, bool>>>
      saw;                                      // Of a server: when, and whether it was bad.
  std::map<std::string, std::int64_t> avoided;  // On hearsay, since when.
};

class Checker {
 public:
  Findings Run(std::string_view history) {
    simdjson::dom::parser parser;
    std::size_t number = 0;
    while (!history.empty()) {
      const std::size_t end = history.find('\n');
      const std::string_view line = history.substr(0, end);
      history.remove_prefix(end == std::string_view::npos ? history.size() : end + 1);
      ++number;
      if (line.empty()) continue;
      element e;
      if (parser.parse(line.data(), line.size()).get(e) != simdjson::SUCCESS) {
        Broke("form", fmt::format("line {} is not JSON", number));
        continue;
      }
      ++found_.events;
      try {
        Take(e);
      } catch (const simdjson::simdjson_error& error) {
        Broke("form", fmt::format("line {}: {}", number, error.what()));
      }
    }
    CheckDue(true);
    if (!begun_) Broke("form", "no `fleet` record");
    if (windows_used_ > 0) found_.used = used_ / static_cast<double>(windows_used_);
    if (const std::size_t n = found_.sums - found_.unbounded_sums; n > 0) {
      found_.sum_width = width_ / static_cast<double>(n);
      found_.sum_age_us = age_ / static_cast<std::int64_t>(n);
    }
    return std::move(found_);
  }

 private:
  void Broke(const char* bound, std::string what) {
    if (found_.breaches.size() >= kMostBreaches) {
      ++found_.more;
      return;
    }
    found_.breaches.push_back({now_, bound, std::move(what)});
  }

  static std::string Text(const element& e, const char* name) {
    return std::string(std::string_view(e[name]));
  }
  static std::int64_t Whole(const element& e, const char* name) { return std::int64_t(e[name]); }

  void Take(const element& e) {
    const std::string kind = Text(e, "e");
    const std::int64_t at = Whole(e, "t");
    if (at < now_) Broke("form", fmt::format("time goes back from {} to {}", now_, at));
    now_ = std::max(now_, at);
    CheckDue(false);
    if (kind == "fleet") return Begin(e);
    if (!begun_) return Broke("form", "a record before `fleet`");
    if (kind == "server") {  // What was seen of the former process tells nothing of this one.
      for (auto& [name, relay] : relays_) relay.saw.erase(Text(e, "s"));
      return;
    }
    if (kind == "note") return;
    const std::string name = Text(e, "r");
    const auto relay = relays_.find(name);
    if (relay == relays_.end()) return Broke("form", "no relay " + name);
    Relay& r = relay->second;
    if (kind == "up") return Up(r);
    if (kind == "down") return Down(r);
    if (kind == "told") {
      const auto by = relays_.find(Text(e, "by"));
      if (by == relays_.end()) return Broke("form", "no relay " + Text(e, "by"));
      by->second.heard_by.push_back({r.runs, name, by->second.runs, at});
      return;
    }
    if (kind == "removed") {
      r.removed = true;
      return;
    }
    if (kind == "twin" || kind == "untwin") {
      // Two processes under one name: what the name owns may be used twice, and the two runs taken for each
      // other.
      twins_until_ = kind == "twin" ? std::numeric_limits<std::int64_t>::max() : now_ + kSpreads;
      return;
    }
    if (kind == "maybe") {
      r.maybe += Whole(e, "n");
      return;
    }
    if (kind == "spend") return Spend(name, Text(e, "b"));
    if (kind == "hold") return Hold(name, r, Text(e, "b"), 1);
    if (kind == "release") return Hold(name, r, Text(e, "b"), -1);
    if (kind == "take") return Took(r);
    if (kind == "end") return Ended(name, r, Text(e, "how"));
    if (kind == "accounts") return Accounts(name, r, e);
    if (kind == "sum") return Sum(name, e);
    if (kind == "saw") return Saw(name, r, Text(e, "s"), Text(e, "v") != "fine");
    if (kind == "said") {  // A witness that lies: what it says counts as if it had seen it.
      seen_[{name, Text(e, "s")}] = at;
      return;
    }
    if (kind == "hearsay") return Hearsay(name, r, e);
    Broke("form", "no event " + kind);
  }

  void Begin(const element& e) {
    begun_ = true;
    for (const element name : simdjson::dom::array(e["relays"])) relays_[std::string(std::string_view(name))];
    for (const element b : simdjson::dom::array(e["budgets"])) {
      rules_[Text(b, "name")] = {Whole(b, "units"), Whole(b, "window_us")};
    }
    slack_ = Whole(e, "slack_us");
    part_ = double(e["avoid_part"]);
    evidence_ = Whole(e, "evidence_us");
    own_ = Whole(e, "own_us");
    hearsay_ = Whole(e, "hearsay_us");
    witnesses_ = Whole(e, "witnesses");
  }

  const Rule* RuleOf(const std::string& budget) const {
    if (const auto at = rules_.find(budget); at != rules_.end()) return &at->second;
    // `cold:s-1` is one of those that the rule `cold:` makes.
    const std::size_t colon = budget.find(':');
    if (colon == std::string::npos) return nullptr;
    const auto at = rules_.find(budget.substr(0, colon + 1));
    return at == rules_.end() ? nullptr : &at->second;
  }

  void Up(Relay& r) {
    ++found_.runs;
    ++r.runs;
    r.up = true;
    r.run = {};
  }

  // What a process held ended with it: a connection that was open is lost, and counts as failed.
  void Down(Relay& r) {
    r.up = false;
    for (auto& [budget, n] : r.held) levels_[budget] -= n;
    r.held.clear();
    const std::int64_t lost = r.counts[4].Last();
    r.counts[3].Set(now_, r.counts[3].Last() + lost);
    r.counts[4].Set(now_, 0);
    r.ends.emplace_back();
    for (std::size_t k = 0; k < kKinds; ++k) r.ends.back()[k] = r.counts[k].Last();
    r.avoided.clear();
    r.saw.clear();
  }

  // Budgets of a window: in none of its length, wherever it begins, may more be spent than the units. Seen
  // from outside two spends may come nearer to each other than they were by the slack.
  void Spend(const std::string& name, const std::string& budget) {
    ++found_.spends;
    const Rule* rule = RuleOf(budget);
    if (rule == nullptr || rule->window_us == 0) return Broke("form", "no window budget " + budget);
    std::deque<std::int64_t>& recent = windows_[budget];
    recent.push_back(now_);
    const std::int64_t length = rule->window_us - slack_;
    while (recent.front() <= now_ - length) recent.pop_front();
    const auto spent = static_cast<std::int64_t>(recent.size());
    if (spent > rule->units) {
      Broke("window", fmt::format("{}: {} spent within {} us, {} allowed; the last by {}", budget, spent,
                                  length, rule->units, name));
    }
    used_ += static_cast<double>(spent) / static_cast<double>(std::max<std::int64_t>(1, rule->units));
    ++windows_used_;
  }

  void Hold(const std::string& name, Relay& r, const std::string& budget, std::int64_t n) {
    const Rule* rule = RuleOf(budget);
    if (rule == nullptr || rule->window_us != 0) return Broke("form", "no level budget " + budget);
    r.held[budget] += n;
    levels_[budget] += n;
    if (r.held[budget] < 0) Broke("form", name + " gives back what it does not hold of " + budget);
    if (n < 0) return;
    ++found_.holds;
    if (levels_[budget] > (now_ < twins_until_ ? 2 : 1) * rule->units) {
      Broke("level", fmt::format("{}: {} held, {} allowed; the last by {}", budget, levels_[budget],
                                 rule->units, name));
    }
  }

  void Took(Relay& r) {
    for (const std::size_t k : {std::size_t{0}, std::size_t{4}}) {
      r.counts[k].Set(now_, r.counts[k].Last() + 1);
      ++r.run[k];
    }
  }
  void Ended(const std::string& name, Relay& r, const std::string& how) {
    const std::size_t k = how == "served" ? 1 : how == "refused" ? 2 : 3;
    r.counts[k].Set(now_, r.counts[k].Last() + 1);
    r.counts[4].Set(now_, r.counts[4].Last() - 1);
    ++r.run[k];
    --r.run[4];
    if (r.counts[4].Last() < 0) Broke("form", name + " ends more than it took");
  }

  // What a relay says of itself: it balances, and it is what was seen from outside, but for what is on its
  // way.
  void Accounts(const std::string& name, const Relay& r, const element& e) {
    ++found_.accounts;
    std::array<std::int64_t, kKinds> said{};
    for (std::size_t k = 0; k < kKinds; ++k) said[k] = Whole(e, kNames[k]);
    if (said[0] != said[1] + said[2] + said[3] + said[4]) {
      Broke("accounts", fmt::format("{}: taken {} is not served {} + refused {} + failed {} + open {}", name,
                                    said[0], said[1], said[2], said[3], said[4]));
    }
    for (std::size_t k = 0; k < kKinds && slack_ == 0; ++k) {
      if (said[k] != r.run[k]) {
        Broke("accounts", fmt::format("{}: says {} {}, has {}", name, said[k], kNames[k], r.run[k]));
      }
    }
  }

  // What the first runs of a relay took that ended before anybody heard of them who could still tell the one
  // that sums: nobody knows of that. Whoever was told of a run knows that it, and any after it, may have
  // taken something.
  std::array<std::int64_t, kKinds> Unknown(const std::string& to, const Relay& of) const {
    if (of.runs < 2) return {};
    std::size_t first = of.runs;
    for (const Heard& h : of.heard_by) {
      const Relay& listener = relays_.at(h.listener);
      const bool still = listener.up && listener.runs == h.listener_run;
      if (still && (h.listener == to || h.at <= now_ - kSpreads)) first = std::min(first, h.run);
    }
    return first >= 2 && first - 2 < of.ends.size() ? of.ends[first - 2] : std::array<std::int64_t, kKinds>{};
  }

  struct Said {  // A sum, until all that it may hold has been seen.
    std::int64_t at = 0, oldest = 0;
    std::string by;
    std::array<std::uint64_t, kKinds> low{}, high{};
  };

  void Sum(const std::string& name, const element& e) {
    ++found_.sums;
    if (now_ < twins_until_) return;
    Said said{now_, Whole(e, "oldest_us") + slack_, name, {}, {}};
    for (std::size_t k = 0; k < kKinds; ++k) {
      const simdjson::dom::array bounds(e[kNames[k]]);
      said.low[k] = std::uint64_t(bounds.at(0));
      said.high[k] = std::uint64_t(bounds.at(1));
    }
    if (slack_ == 0) {
      CheckSum(said);
    } else {
      said_.push_back(said);
    }
  }

  void CheckDue(bool all) {
    while (!said_.empty() && (all || said_.front().at + slack_ < now_)) {
      CheckSum(said_.front());
      said_.pop_front();
    }
  }

  // A sum is one of what each relay had at some moment no further back than its oldest part; seen from
  // outside, what a relay has may be seen later than it is told.
  void CheckSum(const Said& said) {
    bool bounded = true;
    for (std::size_t k = 0; k < kKinds; ++k) {
      std::int64_t least = 0, most = 0;
      for (const auto& [of, relay] : relays_) {
        const auto range = relay.counts[k].Range(said.at - said.oldest, said.at + slack_);
        if (!relay.removed)
          least += std::max<std::int64_t>(0, range.first - Unknown(said.by, relay)[k] - relay.maybe);
        most += range.second + relay.maybe;
      }
      bounded = bounded && said.high[k] != kUnbounded;
      if (said.low[k] > static_cast<std::uint64_t>(most) ||
          said.high[k] < static_cast<std::uint64_t>(least)) {
        Broke("sum", fmt::format("{} says {} {} to {}, oldest part {} us: it was {} to {}", said.by,
                                 kNames[k], said.low[k], said.high[k], said.oldest, least, most));
      }
      if (k == 4 && bounded) {
        width_ += static_cast<double>(said.high[k] - said.low[k]);
        age_ += said.oldest;
      }
    }
    found_.unbounded_sums += bounded ? 0 : 1;
  }

  void Saw(const std::string& name, Relay& r, const std::string& server, bool bad) {
    if (bad) seen_[{name, server}] = now_;
    auto& seen = r.saw[server];
    seen.emplace_back(now_, bad);
    while (seen.front().first < now_ - 4 * evidence_) seen.pop_front();
  }

  // `s`: the servers that the relay avoids now because others say so; `of`: how many its list holds.
  void Hearsay(const std::string& name, Relay& r, const element& e) {
    ++found_.hearsays;
    std::set<std::string> now;
    for (const element s : simdjson::dom::array(e["s"])) now.insert(std::string(std::string_view(s)));
    const std::int64_t of = Whole(e, "of");
    if (static_cast<double>(now.size()) > part_ * static_cast<double>(of)) {
      Broke("hearsay", fmt::format("{} avoids {} of {} servers on hearsay", name, now.size(), of));
    }
    std::erase_if(r.avoided, [&](const auto& a) { return !now.contains(a.first); });
    for (const std::string& server : now) {
      const std::int64_t since = r.avoided.try_emplace(server, now_).first->second;
      if (now_ - since > hearsay_ + slack_) {
        Broke("hearsay", fmt::format("{} avoids {} on hearsay for {} us", name, server, now_ - since));
        r.avoided[server] = now_;
      }
      const auto own = r.saw.find(server);
      if (own != r.saw.end() && !own->second.empty() && !own->second.back().second &&
          own->second.back().first > now_ - own_ + slack_) {
        Broke("hearsay", fmt::format("{} avoids {} on hearsay, but has found it sound itself", name, server));
      }
      std::int64_t witnesses = 0;
      const std::int64_t from = now_ - evidence_ - slack_;
      for (const auto& [other, relay] : relays_) {
        if (other == name) continue;
        const auto seen = seen_.find({other, server});
        witnesses += seen != seen_.end() && seen->second >= from ? 1 : 0;
      }
      if (witnesses < witnesses_) {
        Broke("hearsay", fmt::format("{} avoids {} on hearsay, though {} others found it bad lately", name,
                                     server, witnesses));
      }
    }
  }

  Findings found_;
  // When a relay last found a server bad. Kept apart from the relays: a run may have told of it before it
  // ended.
  std::map<std::pair<std::string, std::string>, std::int64_t> seen_;
  bool begun_ = false;
  std::int64_t now_ = 0, slack_ = 0, evidence_ = 0, own_ = 0, hearsay_ = 0, witnesses_ = 2;
  double part_ = 1;
  std::int64_t twins_until_ = 0;
  std::deque<Said> said_;
  std::map<std::string, Rule> rules_;
  std::map<std::string, Relay> relays_;
  std::map<std::string, std::deque<std::int64_t>> windows_;
  std::map<std::string, std::int64_t> levels_;
  double used_ = 0, width_ = 0;
  std::size_t windows_used_ = 0;
  std::int64_t age_ = 0;
};

}  // namespace

Findings Check(std::string_view history) { return Checker().Run(history); }

}  // namespace stoatrun::history
