#include "ledger/reconcile.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <stdexcept>

namespace stoatrun::ledger {
namespace {

using simdjson::dom::element;
using simdjson::dom::object;

// Limits the listed faults, so that an export from a failing disk does not exhaust the memory.
constexpr std::size_t kMaxListedFaults = 1000;
// The number of hexadecimal digits of each hash that are kept to recognize a repeated record.
constexpr std::size_t kHashPrefixDigits = 16;
constexpr std::string_view kTrailerStart = R"({"end":{"relay":")", kTrailerHashKey = R"(,"hash":")",
                           kTrailerEnd = "\"}\n";
constexpr const char* kBrokenChain =
    "broken chain: the record does not continue the hash chain of the previous record";

// Returns an integer field, or 0 if it is absent: protobuf's JSON form omits zeros and writes 64-bit integers
// as strings. Throws ExportError kBadField or simdjson_error (both are std::runtime_error) if the field is
// not an integer.
std::int64_t IntegerField(const object& json, std::string_view key) {
  element value;
  if (json.at_key(key).get(value) != simdjson::SUCCESS) return 0;
  std::string_view text;
  if (value.get_string().get(text) != simdjson::SUCCESS) return value.get_int64();
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw ExportError(ExportErrorCode::kBadField, fmt::format("{} is not an integer", key));
  }
  return number;
}

std::uint64_t UnsignedField(const object& json, std::string_view key) {
  return static_cast<std::uint64_t>(IntegerField(json, key));
}

// Returns a string field, or an empty string if it is absent or not a string.
std::string_view TextField(const object& json, std::string_view key) {
  std::string_view text;
  return json.at_key(key).get(text) == simdjson::SUCCESS ? text : std::string_view();
}

std::uint64_t HashPrefix(std::string_view hash) {
  std::uint64_t value = 0;
  std::from_chars(hash.data(), hash.data() + kHashPrefixDigits, value, 16);
  return value;
}

std::string MissingRecordsMessage(std::uint64_t first, std::uint64_t last) {
  return fmt::format("gap: records {} to {} are missing", first, last);
}

std::string DifferentLengthsMessage(std::int64_t start_s, std::int64_t length_s, const PeriodLength& other) {
  return fmt::format("overlapping periods: the period from {} lasts {} s here, but {} s in {}", start_s,
                     length_s, other.seconds, other.file);
}

}  // namespace

std::string MakeTrailer(const ExportTrailer& trailer) {
  std::string text = fmt::format(R"({}{}","book":"{}","from":{},"to":{},"head":"{}"}})", kTrailerStart,
                                 trailer.relay, trailer.ledger_id, trailer.from, trailer.to, trailer.head);
  const std::string hash = Sha256Hex(text);
  return text.append(kTrailerHashKey).append(hash).append(kTrailerEnd);
}

void ReconcileReport::Add(Fault fault) {
  if (faults.size() < kMaxListedFaults) {
    faults.push_back(std::move(fault));
  } else {
    ++omitted_faults;
  }
}

void ReconcileReport::Merge(ReconcileReport&& other) {
  for (const auto& [key, total] : other.totals) {
    PeriodTotal& sum = totals[key];
    sum.use_us += total.use_us;
    sum.within_us += total.within_us;
    sum.beyond_us += total.beyond_us;
    sum.corrected_s += total.corrected_s;
    sum.records += total.records;
    sum.corrections += total.corrections;
  }
  for (const auto& [start_s, length] : other.period_lengths) {
    const auto [it, inserted] = period_lengths.try_emplace(start_s, length);
    if (!inserted && it->second.seconds != length.seconds) {
      Add({length.file, 0, 0, DifferentLengthsMessage(start_s, length.seconds, it->second)});
    }
  }
  std::move(other.corrections.begin(), other.corrections.end(), std::back_inserter(corrections));
  std::move(other.unattested.begin(), other.unattested.end(), std::back_inserter(unattested));
  for (Fault& fault : other.faults) Add(std::move(fault));
  omitted_faults += other.omitted_faults;
  ledgers += other.ledgers;
  files += other.files;
  records += other.records;
  duplicates += other.duplicates;
  clock_steps += other.clock_steps;
}

void ReconcileReport::Finalize() {
  std::int64_t latest_end = std::numeric_limits<std::int64_t>::min(), start_of_latest = 0;
  for (const auto& [start_s, length] : period_lengths) {
    if (start_s < latest_end) {
      Add({length.file, 0, 0,
           fmt::format("overlapping periods: the period from {} begins before the one from {} ends", start_s,
                       start_of_latest)});
    }
    if (start_s + length.seconds > latest_end) {
      latest_end = start_s + length.seconds;
      start_of_latest = start_s;
    }
  }
  const auto by_record = [](const auto& a, const auto& b) {
    return std::tie(a.relay, a.seq) < std::tie(b.relay, b.seq);
  };
  std::sort(corrections.begin(), corrections.end(), by_record);
  std::sort(unattested.begin(), unattested.end(), by_record);
  std::sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) {
    return std::tie(a.file, a.line) < std::tie(b.file, b.line);
  });
}

