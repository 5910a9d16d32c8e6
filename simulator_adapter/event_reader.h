// Maps the simulator's messages to the balancer's events. Pure; this is the only place that knows their field
// names and codes.
#ifndef STOATRUN_SIMULATOR_ADAPTER_EVENT_READER_H_
#define STOATRUN_SIMULATOR_ADAPTER_EVENT_READER_H_

#include <optional>
#include <string_view>
#include <vector>

#include "balancer/balancer.h"
#include "config/site_settings.h"
#include "simulator_adapter/message_reader.h"

namespace stoatrun {

// The event of a message whose type and instance have been read. Nothing for a message that concerns no
// decision. `report_fields`: the order of the values in load reports. Throws JsonError for an unknown type or
// a malformed field.
std::optional<balancer::Event> ReadEvent(std::string_view type, MessageReader& message,
                                         const std::vector<ReportField>& report_fields);

}  // namespace stoatrun

#endif  // STOATRUN_SIMULATOR_ADAPTER_EVENT_READER_H_
