#include "cli/fleet_setup.h"

#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>

#include "fleet/hint_builder.h"

namespace stoatrun::cli {
namespace {

// A connection quota limits concurrency: a unit is returned when its connection ends, not after a window.
constexpr Micros kNoWindow{0};

std::uint64_t RandomSeed() {
  std::random_device entropy;
  return std::uint64_t{entropy()} << 32U | entropy();
}

std::int64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Sets this relay's id and listening address and adds all other peers.
void AddPeers(const Config& config, const config::Fleet& section, fleet::GossipTransportSetup& setup) {
  bool found_self = false;
  for (const config::FleetPeer& peer : section.peer()) {
    const Address address = *Address::Parse(peer.address());  // Validated when the file was loaded.
    if (peer.name() == config.proxy_name) {
      found_self = true;
      setup.settings.self = peer.place();
      setup.listen_text = peer.has_listen() ? peer.listen() : peer.address();
      setup.listen = *Address::Parse(setup.listen_text);
    } else {
      setup.settings.peers.push_back({peer.place(), peer.name()});
      setup.addresses[peer.place()] = address;
    }
  }
  if (!found_self) {
    throw OperatorFileError("fleet.peer: no peer has this relay's name, '" + config.proxy_name + "'");
  }
}

// Adds the rate quotas of the operator file.
void AddRateQuotas(const config::Fleet& section, fleet::Settings& settings) {
  for (const config::FleetBudget& budget : section.budget()) {
    const Micros window = std::chrono::milliseconds(budget.window_ms());
    switch (budget.kind()) {
      case config::FleetBudget::COLD_SENDS:
        settings.quota_templates.push_back({"cold", budget.units(), window});
        break;
      case config::FleetBudget::ATTEMPTS:
        settings.quotas.push_back({"attempts", budget.units(), window});
        break;
      case config::FleetBudget::PROBES:
        settings.quotas.push_back({"probes", budget.units(), window});
        break;
    }
  }
}

// Adds the configured groups' connection quotas, rounded down to whole connections.
void AddConnectionQuotas(const Config& config, const config::Fleet& section, fleet::Settings& settings) {
  for (const auto& group : config.settings.groups) {
    if (!section.quotas() || group.quota < 0) continue;
    const auto units = static_cast<std::uint32_t>(std::floor(group.quota));
    settings.quotas.push_back({fleet::HintBuilder::ConnectionQuota(group.name), units, kNoWindow});
  }
}

}  // namespace

std::vector<std::string> FleetQuotaGroups(const Config& config, const config::Fleet& section) {
  std::vector<std::string> names;
  for (const auto& group : config.settings.groups) {
    if (section.quotas() && group.quota >= 0) names.push_back(group.name);
  }
  return names;
}

fleet::GossipTransportSetup MakeGossipTransportSetup(const Config& config, const config::Fleet& section) {
  fleet::GossipTransportSetup setup;
  fleet::Settings& settings = setup.settings;
  settings.fleet = section.name();
  settings.fleet_size = section.places();
  setup.name = config.proxy_name;
  // The configuration's seed may be the same after a restart, but peers must be able to tell two runs apart.
  setup.seed = RandomSeed();
  setup.start_unix_ms = WallClockMs();
  AddPeers(config, section, setup);
  AddRateQuotas(section, settings);
  AddConnectionQuotas(config, section, settings);
  settings.stale_after = std::chrono::milliseconds(section.stale_ms());
  settings.max_accepted_per_s = section.most_taken_per_s();
  settings.max_open = section.most_open();
  settings.max_ejected_fraction = section.most_avoided_percent() / 100.0;
  return setup;
}

}  // namespace stoatrun::cli