FileOrigin ParseFirstLine(std::string_view first_line) {
  constexpr const char* kNotARecord = "the first line is not a record";
  simdjson::dom::parser parser;
  const simdjson::padded_string text(first_line);
  element root;
  if (parser.parse(text).get(root) != simdjson::SUCCESS) {
    throw ExportError(ExportErrorCode::kNotAnExport, kNotARecord);
  }
  const auto origin = [](const object& json, std::string_view number_key) -> FileOrigin {
    return {std::string(TextField(json, "relay")), std::string(TextField(json, "book")),
            UnsignedField(json, number_key)};
  };
  object json;
  if (root["record"].get(json) == simdjson::SUCCESS) return origin(json, "seq");
  if (root["end"].get(json) == simdjson::SUCCESS) return origin(json, "from");
  throw ExportError(ExportErrorCode::kNotAnExport, kNotARecord);
}

ExportReader::ExportReader(std::string relay, std::string ledger_id, ReconcileReport& report)
    : relay_(std::move(relay)),
      ledger_id_(std::move(ledger_id)),
      report_(report),
      last_hash_(InitialPrevHash()) {
  ++report_.ledgers;
}

void ExportReader::AddFault(std::uint64_t seq, std::string what) {
  report_.Add({file_, line_number_, seq, std::move(what)});
}

void ExportReader::BeginFile(const std::string& name) {
  ++report_.files;
  file_ = name;
  line_number_ = file_first_seq_ = file_last_seq_ = 0;
  file_last_hash_.clear();
  trailer_read_ = skip_rest_of_file_ = false;
}

void ExportReader::ReadLine(std::string_view line) {
  ++line_number_;
  if (skip_rest_of_file_) return;  // After a damaged or foreign line, the chain cannot be checked.
  if (trailer_read_) return AddFault(0, "the file continues after its trailer");
  if (line.starts_with(kTrailerStart)) {
    if (!ReadTrailer(line)) AddFault(0, "damaged: the trailer is incomplete or does not agree with its hash");
    trailer_read_ = true;
    return;
  }
  const auto parts = SplitLine(line);
  if (!parts) {
    skip_rest_of_file_ = true;
    const bool cut = !line.ends_with('\n');
    return AddFault(file_last_seq_ + 1,
                    cut ? "cut short within a record" : "damaged: the record does not agree with its hash");
  }
  try {
    ReadRecord(line, *parts);
  } catch (const std::runtime_error& e) {
    AddFault(file_last_seq_ + 1, fmt::format("the record does not conform to the schema: {}", e.what()));
  }
}

void ExportReader::ReadRecord(std::string_view line, const LineParts& parts) {
  const element root = parser_.parse(line.data(), line.size(), false);
  const object record = root["record"];
  const std::uint64_t seq = UnsignedField(record, "seq");
  if (!CheckIdentity(record, seq)) return;
  if (file_first_seq_ == 0) file_first_seq_ = seq;
  CheckChainWithinFile(seq, parts);
  file_last_seq_ = seq;
  file_last_hash_ = parts.hash;
  if (seq == 0) return AddFault(0, "record without a sequence number");
  if (seq <= last_seq_) return ReportDuplicate(seq, parts);
  CheckChainAcrossFiles(seq, parts);
  hash_prefixes_.resize(seq);
  hash_prefixes_[seq - 1] = HashPrefix(parts.hash);
  last_seq_ = seq;
  last_hash_ = parts.hash;
  ++report_.records;
  ReadBody(record, seq, parts);
}

bool ExportReader::CheckIdentity(object record, std::uint64_t seq) {
  const std::string_view relay = TextField(record, "relay"), ledger_id = TextField(record, "book");
  if (relay == relay_ && ledger_id == ledger_id_) return true;
  skip_rest_of_file_ = true;
  AddFault(seq, fmt::format("the record belongs to relay {} ledger {}, but the file to relay {} ledger {}",
                            relay, ledger_id, relay_, ledger_id_));
  return false;
}

void ExportReader::CheckChainWithinFile(std::uint64_t seq, const LineParts& parts) {
  if (file_last_seq_ == 0) return;
  if (seq > file_last_seq_ + 1) {
    AddFault(seq, MissingRecordsMessage(file_last_seq_ + 1, seq - 1));
  } else if (seq != file_last_seq_ + 1) {
    AddFault(seq, fmt::format("duplicate or out of order: the record follows record {}", file_last_seq_));
  } else if (parts.prev != file_last_hash_) {
    AddFault(seq, kBrokenChain);
  }
}

void ExportReader::ReportDuplicate(std::uint64_t seq, const LineParts& parts) {
  ++report_.duplicates;
  const bool same = seq <= hash_prefixes_.size() && hash_prefixes_[seq - 1] == HashPrefix(parts.hash);
  AddFault(seq, same ? "duplicate: the same record came before, it counts once"
                     : "fork: another record with this number was read before; this one is not counted");
}

