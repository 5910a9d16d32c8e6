// Splits a byte stream into its top-level JSON objects, whatever their layout on lines and however the stream
// is cut into pieces.
//
// It follows braces, brackets and strings alone; whether an object is valid JSON is for its parser to say.
// Not thread-safe.
#ifndef STOATRUN_ENDPOINT_JSON_FRAMING_H_
#define STOATRUN_ENDPOINT_JSON_FRAMING_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace stoatrun {

// The state of splitting one stream.
class JsonObjectFramer {
 public:
  // `max_object_size`: in bytes; a longer object is an error.
  explicit JsonObjectFramer(std::size_t max_object_size) : max_object_size_(max_object_size) {}

  // Takes the next bytes of the stream. Calls `on_object(text)` for each object that is complete, and
  // `on_line_end()` for each end of a line between objects. False: something else than an object began, an
  // object is too long, or `on_object` returned false; the rest of the stream can't be split then, until
  // Clear.
  template <typename OnObject, typename OnLineEnd>
  bool Feed(std::string_view bytes, OnObject&& on_object, OnLineEnd&& on_line_end) {
    for (const char byte : bytes) {
      if (depth_ == 0) {
        if (byte == '\n') on_line_end();
        if (byte == '\n' || byte == '\r' || byte == ' ' || byte == '\t') continue;
        if (byte != '{') return false;
      }
      if (object_.size() == max_object_size_) return false;
      object_ += byte;
      FollowStructure(byte);
      if (depth_ > 0) continue;
      if (!on_object(std::string_view(object_))) return false;
      object_.clear();
    }
    return true;
  }
  // Has an object begun that is not complete?
  bool InsideObject() const { return depth_ > 0; }
  // Starts over with a new stream.
  void Clear() { *this = JsonObjectFramer(max_object_size_); }

 private:
  void FollowStructure(char byte) {
    if (in_string_) {
      if (byte == '"' && !escaped_) in_string_ = false;
      escaped_ = byte == '\\' && !escaped_;
    } else if (byte == '"') {
      in_string_ = true;
    } else if (byte == '{' || byte == '[') {
      ++depth_;
    } else if (byte == '}' || byte == ']') {
      --depth_;
    }
  }

  std::size_t max_object_size_;
  std::size_t depth_ = 0;  // Of open braces and brackets.
  bool in_string_ = false;
  bool escaped_ = false;  // The last character in the string was an escaping backslash.
  std::string object_;    // What has come of the present object.
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_JSON_FRAMING_H_
