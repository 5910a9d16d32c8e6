#include "wire.h"

#include <simdjson.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balancer/balancer.h"
#include "config/json.h"
#include "config/site_settings.h"

namespace balancer::adapter {
namespace {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;
using namespace settings;  // NOLINT(google-build-using-namespace): the JSON helpers that both hosts share.

// The values of a message or a list row, read in order. A missing tail counts as null.
class Row {
 public:
  Row(const element& e, std::string where) : where_(std::move(where)) {
    for (const element value : AsArray(e, where_)) values_.push_back(value);
  }
  std::string Where(std::string_view field) const { return std::string(where_).append(1, '.').append(field); }
  void Rename(std::string where) { where_ = std::move(where); }
  const element* Optional() {
    const std::size_t at = next_++;
    return at < values_.size() && !Absent(values_[at]) ? &values_[at] : nullptr;
  }
  const element& Required(std::string_view field) {
    const element* e = Optional();
    if (e == nullptr) Fail(Where(field), "missing");
    return *e;
  }
  std::uint64_t Unsigned(std::string_view field) { return AsUnsigned(Required(field), Where(field)); }
  std::uint64_t UnsignedOr(std::string_view field, std::uint64_t value) {
    const element* e = Optional();
    return e == nullptr ? value : AsUnsigned(*e, Where(field));
  }
  std::int64_t Signed(std::string_view field) { return AsSigned(Required(field), Where(field)); }
  double Number(std::string_view field) { return AsNumber(Required(field), Where(field)); }
  bool Bool(std::string_view field) { return AsBool(Required(field), Where(field)); }
  bool BoolOr(std::string_view field, bool value) {
    const element* e = Optional();
    return e == nullptr ? value : AsBool(*e, Where(field));
  }
  std::string_view Text(std::string_view field) { return AsText(Required(field), Where(field)); }

