// Schedule::Parse, for the text format that schedule.h describes.
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>

#include "simulation/schedule.h"
#include "simulation/schedule_verbs.h"

namespace stoatrun::simulation {
namespace {

constexpr std::uint64_t kMaxFleetSize = 4096;

std::vector<std::string> SplitWords(std::string_view line) {
  std::vector<std::string> words;
  while (true) {
    const std::size_t begin = line.find_first_not_of(" \t\r");
    if (begin == std::string_view::npos) return words;
    line.remove_prefix(begin);
    const std::size_t end = std::min(line.find_first_of(" \t\r"), line.size());
    words.emplace_back(line.substr(0, end));
    line.remove_prefix(end);
  }
}

bool ParseNumber(std::string_view text, std::uint64_t& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

// Whether `word` is the prefix followed by an index below `count`, such as `n3`.
bool IsName(std::string_view word, char prefix, std::size_t count) {
  std::uint64_t index = 0;
  return word.size() > 1 && word[0] == prefix && ParseNumber(word.substr(1), index) && index < count;
}

class ScheduleParser {
 public:
  explicit ScheduleParser(const std::string& name) : name_(name) {}

  Schedule Parse(std::string_view text) {
    while (!text.empty()) {
      const std::size_t end = std::min(text.find('\n'), text.size());
      ++line_;
      ParseLine(SplitWords(text.substr(0, end)));
      text.remove_prefix(std::min(end + 1, text.size()));
    }
    std::stable_sort(schedule_.steps.begin(), schedule_.steps.end(),
                     [](const Step& a, const Step& b) { return a.at < b.at; });
    return std::move(schedule_);
  }

 private:
  [[noreturn]] void Fail(std::string_view field, std::string_view what) const {
    throw std::invalid_argument(fmt::format("{}:{}: {}: {}", name_, line_, field, what));
  }

  void ParseLine(const std::vector<std::string>& words) {
    if (words.empty() || words[0][0] == '#') return;
    const std::string& first = words[0];
    if (first == "seed" || first == "relays" || first == "servers" || first == "for") {
      ParseHeader(words);
    } else {
      schedule_.steps.push_back(ParseStep(words));
    }
  }

  void ParseHeader(const std::vector<std::string>& words) {
    const std::string& field = words[0];
    std::uint64_t value = 0;
    if (words.size() != 2 || !ParseNumber(words[1], value)) Fail(field, "expected one integer");
    if (field == "seed") schedule_.seed = value;
    if (field == "for") schedule_.length = std::chrono::milliseconds(value);
    if (field != "relays" && field != "servers") return;
    if (value == 0 || value > kMaxFleetSize) Fail(field, "expected 1 to 4096");
    (field == "relays" ? schedule_.relays : schedule_.servers) = value;
  }

  Step ParseStep(const std::vector<std::string>& words) const {
    std::uint64_t at_ms = 0;
    if (!ParseNumber(words[0], at_ms)) {
      Fail("AT_MS", fmt::format("expected a time in milliseconds, got '{}'", words[0]));
    }
    if (words.size() < 2) Fail("VERB", "missing");
    const std::string& verb = words[1];
    const auto format = std::find_if(kVerbs.begin(), kVerbs.end(),
                                     [&](const VerbFormat& candidate) { return candidate.verb == verb; });
    if (format == kVerbs.end()) Fail("VERB", fmt::format("unknown verb '{}'", verb));
    const std::vector<std::string> arguments(words.begin() + 2, words.end());
    if (arguments.size() != format->arguments.size()) {
      Fail(verb, fmt::format("expected {} arguments, got {}", format->arguments.size(), arguments.size()));
    }
    for (std::size_t n = 0; n < arguments.size(); ++n) {
      CheckArgument(verb, format->arguments[n], arguments[n]);
    }
    return {std::chrono::milliseconds(at_ms), format->action, arguments};
  }

  void CheckArgument(const std::string& verb, char kind, const std::string& argument) const {
    std::uint64_t number = 0;
    if (kind == 'r' && !IsName(argument, 'n', schedule_.relays)) {
      Fail(verb, fmt::format("unknown relay '{}'", argument));
    }
    if (kind == 's' && !IsName(argument, 's', schedule_.servers)) {
      Fail(verb, fmt::format("unknown server '{}'", argument));
    }
    if (kind == 'n' && !ParseNumber(argument, number)) {
      Fail(verb, fmt::format("expected an integer, got '{}'", argument));
    }
    if (kind == 'l') CheckRelayList(verb, argument);
  }

  void CheckRelayList(const std::string& verb, const std::string& list) const {
    std::string_view rest = list;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      if (!IsName(rest.substr(0, comma), 'n', schedule_.relays)) {
        Fail(verb, fmt::format("unknown relay in list '{}'", list));
      }
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }

  const std::string& name_;
  std::size_t line_ = 0;
  Schedule schedule_;
};

}  // namespace

Schedule Schedule::Parse(std::string_view text, const std::string& name) {
  return ScheduleParser(name).Parse(text);
}

}  // namespace stoatrun::simulation
