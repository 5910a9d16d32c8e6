#include "config/site_settings.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "config/json.h"

namespace balancer::settings {
namespace {

ClassSettings ReadClass(const element& e) {
  const std::optional<object> o = AsObject(e, "facts.classes");
  ClassSettings c;
  c.setup_latency_objective = TimeOr(o, "target", Micros(0));
  c.deduplication_window = TimeOr(o, "repeatWindow", Micros(0));
  const std::string_view idempotency = TextOr(o, "effect", "at_most_once");
  c.idempotency = idempotency == "idempotent"     ? Idempotency::kIdempotent
                  : idempotency == "deduplicated" ? Idempotency::kIdempotencyKey
                                                  : Idempotency::kNotIdempotent;
  const std::string_view group = TextOr(o, "group", "cell");  // The narrowest where none is told.
  c.deduplication_scope = group == "all"    ? DeduplicationScope::kAll
                          : group == "zone" ? DeduplicationScope::kZone
                                            : DeduplicationScope::kCell;
  return c;
}

Settings ReadModule(const std::optional<object>& facts, std::uint64_t seed) {
  const auto limits = GetObject(*facts, "limits");
  const auto rules = GetObject(*facts, "invariants");
  const auto prices = GetObject(*facts, "charges");
  const auto family = GetObject(*facts, "familyInfo");
  const auto stats = GetObject(*facts, "stats");
  Settings s;
  s.seed = seed;
  s.replicas = static_cast<std::uint32_t>(std::max(1.0, NumberOr(facts, "balancers", 1)));
  s.zone = ZoneId(static_cast<std::uint32_t>(NumberOr(facts, "zone", 0)));
  s.list_mode =
      TextOr(facts, "discovery", "automatic") == "subscribe" ? ListMode::kSubscribed : ListMode::kPushed;
  const std::string_view how = TextOr(stats, "how", "off");
  s.report_mode = how == "inline"     ? ReportMode::kWithAnswers
                  : how == "on_probe" ? ReportMode::kOnProbe
                                      : ReportMode::kOff;
  s.probes_allowed = BoolOr(limits, "probes", false);
  s.cancel_allowed = BoolOr(limits, "cancel", false);
  s.max_attempts = static_cast<std::uint32_t>(std::max(1.0, NumberOr(limits, "sendCap", 1)));
  if (BoolOr(limits, "retryAfter", false)) s.max_retry_after = TimeOr(limits, "maxRetryAfter", Micros(0));
  s.zone_crossing_cost = NumberOr(prices, "crossZone", 0);
  s.slow_start_share = NumberOr(rules, "coldFrom", 1.0);
  s.slow_start_duration = TimeOr(rules, "cold", Micros(0));
  s.slow_start_overload_factor = NumberOr(rules, "fallMultiple", 1.0);
  s.slow_start_window = TimeOr(rules, "fall", Micros(0));
  if (const auto classes = Get(*facts, "classes")) {
    for (const element c : AsArray(*classes, "facts.classes")) s.classes.push_back(ReadClass(c));
  }
  if (const auto aims = family ? Get(*family, "messageAim") : std::nullopt) {
    std::size_t k = 0;
    for (const element aim : AsArray(*aims, "facts.familyInfo.messageAim")) {
      if (k < s.classes.size() && !Absent(aim)) {
        s.classes[k].message_latency_objective =
            Micros(static_cast<std::int64_t>(AsNumber(aim, "facts.familyInfo.messageAim")));
      }
      ++k;
    }
  }
  return s;
}

std::vector<ReportField> ReadReportFields(const object& facts) {
  std::vector<ReportField> fields;
  const auto stats = GetObject(facts, "stats");
  const auto names = stats ? Get(*stats, "fields") : std::nullopt;
  if (!names) return fields;
  for (const element name : AsArray(*names, "facts.stats.fields")) {
    const std::string_view n = AsText(name, "facts.stats.fields");
    fields.push_back(ReportFieldOf(n));
  }
  return fields;
}

std::vector<std::string> Names(const object& facts, std::string_view key, bool of_objects) {
  std::vector<std::string> names;
  const auto list = Get(facts, key);
  if (!list) return names;
  for (const element e : AsArray(*list, key)) {
    const auto name = of_objects ? Get(AsObject(e, key), "name") : std::optional<element>(e);
    names.emplace_back(name ? AsText(*name, key) : std::string_view());
  }
  return names;
}

std::vector<SiteSettings::Group> ReadGroups(const object& facts) {
  std::vector<SiteSettings::Group> groups;
  for (std::string& name : Names(facts, "accounts", true)) groups.push_back({std::move(name)});
  const auto family = GetObject(facts, "familyInfo");
  const auto quotas = family ? Get(*family, "tenantQuotaConnections") : std::nullopt;
  if (!quotas) return groups;
  std::size_t k = 0;
  for (const element quota : AsArray(*quotas, "facts.familyInfo.tenantQuotaConnections")) {
    if (k < groups.size() && !Absent(quota)) {
      groups[k].quota = AsNumber(quota, "facts.familyInfo.tenantQuotaConnections");
    }
    ++k;
  }
  return groups;
}

}  // namespace

std::uint64_t NumberOf(std::string_view name) {
  return std::max<std::uint64_t>(1, XXH3_64bits(name.data(), name.size()));
}

ReportField ReportFieldOf(std::string_view name) {
  // On sockets reports may use the simulator's own words, which WIRE sets beside these.
  if (name == "x0") return ReportField::kLoadRatio;
  if (name == "utilization" || name == "util") return ReportField::kUtilization;
  if (name == "outstanding" || name == "inflight") return ReportField::kOutstanding;
  return ReportField::kOther;
}

void SetField(LoadReport& report, ReportField field, double value) {
  if (field == ReportField::kLoadRatio) report.load_ratio = value;
  if (field == ReportField::kUtilization) report.utilization = value;
  if (field == ReportField::kOutstanding) report.outstanding = value;
}

SiteSettings ReadSettings(const element& e, std::uint64_t seed) {
  const std::optional<object> facts = AsObject(e, "facts");
  const auto limits = GetObject(*facts, "limits");
  const auto rules = GetObject(*facts, "invariants");
  SiteSettings site;
  site.module = ReadModule(facts, seed);
  site.report_fields = ReadReportFields(*facts);
  site.class_names = Names(*facts, "classes", true);
  site.zone_names = Names(*facts, "azs", false);
  site.groups = ReadGroups(*facts);
  site.shared_work = BoolOr(GetObject(*facts, "familyInfo"), "groups", false);
  site.connect_timeout = TimeOr(limits, "connectTimeout", Micros(0));
  site.idle_close = TimeOr(limits, "idleClose", Micros(0));
  site.stop_sending_within = TimeOr(rules, "stopSendingWithin", Micros(0));
  site.ask_within = TimeOr(rules, "askWithin", Micros(0));
  if (const auto classes = Get(*facts, "classes")) {
    for (const element c : AsArray(*classes, "facts.classes")) {
      const std::optional<object> o = AsObject(c, "facts.classes");
      site.longest_deadline = std::max(site.longest_deadline, TimeOr(o, "hardLimit", Micros(0)));
    }
  }
  return site;
}

}  // namespace balancer::settings
