// The settings of a deployment, in the one form that the simulator's first message and the relay's
// configuration share. Parsed here and nowhere else.
#ifndef STOATRUN_CONFIG_SITE_SETTINGS_H_
#define STOATRUN_CONFIG_SITE_SETTINGS_H_

#include <simdjson.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.h"

namespace balancer::settings {

enum class ReportField { kLoadRatio, kUtilization, kOutstanding, kOther };

// The field that a load report calls by this name.
ReportField ReportFieldOf(std::string_view name);
void SetField(LoadReport& report, ReportField field, double value);

struct SiteSettings {
  Settings module;
  std::vector<ReportField> report_fields;
  // What only a host on sockets needs.
  std::vector<std::string> class_names;
  std::vector<std::string> zone_names;
  struct Group {
    std::string name;
    double quota = -1;  // Open connections of all relays that are within its share; under 0: not told.
  };
  std::vector<Group> groups;
  bool shared_work = false;   // Connections with one value of `g` share work at a server.
  Micros connect_timeout{0};  // 0: none told.
  Micros idle_close{0};
  Micros stop_sending_within{0};
  Micros ask_within{0};  // Who has not asked for so long counts as told.
  Micros longest_deadline{0};
};

// A number for a name, the same in every process and on every machine; never 0.
std::uint64_t NumberOf(std::string_view name);

// Throws FormError.
SiteSettings ReadSettings(const simdjson::dom::element& facts, std::uint64_t seed);

}  // namespace balancer::settings

#endif  // STOATRUN_CONFIG_SITE_SETTINGS_H_
