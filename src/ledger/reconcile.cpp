#include "ledger/reconcile.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace stoatrun::ledger {
namespace {

using simdjson::dom::element;
using simdjson::dom::object;

constexpr std::size_t kMaxReportedFaults =
    1000;  // Told one by one; a broken disk must not fill the memory with them.
constexpr std::string_view kEndHead = R"({"end":{"relay":")", kEndHash = R"(,"hash":")", kEndTail = "\"}\n";

// 64-bit whole numbers are text in protobuf's JSON form; fields that are 0 are left out.
std::int64_t Whole(const object& o, std::string_view key) {
  element e;
  if (o.at_key(key).get(e) != simdjson::SUCCESS) return 0;
  std::string_view text;
  if (e.get_string().get(text) == simdjson::SUCCESS) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
      throw std::runtime_error("not a whole number");
    return value;
  }
  return e.get_int64();  // Throws simdjson_error, a runtime_error.
}

std::string_view Text(const object& o, std::string_view key) {
  std::string_view text;
  return o.at_key(key).get(text) == simdjson::SUCCESS ? text : std::string_view();
}

std::uint64_t Beginning(std::string_view hash) {
  std::uint64_t value = 0;
  std::from_chars(hash.data(), hash.data() + 16, value, 16);
  return value;
}

}  // namespace

std::string MakeTrailer(const ExportTrailer& end) {
  std::string text = fmt::format(R"({}{}","book":"{}","from":{},"to":{},"head":"{}"}})", kEndHead, end.relay,
                                 end.ledger_id, end.from, end.to, end.head);
  const std::string hash = Sha256Hex(text);
  return text.append(kEndHash).append(hash).append(kEndTail);
}

void ReconcileReport::Add(Fault fault) {
  if (faults.size() < kMaxReportedFaults) {
    faults.push_back(std::move(fault));
  } else {
    ++omitted_faults;
  }
}

void ReconcileReport::Merge(ReconcileReport&& other) {
  for (const auto& [key, t] : other.totals) {
    PeriodTotal& sum = totals[key];
    sum.use_us += t.use_us;
    sum.within_us += t.within_us;
    sum.beyond_us += t.beyond_us;
    sum.corrected_s += t.corrected_s;
    sum.records += t.records;
    sum.corrections += t.corrections;
  }
  for (auto& [start, length] : other.lengths) {
    const auto [it, fresh] = lengths.try_emplace(start, length);
    if (!fresh && it->second.first != length.first) {
      Add({length.second, 0, 0,
           fmt::format("overlapping periods: the one from {} lasts {} s here, {} s in {}", start,
                       length.first, it->second.first, it->second.second)});
    }
  }
  std::move(other.corrections.begin(), other.corrections.end(), std::back_inserter(corrections));
  std::move(other.unattested.begin(), other.unattested.end(), std::back_inserter(unattested));
  for (Fault& f : other.faults) Add(std::move(f));
  omitted_faults += other.omitted_faults;
  ledgers += other.ledgers;
  files += other.files;
  records += other.records;
  duplicates += other.duplicates;
  clock_steps += other.clock_steps;
}

void ReconcileReport::CheckPeriods() {
  std::int64_t end = INT64_MIN, start_of_end = 0;
  for (const auto& [start, length] : lengths) {
    if (start < end) {
      Add({length.second, 0, 0,
           fmt::format("overlapping periods: the one from {} begins before the one from {} ends", start,
                       start_of_end)});
    }
    if (start + length.first > end) {
      end = start + length.first;
      start_of_end = start;
    }
  }
  const auto by_place = [](const auto& a, const auto& b) {
    return std::tie(a.relay, a.seq) < std::tie(b.relay, b.seq);
  };
  std::sort(corrections.begin(), corrections.end(), by_place);
  std::sort(unattested.begin(), unattested.end(), by_place);
  std::sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) {
    return std::tie(a.file, a.line) < std::tie(b.file, b.line);
  });
}

