// What a relay is told at its start: the environment and the configuration file.
#ifndef STOATRUN_CONFIG_CONFIG_H_
#define STOATRUN_CONFIG_CONFIG_H_

#include <simdjson.h>

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "base/log.h"
#include "base/tcp_connection.h"
#include "config/site_settings.h"
#include "endpoint/endpoint_update.h"

namespace stoatrun {

// What is wrong with it, in words for the operator.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  Address listen, discovery;
  std::string listen_text, discovery_text;
  std::optional<Level> log_level;  // By STOATRUN_LOG.
  EndpointUpdate known;
  balancer::settings::SiteSettings site;
  std::size_t sockets = 0;  // Descriptors it may hold, by `limits.sockets`; 0: not told.
  // The second address, for the operators' calls (`management`, PROXY_MANAGEMENT); none: not told.
  std::optional<Address> management;
  std::string management_text;
  // A listening socket that the platform holds for the clients (PROXY_ACCEPT_FD); none: the relay binds.
  std::optional<int> accept_fd;
  std::string settings_text;  // As the file has them, to tell at a reload whether they changed.
};

// Throws balancer::settings::FormError. Entries without an id or an address are skipped.
EndpointUpdate ParseEndpointUpdate(const simdjson::dom::element& e);

// Throws ConfigError. At the start the environment's values go before the file's. At a reload the file's
// `discovery` goes first: the environment still names the address of the start.
enum class LoadAt { kStart, kReload };
Config LoadConfig(LoadAt when);
// The same from a text, without the environment.
Config ParseConfig(std::string_view json);

}  // namespace stoatrun

#endif  // STOATRUN_CONFIG_CONFIG_H_
