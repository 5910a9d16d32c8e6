#include <cstddef>
#include <exception>
#include <iostream>
#include <string>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  balancer::adapter::Adapter adapter;
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
