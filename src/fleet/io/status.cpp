#include "fleet/io/status.h"

#include <fmt/format.h>

#include <array>
#include <cstddef>
#include <iterator>
#include <optional>
#include <string_view>

#include "base/log.h"

namespace stoatrun::fleet {
namespace {

constexpr std::array<const char*, 4> kStateNames{"alive", "suspected", "silent", "left"};
constexpr std::array<const char*, 4> kVerdictNames{"failing", "slow", "full", "fine"};

// Names come from peers, too.
std::string Quoted(std::string_view text) {
  fmt::memory_buffer out;
  out.push_back('"');
  AppendJsonText(out, text);
  out.push_back('"');
  return fmt::to_string(out);
}

std::int64_t Ms(Micros t) { return t.count() / 1000; }
std::string Ms(std::optional<Micros> t) { return t ? std::to_string(Ms(*t)) : "null"; }
std::string High(std::uint64_t n) { return n == kUnbounded ? "null" : std::to_string(n); }

std::string Bounds(const ConnectionTotals& t) {
  std::string out;
  const auto add = [&](const char* name, const Interval& b) {
    out += fmt::format(R"("{}":[{},{}],)", name, b.low, High(b.high));
  };
  add("taken", t.accepted);
  add("served", t.served);
  add("refused", t.rejected);
  add("failed", t.failed);
  add("open", t.open);
  return out + fmt::format(R"("oldest_ms":{},"widened":{},"unheard":{},"over":{})", Ms(t.oldest), t.widened,
                           t.unheard, t.ended);
}

}  // namespace

std::string StatusJson(Node& node, const std::string& name, const std::vector<std::string>& class_names,
                       Micros now, const StatusExtra& extra) {
  std::string out;
  auto add = std::back_inserter(out);
  const Settings& s = node.Setup();
  Membership& members = node.Members();
  const auto name_of = [&](MemberId member_id) {
    const auto* m = members.Find(member_id);
    return member_id == s.self ? name : m != nullptr ? m->name : fmt::format("place {}", member_id);
  };
  fmt::format_to(add, R"({{"fleet":{},"relay":{},"place":{},"places":{},"generation":{},"incarnation":{},)",
                 Quoted(s.fleet), Quoted(name), s.self, s.fleet_size, members.SelfIncarnation().generation,
                 members.SelfRefutations());
  fmt::format_to(add, R"("own_fault":{},"twins":{},"balanced":{},"members":[)", members.LocalHealthScore(),
                 members.HasDuplicate(), node.Balanced());
  const char* comma = "";
  const auto sizes = node.FleetSizeMismatches();
  for (const auto& m : members.Members()) {
    std::uint32_t places = s.fleet_size;
    for (const auto& [member_id, other] : sizes) places = member_id == m.member_id ? other : places;
    fmt::format_to(add,
                   R"({}{{"place":{},"name":{},"standing":"{}","since_ms":{},"generation":{},)"
                   R"("incarnation":{},"lives":{},)",
                   comma, m.member_id, Quoted(m.name),
                   m.incarnation ? kStateNames[static_cast<std::size_t>(m.state)] : "unheard",
                   Ms(now - m.since), m.incarnation.generation, m.refutations, m.incarnations_seen);
    fmt::format_to(add, R"("answered_ms":{},"twins":{},"places":{}}})",
                   Ms(m.last_ack_at ? std::optional(now - *m.last_ack_at) : std::nullopt), m.duplicate,
                   places);
    comma = ",";
  }
  fmt::format_to(add, R"(],"budgets":[)");
  comma = "";
  for (const auto& v : node.Quotas().Views(now)) {
    fmt::format_to(
        add,
        R"({}{{"budget":{},"units":{},"share":{},"available":{},"used":{},"lent":{},"borrowed":{},)"
        R"("excess":{},"whole":{}}})",
        comma, Quoted(v.quota), v.units, v.share, v.available, v.spent, v.lent, v.borrowed, v.excess,
        v.reconciled);
    comma = ",";
  }
  fmt::format_to(add, R"(],"leases":[)");
  comma = "";
  const auto leases = [&](const std::vector<QuotaLeases::Lease>& all, const char* way) {
    for (const auto& l : all) {
      fmt::format_to(add, R"({}{{"way":"{}","budget":{},"with":{},"units":{},"ends_ms":{},"ended":{}}})",
                     comma, way, Quoted(l.quota), Quoted(name_of(l.other)), l.units, Ms(l.ends - now),
                     l.ended);
      comma = ",";
    }
  };
  leases(node.Quotas().Lent(now), "out");
  leases(node.Quotas().Borrowed(now), "in");
  fmt::format_to(add, R"(],"total":{{{}}},"totals":[)", Bounds(node.Sum(now)));
  comma = "";
  for (const auto& [class_index, group] : node.Totals().Keys()) {
    const std::string class_name =
        class_index < class_names.size() ? class_names[class_index] : fmt::format("class {}", class_index);
    fmt::format_to(add, R"({}{{"class":{},"group":{},{}}})", comma, Quoted(class_name), Quoted(group),
                   Bounds(node.Sum(now, class_index, group)));
    comma = ",";
  }
  fmt::format_to(add, R"(],"parts":[)");
  comma = "";
  for (const auto& p : node.Totals().Parts(now)) {
    fmt::format_to(
        add, R"({}{{"name":{},"generation":{},"version":{},"age_ms":{},"over":{},"taken":{},"open":{}}})",
        comma, Quoted(name_of(p.member_id)), p.incarnation.generation, p.version, Ms(p.age), p.ended,
        p.sum.accepted, p.sum.open);
    comma = ",";
  }
  fmt::format_to(add, R"(],"servers":[)");
  comma = "";
  for (const auto& v : node.Outliers().Views(now)) {
    std::string others;
    for (const auto& e : v.others) {
      others += fmt::format(R"({}{{"by":{},"verdict":"{}","observations":{},"age_ms":{}}})",
                            others.empty() ? "" : ",", Quoted(name_of(e.author)),
                            kVerdictNames[static_cast<std::size_t>(e.verdict)], e.observations, Ms(e.age));
    }
    fmt::format_to(add, R"({}{{"server":{},"own":{},"avoided":{},"ignored":{},"witnesses":[{}]}})", comma,
                   Quoted(v.endpoint),
                   v.own ? fmt::format("\"{}\"", kVerdictNames[static_cast<std::size_t>(*v.own)]) : "null",
                   v.ejected, Quoted(v.ignored), others);
    comma = ",";
  }
  fmt::format_to(add, R"(],"distrusted":[)");
  comma = "";
  for (const auto& [member_id, why] : node.Outliers().Distrusted(now)) {
    fmt::format_to(add, R"({}{{"name":{},"why":{}}})", comma, Quoted(name_of(member_id)), Quoted(why));
    comma = ",";
  }
  const auto& n = node.GetCounts();
  fmt::format_to(add,
                 R"(],"ignored":{{"strangers":{},"former_runs":{},"other_size":{},"unreadable":{},)"
                 R"("wrong_address":{}}}}})",
                 n.strangers, n.former_runs, n.other_size, extra.dropped, extra.wrong_address);
  return out;
}

}  // namespace stoatrun::fleet
