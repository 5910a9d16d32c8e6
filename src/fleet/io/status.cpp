#include "fleet/io/status.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

#include "base/log.h"

namespace stoatrun::fleet {
namespace {

// Names in the JSON, documented in docs/operators/fleet.md; indexed by enumerator.
constexpr std::array<const char*, 4> kStateNames{"alive", "suspected", "silent", "left"};
constexpr std::array<const char*, 4> kVerdictNames{"failing", "slow", "full", "fine"};

const char* NameOf(MemberState state) { return kStateNames[static_cast<std::size_t>(state)]; }
const char* NameOf(HealthVerdict verdict) { return kVerdictNames[static_cast<std::size_t>(verdict)]; }

// A JSON string. The text is escaped because some names come from peers.
std::string Quoted(std::string_view text) {
  fmt::memory_buffer out;
  out.push_back('"');
  AppendJsonEscaped(out, text);
  out.push_back('"');
  return fmt::to_string(out);
}

std::int64_t ToMs(Micros time) { return time.count() / 1000; }
std::string MsOrNull(std::optional<Micros> time) { return time ? std::to_string(ToMs(*time)) : "null"; }
std::string UpperBoundOrNull(std::uint64_t high) {
  return high == kUnbounded ? "null" : std::to_string(high);
}

std::string IntervalJson(const char* name, const Interval& interval) {
  return fmt::format(R"("{}":[{},{}],)", name, interval.low, UpperBoundOrNull(interval.high));
}

std::string TotalsJson(const ConnectionTotals& totals) {
  return IntervalJson("taken", totals.accepted) + IntervalJson("served", totals.served) +
         IntervalJson("refused", totals.rejected) + IntervalJson("failed", totals.failed) +
         IntervalJson("open", totals.open) +
         fmt::format(R"("oldest_ms":{},"widened":{},"unheard":{},"over":{})", ToMs(totals.oldest),
                     totals.widened, totals.unheard, totals.ended);
}

// Writes the sections of the JSON object one after the other.
class StatusWriter {
 public:
  StatusWriter(Node& node, const std::string& name, const std::vector<std::string>& class_names, Micros now)
      : node_(node), name_(name), class_names_(class_names), now_(now) {}

  std::string Write(const DroppedDatagrams& dropped) {
    WriteRelay();
    WriteArray("members", node_.Members().Members(), &StatusWriter::MemberJson);
    WriteArray("budgets", node_.Quotas().Views(now_), &StatusWriter::QuotaJson);
    WriteLeases();
    Append(R"("total":{{{}}},)", TotalsJson(node_.Sum(now_)));
    WriteArray("totals", node_.Totals().Keys(), &StatusWriter::KeyTotalsJson);
    WriteArray("parts", node_.Totals().CountsByIncarnation(now_), &StatusWriter::IncarnationCountsJson);
    WriteArray("servers", node_.Outliers().Views(now_), &StatusWriter::EndpointJson);
    WriteArray("distrusted", node_.Outliers().DistrustedWitnesses(now_), &StatusWriter::DistrustedJson);
    WriteIgnoredDatagrams(dropped);
    return std::move(out_);
  }

 private:
  template <typename... Args>
  void Append(fmt::format_string<Args...> format, Args&&... args) {
    fmt::format_to(std::back_inserter(out_), format, std::forward<Args>(args)...);
  }

  template <typename Item>
  void WriteArray(const char* key, const std::vector<Item>& items,
                  std::string (StatusWriter::*item_json)(const Item&)) {
    Append(R"("{}":[)", key);
    const char* comma = "";
    for (const Item& item : items) {
      Append("{}{}", comma, (this->*item_json)(item));
      comma = ",";
    }
    out_ += "],";
  }

  std::string MemberName(MemberId member_id) const {
    if (member_id == node_.GetSettings().self) return name_;
    const Membership::Member* member = node_.Members().Find(member_id);
    return member != nullptr ? member->name : fmt::format("place {}", member_id);
  }

  std::uint32_t FleetSizeStatedBy(MemberId member_id) const {
    std::uint32_t fleet_size = node_.GetSettings().fleet_size;
    for (const FleetSizeMismatch& mismatch : node_.FleetSizeMismatches()) {
      fleet_size = mismatch.member_id == member_id ? mismatch.fleet_size : fleet_size;
    }
    return fleet_size;
  }

  void WriteRelay() {
    const Settings& settings = node_.GetSettings();
    const Membership& members = node_.Members();
    Append(R"({{"fleet":{},"relay":{},"place":{},"places":{},"generation":{},"incarnation":{},)",
           Quoted(settings.fleet), Quoted(name_), settings.self, settings.fleet_size,
           members.SelfIncarnation().generation, members.SelfRefutations());
    Append(R"("own_fault":{},"twins":{},"balanced":{},)", members.LocalHealthScore(), members.HasDuplicate(),
           node_.IsBalanced());
  }

