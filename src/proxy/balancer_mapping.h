// The one place where the module's names meet the sockets': ids by slots, servers by numbers,
// outcomes by how an attempt ended, actions as handler.
#ifndef STOATRUN_PROXY_BALANCER_MAPPING_H_
#define STOATRUN_PROXY_BALANCER_MAPPING_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.h"
#include "base/clock.h"
#include "base/slot_map.h"
#include "config/site_settings.h"
#include "endpoint/endpoint_update.h"
#include "proxy/upstream.h"

namespace stoatrun {

// What the module handler, in the shop's terms.
class ActionHandler {
 public:
  virtual ~ActionHandler() = default;
  virtual void OpenAttempt(SlotId request, EndpointIndex host, Micros wait) = 0;
  virtual void AbandonAttempt(SlotId request, std::uint32_t attempt_number) = 0;
  virtual void Reject(SlotId request, Micros retry_after) = 0;
  virtual void Fail(SlotId request) = 0;
  virtual void Move(SlotId request) = 0;
  virtual void Probe(EndpointIndex host) = 0;
  virtual void WakeIn(Micros delay) = 0;
  virtual void Watch() = 0;
};

void Dispatch(const balancer::Action& action, ActionHandler& handler);

struct ConnectRequest {  // What the module hears of a new request.
  std::size_t class_index = 0;
  Micros deadline{0};
  std::optional<double> load;
  bool again = false;
  std::uint64_t group = 0;  // Of those that share work at a host; 0: none.
};

balancer::Event Arrived(SlotId request, const ConnectRequest& opening);
balancer::Event Resumed(SlotId request, const ConnectRequest& opening, EndpointIndex host);
balancer::Event AttemptIsUp(SlotId request, EndpointIndex host);
// `report` is what followed the host's word, where reports come with answers.
balancer::Event AttemptEnded(SlotId request, EndpointIndex host, AttemptEnd end, bool finished,
                             std::string_view report);
balancer::Event LoadIs(SlotId request, double load);
balancer::Event MessageTook(EndpointIndex host, Micros delay);
balancer::Event Probed(EndpointIndex host, bool ok, std::string_view report);
balancer::Event Left(SlotId request);
// What the rest of the fleet says of a host: connections that no report shows yet, how many it may still be
// sent while it is cold (under 0: not known), and whether to avoid it for a while.
balancer::Event PeersSay(EndpointIndex host, double unseen, double cold, bool avoid);
balancer::Event ListFailed();

enum class ListSource { kKnown, kWatch };
balancer::Event ListOf(const EndpointUpdate& list, ListSource source,
                       const std::function<EndpointIndex(const std::string&)>& number_of, const Clock& clock,
                       std::vector<std::string>& zones);

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_BALANCER_MAPPING_H_
