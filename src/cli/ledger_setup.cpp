#include "cli/ledger_setup.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace stoatrun::cli {
namespace {

// Memory that one posting takes, including its names.
constexpr std::size_t kPostingCellBytes = 100;

// Returns the configured groups, each with this relay's share of its quota in thousandths of a connection.
std::vector<ledger::GroupSetup> ConfiguredGroups(const Config& config) {
  std::vector<ledger::GroupSetup> groups;
  for (const auto& configured : config.settings.groups) {
    ledger::GroupSetup group{configured.name, std::nullopt};
    if (configured.quota >= 0) {
      group.quota_milli = std::llround(configured.quota * 1000 / config.settings.balancer.replicas);
    }
    groups.push_back(group);
  }
  return groups;
}

// Overrides the groups' quotas with the operator file's shares; groups that the configuration does not name
// are added.
void ApplyShares(const config::Ledger& section, std::vector<ledger::GroupSetup>& groups) {
  for (const config::Share& share : section.share()) {
    auto it = std::find_if(groups.begin(), groups.end(),
                           [&](const auto& group) { return group.name == share.group(); });
    if (it == groups.end()) it = groups.insert(groups.end(), {share.group(), std::nullopt});
    it->quota_milli = static_cast<std::int64_t>(share.milli_connections());
  }
}

// Returns an id for a new ledger, written as `book` in its records. It is random, because no two ledgers may
// have the same id.
std::string RandomLedgerId() {
  std::random_device random;
  const std::uint32_t high = random(), low = random();
  return fmt::format("{:08x}{:08x}", high, low);
}

}  // namespace

ledger::UsageRecorderSetup MakeUsageRecorderSetup(const Config& config, const config::Ledger& section) {
  ledger::UsageRecorderSetup setup;
  setup.accounts.period = std::chrono::seconds(section.period_s());
  setup.accounts.classes = config.settings.class_names;
  setup.accounts.max_unlisted_groups = section.most_strangers();
  setup.accounts.groups = ConfiguredGroups(config);
  ApplyShares(section, setup.accounts.groups);
  setup.store.folder = section.folder();
  setup.store.relay = config.proxy_name;
  setup.store.ledger_id = RandomLedgerId();
  setup.store.checkpoint_ms = section.checkpoint_ms();
  setup.checkpoint = std::chrono::milliseconds(section.checkpoint_ms());
  setup.max_backlog_cells = std::size_t{section.backlog_kib()} * 1024 / kPostingCellBytes;
  return setup;
}

ledger::ExportClientSetup MakeExportClientSetup(const config::Receiver& section, std::uint64_t seed) {
  ledger::ExportClientSetup setup;
  setup.receiver = Address::Parse(section.address()).value();
  setup.host = section.address();
  setup.path = section.path();
  setup.response_timeout = std::chrono::milliseconds(section.answer_wait_ms());
  setup.delivery.initial_backoff = std::chrono::milliseconds(section.first_retry_ms());
  setup.delivery.max_backoff =
      std::chrono::milliseconds(std::max(section.first_retry_ms(), section.last_retry_ms()));
  setup.delivery.max_batch_records = section.most_records();
  setup.seed = seed;
  return setup;
}

}  // namespace stoatrun::cli
