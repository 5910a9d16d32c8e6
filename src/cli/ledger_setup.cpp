#include "cli/ledger_setup.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace stoatrun::cli {
namespace {

constexpr std::size_t kCellBytes = 100;  // As measured: a cell of a posting in memory, its names included.

}  // namespace

ledger::UsageRecorderSetup MakeUsageRecorderSetup(const Config& config, const config::Ledger& file) {
  ledger::UsageRecorderSetup setup;
  setup.accounts.period = std::chrono::seconds(file.period_s());
  setup.accounts.classes = config.settings.class_names;
  setup.accounts.max_unlisted_groups = file.most_strangers();
  for (const auto& g : config.settings.groups) {
    ledger::GroupSetup group{g.name, std::nullopt};
    if (g.quota >= 0) group.quota_milli = std::llround(g.quota * 1000 / config.settings.balancer.replicas);
    setup.accounts.groups.push_back(group);
  }
  for (const config::Share& s : file.share()) {
    auto& groups = setup.accounts.groups;
    auto it = std::find_if(groups.begin(), groups.end(), [&](const auto& g) { return g.name == s.group(); });
    if (it == groups.end()) it = groups.insert(groups.end(), {s.group(), std::nullopt});
    it->quota_milli = static_cast<std::int64_t>(s.milli_connections());
  }
  std::random_device random;
  setup.store = {file.folder(), config.proxy_name, fmt::format("{:08x}{:08x}", random(), random()),
                 nullptr,       true,        file.checkpoint_ms()};
  setup.checkpoint = std::chrono::milliseconds(file.checkpoint_ms());
  setup.max_backlog_cells = std::size_t{file.backlog_kib()} * 1024 / kCellBytes;
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
