// What is done to a fleet, and when: read from text, or drawn from a seed. One step a line, `AT_MS VERB
// WORDS...`:
//
//   cut A B | heal A B          datagrams from A to B are lost from here on, or come again (one way)
//   split A,B,... | join        nothing passes between those named and the rest, either way; all cuts end
//   loss P | double P           of 100 datagrams so many are lost, or come twice
//   delay FROM TO               under way for so many milliseconds: with TO over FROM they overtake each
//   other pause A | continue A        the process is stopped (SIGSTOP) and continued kill A | start A
//   SIGKILL; a new run, which remembers nothing leave A                     an orderly end bad S | good S |
//   renew S    a server fails what it is asked; is sound again; starts anew badlink A | goodlink A      relay
//   A finds every server bad, whatever they are lie A | truth A             relay A claims that servers fail
//   which it never tried busy A PERCENT              relay A wants so much of every budget by itself
//
// A line that begins with # is a comment. `seed N`, `relays N`, `servers N`, `for MS` come first.
#ifndef STOATRUN_SIMULATION_SCHEDULE_H_
#define STOATRUN_SIMULATION_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace stoatrun::simulation {

using Micros = std::chrono::microseconds;

struct Step {
  Micros at{0};
  std::string verb;
  std::vector<std::string> words;
};

struct Schedule {
  std::uint64_t seed = 1;
  std::size_t relays = 5, servers = 6;
  Micros length = std::chrono::seconds(30);
  std::vector<Step> steps;  // By time.

  // Throws std::invalid_argument: `NAME:LINE: FIELD: what is wrong`.
  static Schedule Parse(std::string_view text, const std::string& name);
  static Schedule Draw(std::uint64_t seed, std::size_t relays, Micros length);
  std::string Text() const;
};

std::string RelayName(std::size_t k);
std::string ServerName(std::size_t k);
// The number in a relay's or server's name, and those in a list of names: `n0,n2`.
std::size_t IndexOf(const std::string& name);
std::set<std::size_t> IndicesOf(std::string_view list);

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_SCHEDULE_H_