 private:
  std::string where_;
  std::vector<element> values_;
  std::size_t next_ = 0;
};

struct Instance {
  explicit Instance(const Settings& settings) : balancer(settings) {}
  Balancer balancer;
  std::vector<ReportField> report_fields;
};

std::uint64_t Raw(RequestId id) { return static_cast<std::uint64_t>(id); }
std::uint64_t Raw(EndpointId id) { return static_cast<std::uint64_t>(id); }

std::optional<LoadReport> ReadReport(const element* e, const std::vector<ReportField>& fields,
                                     const std::string& where) {
  if (e == nullptr) return std::nullopt;
  LoadReport report;
  std::size_t k = 0;
  for (const element value : AsArray(*e, where)) {
    const ReportField field = k < fields.size() ? fields[k] : ReportField::kOther;
    ++k;
    if (Absent(value)) continue;
    SetField(report, field, AsNumber(value, where));
  }
  return report;
}

Outcome ReadOutcome(std::string_view word) {
  static constexpr std::array<std::pair<std::string_view, Outcome>, 8> kWords{
      {{"pass", Outcome::kServed},
       {"fault", Outcome::kError},
       {"no_room", Outcome::kRejected},
       {"too_slow", Outcome::kTimedOut},
       {"no_route", Outcome::kNotConnected},
       {"cut", Outcome::kConnectionLost},
       {"undone", Outcome::kCancelled},
       {"stale_send", Outcome::kNotSent}}};
  for (const auto& [name, outcome] : kWords) {
    if (name == word) return outcome;
  }
  return Outcome::kUnknown;  // May have run, as far as we know.
}

EndpointUpdate ReadMembers(Row& row) {
  EndpointUpdate list;
  const std::uint64_t kind = row.Unsigned("form");
  if (kind > 3) Fail(row.Where("form"), "expected 0 to 3");
  list.kind = std::array{EndpointUpdate::Kind::kChanges, EndpointUpdate::Kind::kFull,
                         EndpointUpdate::Kind::kCached, EndpointUpdate::Kind::kFailed}[kind];
  row.UnsignedOr("generation", 0);
  const element* rows = row.Optional();
  if (rows == nullptr) {
    if (list.kind != EndpointUpdate::Kind::kFailed) Fail(row.Where("rows"), "missing");
    return list;
  }
  for (const element e : AsArray(*rows, row.Where("rows"))) {
    Row r(e, row.Where("rows"));
    Endpoint entry;
    entry.id = EndpointId(r.Unsigned("server"));
    entry.zone = ZoneId(static_cast<std::uint32_t>(r.UnsignedOr("failureDomain", 0)));
    r.Optional();  // The machine kind decides nothing.
    entry.cell = CellId(r.UnsignedOr("bay", 0));
    const std::uint64_t state = r.Unsigned("stageState");
    if (state > 2) Fail(r.Where("stageState"), "expected 0 to 2");
    entry.state = std::array{EndpointState::kDraining, EndpointState::kReady, EndpointState::kGone}[state];
    if (const element* size = r.Optional()) entry.size = AsNumber(*size, r.Where("size"));
    if (const element* at = r.Optional()) entry.started_at = Micros(AsSigned(*at, r.Where("startedAt")));
    entry.name_hash = Raw(entry.id);
    list.entries.push_back(entry);
  }
  return list;
}

RequestArrived ReadRequest(Row& row) {
  RequestArrived r;
  r.id = RequestId(row.Unsigned("xid"));
  r.class_id = ClassId(static_cast<std::uint32_t>(row.Unsigned("category")));
  row.UnsignedOr("owner", 0);
  if (const element* key = row.Optional()) AsText(*key, row.Where("entity"));
  r.deadline = Micros(row.Signed("deadline"));
  if (const element* hint = row.Optional()) r.load_hint = AsNumber(*hint, row.Where("expected"));
  if (const element* group = row.Optional()) r.affinity_group = NumberOf(AsText(*group, row.Where("group")));
  row.BoolOr("againByClient", false);
  row.BoolOr("stray", false);
  r.is_reconnect = row.BoolOr("cameBack", false);
  return r;
}

// Writes actions as wire messages.
class Writer {
 public:
  Writer(std::string& out, std::uint64_t instance) : out_(out), instance_(instance) {}
  void operator()(const SendAttempt& a) { Put("Send", {Raw(a.id), Raw(a.endpoint), Time(a.timeout)}); }
  void operator()(const CancelAttempt& a) { Put("CallOff", {Raw(a.id), a.attempt}); }
  void operator()(const RejectRequest& a) { Put("NotNow", {Raw(a.id), Time(a.retry_after)}); }
  void operator()(const FailRequest& a) { Put("Surrender", {Raw(a.id)}); }
  void operator()(const MigrateConnection& a) { Put("Migrate", {Raw(a.id)}); }
  void operator()(const ProbeEndpoint& a) { Put("AskLoad", {Raw(a.endpoint)}); }
  void operator()(const StartTimer& a) { Put("SetTimer", {Time(a.delay), 0}); }
  void operator()(const WatchEndpoints&) {
    Begin("Watch");
    out_ += ",true]";
  }

 private:
  static std::uint64_t Time(Micros t) {
    return static_cast<std::uint64_t>(std::max<Micros::rep>(t.count(), 0));
  }
  void Number(std::uint64_t value) {
    std::array<char, 24> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    out_ += ',';
    out_.append(text.data(), end);
  }
  void Begin(std::string_view name) {
    if (out_.back() != '[') out_ += ',';
    out_ += "[\"";
    out_ += name;
    out_ += '"';
    Number(instance_);
  }
  void Put(std::string_view name, std::initializer_list<std::uint64_t> values) {
    Begin(name);
    for (const std::uint64_t v : values) Number(v);
    out_ += ']';
  }

  std::string& out_;
  std::uint64_t instance_;
};

}  // namespace

class Adapter::Impl {
 public:
  std::string HandleLine(std::string_view line) {
    element root;
    const auto error = parser_.parse(simdjson::padded_string(line)).get(root);
    if (error != simdjson::SUCCESS) Fail("line", "not JSON: " + std::string(simdjson::error_message(error)));
    const object batch = AsObject(root, "line");
    const auto at = Get(batch, "atTime");
    if (!at) Fail("atTime", "missing");
    now_ = Micros(AsSigned(*at, "atTime"));
    const auto input = Get(batch, "input");
    if (!input) Fail("input", "missing");
    std::string reply = "{\"cmds\":[";
    std::size_t k = 0;
    for (const element e : AsArray(*input, "input")) {
      HandleMessage(Row(e, std::string("input[").append(std::to_string(k++)).append(1, ']')), reply);
    }
    reply += "]}";
    return reply;
  }

