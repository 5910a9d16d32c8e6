// The proxy's configuration: the environment (PROXY_*, STOATRUN_LOG) and the JSON configuration file that
// PROXY_CONFIG names.
//
// Read at start-up and at a reload, on the main thread. The loaders throw ConfigError with a message for the
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

// The configuration in force; a reload builds a new one.
struct Config {
  std::string proxy_name;
  Address listen;  // Where clients connect to.
  Address discovery;
  std::string listen_text, discovery_text;  // Both addresses as they were configured.
  std::optional<Level> log_level;           // STOATRUN_LOG, if set.
  EndpointUpdate cached_endpoints;          // Used until discovery has answered (`known`).
  SiteSettings settings;
  std::size_t descriptor_limit = 0;  // Descriptors that the proxy may hold (`limits.sockets`); 0: not set.
  // The second address, for the operators' calls (`management`, PROXY_MANAGEMENT), if set.
  std::optional<Address> management;
  std::string management_text;
  // A listening socket that the platform holds for the clients (PROXY_ACCEPT_FD); else the proxy binds one.
  std::optional<int> accept_fd;
  std::string settings_text;  // `settings` minified, so that a reload can tell whether they changed.
};

// Reads an endpoint list, as discovery and the configuration file's `known` have it. Entries without an id
// are skipped. Throws JsonError.
EndpointUpdate ParseEndpointUpdate(const simdjson::dom::element& value);

// When a configuration is loaded. At the start the environment takes precedence over the file. At a reload
// the file's `discovery` takes precedence: the environment still has the address of the start.
enum class LoadAt { kStart, kReload };

// Loads the environment and the file it names. Throws ConfigError.
Config LoadConfig(LoadAt when);

// Reads a configuration file's text, without the environment. Throws ConfigError.
Config ParseConfig(std::string_view json_text);

}  // namespace stoatrun

#endif  // STOATRUN_CONFIG_CONFIG_H_
