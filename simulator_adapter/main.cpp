// The program that the simulator starts. Reads one batch per line from standard input and writes one reply
// per line to standard output. Exits with code 1 and a message on standard error at the first malformed line.
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
      std::cerr << "simulator_adapter: line " << number << ": cannot write the reply to standard output\n";
      return 1;
    }
  }
  return 0;
}
