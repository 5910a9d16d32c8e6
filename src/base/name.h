// The form of names on the wire: ids, groups, and what the operator file names.
#ifndef STOATRUN_BASE_NAME_H_
#define STOATRUN_BASE_NAME_H_

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace stoatrun {

inline constexpr std::size_t kMaxName = 128;

// Letters, digits and -_.:/, at least one and at most `most`.
inline bool IsName(std::string_view text, std::size_t most = kMaxName) {
  const auto of_name = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.' || c == ':' || c == '/';
  };
  return !text.empty() && text.size() <= most && std::all_of(text.begin(), text.end(), of_name);
}

}  // namespace stoatrun

#endif  // STOATRUN_BASE_NAME_H_
