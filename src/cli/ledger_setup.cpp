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

// Memory of one posting's row, with its names; measured.
constexpr std::size_t kPostingCellBytes = 100;

// The groups of the configuration, each with its share of the quota in thousandths of a connection.
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

// Applies the operator file's shares; a group that the configuration does not name is added.
void ApplyShares(const config::Ledger& file, std::vector<ledger::GroupSetup>& groups) {
  for (const config::Share& share : file.share()) {
    auto it = std::find_if(groups.begin(), groups.end(),
                           [&](const auto& group) { return group.name == share.group(); });
    if (it == groups.end()) it = groups.insert(groups.end(), {share.group(), std::nullopt});
    it->quota_milli = static_cast<std::int64_t>(share.milli_connections());
  }
}

// Names a new ledger (`book` in its records); no other ledger may have the same name.
std::string RandomLedgerName() {
  std::random_device random;
  const std::uint32_t high = random(), low = random();
  return fmt::format("{:08x}{:08x}", high, low);
}

}  // namespace

ledger::UsageRecorderSetup MakeUsageRecorderSetup(const Config& config, const config::Ledger& file) {
  ledger::UsageRecorderSetup setup;
  setup.accounts.period = std::chrono::seconds(file.period_s());
  setup.accounts.classes = config.settings.class_names;
  setup.accounts.max_unlisted_groups = file.most_strangers();
  setup.accounts.groups = ConfiguredGroups(config);
  ApplyShares(file, setup.accounts.groups);
  setup.store.folder = file.folder();
  setup.store.relay = config.proxy_name;
  setup.store.ledger_id = RandomLedgerName();
  setup.store.checkpoint_ms = file.checkpoint_ms();
  setup.checkpoint = std::chrono::milliseconds(file.checkpoint_ms());
  setup.max_backlog_cells = std::size_t{file.backlog_kib()} * 1024 / kPostingCellBytes;
  return setup;
}

ledger::ExportClientSetup MakeExportClientSetup(const config::Receiver& file, std::uint64_t seed) {
  ledger::ExportClientSetup setup;
  setup.receiver = Address::Parse(file.address()).value();
  setup.host = file.address();
  setup.path = file.path();
  setup.response_timeout = std::chrono::milliseconds(file.answer_wait_ms());
  setup.delivery.initial_backoff = std::chrono::milliseconds(file.first_retry_ms());
  setup.delivery.max_backoff =
      std::chrono::milliseconds(std::max(file.first_retry_ms(), file.last_retry_ms()));
  setup.delivery.max_batch_records = file.most_records();
  setup.seed = seed;
  return setup;
}

}  // namespace stoatrun::cli
