// The syntax of names: ids and groups on the wire, and names in the operator file. Pure functions.
#ifndef STOATRUN_BASE_NAME_H_
#define STOATRUN_BASE_NAME_H_

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace stoatrun {

// The maximum length of a name in bytes.
inline constexpr std::size_t kMaxNameSize = 128;

// Returns true if `character` is allowed in a name, independently of the locale.
inline bool IsNameCharacter(char character) {
  constexpr std::string_view kPunctuation = "-_.:/";
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') || kPunctuation.find(character) != std::string_view::npos;
}

// Returns true if `text` consists of 1 to `max_size` letters, digits and -_.:/ characters.
inline bool IsName(std::string_view text, std::size_t max_size = kMaxNameSize) {
  return !text.empty() && text.size() <= max_size && std::all_of(text.begin(), text.end(), IsNameCharacter);
}

}  // namespace stoatrun

#endif  // STOATRUN_BASE_NAME_H_
