// Conversions between the proxy's types and those of the balancer's interface (include/balancer). A session's
// SlotId becomes the balancer's RequestId, an EndpointIndex its EndpointId. Functions that return a
// balancer::Event are named To and the name of the event. All are pure functions.
#ifndef STOATRUN_PROXY_BALANCER_MAPPING_H_
#define STOATRUN_PROXY_BALANCER_MAPPING_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.h"
#include "base/clock.h"
#include "base/slot_map.h"
#include "endpoint/endpoint_update.h"
#include "proxy/endpoint_table.h"
#include "proxy/upstream.h"

namespace stoatrun {

// The properties of a client's connection request that the balancer uses.
struct ConnectRequest {
  std::size_t class_index = 0;  // Index into the settings' list of classes.
  Micros deadline{0};           // By which the connection must be established, on the event loop's clock.
  std::optional<double> load;
  bool is_reconnect = false;
  std::uint64_t affinity_group = 0;  // Requests of one group share work at an endpoint; 0: no group.
};

// Whether the client's request is still open or has been given its final answer.
enum class RequestState : std::uint8_t { kOpen, kFinished };

// The source of an endpoint list: kCached is the configuration, kWatch a watch at discovery.
enum class EndpointSource : std::uint8_t { kCached, kWatch };

// The session that the balancer identifies by `id`.
SlotId ToSessionId(balancer::RequestId id);
// The endpoint that the balancer identifies by `id`.
EndpointIndex ToEndpointIndex(balancer::EndpointId id);

// A client requests a new connection.
balancer::Event ToRequestArrived(SlotId session, const ConnectRequest& request);
// A connection that existed before this process started has been established again at `endpoint`.
balancer::Event ToConnectionResumed(SlotId session, const ConnectRequest& request, EndpointIndex endpoint);
// `endpoint` accepted the request of `session`.
balancer::Event ToAttemptEstablished(SlotId session, EndpointIndex endpoint);
// An attempt, or the session that it established, has ended. `report`: the metrics in the endpoint's answer,
// if endpoints report their load in answers.
balancer::Event ToAttemptEnded(SlotId session, EndpointIndex endpoint, AttemptEnd end, RequestState state,
                               std::string_view report);
// The endpoint reported the current load of `session`, in the unit of ConnectRequest::load.
balancer::Event ToLoadReported(SlotId session, double load);
// `endpoint` answered a client's line after `latency`.
balancer::Event ToMessageLatencyReported(EndpointIndex endpoint, Micros latency);
// A probe has ended. `report`: the metrics in its answer.
balancer::Event ToProbeCompleted(EndpointIndex endpoint, bool succeeded, std::string_view report);
// The client of `session` has closed or reset its connection.
balancer::Event ToClientDisconnected(SlotId session);
// The other fleet members' knowledge of an endpoint: see FleetClient::EndpointHint.
balancer::Event ToFleetHint(EndpointIndex endpoint, double unreported_in_flight, double slow_start_tokens,
                            bool eject);
// The watch on the endpoint list has failed.
balancer::Event ToEndpointUpdateFailed();
// A new endpoint list, or changes to the current one. Leaves out endpoints that are not in `table`.
// `zone_names`: of the zones that the settings name, indexed by ZoneId.
balancer::Event ToEndpointUpdate(const EndpointUpdate& update, EndpointSource source,
                                 const EndpointTable& table, const Clock& clock,
                                 const std::vector<std::string>& zone_names);

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_BALANCER_MAPPING_H_
