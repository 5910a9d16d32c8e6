// Parses the simulator's messages into the balancer's events. Stateless; message field names and codes are
// defined only here.
#ifndef STOATRUN_SIMULATOR_ADAPTER_EVENT_READER_H_
#define STOATRUN_SIMULATOR_ADAPTER_EVENT_READER_H_

#include <optional>
#include <string_view>
#include <vector>

#include "balancer/balancer.h"
#include "config/site_settings.h"
#include "simulator_adapter/message_reader.h"

namespace stoatrun {

// Parses the rest of a message whose type and instance have been read. Returns nullopt for a message that the
// balancer does not handle. `report_fields` gives the order of the values in load reports. Throws JsonError
// for an unknown type or a malformed field.
std::optional<balancer::Event> ReadEvent(std::string_view type, MessageReader& message,
                                         const std::vector<ReportField>& report_fields);

}  // namespace stoatrun

#endif  // STOATRUN_SIMULATOR_ADAPTER_EVENT_READER_H_
