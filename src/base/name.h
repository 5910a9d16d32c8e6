// The syntax of names on the wire: ids, groups, and what the operator file names. Pure.
#ifndef STOATRUN_BASE_NAME_H_
#define STOATRUN_BASE_NAME_H_

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace stoatrun {

// The longest name, in bytes.
inline constexpr std::size_t kMaxName = 128;

// Is `character` allowed in a name? The check doesn't depend on the locale.
inline bool IsNameCharacter(char character) {
  constexpr std::string_view kPunctuation = "-_.:/";
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') || kPunctuation.find(character) != std::string_view::npos;
}

// Does `text` consist of 1 to `max_size` letters, digits and -_.:/ ?
inline bool IsName(std::string_view text, std::size_t max_size = kMaxName) {
  return !text.empty() && text.size() <= max_size && std::all_of(text.begin(), text.end(), IsNameCharacter);
}

}  // namespace stoatrun

#endif  // STOATRUN_BASE_NAME_H_