FileHead ReadHead(std::string_view first_line) {
  simdjson::dom::parser parser;
  const simdjson::padded_string text(first_line);
  element root;
  if (parser.parse(text).get(root) != simdjson::SUCCESS)
    throw std::runtime_error("its first line is no record");
  object o;
  if (root["record"].get(o) == simdjson::SUCCESS) {
    return {std::string(Text(o, "relay")), std::string(Text(o, "book")),
            static_cast<std::uint64_t>(Whole(o, "seq"))};
  }
  if (root["end"].get(o) == simdjson::SUCCESS) {
    return {std::string(Text(o, "relay")), std::string(Text(o, "book")),
            static_cast<std::uint64_t>(Whole(o, "from"))};
  }
  throw std::runtime_error("its first line is no record");
}

ExportReader::ExportReader(std::string relay, std::string ledger_id, ReconcileReport& out)
    : relay_(std::move(relay)), ledger_id_(std::move(ledger_id)), report_(out), last_hash_(FirstHash()) {
  ++report_.ledgers;
}

void ExportReader::Wrong(std::uint64_t seq, std::string what) {
  report_.Add({file_, line_, seq, std::move(what)});
}

void ExportReader::BeginFile(const std::string& name) {
  ++report_.files;
  file_ = name;
  line_ = file_first_ = file_last_ = 0;
  file_hash_.clear();
  ended_ = broken_ = false;
}

void ExportReader::Take(std::string_view line) {
  ++line_;
  if (broken_) return;  // Nothing after a broken line can be trusted to follow from it.
  if (ended_) return Wrong(0, "more lines after the end of the export");
  if (line.starts_with(kEndHead)) {
    if (!TakeEnd(line)) Wrong(0, "the end line is damaged");
    ended_ = true;
    return;
  }
  const auto parts = SplitLine(line);
  if (!parts) {
    broken_ = true;
    const bool cut = !line.ends_with('\n');
    return Wrong(file_last_ + 1,
                 cut ? "cut short within a record" : "damaged: the record does not agree with its hash");
  }
  try {
    TakeRecord(line, *parts);
  } catch (const std::runtime_error& e) {
    Wrong(file_last_ + 1, fmt::format("not a record of the schema: {}", e.what()));
  }
}

void ExportReader::TakeRecord(std::string_view line, const LineParts& parts) {
  const element root = parser_.parse(line.data(), line.size(), false);
  const object record = root["record"];
  const auto seq = static_cast<std::uint64_t>(Whole(record, "seq"));
  if (Text(record, "relay") != relay_ || Text(record, "book") != ledger_id_) {
    broken_ = true;
    return Wrong(seq, fmt::format("it is of {} book {}, the file began with {} book {}",
                                  Text(record, "relay"), Text(record, "book"), relay_, ledger_id_));
  }
  if (file_first_ == 0) file_first_ = seq;
  if (file_last_ != 0 && seq != file_last_ + 1) {
    Wrong(seq, seq > file_last_
                   ? fmt::format("gap: records {} to {} are missing", file_last_ + 1, seq - 1)
                   : fmt::format("duplicate or out of order: it comes after record {}", file_last_));
  } else if (file_last_ != 0 && parts.prev != file_hash_) {
    Wrong(seq, "broken chain: it does not follow the record before it");
  }
  file_last_ = seq;
  file_hash_ = parts.hash;
  if (seq == 0) return Wrong(0, "record without a number");
  if (seq <= last_seq_) {
    ++report_.duplicates;
    const bool same = seq <= seen_.size() && seen_[seq - 1] == Beginning(parts.hash);
    return Wrong(seq, same ? "duplicate: the same record came before, it counts once"
                           : "fork: another record came before under this number, this one is not counted");
  }
  // Within a file this was told above; here it is where one file follows another.
  if (line_ == 1 && seq != last_seq_ + 1) {
    Wrong(seq, fmt::format("gap: records {} to {} are missing", last_seq_ + 1, seq - 1));
  } else if (line_ == 1 && parts.prev != last_hash_) {
    Wrong(seq, "broken chain: it does not follow the record before it");
  }
  seen_.resize(seq);
  seen_[seq - 1] = Beginning(parts.hash);
  last_seq_ = seq;
  last_hash_ = parts.hash;
  ++report_.records;
  object body;
  if (record.at_key("use").get(body) == simdjson::SUCCESS) return TakeUse(body, seq);
  if (record.at_key("clock_step").get(body) == simdjson::SUCCESS) {
    ++report_.clock_steps;
    return;
  }
  // The rest is rare: read by the schema itself.
  const auto parsed = ParseRecord(parts.record);
  if (!parsed) return Wrong(seq, "not a record of the schema");
  if (parsed->has_correction()) {
    const wire::Correction& c = parsed->correction();
    PeriodTotal& total = report_.totals[{c.period_start_s(), c.group()}];
    total.corrected_s += c.seconds();
    ++total.corrections;
    report_.corrections.push_back({relay_, seq, c});
  } else if (parsed->has_unattested()) {
    report_.unattested.push_back({relay_, seq, parsed->unattested()});
  } else if (parsed->has_imbalance()) {
    Wrong(seq, fmt::format("the relay itself found period {} out of balance",
                           parsed->imbalance().period_start_s()));
  } else {
    Wrong(seq, "a record of a kind that this program does not know");
  }
}

