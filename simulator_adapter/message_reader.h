// Reads the values of one wire message or list row, which is a JSON array, in their order. Errors name the
// field as `PATH.FIELD`.
//
// A reader holds elements of the JSON parser: it must not outlive the parser's current document.
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

// All reads take the next value and throw JsonError if it has another type. A missing tail counts as null.
class MessageReader {
 public:
  // Throws JsonError if `array` is no JSON array.
  MessageReader(const json::element& array, std::string path) : path_(std::move(path)) {
    for (const json::element value : json::AsArray(array, path_)) values_.push_back(value);
  }

  // The name of a field in error messages.
  std::string Where(std::string_view field) const { return std::string(path_).append(1, '.').append(field); }
  // Replaces the path, once the message's type is known.
  void SetPath(std::string path) { path_ = std::move(path); }

  // The next value; null pointer if it is null or missing.
  const json::element* Optional() {
    const std::size_t index = next_++;
    return index < values_.size() && !json::IsNull(values_[index]) ? &values_[index] : nullptr;
  }
  // The next value, which must be there.
  const json::element& Required(std::string_view field) {
    const json::element* value = Optional();
    if (value == nullptr) json::Fail(Where(field), "missing");
    return *value;
  }

  // Required values: each function takes the next value and throws JsonError, which names `field`, if it is
  // null, missing or of another type.

  // An integer of 0 or more.
  std::uint64_t Unsigned(std::string_view field) { return json::AsUnsigned(Required(field), Where(field)); }
  // An integer of either sign.
  std::int64_t Signed(std::string_view field) { return json::AsSigned(Required(field), Where(field)); }
  // A number, with or without a fraction.
  double Number(std::string_view field) { return json::AsNumber(Required(field), Where(field)); }
  // A JSON boolean.
  bool Bool(std::string_view field) { return json::AsBool(Required(field), Where(field)); }
  // A JSON string; the view is valid as long as the parser's current document.
  std::string_view Text(std::string_view field) { return json::AsText(Required(field), Where(field)); }

  // An optional integer of 0 or more; `fallback` if it is null or missing.
  std::uint64_t UnsignedOr(std::string_view field, std::uint64_t fallback) {
    const json::element* value = Optional();
    return value == nullptr ? fallback : json::AsUnsigned(*value, Where(field));
  }
  // An optional JSON boolean; `fallback` if it is null or missing.
  bool BoolOr(std::string_view field, bool fallback) {
    const json::element* value = Optional();
    return value == nullptr ? fallback : json::AsBool(*value, Where(field));
  }

 private:
  std::string path_;
  std::vector<json::element> values_;
  std::size_t next_ = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_SIMULATOR_ADAPTER_MESSAGE_READER_H_
