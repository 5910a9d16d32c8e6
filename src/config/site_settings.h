// The settings of a deployment ("facts"), in the JSON format shared by the simulator's first message and the
// proxy's configuration file. Only this module maps the format's keys to names in the code.
//
// Pure functions; ParseSiteSettings throws JsonError.
#ifndef STOATRUN_CONFIG_SITE_SETTINGS_H_
#define STOATRUN_CONFIG_SITE_SETTINGS_H_

#include <simdjson.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.h"
#include "base/clock.h"

namespace stoatrun {

// The fields of an endpoint's load report.
enum class ReportField { kLoadRatio, kUtilization, kOutstanding, kOther };

// The field with this name in a load report; kOther if the balancer doesn't use it.
ReportField ReportFieldOf(std::string_view name);

// Sets a field of `report`; ignores kOther.
void SetField(::balancer::LoadReport& report, ReportField field, double value);

// The settings shared by all proxies of a deployment.
struct SiteSettings {
  // A group of connections that share a quota, such as those of a tenant.
  struct Group {
    std::string name;
    double quota = -1;  // Maximum open connections over all proxies; negative: unlimited.
  };

  ::balancer::Settings balancer;
  std::vector<ReportField> report_fields;  // In the order of the simulator's load reports.

  // The remaining settings are used only by the proxy, not by the simulator adapter.
  std::vector<std::string> class_names;
  std::vector<std::string> zone_names;
  std::vector<Group> groups;
  // Connections with the same value of `g` share work at an endpoint, so they are placed together.
  bool affinity_by_group = false;
  Micros connect_timeout{0};      // 0: not set.
  Micros idle_timeout{0};         // 0: not set.
  Micros stop_sending_within{0};  // Deadline for stopping requests to a draining endpoint; 0: not set.
  // A proxy that has not polled for this long is assumed to know an endpoint's state; 0: not set.
  Micros poll_timeout{0};
  Micros max_deadline{0};  // The maximum over all classes.
};

// A hash of `name` (XXH3), identical in every process and on every machine; never 0.
std::uint64_t HashName(std::string_view name);

// Parses the settings. `seed` seeds the balancer's random number generator. Throws JsonError.
SiteSettings ParseSiteSettings(const simdjson::dom::element& facts, std::uint64_t seed);

}  // namespace stoatrun

#endif  // STOATRUN_CONFIG_SITE_SETTINGS_H_
