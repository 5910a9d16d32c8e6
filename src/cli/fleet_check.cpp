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
  if (bool(status["twins"])) AddFinding("another process runs under this relay's name");
  if (!bool(status["balanced"])) {
    AddFinding("its connection counts are inconsistent (accounts do not balance)");
  }
  CheckMembers(status);
  CheckQuotas(status);
  CheckTotals(status);
  CheckDistrusted(status);
}

void FleetCheck::CheckMembers(const element& status) {
  for (const element member : array(status["members"])) {
    const std::string name = JsonText(member["name"]);
    const std::string state = JsonText(member["standing"]);
    if (state != "alive") {
      AddFinding(fmt::format("{} is {} ({} ms)", name, state, JsonText(member["since_ms"])));
    }
    if (bool(member["twins"])) AddFinding(fmt::format("two processes run under the name {}", name));
    const std::string places = JsonText(member["places"]);
    if (places != JsonText(status["places"])) {
      AddFinding(fmt::format("{} is configured with {} places", name, places));
    }
  }
}

void FleetCheck::CheckQuotas(const element& status) {
  for (const element quota : array(status["budgets"])) {
    if (std::uint64_t(quota["excess"]) > 0) {
      AddFinding(fmt::format("holds {} units of budget {} in excess", JsonText(quota["excess"]),
                             JsonText(quota["budget"])));
    }
    if (!bool(quota["whole"])) {
      AddFinding(fmt::format("has not reconciled the lent part of its share of budget {}",
                             JsonText(quota["budget"])));
    }
  }
}

void FleetCheck::CheckTotals(const element& status) {
  const element total = status["total"];
  if (std::uint64_t(total["unheard"]) > 0) {
    AddFinding(fmt::format("has received no connection counts from {} relays", JsonText(total["unheard"])));
  }
  if (std::uint64_t(total["widened"]) > 0) {
    AddFinding(fmt::format("has stale connection counts from {} relays", JsonText(total["widened"])));
  }
}

void FleetCheck::CheckDistrusted(const element& status) {
  for (const element peer : array(status["distrusted"])) {
    AddFinding(fmt::format("does not accept health verdicts from {}: {}", JsonText(peer["name"]),
                           JsonText(peer["why"])));
  }
}

void FleetCheck::CompareRelays() {
  AddDifferences(settings_, "setting");
  AddDifferences(quotas_, "budget");
}

void FleetCheck::AddDifferences(const ReportedValues& values, const char* kind) {
  for (const auto& [name, reported] : values) {
    if (reported.size() <= 1) continue;
    findings_.push_back({"fleet", fmt::format("{} {} differs: {}", kind, name, fmt::join(reported, ", "))});
  }
}

}  // namespace stoatrun::cli
