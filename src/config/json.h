// Typed reads of JSON values whose errors name the field; shared by the simulator's host and the relay.
#ifndef STOATRUN_CONFIG_JSON_H_
#define STOATRUN_CONFIG_JSON_H_

#include <simdjson.h>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "balancer/balancer.h"

namespace balancer::settings {

// A value that is not of the form described. what() names the field.
class FormError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::element_type;
using simdjson::dom::object;

[[noreturn]] inline void Fail(std::string_view where, std::string_view what) {
  throw FormError(std::string(where) + ": " + std::string(what));
}

inline bool Absent(const element& e) { return e.type() == element_type::NULL_VALUE; }

inline std::uint64_t AsUnsigned(const element& e, std::string_view where) {
  std::uint64_t value = 0;
  if (e.get_uint64().get(value) != simdjson::SUCCESS) Fail(where, "expected a whole number of 0 or more");
  return value;
}
inline std::int64_t AsSigned(const element& e, std::string_view where) {
  std::int64_t value = 0;
  if (e.get_int64().get(value) != simdjson::SUCCESS) Fail(where, "expected a whole number");
  return value;
}
inline double AsNumber(const element& e, std::string_view where) {
  double value = 0;
  if (e.get_double().get(value) != simdjson::SUCCESS) Fail(where, "expected a number");
  return value;
}
inline bool AsBool(const element& e, std::string_view where) {
  bool value = false;
  if (e.get_bool().get(value) != simdjson::SUCCESS) Fail(where, "expected true or false");
  return value;
}
inline std::string_view AsText(const element& e, std::string_view where) {
  std::string_view value;
  if (e.get_string().get(value) != simdjson::SUCCESS) Fail(where, "expected text");
  return value;
}
inline array AsArray(const element& e, std::string_view where) {
  array value;
  if (e.get_array().get(value) != simdjson::SUCCESS) Fail(where, "expected an array");
  return value;
}
inline object AsObject(const element& e, std::string_view where) {
  object value;
  if (e.get_object().get(value) != simdjson::SUCCESS) Fail(where, "expected an object");
  return value;
}

// A value of the settings by its path; null where a part of the path is missing.
inline std::optional<element> Get(const object& o, std::string_view key) {
  element e;
  if (o.at_key(key).get(e) != simdjson::SUCCESS || Absent(e)) return std::nullopt;
  return e;
}
inline std::optional<object> GetObject(const object& o, std::string_view key) {
  const auto e = Get(o, key);
  if (!e) return std::nullopt;
  return AsObject(*e, "facts." + std::string(key));
}
inline double NumberOr(const std::optional<object>& o, std::string_view key, double value) {
  const auto e = o ? Get(*o, key) : std::nullopt;
  return e ? AsNumber(*e, key) : value;
}
inline Micros TimeOr(const std::optional<object>& o, std::string_view key, Micros value) {
  return Micros(static_cast<std::int64_t>(NumberOr(o, key, static_cast<double>(value.count()))));
}
inline bool BoolOr(const std::optional<object>& o, std::string_view key, bool value) {
  const auto e = o ? Get(*o, key) : std::nullopt;
  return e ? AsBool(*e, key) : value;
}
inline std::string_view TextOr(const std::optional<object>& o, std::string_view key, std::string_view value) {
  const auto e = o ? Get(*o, key) : std::nullopt;
  return e ? AsText(*e, key) : value;
}

}  // namespace balancer::settings

#endif  // STOATRUN_CONFIG_JSON_H_
