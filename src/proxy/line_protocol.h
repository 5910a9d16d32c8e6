// The line protocol that clients and endpoints speak: parsing of request lines and of the values in them.
// Lines are parsed in place: results are views into the parsed text, which must outlive them. No state, no
// I/O.
#ifndef STOATRUN_PROXY_LINE_PROTOCOL_H_
#define STOATRUN_PROXY_LINE_PROTOCOL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace stoatrun {

// The longest line in bytes, its line end included.
constexpr std::size_t kMaxLine = 4096;

// The length of the first line of `input`, its line end included; nullopt while the line is incomplete.
std::optional<std::size_t> LineLength(std::string_view input);

// `line` without CR and LF at its end.
std::string_view StripLineEnd(std::string_view line);

// A line split at its first space.
struct SplitLine {
  std::string_view first;  // The first word.
  std::string_view rest;   // What follows the space; empty if there is none.
};

// Splits `line` at its first space.
SplitLine SplitFirstWord(std::string_view line);

// Parses a finite floating-point number; nullopt if `text` is anything else.
std::optional<double> ParseDecimal(std::string_view text);

// Parses a non-negative amount as clients write it: digits, or digits with a point between them. Signs,
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
  std::string_view before_timeout;   // The line up to the value of d, which is all that a proxy rewrites; the
  std::string_view after_timeout;    // line after it, without line end.
};

// Parses a request line without its line end. Ignores unknown fields, for those of later protocol versions;
// nullopt if a known field is empty, repeated or malformed, or a mandatory one is missing.
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
