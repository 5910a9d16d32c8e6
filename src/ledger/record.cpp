#include "ledger/record.h"

#include <google/protobuf/util/json_util.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <memory>
#include <stdexcept>

namespace stoatrun::ledger {
namespace {

// A line is kLineStart RECORD kPrevKey HASH kHashKey HASH kLineEnd.
constexpr std::string_view kLineStart = R"({"record":)", kPrevKey = R"(,"prev":")",
                           kHashKey = R"(","hash":")", kLineEnd = "\"}\n";

bool IsHash(std::string_view text) {
  return text.size() == kHashSize && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

// Owns OpenSSL's handles for SHA-256.
struct Digest {
  EVP_MD* md = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  EVP_MD_CTX* context = EVP_MD_CTX_new();
  Digest() = default;
  Digest(const Digest&) = delete;
  Digest& operator=(const Digest&) = delete;
  ~Digest() {
    EVP_MD_CTX_free(context);
    EVP_MD_free(md);
  }
};

std::array<char, kHashSize> HashHex(std::string_view text) {
  thread_local Digest digest;  // Per thread, since fetching the algorithm costs more than hashing a line.
  std::array<unsigned char, kHashSize / 2> raw{};
  unsigned size = 0;
  if (digest.md == nullptr || EVP_DigestInit_ex2(digest.context, digest.md, nullptr) != 1 ||
      EVP_DigestUpdate(digest.context, text.data(), text.size()) != 1 ||
      EVP_DigestFinal_ex(digest.context, raw.data(), &size) != 1 || size != raw.size()) {
    throw std::runtime_error("OpenSSL cannot compute SHA-256");
  }
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<char, kHashSize> hex{};
  for (std::size_t k = 0; k < raw.size(); ++k) {
    hex[2 * k] = kDigits[raw[k] >> 4U];
    hex[2 * k + 1] = kDigits[raw[k] & 15U];
  }
  return hex;
}

}  // namespace

std::string InitialPrevHash() { return std::string(kHashSize, '0'); }

std::string Sha256Hex(std::string_view text) {
  const auto hex = HashHex(text);
  return {hex.data(), hex.size()};
}

Line MakeLine(const wire::Record& record, const std::string& prev) {
  namespace util = google::protobuf::util;
  util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  Line line;
  line.text = kLineStart;
  if (!util::MessageToJsonString(record, &line.text, options).ok()) {
    throw std::runtime_error("a record cannot be converted to JSON");
  }
  // Some releases of protobuf clear the text before they append to it.
  if (!line.text.starts_with(kLineStart)) line.text.insert(0, kLineStart);
  line.text.append(kPrevKey).append(prev).append(1, '"');
  line.hash = Sha256Hex(line.text);
  line.text.append(kHashKey.substr(1)).append(line.hash).append(kLineEnd);
  return line;
}

std::optional<LineParts> SplitLine(std::string_view line) {
  // The length of everything after the hash in `prev`.
  const std::size_t suffix_size = kHashKey.size() + kHashSize + kLineEnd.size();
  if (line.size() < kLineStart.size() + kPrevKey.size() + kHashSize + suffix_size) return std::nullopt;
  const std::size_t prev_end = line.size() - suffix_size;
  LineParts parts;
  parts.prev = line.substr(prev_end - kHashSize, kHashSize);
  parts.hash = line.substr(prev_end + kHashKey.size(), kHashSize);
  const std::size_t record_end = prev_end - kHashSize - kPrevKey.size();
  parts.record = line.substr(kLineStart.size(), record_end - kLineStart.size());
  if (!line.starts_with(kLineStart) || !line.ends_with(kLineEnd) ||
      line.substr(record_end, kPrevKey.size()) != kPrevKey ||
      line.substr(prev_end, kHashKey.size()) != kHashKey || !IsHash(parts.prev) || !IsHash(parts.hash)) {
    return std::nullopt;
  }
  const auto hex = HashHex(line.substr(0, prev_end + 1));  // Includes the closing quote of `prev`.
  if (parts.hash != std::string_view(hex.data(), hex.size())) return std::nullopt;
  return parts;
}

std::optional<wire::Record> ParseRecord(std::string_view record) {
  wire::Record parsed;
  const google::protobuf::StringPiece text(record.data(), record.size());
  if (!google::protobuf::util::JsonStringToMessage(text, &parsed).ok()) return std::nullopt;
  return parsed;
}

}  // namespace stoatrun::ledger
