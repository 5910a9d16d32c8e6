// The simulator's JSON wire on one side, the interface of the library on the other. Nothing is decided here.
#ifndef STOATRUN_SIMULATOR_ADAPTER_WIRE_H_
#define STOATRUN_SIMULATOR_ADAPTER_WIRE_H_

#include <memory>
#include <string>
#include <string_view>

#include "config/json.h"

namespace balancer::adapter {

// A line that is not what the wire describes. what() names the field.
using WireError = settings::FormError;

// Hosts any number of instances. Each has a Balancer of its own; they share nothing but the parser.
class Adapter {
 public:
  Adapter();
  ~Adapter();
  Adapter(const Adapter&) = delete;
  Adapter& operator=(const Adapter&) = delete;

  // Takes one batch (a line without its end) and gives its reply (likewise). Throws WireError.
  std::string HandleLine(std::string_view line);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balancer::adapter

#endif  // STOATRUN_SIMULATOR_ADAPTER_WIRE_H_
