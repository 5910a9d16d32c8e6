#include "config/site_settings.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

#include "config/json.h"

namespace stoatrun {
namespace {

using balancer::ClassSettings;
using balancer::DeduplicationScope;
using balancer::Idempotency;
using balancer::ListMode;
using balancer::ReportMode;
using json::element;
using json::object;

constexpr std::string_view kClassesPath = "facts.classes";
constexpr std::string_view kReportFieldsPath = "facts.stats.fields";
constexpr std::string_view kMessageObjectivePath = "facts.familyInfo.messageAim";
constexpr std::string_view kQuotaPath = "facts.familyInfo.tenantQuotaConnections";

Idempotency ParseIdempotency(std::string_view text) {
  if (text == "idempotent") return Idempotency::kIdempotent;
  if (text == "deduplicated") return Idempotency::kIdempotencyKey;
  return Idempotency::kNotIdempotent;
}

DeduplicationScope ParseDeduplicationScope(std::string_view text) {
  if (text == "all") return DeduplicationScope::kAll;
  if (text == "zone") return DeduplicationScope::kZone;
  return DeduplicationScope::kCell;
}

ReportMode ParseReportMode(std::string_view text) {
  if (text == "inline") return ReportMode::kWithResponses;
  if (text == "on_probe") return ReportMode::kOnProbe;
  return ReportMode::kOff;
}

ClassSettings ReadClass(const element& value) {
  const std::optional<object> fields = json::AsObject(value, kClassesPath);
  ClassSettings settings;
  settings.setup_latency_objective = json::MicrosOr(fields, "target", Micros(0));
  settings.deduplication_window = json::MicrosOr(fields, "repeatWindow", Micros(0));
  settings.idempotency = ParseIdempotency(json::TextOr(fields, "effect", "at_most_once"));
  // Defaults to the narrowest scope, which guarantees the least.
  settings.deduplication_scope = ParseDeduplicationScope(json::TextOr(fields, "group", "cell"));
  return settings;
}

// Reads the limits, rules and costs that are not specific to a class.
void ReadFleetWideSettings(const std::optional<object>& facts, balancer::Settings& settings) {
  const auto limits = json::FindObject(*facts, "limits");
  const auto rules = json::FindObject(*facts, "invariants");
  const auto charges = json::FindObject(*facts, "charges");
  json::FindObject(*facts, "familyInfo");  // Read later; validated here to keep the order of errors.
  const auto stats = json::FindObject(*facts, "stats");
  settings.replicas = static_cast<std::uint32_t>(std::max(1.0, json::NumberOr(facts, "balancers", 1)));
  settings.zone = balancer::ZoneId(static_cast<std::uint32_t>(json::NumberOr(facts, "zone", 0)));
  settings.list_mode = json::TextOr(facts, "discovery", "automatic") == "subscribe" ? ListMode::kSubscribed
                                                                                    : ListMode::kPushed;
  settings.report_mode = ParseReportMode(json::TextOr(stats, "how", "off"));
  settings.probes_allowed = json::BoolOr(limits, "probes", false);
  settings.cancel_allowed = json::BoolOr(limits, "cancel", false);
  settings.max_attempts = static_cast<std::uint32_t>(std::max(1.0, json::NumberOr(limits, "sendCap", 1)));
  if (json::BoolOr(limits, "retryAfter", false)) {
    settings.max_retry_after = json::MicrosOr(limits, "maxRetryAfter", Micros(0));
  }
  settings.zone_crossing_cost = json::NumberOr(charges, "crossZone", 0);
  settings.slow_start_share = json::NumberOr(rules, "coldFrom", 1.0);
  settings.slow_start_duration = json::MicrosOr(rules, "cold", Micros(0));
  settings.slow_start_overload_factor = json::NumberOr(rules, "fallMultiple", 1.0);
  settings.slow_start_window = json::MicrosOr(rules, "fall", Micros(0));
}

balancer::Settings ReadBalancerSettings(const std::optional<object>& facts, std::uint64_t seed) {
  balancer::Settings settings;
  settings.seed = seed;
  ReadFleetWideSettings(facts, settings);
  if (const auto classes = json::Find(facts, "classes")) {
    for (const element value : json::AsArray(*classes, kClassesPath)) {
      settings.classes.push_back(ReadClass(value));
    }
  }
  const auto objectives = json::Find(json::FindObject(*facts, "familyInfo"), "messageAim");
  if (!objectives) return settings;
  std::size_t index = 0;
  for (const element objective : json::AsArray(*objectives, kMessageObjectivePath)) {
    if (index < settings.classes.size() && !json::IsNull(objective)) {
      settings.classes[index].message_latency_objective =
          Micros(static_cast<std::int64_t>(json::AsNumber(objective, kMessageObjectivePath)));
    }
    ++index;
  }
  return settings;
}

std::vector<ReportField> ReadReportFields(const object& facts) {
  std::vector<ReportField> fields;
  const auto names = json::Find(json::FindObject(facts, "stats"), "fields");
  if (!names) return fields;
  for (const element name : json::AsArray(*names, kReportFieldsPath)) {
    fields.push_back(ReportFieldOf(json::AsText(name, kReportFieldsPath)));
  }
  return fields;
}

// The strings of the list at `key`.
std::vector<std::string> ReadStrings(const object& facts, std::string_view key) {
  std::vector<std::string> strings;
  const auto list = json::Find(facts, key);
  if (!list) return strings;
  for (const element value : json::AsArray(*list, key)) strings.emplace_back(json::AsText(value, key));
  return strings;
}

// The `name` of each object in the list at `key`; empty for one without a name.
std::vector<std::string> ReadNames(const object& facts, std::string_view key) {
  std::vector<std::string> names;
  const auto list = json::Find(facts, key);
  if (!list) return names;
  for (const element value : json::AsArray(*list, key)) {
    const auto name = json::Find(json::AsObject(value, key), "name");
    names.emplace_back(name ? json::AsText(*name, key) : std::string_view());
  }
  return names;
}

std::vector<SiteSettings::Group> ReadGroups(const object& facts) {
  std::vector<SiteSettings::Group> groups;
  for (std::string& name : ReadNames(facts, "accounts")) groups.push_back({std::move(name)});
  const auto quotas = json::Find(json::FindObject(facts, "familyInfo"), "tenantQuotaConnections");
  if (!quotas) return groups;
  std::size_t index = 0;
  for (const element quota : json::AsArray(*quotas, kQuotaPath)) {
    if (index < groups.size() && !json::IsNull(quota)) {
      groups[index].quota = json::AsNumber(quota, kQuotaPath);
    }
    ++index;
  }
  return groups;
}

Micros ReadMaxDeadline(const object& facts) {
  Micros longest{0};
  const auto classes = json::Find(facts, "classes");
  if (!classes) return longest;
  for (const element value : json::AsArray(*classes, kClassesPath)) {
    const std::optional<object> fields = json::AsObject(value, kClassesPath);
    longest = std::max(longest, json::MicrosOr(fields, "hardLimit", Micros(0)));
  }
  return longest;
}

}  // namespace

std::uint64_t HashName(std::string_view name) {
  return std::max<std::uint64_t>(1, XXH3_64bits(name.data(), name.size()));
}

ReportField ReportFieldOf(std::string_view name) {
  // Load reports on sockets may also use the simulator's field names, which the wire protocol allows.
  if (name == "x0") return ReportField::kLoadRatio;
  if (name == "utilization" || name == "util") return ReportField::kUtilization;
  if (name == "outstanding" || name == "inflight") return ReportField::kOutstanding;
  return ReportField::kOther;
}

void SetField(balancer::LoadReport& report, ReportField field, double value) {
  switch (field) {
    case ReportField::kLoadRatio:
      report.load_ratio = value;
      return;
    case ReportField::kUtilization:
      report.utilization = value;
      return;
    case ReportField::kOutstanding:
      report.outstanding = value;
      return;
    case ReportField::kOther:
      return;
  }
}

SiteSettings ParseSiteSettings(const element& facts_value, std::uint64_t seed) {
  const std::optional<object> facts = json::AsObject(facts_value, "facts");
  const auto limits = json::FindObject(*facts, "limits");
  const auto rules = json::FindObject(*facts, "invariants");
  SiteSettings site;
  site.balancer = ReadBalancerSettings(facts, seed);
  site.report_fields = ReadReportFields(*facts);
  site.class_names = ReadNames(*facts, "classes");
  site.zone_names = ReadStrings(*facts, "azs");
  site.groups = ReadGroups(*facts);
  site.affinity_by_group = json::BoolOr(json::FindObject(*facts, "familyInfo"), "groups", false);
  site.connect_timeout = json::MicrosOr(limits, "connectTimeout", Micros(0));
  site.idle_timeout = json::MicrosOr(limits, "idleClose", Micros(0));
  site.stop_sending_within = json::MicrosOr(rules, "stopSendingWithin", Micros(0));
  site.poll_timeout = json::MicrosOr(rules, "askWithin", Micros(0));
  site.max_deadline = ReadMaxDeadline(*facts);
  return site;
}

}  // namespace stoatrun
