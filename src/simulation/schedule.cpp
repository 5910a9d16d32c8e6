#include "simulation/schedule.h"

#include <fmt/format.h>

#include <algorithm>

#include "simulation/schedule_verbs.h"

namespace stoatrun::simulation {

std::string_view VerbOf(FaultAction action) {
  const auto at = std::find_if(kVerbs.begin(), kVerbs.end(),
                               [&](const VerbFormat& format) { return format.action == action; });
  return at == kVerbs.end() ? std::string_view() : at->verb;
}

std::size_t Step::Index(std::size_t n) const { return IndexFromName(arguments[n]); }

std::set<std::size_t> Step::Indices(std::size_t n) const {
  std::set<std::size_t> indices;
  std::string_view list = arguments[n];
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    indices.insert(IndexFromName(std::string(list.substr(0, comma))));
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return indices;
}

std::uint64_t Step::Number(std::size_t n) const { return std::stoul(arguments[n]); }

std::string Schedule::ToText() const {
  std::string text =
      fmt::format("seed {}\nrelays {}\nservers {}\nfor {}\n", seed, relays, servers, length.count() / 1000);
  for (const Step& step : steps) {
    text += fmt::format("{} {}", step.at.count() / 1000, VerbOf(step.action));
    for (const std::string& argument : step.arguments) text += fmt::format(" {}", argument);
    text += '\n';
  }
  return text;
}

std::string RelayName(std::size_t index) { return fmt::format("n{}", index); }
std::string ServerName(std::size_t index) { return fmt::format("s{}", index); }

std::size_t IndexFromName(const std::string& name) { return std::stoul(name.substr(1)); }

}  // namespace stoatrun::simulation
