#include "cli/fleet_check.h"

#include <fmt/format.h>

#include <cstdint>
#include <utility>

#include "cli/fleet_status.h"

namespace stoatrun::cli {

using simdjson::dom::array;
using simdjson::dom::element;

void FleetCheck::AddUnreachable(const std::string& address, const std::string& reason) {
  findings_.push_back({address, reason});
}

void FleetCheck::AddStatus(const element& status) {
  relay_ = JsonText(status["relay"]);
  settings_["fleet"].insert(JsonText(status["fleet"]));
  settings_["places"].insert(JsonText(status["places"]));
  for (const element quota : array(status["budgets"])) {
    quotas_[JsonText(quota["budget"])].insert(JsonText(quota["units"]));
  }
  if (bool(status["twins"])) Report("another process runs under its name");
  if (!bool(status["balanced"])) Report("its accounts do not balance");
  CheckMembers(status);
  CheckQuotas(status);
  CheckTotals(status);
  CheckDistrusted(status);
}

void FleetCheck::CheckMembers(const element& status) {
  for (const element member : array(status["members"])) {
    const std::string name = JsonText(member["name"]);
    const std::string state = JsonText(member["standing"]);
    if (state != "alive") Report(fmt::format("{} is {} ({} ms)", name, state, JsonText(member["since_ms"])));
    if (bool(member["twins"])) Report(fmt::format("two processes run under the name {}", name));
    const std::string places = JsonText(member["places"]);
    if (places != JsonText(status["places"])) Report(fmt::format("{} states {} places", name, places));
  }
}

void FleetCheck::CheckQuotas(const element& status) {
  for (const element quota : array(status["budgets"])) {
    if (std::uint64_t(quota["excess"]) > 0) {
      Report(fmt::format("holds {} too many of {}", JsonText(quota["excess"]), JsonText(quota["budget"])));
    }
    if (!bool(quota["whole"])) {
      Report(fmt::format("does not know yet who holds its part of {}", JsonText(quota["budget"])));
    }
  }
}

void FleetCheck::CheckTotals(const element& status) {
  const element total = status["total"];
  if (std::uint64_t(total["unheard"]) > 0) {
    Report(fmt::format("has no counts of {} relays", JsonText(total["unheard"])));
  }
  if (std::uint64_t(total["widened"]) > 0) {
    Report(fmt::format("has old counts of {} relays", JsonText(total["widened"])));
  }
}

void FleetCheck::CheckDistrusted(const element& status) {
  for (const element peer : array(status["distrusted"])) {
    Report(fmt::format("does not hear {}: {}", JsonText(peer["name"]), JsonText(peer["why"])));
  }
}

void FleetCheck::CompareRelays() {
  ReportDifferences(settings_, "setting");
  ReportDifferences(quotas_, "budget");
}

void FleetCheck::ReportDifferences(const Values& values, const char* kind) {
  for (const auto& [name, stated] : values) {
    if (stated.size() <= 1) continue;
    findings_.push_back({"fleet", fmt::format("{} {} differs: {}", kind, name, fmt::join(stated, ", "))});
  }
}

}  // namespace stoatrun::cli
