#include "endpoint/discovery_client.h"

#include <simdjson.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "config/config.h"
#include "config/json.h"

namespace stoatrun {
namespace {

// Calls wait in turn and may take seconds; the module asks anew after 6 s.
constexpr Micros kAnswerWait = std::chrono::milliseconds(3500);
// An empty line is due every 2 s, and may be a quarter late on a busy machine. Whole words count: a watch
// that brings bytes and never ends a word is as dead as one that brings none.
constexpr Micros kSilence = std::chrono::milliseconds(2500);
// What a silent watch misses counts as told 6 s after its last word, and 2 s after the wait of a call that
// was never answered. A call that is to bring it before needs a second where many ask at once.
constexpr Micros kToldAfterWord = std::chrono::seconds(6);
constexpr Micros kToldAfterWait = std::chrono::seconds(2);
constexpr Micros kAnswerTime = std::chrono::seconds(1);
// So often in a row is a silence answered in time for that; then the service itself is in trouble, and calls
// in a hurry would keep it so.
constexpr int kHurried = 2;
// A list entry takes some 150 bytes, or twice that indented: a few thousand hosts, in a thirtieth of the
// least memory that a relay is given.
constexpr std::size_t kMostObject = 1 << 20;

}  // namespace

Discovery::Discovery(EventLoop& loop, DiscoveryEvents& events, Counters& counters, const Address& address,
                     std::string host, std::uint64_t known_revision, const Callers& callers)
    : loop_(loop),
      events_(events),
      counters_(counters),
      address_(address),
      host_(std::move(host)),
      revision_(known_revision),
      retry_(loop.timers, [this] { Connect(); }),
      silence_(loop.timers, [this] { FallSilent(); }),
      backoff_(callers.relays, callers.longest_wait, callers.seed),
      frames_(kMostObject) {
  http_parser_settings_init(&parser_settings_);
  parser_settings_.on_headers_complete = OnStatus;
  parser_settings_.on_body = OnBody;
  parser_settings_.on_message_complete = OnComplete;
  loop_.AddTurnEndHook([this] { calls_.Reclaim(); });
}

void Discovery::Watch() {
  watching_ = owes_answer_ = true;
  if (calls_.Find(call_) == nullptr && !retry_.IsSet()) Begin();
}

void Discovery::Begin() {
  const Micros wait = backoff_.Start();
  if (wait.count() == 0) return Connect();
  retry_.Set(loop_.Now() + wait);
}

// What is owed to the module stays owed, and the list in force stays so until the new address speaks.
void Discovery::MoveTo(const Address& address, std::string host) {
  const bool same = host == host_;
  if (same && calls_.Find(call_) != nullptr) return;  // A second reload must not cut what the first began.
  address_ = address;
  host_ = std::move(host);
  // Another service counts its own revisions: only the whole list is sure to leave nothing out.
  if (!same) revision_ = 0;
  // The waits grew at the old address: they must not keep the relay from the new one.
  backoff_.Reset();
  Drop();
  if (watching_) Begin();
}

void Discovery::Drop() {
  if (Call* call = calls_.Find(call_)) call->stream.Close();
  calls_.Erase(call_);
  call_ = {};
  silence_.Cancel();
  retry_.Cancel();
}

void Discovery::Connect() {
  Call& call = calls_.Add(*this);
  call_ = call.id;
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  frames_.Clear();
  refused_ = ended_ = malformed_ = spoke_ = false;
  silence_.Set(loop_.Now() + (call.stream.Connect(address_) ? kAnswerWait : Micros(1)));
}

void Discovery::OnConnected(SlotId id) {
  Call* call = calls_.Find(id);
  if (call == nullptr) return;
  call->stream.Write({"GET /v1/endpoints?watch=1&after=", std::to_string(revision_),
                      " HTTP/1.1\r\nHost: ", host_, "\r\nAccept: application/json\r\n\r\n"});
}

void Discovery::OnBytes(SlotId id) {
  Call* call = calls_.Find(id);
  if (call == nullptr || id != call_) return;
  const std::string_view in = call->stream.input();
  const std::size_t used = http_parser_execute(&parser_, &parser_settings_, in.data(), in.size());
  if (calls_.Find(id) == nullptr) return;
  call->stream.Consume(in.size());
  if (refused_ || malformed_ || ended_ || used != in.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
    Fail(refused_ ? "refused" : ended_ && !malformed_ ? "ended" : "malformed");
  }
}

void Discovery::OnEnd(SlotId id, ConnectionEnd end) {
  if (id == call_ && calls_.Find(id) != nullptr) Fail(end == ConnectionEnd::kReset ? "reset" : "ended");
}

void Discovery::FallSilent() {
  if (++silences_ <= kHurried) {
    told_by_ = std::max(heard_ + kToldAfterWord, spoke_ ? Micros(0) : loop_.Now() + kToldAfterWait);
  }
  Fail("silent");
}

void Discovery::Hear() {
  spoke_ = true;
  heard_ = loop_.Now();
  silences_ = 0;
  silence_.Set(heard_ + kSilence);
}

void Discovery::Fail(std::string_view why) {
  Micros wait = backoff_.Next();
  // The waits of a large fleet are longer than the time until what was missed counts as told.
  if (const Micros left = told_by_ - kAnswerTime - loop_.Now(); left.count() > 0) {
    wait = std::min(wait, backoff_.Within(left / 2));
  }
  LogLine(Level::kInfo, "watch failed").Why(why).Field("again_in_ms", wait.count() / 1000);
  ++counters_.watches_failed;
  Drop();
  retry_.Set(loop_.Now() + wait);
  if (std::exchange(owes_answer_, false)) events_.OnWatchFailed();
}

int Discovery::OnStatus(http_parser* p) {
  auto* self = static_cast<Discovery*>(p->data);
  self->refused_ = p->status_code != 200;
  // The wait in turn is over; once, however long the head of the answer goes on.
  if (!self->refused_) self->silence_.Set(self->loop_.Now() + kSilence);
  return 0;
}

int Discovery::OnBody(http_parser* p, const char* at, std::size_t size) {
  auto* self = static_cast<Discovery*>(p->data);
  if (!self->refused_) self->TakeBody({at, size});
  return 0;
}

int Discovery::OnComplete(http_parser* p) {
  static_cast<Discovery*>(p->data)->ended_ = true;
  return 0;
}

void Discovery::TakeBody(std::string_view body) {
  if (malformed_) return;
  // What follows a broken object can't be trusted: the watch is made anew.
  malformed_ = !frames_.Take(
      body, [this](std::string_view object) { return TakeObject(object); }, [this] { Hear(); });
}

bool Discovery::TakeObject(std::string_view object) {
  EndpointUpdate list;
  try {
    simdjson::dom::parser parser;
    simdjson::dom::element root;
    if (parser.parse(simdjson::padded_string(object)).get(root) != simdjson::SUCCESS) {
      LogLine(Level::kWarn, "discovery sent what is not JSON,").Field("size", object.size());
      return false;
    }
    list = ParseEndpointUpdate(root);
  } catch (const balancer::settings::FormError& e) {
    LogLine(Level::kWarn, "discovery sent a malformed list").Why(e.what());
    return false;
  }
  Hear();
  revision_ = list.revision;
  told_by_ = Micros(0);
  backoff_.Reset();
  owes_answer_ = false;
  ++counters_.lists;
  events_.OnEndpointUpdate(list);
  return true;
}

}  // namespace stoatrun
