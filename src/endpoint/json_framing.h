// Cuts a stream of JSON objects into whole ones, however they are laid out on lines and cut into pieces.
#ifndef STOATRUN_ENDPOINT_JSON_FRAMING_H_
#define STOATRUN_ENDPOINT_JSON_FRAMING_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace stoatrun {

class ObjectFrames {
 public:
  explicit ObjectFrames(std::size_t most) : most_(most) {}  // Bytes of one object.

  // Calls `whole(object)` for each that is complete, and `blank()` for each end of a line between two. False:
  // what came is no object, one is too long, or `whole` gave false; nothing more can be told apart then.
  // Whether an object is well formed is left to its reader.
  template <typename Whole, typename Blank>
  bool Take(std::string_view bytes, Whole&& whole, Blank&& blank) {
    for (const char c : bytes) {
      if (depth_ == 0) {
        if (c == '\n') blank();
        if (c == '\n' || c == '\r' || c == ' ' || c == '\t') continue;
        if (c != '{') return false;
      }
      if (object_.size() == most_) return false;
      object_ += c;
      Follow(c);
      if (depth_ > 0) continue;
      if (!whole(std::string_view(object_))) return false;
      object_.clear();
    }
    return true;
  }
  bool Within() const { return depth_ > 0; }  // Has an object begun that is not whole?
  void Clear() { *this = ObjectFrames(most_); }

 private:
  void Follow(char c) {
    if (in_text_) {
      if (c == '"' && !escaped_) in_text_ = false;
      escaped_ = c == '\\' && !escaped_;
    } else if (c == '"') {
      in_text_ = true;
    } else if (c == '{' || c == '[') {
      ++depth_;
    } else if (c == '}' || c == ']') {
      --depth_;
    }
  }

  std::size_t most_, depth_ = 0;
  bool in_text_ = false, escaped_ = false;
  std::string object_;
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_JSON_FRAMING_H_
