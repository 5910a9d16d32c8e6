#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <system_error>
#include <utility>

#include "config/json.h"

namespace stoatrun {
namespace {

using json::element;
using json::object;

std::optional<std::string> GetEnvironment(const char* name) {
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe): main thread only.
  if (value == nullptr || *value == '\0') return std::nullopt;
  return value;
}

// Parses all of `text` as an integer; nullopt if it is not one.
template <typename T>
std::optional<T> ParseInteger(std::string_view text, int base = 10) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

Address ParseAddress(std::string_view setting, std::string_view text) {
  const auto address = Address::Parse(text);
  if (!address) {
    throw ConfigError(std::string(setting) + ": expected IP:PORT, got '" + std::string(text) + "'");
  }
  return *address;
}

int ParseDescriptor(const std::string& text) {
  const auto descriptor = ParseInteger<int>(text);
  if (!descriptor || *descriptor < 0) {
    throw ConfigError("PROXY_ACCEPT_FD: expected a file descriptor number, got '" + text + "'");
  }
  return *descriptor;
}

// The seed is a number or a string of hex digits, because some JSON writers round numbers above 2^53.
std::uint64_t ReadSeed(const object& file) {
  const auto value = json::Find(file, "seed");
  if (!value) throw ConfigError("seed: missing");
  if (!value->is_string()) return json::AsUnsigned(*value, "seed");
  const auto seed = ParseInteger<std::uint64_t>(json::AsText(*value, "seed"), 16);
  if (!seed) json::Fail("seed", "expected hex digits");
  return *seed;
}

// Environment variables that override values of the file.
struct EnvironmentOverrides {
  std::optional<std::string> proxy_name, listen, discovery, management;
};

std::string RequiredText(const object& file, std::string_view key,
                         const std::optional<std::string>& override_text) {
  if (override_text) return *override_text;
  const auto value = json::Find(file, key);
  if (!value) throw ConfigError(std::string(key) + ": missing");
  return std::string(json::AsText(*value, key));
}

void ReadAddresses(const object& file, const EnvironmentOverrides& environment, LoadAt when, Config& config) {
  config.listen_text = RequiredText(file, "listen", environment.listen);
  config.listen = ParseAddress("listen", config.listen_text);
  const bool file_first = when == LoadAt::kReload && json::Find(file, "discovery");
  config.discovery_text = RequiredText(file, "discovery", file_first ? std::nullopt : environment.discovery);
  config.discovery = ParseAddress("discovery", config.discovery_text);
  if (environment.management) {
    config.management_text = *environment.management;
  } else if (const auto value = json::Find(file, "management")) {
    config.management_text = std::string(json::AsText(*value, "management"));
  }
  if (!config.management_text.empty()) {
    config.management = ParseAddress("management", config.management_text);
  }
}

void ReadSettings(const object& file, Config& config) {
  const auto settings = json::Find(file, "settings");
  if (!settings) throw ConfigError("settings: missing");
  config.settings = ParseSiteSettings(*settings, ReadSeed(file));
  config.settings_text = simdjson::minify(*settings);
  if (config.settings.class_names.empty()) throw ConfigError("settings.classes: missing or empty");
}

Config ReadConfig(const element& root, const EnvironmentOverrides& environment, LoadAt when) {
  const object file = json::AsObject(root, "configuration");
  Config config;
  config.proxy_name = RequiredText(file, "name", environment.proxy_name);
  ReadAddresses(file, environment, when, config);
  ReadSettings(file, config);
  const double sockets = json::NumberOr(json::FindObject(file, "limits"), "sockets", 0);
  config.descriptor_limit = static_cast<std::size_t>(std::max(0.0, sockets));
  if (const auto cached = json::Find(file, "known")) config.cached_endpoints = ParseEndpointUpdate(*cached);
  return config;
}

Config ParseConfig(std::string_view json_text, const EnvironmentOverrides& environment, LoadAt when) {
  simdjson::dom::parser parser;
  element root;
  const auto error = parser.parse(simdjson::padded_string(json_text)).get(root);
  if (error != simdjson::SUCCESS) {
    throw ConfigError("not JSON: " + std::string(simdjson::error_message(error)));
  }
  try {
    return ReadConfig(root, environment, when);
  } catch (const JsonError& error_of_field) {
    throw ConfigError(error_of_field.what());
  }
}

EndpointState ParseState(std::string_view phase) {
  if (phase == "ready") return EndpointState::kReady;
  if (phase == "gone") return EndpointState::kGone;
  // An unknown phase, from a newer protocol version, does not imply that the endpoint accepts new requests.
  return EndpointState::kDraining;
}

Endpoint ReadEndpoint(const object& entry) {
  Endpoint endpoint;
  endpoint.id = std::string(json::TextOr(entry, "id", ""));
  endpoint.address = std::string(json::TextOr(entry, "host_port", ""));
  endpoint.locality = std::string(json::TextOr(entry, "locality", ""));
  endpoint.state = ParseState(json::TextOr(entry, "phase", "ready"));
  endpoint.cell = static_cast<std::uint64_t>(json::NumberOr(entry, "cell", 0));
  endpoint.size = json::NumberOr(entry, "size", 1.0);
  endpoint.started_unix_ms = static_cast<std::int64_t>(json::NumberOr(entry, "up_since_ms", 0));
  return endpoint;
}

}  // namespace

EndpointUpdate ParseEndpointUpdate(const element& value) {
  const object fields = json::AsObject(value, "list");
  EndpointUpdate update;
  if (const auto revision = json::Find(fields, "revision")) {
    update.revision = json::AsUnsigned(*revision, "revision");
  }
  update.complete = json::BoolOr(fields, "complete", false);
  const auto members = json::Find(fields, "members");
  if (!members) return update;
  for (const element member : json::AsArray(*members, "members")) {
    Endpoint endpoint = ReadEndpoint(json::AsObject(member, "members"));
    if (update.entries.size() == kMaxEndpoints) throw JsonError("members: too many");
    if (!endpoint.id.empty()) update.entries.push_back(std::move(endpoint));
  }
  return update;
}

Config ParseConfig(std::string_view json_text) { return ParseConfig(json_text, {}, LoadAt::kStart); }

Config LoadConfig(LoadAt when) {
  const auto path = GetEnvironment("PROXY_CONFIG");
  if (!path) throw ConfigError("PROXY_CONFIG: not set; it names the configuration file");
  simdjson::padded_string text;
  if (const auto error = simdjson::padded_string::load(*path).get(text); error != simdjson::SUCCESS) {
    throw ConfigError(*path + ": " + simdjson::error_message(error));
  }
  const EnvironmentOverrides environment{GetEnvironment("PROXY_NAME"), GetEnvironment("PROXY_LISTEN"),
                                         GetEnvironment("PROXY_DISCOVERY"),
                                         GetEnvironment("PROXY_MANAGEMENT")};
  Config config = ParseConfig(std::string_view(text), environment, when);
  if (const auto descriptor = GetEnvironment("PROXY_ACCEPT_FD")) {
    config.accept_fd = ParseDescriptor(*descriptor);
  }
  if (const auto level = GetEnvironment("STOATRUN_LOG")) {
    config.log_level = ParseLogLevel(*level);
    if (!config.log_level) {
      throw ConfigError("STOATRUN_LOG: expected debug, info, warn or error, got '" + *level + "'");
    }
  }
  return config;
}

}  // namespace stoatrun
