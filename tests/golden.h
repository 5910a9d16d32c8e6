// Golden files: expected outputs stored in the repository. If GOLDEN_WRITE is set in the environment, they
// are overwritten with the actual output first; use this only for intended changes of an external format.
#ifndef STOATRUN_TESTS_GOLDEN_H_
#define STOATRUN_TESTS_GOLDEN_H_

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace stoatrun::tests {

// Returns the text of the golden file `name`, to compare it with `actual`; empty if there is no such file.
inline std::string GoldenText(const std::string& name, const std::string& actual) {
  const std::string path = std::string(GOLDEN_DIR) + "/" + name;
  if (std::getenv("GOLDEN_WRITE") != nullptr) std::ofstream(path) << actual;
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace stoatrun::tests

#endif  // STOATRUN_TESTS_GOLDEN_H_