// Checks only the first line of a file; CheckChainWithinFile checks the others.
void ExportReader::CheckChainAcrossFiles(std::uint64_t seq, const LineParts& parts) {
  if (line_number_ != 1) return;
  if (seq != last_seq_ + 1) {
    AddFault(seq, MissingRecordsMessage(last_seq_ + 1, seq - 1));
  } else if (parts.prev != last_hash_) {
    AddFault(seq, kBrokenChain);
  }
}

// Nearly all records of an export are usage records, so they are read without building a protobuf message.
void ExportReader::ReadBody(object record, std::uint64_t seq, const LineParts& parts) {
  object body;
  if (record.at_key("use").get(body) == simdjson::SUCCESS) return ReadUse(body, seq);
  if (record.at_key("clock_step").get(body) == simdjson::SUCCESS) {
    ++report_.clock_steps;
    return;
  }
  const auto parsed = ParseRecord(parts.record);
  if (!parsed) return AddFault(seq, "the record does not conform to the schema");
  ReadParsedBody(*parsed, seq);
}

void ExportReader::ReadParsedBody(const wire::Record& record, std::uint64_t seq) {
  if (record.has_correction()) {
    const wire::Correction& correction = record.correction();
    PeriodTotal& total = report_.totals[{correction.period_start_s(), correction.group()}];
    total.corrected_s += correction.seconds();
    ++total.corrections;
    report_.corrections.push_back({relay_, seq, correction});
  } else if (record.has_unattested()) {
    report_.unattested.push_back({relay_, seq, record.unattested()});
  } else if (record.has_imbalance()) {
    AddFault(seq, fmt::format("the relay itself found period {} out of balance",
                              record.imbalance().period_start_s()));
  } else {
    AddFault(seq, "unknown kind of record");
  }
}

void ExportReader::ReadUse(object use, std::uint64_t seq) {
  const std::int64_t start_s = IntegerField(use, "period_start_s"), length_s = IntegerField(use, "period_s");
  const std::int64_t total_us = IntegerField(use, "use_us"), within_us = IntegerField(use, "within_us"),
                     beyond_us = IntegerField(use, "beyond_us");
  std::int64_t class_sum_us = 0;
  simdjson::dom::array classes;
  if (use.at_key("classes").get(classes) == simdjson::SUCCESS) {
    for (const element class_use : classes) class_sum_us += IntegerField(class_use, "use_us");
  }
  if (total_us != within_us + beyond_us || total_us != class_sum_us) {
    AddFault(seq, fmt::format("out of balance: use {}, within {} and beyond {}, classes {}", total_us,
                              within_us, beyond_us, class_sum_us));
  }
  const std::string group(TextField(use, "group"));
  if (!seen_usage_.emplace(start_s, UnsignedField(use, "supplement"), group).second) {
    AddFault(seq,
             fmt::format("overlapping periods: group {} already has a record for period {}", group, start_s));
  }
  const auto [it, inserted] = report_.period_lengths.try_emplace(start_s, PeriodLength{length_s, file_});
  if (!inserted && it->second.seconds != length_s) {
    AddFault(seq, DifferentLengthsMessage(start_s, length_s, it->second));
  }
  PeriodTotal& sum = report_.totals[{start_s, group}];
  sum.use_us += total_us;
  sum.within_us += within_us;
  sum.beyond_us += beyond_us;
  ++sum.records;
}

// Returns false if the line does not match its hash.
bool ExportReader::ReadTrailer(std::string_view line) {
  const std::size_t hash_part_size = kTrailerHashKey.size() + kHashSize + kTrailerEnd.size();
  if (line.size() < hash_part_size || !line.ends_with(kTrailerEnd)) return false;
  const std::string_view body = line.substr(0, line.size() - hash_part_size);
  const std::string_view hash_part = line.substr(body.size());
  if (!hash_part.starts_with(kTrailerHashKey) ||
      hash_part.substr(kTrailerHashKey.size(), kHashSize) != Sha256Hex(body)) {
    return false;
  }
  const element root = parser_.parse(line.data(), line.size(), false);
  const object trailer = root["end"];
  const std::uint64_t first = UnsignedField(trailer, "from"), last = UnsignedField(trailer, "to");
  if (TextField(trailer, "relay") != relay_ || TextField(trailer, "book") != ledger_id_) {
    AddFault(0, "the trailer belongs to another ledger");
  }
  const bool empty = last < first;
  const bool agrees = empty ? file_last_seq_ == 0
                            : file_first_seq_ == first && file_last_seq_ == last &&
                                  TextField(trailer, "head") == file_last_hash_;
  if (!agrees) {
    AddFault(0, fmt::format("records are missing: the export contained {} to {}, this file contains {} to {}",
                            first, last, file_first_seq_, file_last_seq_));
  }
  return true;
}

void ExportReader::EndFile() {
  if (trailer_read_ || skip_rest_of_file_) return;
  AddFault(0, fmt::format("cut short after record {}: the trailer is missing", file_last_seq_));
}

}  // namespace stoatrun::ledger
