// Prints the fleet status document of one relay (`GET /v1/fleet`) as tables.
//
// Keys are those of the JSON document that the admin server returns. A missing key or a value of an
// unexpected type throws simdjson::simdjson_error; the preceding parts have been printed by then. Not
// thread-safe.
#ifndef STOATRUN_CLI_FLEET_STATUS_H_
#define STOATRUN_CLI_FLEET_STATUS_H_

#include <simdjson.h>

#include <ostream>
#include <string>

namespace stoatrun::cli {

// Formats a JSON value: a string without quotes, null as "unknown", any other value as JSON.
std::string JsonText(const simdjson::dom::element& value);

// Prints the relay's identity, then one table for each non-empty section of the document.
void PrintFleetStatus(std::ostream& out, const simdjson::dom::element& status);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_FLEET_STATUS_H_
