// The settings of a deployment ("facts"), in the one JSON form that the simulator's first message and the
// proxy's configuration file share. This is the only place that maps its keys to names in the code.
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

// The fields of a host's load report.
enum class ReportField { kLoadRatio, kUtilization, kOutstanding, kOther };

// The field that a load report calls by this name; kOther if the balancer doesn't use it.
ReportField ReportFieldOf(std::string_view name);

// Sets one field of `report`; kOther is ignored.
void SetField(::balancer::LoadReport& report, ReportField field, double value);

// The settings that hold for every proxy of a deployment.
struct SiteSettings {
  // A group of connections that share a quota (a tenant).
  struct Group {
    std::string name;
    double quota = -1;  // Open connections that all proxies together may hold for it; negative: unlimited.
  };

  ::balancer::Settings balancer;
  std::vector<ReportField> report_fields;  // In the order in which the simulator's reports list them.

  // The rest is used by the proxy on sockets alone.
  std::vector<std::string> class_names;
  std::vector<std::string> zone_names;
  std::vector<Group> groups;
  // Connections with the same value of `g` share work at a host, so they are placed together.
  bool affinity_by_group = false;
  Micros connect_timeout{0};      // 0: not set.
  Micros idle_timeout{0};         // 0: not set.
  Micros stop_sending_within{0};  // A draining host gets no new work later than this; 0: not set.
  // Without a poll for so long a proxy counts as notified of an endpoint's state; 0: not set.
  Micros poll_timeout{0};
  Micros max_deadline{0};  // The longest of all classes.
};

// A hash of `name` (XXH3) that is the same in every process and on every machine; never 0.
std::uint64_t HashName(std::string_view name);

// Throws JsonError. `seed` seeds the balancer's random draws.
SiteSettings ParseSiteSettings(const simdjson::dom::element& facts, std::uint64_t seed);

}  // namespace stoatrun

#endif  // STOATRUN_CONFIG_SITE_SETTINGS_H_
