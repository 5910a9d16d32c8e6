#include "fronts/line/flow.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/text.h"
#include "wire/line.h"

namespace stoatrun {
namespace {

// Clients send every 2 s and are answered at once. A connection whose host says nothing must be given up
// within 7 s of the last answer.
constexpr Micros kSilence = std::chrono::milliseconds(4300);

}  // namespace

std::optional<Micros> LineFlow::SilentAt() const {
  if (asked_at_.count() == 0) return std::nullopt;
  return std::max(asked_at_, heard_at_) + kSilence;
}

void LineFlow::ToHost(Stream& client, Stream& leg, Micros now) {
  const std::string_view in = client.In();
  leg.Write({in});
  if (asked_at_.count() == 0 && in.find('\n') != std::string_view::npos) asked_at_ = now;
  client.Consume(in.size());
}

// Only whole lines go on, so that MOVE always falls between two; the part of a line at the very end goes with
// `all`, and one longer than any line may be goes as it is.
void LineFlow::ToClient(Stream& leg, Stream& client, bool all, Micros now) {
  const std::string_view in = leg.In();
  const std::size_t last = in.rfind('\n');
  std::size_t whole = last == std::string_view::npos ? 0 : last + 1;
  if (all || (whole == 0 && in.size() >= kMaxLine)) whole = in.size();
  if (whole == 0) return;
  client.Write({in.substr(0, whole)});
  heard_at_ = now;
  Heard heard;
  for (std::string_view left = in.substr(0, whole); !left.empty();) {
    const std::size_t size = LineLength(left).value_or(left.size());
    Note(Stripped(left.substr(0, size)), now, heard);
    left.remove_prefix(size);
  }
  leg.Consume(whole);
  FlowEvents& events = events_;
  const SlotId owner = owner_;
  if (heard.load) events.OnLoad(owner, *heard.load);
  if (heard.delay) events.OnDelay(owner, *heard.delay);
}

void LineFlow::Note(std::string_view line, Micros now, Heard& heard) {
  const auto [word, rest] = SplitWord(line);
  if (word == "LOAD") {
    if (const auto load = Decimal(rest)) heard.load = load;
    return;
  }
  last_word_ = word == "BYE"    ? LegEnd::kServed
               : word == "MOVE" ? LegEnd::kSentAway
               : word == "ERR"  ? LegEnd::kError
                                : LegEnd::kBroken;
  if (asked_at_.count() == 0 || last_word_ != LegEnd::kBroken) return;
  heard.delay = now - std::exchange(asked_at_, Micros(0));
}

}  // namespace stoatrun