void ExportReader::TakeUse(object use, std::uint64_t seq) {
  const std::int64_t start = Whole(use, "period_start_s"), length = Whole(use, "period_s");
  const std::int64_t total = Whole(use, "use_us"), within = Whole(use, "within_us"),
                     beyond = Whole(use, "beyond_us");
  std::int64_t by_class = 0;
  simdjson::dom::array classes;
  if (use.at_key("classes").get(classes) == simdjson::SUCCESS) {
    for (const element c : classes) by_class += Whole(c, "use_us");
  }
  if (total != within + beyond || total != by_class) {
    Wrong(seq, fmt::format("out of balance: use {}, within {} and beyond {}, classes {}", total, within,
                           beyond, by_class));
  }
  const std::string group(Text(use, "group"));
  if (!uses_.emplace(start, static_cast<std::uint64_t>(Whole(use, "supplement")), group).second) {
    Wrong(seq, fmt::format("overlapping periods: group {} has a record of period {} already", group, start));
  }
  const auto [it, fresh] = report_.lengths.try_emplace(start, length, file_);
  if (!fresh && it->second.first != length) {
    Wrong(seq, fmt::format("overlapping periods: the one from {} lasts {} s here, {} s in {}", start, length,
                           it->second.first, it->second.second));
  }
  PeriodTotal& sum = report_.totals[{start, group}];
  sum.use_us += total;
  sum.within_us += within;
  sum.beyond_us += beyond;
  ++sum.records;
}

bool ExportReader::TakeEnd(std::string_view line) {
  const std::size_t after = kEndHash.size() + kHashSize + kEndTail.size();
  if (line.size() < after || !line.ends_with(kEndTail)) return false;
  const std::string_view body = line.substr(0, line.size() - after);
  const std::string_view rest = line.substr(body.size());
  if (!rest.starts_with(kEndHash) || rest.substr(kEndHash.size(), kHashSize) != Sha256Hex(body)) return false;
  const element root = parser_.parse(line.data(), line.size(), false);
  const object end = root["end"];
  const auto from = static_cast<std::uint64_t>(Whole(end, "from")),
             to = static_cast<std::uint64_t>(Whole(end, "to"));
  if (Text(end, "relay") != relay_ || Text(end, "book") != ledger_id_)
    Wrong(0, "the end line is of another book");
  const bool empty = to < from;
  if (empty ? file_last_ != 0
            : (file_first_ != from || file_last_ != to || Text(end, "head") != file_hash_)) {
    Wrong(0, fmt::format("records are missing: the export held {} to {}, here are {} to {}", from, to,
                         file_first_, file_last_));
  }
  return true;
}

void ExportReader::EndFile() {
  if (!ended_ && !broken_)
    Wrong(0, fmt::format("cut short after record {}: the end line is missing", file_last_));
}

}  // namespace stoatrun::ledger