 private:
  void HandleMessage(Row row, std::string& reply) {
    const std::string_view name = row.Text("type");
    row.Rename(std::string(name));
    const std::uint64_t id = row.Unsigned("balancerId");
    if (name == "Attach") {
      const std::uint64_t seed = row.Unsigned("prng");
      const element& facts = row.Required("facts");
      const SiteSettings site = ReadSettings(facts, seed);
      auto instance = std::make_unique<Instance>(site.module);
      instance->report_fields = site.report_fields;
      instances_[id] = std::move(instance);
      return;
    }
    if (name == "CrashNow") {
      instances_.erase(id);
      return;
    }
    const auto it = instances_.find(id);
    Instance* instance = it == instances_.end() ? nullptr : it->second.get();
    static const std::vector<ReportField> kNoFields;
    const std::optional<Event> event =
        ReadEvent(name, row, instance == nullptr ? kNoFields : instance->report_fields);
    if (!event || instance == nullptr) return;  // Not for a running instance: nothing to decide.
    actions_.clear();
    instance->balancer.Handle(now_, *event, actions_);
    Writer writer(reply, id);
    for (const Action& action : actions_) std::visit(writer, action);
  }

  static std::optional<Event> ReadEvent(std::string_view name, Row& row,
                                        const std::vector<ReportField>& fields) {
    if (name == "Members") return ReadMembers(row);
    if (name == "Incoming") return ReadRequest(row);
    if (name == "Resumed") {
      ConnectionResumed e;
      e.request = ReadRequest(row);
      e.endpoint = EndpointId(row.Unsigned("server"));
      return e;
    }
    if (name == "FirstByte") {
      AttemptEstablished e;
      e.id = RequestId(row.Unsigned("xid"));
      e.endpoint = EndpointId(row.Unsigned("server"));
      return e;
    }
    if (name == "Result") {
      AttemptEnded e;
      e.id = RequestId(row.Unsigned("xid"));
      row.UnsignedOr("timeTaken", 0);
      e.outcome = ReadOutcome(row.Text("ending"));
      e.request_finished = row.Bool("closed");
      row.UnsignedOr("copy", 0);
      e.endpoint = EndpointId(row.Unsigned("server"));
      e.report = ReadReport(row.Optional(), fields, row.Where("feedback"));
      return e;
    }
    if (name == "Notice") return ReadNotice(row);
    if (name == "ProbeDone") {
      ProbeCompleted e;
      e.endpoint = EndpointId(row.Unsigned("server"));
      row.UnsignedOr("timeTaken", 0);
      e.ok = row.Text("ending") == "pass";
      e.report = ReadReport(row.Optional(), fields, row.Where("feedback"));
      return e;
    }
    if (name == "Gone") return ClientDisconnected{RequestId(row.Unsigned("xid"))};
    if (name == "Due") {
      row.Unsigned("nonce");
      return TimerFired{};
    }
    if (name == "PeerData") return std::nullopt;  // Instances don't write to each other.
    Fail(row.Where("type"), "unknown message");
  }

  static std::optional<Event> ReadNotice(Row& row) {
    const RequestId id = RequestId(row.Unsigned("xid"));
    row.UnsignedOr("copy", 0);
    const EndpointId server = EndpointId(row.Unsigned("server"));
    const std::uint64_t what = row.Unsigned("what");
    const double x = row.Number("x");
    if (what == 1) return LoadReported{id, x};
    if (what == 2) return MessageLatencyReported{server, Micros(std::llround(x * 1000.0))};
    return std::nullopt;
  }

  simdjson::dom::parser parser_;
  Micros now_{0};
  std::unordered_map<std::uint64_t, std::unique_ptr<Instance>> instances_;  // Looked up only.
  std::vector<Action> actions_;
};

Adapter::Adapter() : impl_(std::make_unique<Impl>()) {}
Adapter::~Adapter() = default;
std::string Adapter::HandleLine(std::string_view line) { return impl_->HandleLine(line); }

}  // namespace balancer::adapter