  std::string MemberJson(const Membership::Member& member) {
    const std::string since_ack =
        member.last_ack_at ? std::to_string(ToMs(now_ - *member.last_ack_at)) : "null";
    return fmt::format(R"({{"place":{},"name":{},"standing":"{}","since_ms":{},"generation":{},)"
                       R"("incarnation":{},"lives":{},"answered_ms":{},"twins":{},"places":{}}})",
                       member.member_id, Quoted(member.name),
                       member.incarnation ? NameOf(member.state) : "unheard", ToMs(now_ - member.since),
                       member.incarnation.generation, member.refutations, member.incarnations_seen, since_ack,
                       member.duplicate, FleetSizeStatedBy(member.member_id));
  }

  std::string QuotaJson(const QuotaLeases::View& view) {
    return fmt::format(R"({{"budget":{},"units":{},"share":{},"available":{},"used":{},"lent":{},)"
                       R"("borrowed":{},"excess":{},"whole":{}}})",
                       Quoted(view.quota), view.units, view.share, view.available, view.acquired, view.lent,
                       view.borrowed, view.excess, view.reconciled);
  }

  std::string LeaseJson(const QuotaLeases::Lease& lease, const char* direction) const {
    return fmt::format(R"({{"way":"{}","budget":{},"with":{},"units":{},"ends_ms":{},"ended":{}}})",
                       direction, Quoted(lease.quota), Quoted(MemberName(lease.peer)), lease.units,
                       ToMs(lease.ends - now_), lease.ended);
  }

  // Writes lent and borrowed leases to one array.
  void WriteLeases() {
    Append(R"("leases":[)");
    const char* comma = "";
    const auto append_all = [&](const std::vector<QuotaLeases::Lease>& leases, const char* direction) {
      for (const QuotaLeases::Lease& lease : leases) {
        Append("{}{}", comma, LeaseJson(lease, direction));
        comma = ",";
      }
    };
    append_all(node_.Quotas().LentLeases(now_), "out");
    append_all(node_.Quotas().BorrowedLeases(now_), "in");
    out_ += "],";
  }

  std::string KeyTotalsJson(const FleetCounts::Key& key) {
    const std::string class_name = key.class_index < class_names_.size()
                                       ? class_names_[key.class_index]
                                       : fmt::format("class {}", key.class_index);
    return fmt::format(R"({{"class":{},"group":{},{}}})", Quoted(class_name), Quoted(key.group),
                       TotalsJson(node_.Sum(now_, key.class_index, key.group)));
  }

  std::string IncarnationCountsJson(const FleetCounts::IncarnationCounts& part) {
    return fmt::format(R"({{"name":{},"generation":{},"version":{},"age_ms":{},"over":{},"taken":{},)"
                       R"("open":{}}})",
                       Quoted(MemberName(part.member_id)), part.incarnation.generation, part.version,
                       MsOrNull(part.age), part.ended, part.sum.accepted, part.sum.open);
  }

  std::string EndpointJson(const OutlierConsensus::View& view) {
    std::string witnesses;
    for (const Evidence& evidence : view.remote_evidence) {
      witnesses += fmt::format(R"({}{{"by":{},"verdict":"{}","observations":{},"age_ms":{}}})",
                               witnesses.empty() ? "" : ",", Quoted(MemberName(evidence.author)),
                               NameOf(evidence.verdict), evidence.observations, MsOrNull(evidence.age));
    }
    return fmt::format(R"({{"server":{},"own":{},"avoided":{},"ignored":{},"witnesses":[{}]}})",
                       Quoted(view.endpoint), view.own ? Quoted(NameOf(*view.own)) : "null", view.ejected,
                       Quoted(view.ignored), witnesses);
  }

  std::string DistrustedJson(const OutlierConsensus::DistrustedWitness& witness) {
    return fmt::format(R"({{"name":{},"why":{}}})", Quoted(MemberName(witness.author)),
                       Quoted(witness.reason));
  }

  void WriteIgnoredDatagrams(const DroppedDatagrams& dropped) {
    const Node::Counts& counts = node_.GetCounts();
    Append(R"("ignored":{{"strangers":{},"former_runs":{},"other_size":{},"unreadable":{},)"
           R"("wrong_address":{}}}}})",
           counts.unknown_senders, counts.superseded_senders, counts.fleet_size_mismatches,
           dropped.undecodable, dropped.wrong_address);
  }

  Node& node_;
  const std::string& name_;
  const std::vector<std::string>& class_names_;
  Micros now_;
  std::string out_;
};

}  // namespace

std::string StatusJson(Node& node, const std::string& name, const std::vector<std::string>& class_names,
                       Micros now, const DroppedDatagrams& dropped) {
  return StatusWriter(node, name, class_names, now).Write(dropped);
}

}  // namespace stoatrun::fleet
