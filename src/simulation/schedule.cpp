#include "simulation/schedule.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <map>
#include <stdexcept>

#include "base/random.h"

namespace stoatrun::simulation {
namespace {

using fleet::Random;

// How many words each verb takes, and what they are: r relay, s server, n number, l list of relays.
const std::map<std::string, std::string, std::less<>> kVerbs{
    {"cut", "rr"},    {"heal", "rr"},    {"split", "l"}, {"join", ""},      {"loss", "n"},
    {"double", "n"},  {"delay", "nn"},   {"pause", "r"}, {"continue", "r"}, {"kill", "r"},
    {"start", "r"},   {"leave", "r"},    {"bad", "s"},   {"good", "s"},     {"renew", "s"},
    {"badlink", "r"}, {"goodlink", "r"}, {"lie", "r"},   {"truth", "r"},    {"busy", "rn"},
    {"corrupt", "n"}, {"garbage", "rn"}, {"twin", "r"},  {"untwin", "r"},   {"remove", "r"}};

std::vector<std::string> Words(std::string_view line) {
  std::vector<std::string> out;
  while (true) {
    const std::size_t begin = line.find_first_not_of(" \t\r");
    if (begin == std::string_view::npos) return out;
    line.remove_prefix(begin);
    const std::size_t end = std::min(line.find_first_of(" \t\r"), line.size());
    out.emplace_back(line.substr(0, end));
    line.remove_prefix(end);
  }
}

bool Number(const std::string& text, std::uint64_t& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

bool Named(const std::string& word, char kind, std::size_t n) {
  std::uint64_t k = 0;
  return word.size() > 1 && word[0] == kind && Number(word.substr(1), k) && k < n;
}

}  // namespace

std::string RelayName(std::size_t k) { return fmt::format("n{}", k); }
std::string ServerName(std::size_t k) { return fmt::format("s{}", k); }

std::size_t IndexOf(const std::string& name) { return std::stoul(name.substr(1)); }

std::set<std::size_t> IndicesOf(std::string_view list) {
  std::set<std::size_t> out;
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    out.insert(IndexOf(std::string(list.substr(0, comma))));
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return out;
}

Schedule Schedule::Parse(std::string_view text, const std::string& name) {
  Schedule s;
  std::size_t number = 0;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::vector<std::string> words = Words(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    ++number;
    if (words.empty() || words[0][0] == '#') continue;
    const auto fail = [&](const std::string& field, const std::string& what) {
      throw std::invalid_argument(fmt::format("{}:{}: {}: {}", name, number, field, what));
    };
    std::uint64_t value = 0;
    if (words[0] == "seed" || words[0] == "relays" || words[0] == "servers" || words[0] == "for") {
      if (words.size() != 2 || !Number(words[1], value)) fail(words[0], "expected one whole number");
      if (words[0] == "seed") s.seed = value;
      if (words[0] == "relays") s.relays = value;
      if (words[0] == "servers") s.servers = value;
      if (words[0] == "for") s.length = std::chrono::milliseconds(value);
      if ((words[0] == "relays" || words[0] == "servers") && (value == 0 || value > 4096))
        fail(words[0], "expected 1 to 4096");
      continue;
    }
    if (!Number(words[0], value)) fail("AT_MS", "expected a time in milliseconds, got '" + words[0] + "'");
    if (words.size() < 2) fail("VERB", "missing");
    const auto verb = kVerbs.find(words[1]);
    if (verb == kVerbs.end()) fail("VERB", "no verb '" + words[1] + "'");
    if (words.size() != verb->second.size() + 2) {
      fail(words[1], fmt::format("expected {} words, got {}", verb->second.size(), words.size() - 2));
    }
    Step step{std::chrono::milliseconds(value), words[1], {}};
    for (std::size_t k = 0; k < verb->second.size(); ++k) {
      const std::string& w = words[k + 2];
      std::uint64_t amount = 0;
      switch (verb->second[k]) {
        case 'r':
          if (!Named(w, 'n', s.relays)) fail(words[1], "no relay '" + w + "'");
          break;
        case 's':
          if (!Named(w, 's', s.servers)) fail(words[1], "no server '" + w + "'");
          break;
        case 'n':
          if (!Number(w, amount)) fail(words[1], "expected a whole number, got '" + w + "'");
          break;
        default: {
          std::string_view rest = w;
          while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            if (!Named(std::string(rest.substr(0, comma)), 'n', s.relays))
              fail(words[1], "no relays '" + w + "'");
            rest.remove_prefix(std::min(comma + 1, rest.size()));
          }
        }
      }
      step.words.push_back(w);
    }
    s.steps.push_back(std::move(step));
  }
  std::stable_sort(s.steps.begin(), s.steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
  return s;
}

std::string Schedule::Text() const {
  std::string out =
      fmt::format("seed {}\nrelays {}\nservers {}\nfor {}\n", seed, relays, servers, length.count() / 1000);
  for (const Step& step : steps) {
    out += fmt::format("{} {}", step.at.count() / 1000, step.verb);
    for (const std::string& w : step.words) out += fmt::format(" {}", w);
    out += '\n';
  }
  return out;
}

Schedule Schedule::Draw(std::uint64_t seed, std::size_t relays, Micros length) {
  Random random(fleet::Mixed(seed, 0x5eed));
  Schedule s;
  s.seed = seed;
  s.relays = relays;
  s.length = length;
  s.servers = 3 + random.Below(5);
  const auto ms = [&](std::int64_t from, std::int64_t to) {
    return std::chrono::milliseconds(
        from + static_cast<std::int64_t>(random.Below(static_cast<std::size_t>(to - from + 1))));
  };
  const auto relay = [&] { return RelayName(random.Below(relays)); };
  const auto server = [&] { return ServerName(random.Below(s.servers)); };
  const std::int64_t whole = length.count() / 1000;
  const auto add = [&](Micros at, std::string verb, std::vector<std::string> words) {
    s.steps.push_back({at, std::move(verb), std::move(words)});
  };
  const auto for_a_while = [&](std::int64_t least, std::int64_t most, const std::string& on,
                               std::vector<std::string> words, const std::string& off,
                               std::vector<std::string> off_words) {
    const Micros at = ms(500, whole);
    add(at, on, std::move(words));
    add(at + ms(least, most), off, std::move(off_words));
  };
  const std::size_t faults = 2 + random.Below(10);
  for (std::size_t k = 0; k < faults; ++k) {
    const std::string r = relay();
    const std::string q = relay();
    switch (random.Below(15)) {
      case 0:
        for_a_while(200, 8000, "cut", {r, q}, "heal", {r, q});
        break;
      case 1: {
        std::string side = r;
        for (std::size_t n = random.Below(relays); n > 0; --n) side += fmt::format(",{}", relay());
        for_a_while(500, 12000, "split", {side}, "join", {});
        break;
      }
      case 2:
        for_a_while(500, 10000, "loss", {std::to_string(5 + random.Below(60))}, "loss", {"0"});
        break;
      case 3:
        for_a_while(500, 10000, "double", {std::to_string(10 + random.Below(80))}, "double", {"0"});
        break;
      case 4:
        for_a_while(500, 10000, "delay",
                    {std::to_string(random.Below(200)), std::to_string(200 + random.Below(2500))}, "delay",
                    {"0", "2"});
        break;
      case 5:
      case 6:
        for_a_while(100, 6000, "pause", {r}, "continue", {r});
        break;
      case 7:
      case 8:
        for_a_while(50, 5000, "kill", {r}, "start", {r});
        break;
      case 9:
        for_a_while(1000, 8000, "bad", {server()}, "good", {server()});
        break;
      case 10:
        for_a_while(1000, 6000, "badlink", {r}, "goodlink", {r});
        break;
      case 11:
        for_a_while(1000, 8000, "lie", {r}, "truth", {r});
        break;
      case 12:
        add(ms(500, whole), "renew", {server()});
        break;
      case 13: {  // The demand moves from one relay to all the others.
        const Micros at = ms(500, whole);
        add(at, "busy", {r, std::to_string(200 + random.Below(300))});
        const Micros then = at + ms(1500, 5000);
        for (std::size_t k = 0; k < relays; ++k) {
          add(then, "busy", {RelayName(k), std::to_string(100 + random.Below(200))});
          add(then + ms(2000, 5000), "busy", {RelayName(k), "10"});
        }
        break;
      }
      default:
        for_a_while(1000, 10000, "busy", {r, std::to_string(100 + random.Below(200))}, "busy", {r, "10"});
        break;
    }
  }
  std::stable_sort(s.steps.begin(), s.steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
  return s;
}

}  // namespace stoatrun::simulation
