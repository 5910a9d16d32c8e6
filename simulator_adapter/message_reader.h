// Sequential reader for one wire message or list row, which is a JSON array of positional fields. Errors name
// the field as `PATH.FIELD`.
//
// A reader refers to the JSON parser's current document and must not outlive it.
#ifndef STOATRUN_SIMULATOR_ADAPTER_MESSAGE_READER_H_
#define STOATRUN_SIMULATOR_ADAPTER_MESSAGE_READER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/json.h"

namespace stoatrun {

// Each read consumes the next value and throws JsonError if its type is wrong. Values missing at the end of
// the array count as null.
class MessageReader {
 public:
  // Throws JsonError if `array` is not a JSON array.
  MessageReader(const json::element& array, std::string path) : path_(std::move(path)) {
    for (const json::element value : json::AsArray(array, path_)) values_.push_back(value);
  }

  // The path of a field for error messages.
  std::string FieldPath(std::string_view field) const {
    return std::string(path_).append(1, '.').append(field);
  }
  // Replaces the path once the message's type is known.
  void SetPath(std::string path) { path_ = std::move(path); }

  // The next value; nullptr if it is null or missing.
  const json::element* Optional() {
    const std::size_t index = next_++;
    return index < values_.size() && !json::IsNull(values_[index]) ? &values_[index] : nullptr;
  }
  // The next value; throws JsonError if it is null or missing.
  const json::element& Required(std::string_view field) {
    const json::element* value = Optional();
    if (value == nullptr) json::Fail(FieldPath(field), "missing");
    return *value;
  }

  // Required values: each function consumes the next value and throws a JsonError that names `field` if it is
  // null, missing or of another type.

  // A non-negative integer.
  std::uint64_t Unsigned(std::string_view field) {
    return json::AsUnsigned(Required(field), FieldPath(field));
  }
  // An integer of either sign.
  std::int64_t Signed(std::string_view field) { return json::AsSigned(Required(field), FieldPath(field)); }
  // A number, with or without a fraction.
  double Number(std::string_view field) { return json::AsNumber(Required(field), FieldPath(field)); }
  bool Bool(std::string_view field) { return json::AsBool(Required(field), FieldPath(field)); }
  // A JSON string; the view is valid as long as the parser's current document.
  std::string_view Text(std::string_view field) { return json::AsText(Required(field), FieldPath(field)); }

  // An optional non-negative integer; `fallback` if it is null or missing.
  std::uint64_t UnsignedOr(std::string_view field, std::uint64_t fallback) {
    const json::element* value = Optional();
    return value == nullptr ? fallback : json::AsUnsigned(*value, FieldPath(field));
  }
  // An optional JSON boolean; `fallback` if it is null or missing.
  bool BoolOr(std::string_view field, bool fallback) {
    const json::element* value = Optional();
    return value == nullptr ? fallback : json::AsBool(*value, FieldPath(field));
  }

 private:
  std::string path_;
  std::vector<json::element> values_;
  std::size_t next_ = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_SIMULATOR_ADAPTER_MESSAGE_READER_H_
