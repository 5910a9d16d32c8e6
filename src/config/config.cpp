#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <utility>

#include "config/json.h"

namespace stoatrun {
namespace {

using simdjson::dom::element;
using simdjson::dom::object;
using namespace balancer::settings;  // NOLINT(google-build-using-namespace): the shared JSON helpers.

std::optional<std::string> Env(const char* name) {
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe): there is one thread.
  if (value == nullptr || *value == '\0') return std::nullopt;
  return value;
}

Address AddressOf(std::string_view what, std::string_view text) {
  const auto address = Address::Parse(text);
  if (!address) throw ConfigError(std::string(what) + ": expected IP:PORT, got '" + std::string(text) + "'");
  return *address;
}

int DescriptorOf(const std::string& text) {
  int fd = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), fd);
  if (error != std::errc() || end != text.data() + text.size() || fd < 0) {
    throw ConfigError("PROXY_ACCEPT_FD: expected the number of a descriptor, got '" + text + "'");
  }
  return fd;
}

std::uint64_t ReadSeed(const object& o) {
  const auto e = Get(o, "seed");
  if (!e) throw ConfigError("seed: missing");
  if (e->is_string()) {
    const std::string_view text = AsText(*e, "seed");
    std::uint64_t seed = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (error != std::errc() || end != text.data() + text.size()) Fail("seed", "expected hex digits");
    return seed;
  }
  return AsUnsigned(*e, "seed");
}

// The environment's values, where they go before the file's.
struct Given {
  std::optional<std::string> name, listen, discovery, management;
  LoadAt when = LoadAt::kStart;
};

Config Parse(std::string_view json, const Given& env) {
  simdjson::dom::parser parser;
  element root;
  const auto error = parser.parse(simdjson::padded_string(json)).get(root);
  if (error != simdjson::SUCCESS) {
    throw ConfigError("not JSON: " + std::string(simdjson::error_message(error)));
  }
  try {
    const object o = AsObject(root, "configuration");
    const auto text = [&](std::string_view key, const std::optional<std::string>& given) {
      if (given) return *given;
      const auto e = Get(o, key);
      if (!e) throw ConfigError(std::string(key) + ": missing");
      return std::string(AsText(*e, key));
    };
    Config c;
    c.name = text("name", env.name);
    c.listen_text = text("listen", env.listen);
    c.listen = AddressOf("listen", c.listen_text);
    const bool file_first = env.when == LoadAt::kReload && Get(o, "discovery");
    c.discovery_text = text("discovery", file_first ? std::nullopt : env.discovery);
    c.discovery = AddressOf("discovery", c.discovery_text);
    if (env.management) {
      c.management_text = *env.management;
    } else if (const auto e = Get(o, "management"); e && !e->is_null()) {
      c.management_text = std::string(AsText(*e, "management"));
    }
    if (!c.management_text.empty()) c.management = AddressOf("management", c.management_text);
    const auto settings = Get(o, "settings");
    if (!settings) throw ConfigError("settings: missing");
    c.site = ReadSettings(*settings, ReadSeed(o));
    c.settings_text = simdjson::minify(*settings);
    if (c.site.class_names.empty()) throw ConfigError("settings.classes: missing or empty");
    c.sockets = static_cast<std::size_t>(std::max(0.0, NumberOr(GetObject(o, "limits"), "sockets", 0)));
    if (const auto known = Get(o, "known")) c.known = ParseEndpointUpdate(*known);
    return c;
  } catch (const FormError& e) {
    throw ConfigError(e.what());
  }
}

}  // namespace

EndpointUpdate ParseEndpointUpdate(const element& e) {
  const object o = AsObject(e, "list");
  EndpointUpdate list;
  if (const auto revision = Get(o, "revision")) list.revision = AsUnsigned(*revision, "revision");
  list.complete = BoolOr(o, "complete", false);
  const auto members = Get(o, "members");
  if (!members) return list;
  for (const element m : AsArray(*members, "members")) {
    const object entry = AsObject(m, "members");
    Endpoint h;
    h.id = std::string(TextOr(entry, "id", ""));
    h.address = std::string(TextOr(entry, "host_port", ""));
    h.locality = std::string(TextOr(entry, "locality", ""));
    const std::string_view phase = TextOr(entry, "phase", "ready");
    // A phase of a later protocol is no promise that new work is welcome.
    h.phase = phase == "ready"  ? EndpointState::kReady
              : phase == "gone" ? EndpointState::kGone
                                : EndpointState::kDraining;
    h.cell = static_cast<std::uint64_t>(NumberOr(entry, "cell", 0));
    h.size = NumberOr(entry, "size", 1.0);
    h.up_since_ms = static_cast<std::int64_t>(NumberOr(entry, "up_since_ms", 0));
    if (!h.id.empty()) list.entries.push_back(std::move(h));
  }
  return list;
}

Config ParseConfig(std::string_view json) { return Parse(json, {}); }

Config LoadConfig(LoadAt when) {
  const auto path = Env("PROXY_CONFIG");
  if (!path) throw ConfigError("PROXY_CONFIG: not set; it names the configuration file");
  simdjson::padded_string text;
  if (const auto error = simdjson::padded_string::load(*path).get(text); error != simdjson::SUCCESS) {
    throw ConfigError(*path + ": " + simdjson::error_message(error));
  }
  Config c = Parse(std::string_view(text), {Env("PROXY_NAME"), Env("PROXY_LISTEN"), Env("PROXY_DISCOVERY"),
                                            Env("PROXY_MANAGEMENT"), when});
  if (const auto fd = Env("PROXY_ACCEPT_FD")) c.accept_fd = DescriptorOf(*fd);
  if (const auto level = Env("STOATRUN_LOG")) {
    const auto named = LevelNamed(*level);
    if (!named) throw ConfigError("STOATRUN_LOG: expected debug, info, warn or error, got '" + *level + "'");
    c.log_level = *named;
  }
  return c;
}

}  // namespace stoatrun
