// Splits a byte stream into its top-level JSON objects, independently of line breaks and of how the stream is
// split into reads.
//
// Only braces, brackets and strings are tracked; the objects must still be validated by a JSON parser. Not
// thread-safe.
#ifndef STOATRUN_ENDPOINT_JSON_FRAMING_H_
#define STOATRUN_ENDPOINT_JSON_FRAMING_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace stoatrun {

// Splits one stream.
class JsonObjectFramer {
 public:
  // `max_object_size`: in bytes; a larger object is an error. So is one with more than one separator (comma,
  // colon or opening bracket) for each kMinBytesPerSeparator of that size: parsed values take far more memory
  // than their text.
  explicit JsonObjectFramer(std::size_t max_object_size) : max_object_size_(max_object_size) {}
  static constexpr std::size_t kMinBytesPerSeparator = 4;

  // Processes the next bytes of the stream. Calls `on_object(text)` for each completed object, and
  // `on_line_end()` for each line break between objects. Returns false if something other than an object
  // starts, an object is too large, or `on_object` returns false; the rest of the stream can't be split then,
  // and Clear must be called.
  template <typename OnObject, typename OnLineEnd>
  bool Feed(std::string_view bytes, OnObject&& on_object, OnLineEnd&& on_line_end) {
    for (const char byte : bytes) {
      if (depth_ == 0) {
        if (byte == '\n') on_line_end();
        if (byte == '\n' || byte == '\r' || byte == ' ' || byte == '\t') continue;
        if (byte != '{') return false;
      }
      if (object_.size() == max_object_size_) return false;
      if (separators_ > max_object_size_ / kMinBytesPerSeparator) return false;
      object_ += byte;
      UpdateNesting(byte);
      if (depth_ > 0) continue;
      if (!on_object(std::string_view(object_))) return false;
      object_.clear();
      separators_ = 0;
    }
    return true;
  }
  // Returns true if an object has started but is not complete.
  bool InsideObject() const { return depth_ > 0; }
  // Resets the framer for a new stream.
  void Clear() { *this = JsonObjectFramer(max_object_size_); }

 private:
  void UpdateNesting(char byte) {
    if (in_string_) {
      if (byte == '"' && !escaped_) in_string_ = false;
      escaped_ = byte == '\\' && !escaped_;
    } else if (byte == '"') {
      in_string_ = true;
    } else if (byte == ',' || byte == ':') {
      ++separators_;
    } else if (byte == '{' || byte == '[') {
      ++separators_;
      ++depth_;
    } else if (byte == '}' || byte == ']') {
      --depth_;
    }
  }

  std::size_t max_object_size_;
  std::size_t separators_ = 0;  // Of the current object.
  std::size_t depth_ = 0;       // Number of open braces and brackets.
  bool in_string_ = false;
  bool escaped_ = false;  // The previous character was an escaping backslash.
  std::string object_;    // The part of the current object received so far.
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_JSON_FRAMING_H_
