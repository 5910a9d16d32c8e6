// Typed access to JSON values (simdjson DOM), shared by the proxy's configuration, the discovery client and
// the simulator adapter.
//
// All accessors throw JsonError with the message `WHERE: expected WHAT` if a value has another type. A null
// value is treated as a missing key. All functions are pure; elements are valid only as long as their parser.
#ifndef STOATRUN_CONFIG_JSON_H_
#define STOATRUN_CONFIG_JSON_H_

#include <simdjson.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace stoatrun {

// A JSON document doesn't have the expected structure. what() names the field.
class JsonError : public Error {
 public:
  // `message` must have the format `FIELD: PROBLEM`.
  explicit JsonError(const std::string& message) : Error(ErrorCode::kMalformedInput, message) {}
};

namespace json {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::element_type;
using simdjson::dom::object;

// Throws JsonError with the message `where: what`.
[[noreturn]] inline void Fail(std::string_view where, std::string_view what) {
  throw JsonError(std::string(where) + ": " + std::string(what));
}

// Returns true if the value is null.
inline bool IsNull(const element& value) { return value.type() == element_type::NULL_VALUE; }

// Reads a non-negative integer.
inline std::uint64_t AsUnsigned(const element& value, std::string_view where) {
  std::uint64_t number = 0;
  if (value.get_uint64().get(number) != simdjson::SUCCESS) {
    Fail(where, "expected a whole number of 0 or more");
  }
  return number;
}

// Reads an integer.
inline std::int64_t AsSigned(const element& value, std::string_view where) {
  std::int64_t number = 0;
  if (value.get_int64().get(number) != simdjson::SUCCESS) Fail(where, "expected a whole number");
  return number;
}

// Reads any number.
inline double AsNumber(const element& value, std::string_view where) {
  double number = 0;
  if (value.get_double().get(number) != simdjson::SUCCESS) Fail(where, "expected a number");
  return number;
}

// Reads a boolean.
inline bool AsBool(const element& value, std::string_view where) {
  bool flag = false;
  if (value.get_bool().get(flag) != simdjson::SUCCESS) Fail(where, "expected true or false");
  return flag;
}

// Reads a string; the view is valid as long as the parser.
inline std::string_view AsText(const element& value, std::string_view where) {
  std::string_view text;
  if (value.get_string().get(text) != simdjson::SUCCESS) Fail(where, "expected a string");
  return text;
}

// Reads an array.
inline array AsArray(const element& value, std::string_view where) {
  array values;
  if (value.get_array().get(values) != simdjson::SUCCESS) Fail(where, "expected an array");
  return values;
}

// Reads an object.
inline object AsObject(const element& value, std::string_view where) {
  object fields;
  if (value.get_object().get(fields) != simdjson::SUCCESS) Fail(where, "expected an object");
  return fields;
}

// The value of `key`; nullopt if the key is missing or its value is null.
inline std::optional<element> Find(const object& fields, std::string_view key) {
  element value;
  if (fields.at_key(key).get(value) != simdjson::SUCCESS || IsNull(value)) return std::nullopt;
  return value;
}

// The object at `key`; nullopt if the key is missing or its value is null.
inline std::optional<object> FindObject(const object& fields, std::string_view key) {
  const auto value = Find(fields, key);
  if (!value) return std::nullopt;
  return AsObject(*value, "facts." + std::string(key));
}

// The value of `key` in an object that may be missing itself.
inline std::optional<element> Find(const std::optional<object>& fields, std::string_view key) {
  return fields ? Find(*fields, key) : std::nullopt;
}

// The number at `key`, or `fallback` if there is none.
inline double NumberOr(const std::optional<object>& fields, std::string_view key, double fallback) {
  const auto value = Find(fields, key);
  return value ? AsNumber(*value, key) : fallback;
}

// The duration at `key` in microseconds, truncated to an integer, or `fallback` if there is none.
inline std::chrono::microseconds MicrosOr(const std::optional<object>& fields, std::string_view key,
                                          std::chrono::microseconds fallback) {
  const double micros = NumberOr(fields, key, static_cast<double>(fallback.count()));
  return std::chrono::microseconds(static_cast<std::int64_t>(micros));
}

// The boolean at `key`, or `fallback` if there is none.
inline bool BoolOr(const std::optional<object>& fields, std::string_view key, bool fallback) {
  const auto value = Find(fields, key);
  return value ? AsBool(*value, key) : fallback;
}

// The string at `key`, or `fallback` if there is none.
inline std::string_view TextOr(const std::optional<object>& fields, std::string_view key,
                               std::string_view fallback) {
  const auto value = Find(fields, key);
  return value ? AsText(*value, key) : fallback;
}

}  // namespace json
}  // namespace stoatrun

#endif  // STOATRUN_CONFIG_JSON_H_
