#include "cli/fleet_setup.h"

#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>

#include "fleet/hint_builder.h"

namespace stoatrun::cli {

std::vector<std::string> QuotasOf(const Config& config, const config::Fleet& file) {
  std::vector<std::string> out;
  for (const auto& group : config.site.groups) {
    if (file.quotas() && group.quota >= 0) out.push_back(group.name);
  }
  return out;
}

fleet::GossipTransportSetup FleetSetupOf(const Config& config, const config::Fleet& file) {
  fleet::GossipTransportSetup setup;
  fleet::Settings& s = setup.settings;
  s.fleet = file.name();
  s.fleet_size = file.places();
  setup.name = config.name;
  // Not the configuration's: where that one stays the same, a new run must not be taken for its former self.
  std::random_device entropy;
  setup.seed = std::uint64_t{entropy()} << 32U | entropy();
  setup.wall_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  bool named = false;
  for (const config::FleetPeer& p : file.peer()) {
    const Address address = *Address::Parse(p.address());  // Its form was checked when the file was read.
    if (p.name() == config.name) {
      named = true;
      s.self = p.place();
      setup.listen_text = p.has_listen() ? p.listen() : p.address();
      setup.listen = *Address::Parse(setup.listen_text);
    } else {
      s.peers.push_back({p.place(), p.name()});
      setup.addresses[p.place()] = address;
    }
  }
  if (!named) throw OperatorError("fleet.peer: none is named '" + config.name + "', as this relay is");
  for (const config::FleetBudget& b : file.budget()) {
    const Micros window = std::chrono::milliseconds(b.window_ms());
    switch (b.kind()) {
      case config::FleetBudget::COLD_SENDS:
        s.quota_templates.push_back({"cold", b.units(), window});
        break;
      case config::FleetBudget::ATTEMPTS:
        s.quotas.push_back({"attempts", b.units(), window});
        break;
      case config::FleetBudget::PROBES:
        s.quotas.push_back({"probes", b.units(), window});
        break;
    }
  }
  for (const auto& group : config.site.groups) {
    if (!file.quotas() || group.quota < 0) continue;
    s.quotas.push_back({fleet::HintBuilder::ConnectionQuota(group.name),
                        static_cast<std::uint32_t>(std::floor(group.quota)), Micros(0)});
  }
  s.stale_after = std::chrono::milliseconds(file.stale_ms());
  s.max_accepted_per_s = file.most_taken_per_s();
  s.max_open = file.most_open();
  s.max_ejected_fraction = file.most_avoided_percent() / 100.0;
  return setup;
}

}  // namespace stoatrun::cli
