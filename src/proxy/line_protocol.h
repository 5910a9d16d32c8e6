// Parsing of the line protocol between clients, the proxy and endpoints: request lines and the values in
// them. Lines are parsed in place: results are views into the parsed text, which must outlive them. No state,
// no I/O.
#ifndef STOATRUN_PROXY_LINE_PROTOCOL_H_
#define STOATRUN_PROXY_LINE_PROTOCOL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace stoatrun {

// The maximum length of a line in bytes, including its line end.
constexpr std::size_t kMaxLine = 4096;

// The length of the first line of `input`, including its line end; nullopt while the line is incomplete.
std::optional<std::size_t> LineLength(std::string_view input);

// Returns `line` without a trailing LF or CRLF.
std::string_view StripLineEnd(std::string_view line);

// A line split at its first space.
struct SplitLine {
  std::string_view first;
  std::string_view rest;  // The text after the space; empty if there is no space.
};

// Splits `line` at its first space.
SplitLine SplitFirstWord(std::string_view line);

// Parses a finite floating-point number; nullopt if `text` is anything else.
std::optional<double> ParseDecimal(std::string_view text);

// Parses a non-negative decimal amount: digits, optionally with a decimal point between them. Signs,
// exponents, hexadecimal digits and names such as `inf` are errors.
std::optional<double> ParseAmount(std::string_view text);

// A client's request for a connection: OPEN ID KEY NAME=VALUE,... The views point into the parsed line.
struct OpenRequest {
  std::string_view id;
  std::string_view key;
  std::string_view class_name;       // Field c.
  std::string_view tenant;           // Field t; may be empty.
  std::string_view affinity_group;   // Field g; may be empty.
  std::string_view resume_endpoint;  // Field at: the id of the endpoint that already has the connection.
  std::int64_t timeout_ms = 0;       // Field d.
  std::optional<double> load;        // Field h.
  bool is_reconnect = false;         // Field again.
  // The line before and after the value of d, the only part that the proxy rewrites; without line end.
  std::string_view before_timeout, after_timeout;
};

// Parses a request line without its line end. Ignores unknown fields, which later protocol versions may add.
// Returns nullopt if a known field is empty, repeated or malformed, or if a mandatory one is missing.
std::optional<OpenRequest> ParseOpenRequest(std::string_view line);

// Calls `callback(name, value)` for each number in a list of metrics such as `inflight=7,queue=2` and skips
// everything else.
template <typename Callback>
void ForEachMetric(std::string_view list, Callback&& callback) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    const std::string_view field = list.substr(0, comma);
    list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) continue;
    if (const auto value = ParseDecimal(field.substr(equals + 1))) callback(field.substr(0, equals), *value);
  }
}

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_LINE_PROTOCOL_H_
