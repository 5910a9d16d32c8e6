// The proxy's configuration: the environment (PROXY_*, STOATRUN_LOG) and the JSON configuration file that
// PROXY_CONFIG names.
//
// Loaded at start-up and on reload, on the main thread. The loaders throw ConfigError with a message for the
// operator.
#ifndef STOATRUN_CONFIG_CONFIG_H_
#define STOATRUN_CONFIG_CONFIG_H_

#include <simdjson.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/log.h"
#include "base/tcp_connection.h"
#include "config/site_settings.h"
#include "endpoint/endpoint_update.h"

namespace stoatrun {

// The effective configuration; a reload creates a new one.
struct Config {
  std::string proxy_name;
  Address listen;  // The address for clients.
  Address discovery;
  std::string listen_text, discovery_text;  // Both addresses as configured.
  std::optional<Level> log_level;           // STOATRUN_LOG, if set.
  EndpointUpdate cached_endpoints;          // Used until discovery responds (`known`).
  SiteSettings settings;
  std::size_t descriptor_limit = 0;  // Maximum open file descriptors (`limits.sockets`); 0: not set.
  // The address of the management server (`management`, PROXY_MANAGEMENT), if set.
  std::optional<Address> management;
  std::string management_text;
  // A listening socket inherited from the platform (PROXY_ACCEPT_FD); if not set, the proxy binds `listen`.
  std::optional<int> accept_fd;
  std::string settings_text;  // `settings` minified, so that a reload can detect changes.
};

// Parses an endpoint list from discovery or from `known` in the configuration file. Skips entries without an
// id. Throws JsonError.
EndpointUpdate ParseEndpointUpdate(const simdjson::dom::element& value);

// When a configuration is loaded. At start-up the environment takes precedence over the file. On reload the
// file's `discovery` takes precedence, because the environment still contains the address from start-up.
enum class LoadAt { kStart, kReload };

// Loads the environment and the file named by PROXY_CONFIG. Throws ConfigError.
Config LoadConfig(LoadAt when);

// Parses the text of a configuration file, ignoring the environment. Throws ConfigError.
Config ParseConfig(std::string_view json_text);

}  // namespace stoatrun

#endif  // STOATRUN_CONFIG_CONFIG_H_
