// The program that the simulator starts: one batch a line on standard input, one reply a line on standard
// output. The first malformed line ends it with exit code 1 and a message on standard error.
#include <cstddef>
#include <exception>
#include <iostream>
#include <string>

#include "simulator_adapter/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  stoatrun::SimulatorAdapter adapter;
  std::string line;
  for (std::size_t number = 1; std::getline(std::cin, line); ++number) {
    try {
      std::cout << adapter.HandleLine(line) << '\n' << std::flush;
    } catch (const std::exception& error) {
      std::cerr << "simulator_adapter: line " << number << ": " << error.what() << '\n';
      return 1;
    }
    if (!std::cout) {
      std::cerr << "simulator_adapter: line " << number << ": the reply could not be written\n";
      return 1;
    }
  }
  return 0;
}
