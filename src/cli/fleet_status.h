// Prints the fleet status document of one relay (`GET /v1/fleet`) as tables.
//
// The document's keys are those of the admin server's JSON; a missing key or a value of another type throws
// simdjson::simdjson_error, after what precedes it has been printed. Not thread-safe.
#ifndef STOATRUN_CLI_FLEET_STATUS_H_
#define STOATRUN_CLI_FLEET_STATUS_H_

#include <simdjson.h>

#include <ostream>
#include <string>

namespace stoatrun::cli {

// A scalar of the document as text: strings without quotes, null as "unknown".
std::string JsonText(const simdjson::dom::element& value);

// Prints the relay's identity, then a table for each part of the document that has rows.
void PrintFleetStatus(std::ostream& out, const simdjson::dom::element& status);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_FLEET_STATUS_H_
