#include "ledger/io/export_file.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <map>
#include <set>
#include <stdexcept>
#include <thread>
#include <tuple>
#include <utility>

#include "base/unique_fd.h"

namespace stoatrun::ledger {
namespace {

constexpr std::size_t kWriteBufferSize = std::size_t{1} << 20U;
constexpr std::size_t kReadBufferSize = std::size_t{1} << 18U;
constexpr std::size_t kMaxLineSize = std::size_t{1} << 20U;  // A record's line has a few hundred bytes.
constexpr mode_t kFileMode = 0644;

// Throws the error in errno. Must directly follow the failed system call.
[[noreturn]] void ThrowErrno(const std::string& path) {
  throw ExportError(
      ExportErrorCode::kSystem,
      path + ": " + std::strerror(errno));  // NOLINT(concurrency-mt-unsafe): thread-safe in glibc.
}

// An open file or folder. All functions throw ExportError kSystem.
class File {
 public:
  File(const std::string& path, int flags)
      : path_(path), fd_(open(path.c_str(), flags | O_CLOEXEC, kFileMode)) {
    if (!fd_) ThrowErrno(path);
  }

  void Write(std::string_view text) {
    while (!text.empty()) {
      const ssize_t written = write(fd_.Get(), text.data(), text.size());
      if (written < 0 && errno == EINTR) continue;
      if (written < 0) ThrowErrno(path_);
      text.remove_prefix(static_cast<std::size_t>(written));
    }
  }
  std::size_t Read(char* data, std::size_t size) {
    for (;;) {
      const ssize_t bytes = read(fd_.Get(), data, size);
      if (bytes >= 0) return static_cast<std::size_t>(bytes);
      if (errno != EINTR) ThrowErrno(path_);
    }
  }
  void Sync() {
    if (fsync(fd_.Get()) != 0) ThrowErrno(path_);
  }

 private:
  const std::string path_;
  UniqueFd fd_;
};

// Identifies one relay's ledger.
struct LedgerKey {
  std::string relay, ledger_id;

  bool operator<(const LedgerKey& other) const {
    return std::tie(relay, ledger_id) < std::tie(other.relay, other.ledger_id);
  }
};

// One file of a ledger's export.
struct ExportPart {
  std::uint64_t first_seq = 0;
  std::string path;

  bool operator<(const ExportPart& other) const {
    return std::tie(first_seq, path) < std::tie(other.first_seq, other.path);
  }
};

// All export files of one ledger.
struct LedgerExport {
  LedgerKey ledger;
  std::vector<ExportPart> parts;  // Ordered by first record.
};

std::string FirstLine(const std::string& path) {
  File input(path, O_RDONLY);
  std::string text(kReadBufferSize, '\0');
  std::size_t size = 0;
  while (size < text.size()) {
    const std::size_t bytes = input.Read(text.data() + size, text.size() - size);
    size += bytes;
    if (bytes == 0 || std::string_view(text.data(), size).find('\n') != std::string_view::npos) break;
  }
  text.resize(size);
  return text.substr(0, text.find('\n'));
}

// Lists the files among `paths` and the *.jsonl files of the folders among them.
std::set<std::string> ListFiles(const std::vector<std::string>& paths) {
  namespace fs = std::filesystem;
  std::set<std::string> files;
  for (const std::string& path : paths) {
    if (!fs::is_directory(path)) {
      files.insert(path);
      continue;
    }
    for (const auto& entry : fs::directory_iterator(path)) {
      if (entry.path().extension() == ".jsonl") files.insert(entry.path());
    }
  }
  return files;
}

// Groups files by ledger. Files that are not exports are added to the report as faults.
std::vector<LedgerExport> GroupByLedger(const std::set<std::string>& files, ReconcileReport& report) {
  std::map<LedgerKey, std::vector<ExportPart>> parts_by_ledger;
  for (const std::string& file : files) {
    try {
      const FileOrigin origin = ParseFirstLine(FirstLine(file));
      parts_by_ledger[{origin.relay, origin.ledger_id}].push_back({origin.first_seq, file});
    } catch (const std::runtime_error& e) {
      ++report.files;
      report.Add({file, 1, 0, e.what()});
    }
  }
  std::vector<LedgerExport> exports;
  for (auto& [ledger, parts] : parts_by_ledger) {
    std::sort(parts.begin(), parts.end());
    exports.push_back({ledger, std::move(parts)});
  }
  return exports;
}

void ReadExport(const LedgerExport& ledger_export, ReconcileReport& report) {
  ExportReader reader(ledger_export.ledger.relay, ledger_export.ledger.ledger_id, report);
  for (const ExportPart& part : ledger_export.parts) {
    reader.BeginFile(part.path);
    try {
      ForEachLine(part.path, [&](std::string_view line) { reader.ReadLine(line); });
      reader.EndFile();
    } catch (const std::runtime_error& e) {
      report.Add({part.path, 0, 0, e.what()});
    }
  }
}

// Distributes the exports over `threads` threads. Returns one report per thread.
std::vector<ReconcileReport> ReadInParallel(const std::vector<LedgerExport>& exports, unsigned threads) {
  std::atomic<std::size_t> next_index = 0;
  std::vector<ReconcileReport> reports(std::max(1U, threads));
  std::vector<std::thread> pool;
  pool.reserve(reports.size());
  for (ReconcileReport& report : reports) {
    pool.emplace_back([&exports, &next_index, &report] {
      for (std::size_t index = 0; (index = next_index++) < exports.size();) {
        ReadExport(exports[index], report);
      }
    });
  }
  for (std::thread& thread : pool) thread.join();
  return reports;
}

void WriteRecords(Store& store, File& out, ExportTrailer& trailer) {
  std::string buffer;
  store.ForEachRecord(trailer.from, [&](const StoredRecord& record) {
    if (record.seq != trailer.to + 1) {
      throw ExportError(ExportErrorCode::kMissingRecord,
                        fmt::format("record {} is missing from the ledger", trailer.to + 1));
    }
    buffer += record.line;
    trailer.to = record.seq;
    trailer.head = record.hash;
    if (buffer.size() < kWriteBufferSize) return;
    out.Write(buffer);
    buffer.clear();
  });
  out.Write(buffer + MakeTrailer(trailer));
}

}  // namespace

ExportTrailer WriteExport(Store& store, std::uint64_t from_seq, const std::string& path) {
  const std::string temporary = fmt::format("{}.{}.part", path, getpid());
  const StoreState state = store.State();
  ExportTrailer trailer{state.relay, state.ledger_id, from_seq, from_seq - 1, InitialPrevHash()};
  try {
    File out(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    WriteRecords(store, out, trailer);
    out.Sync();
    if (rename(temporary.c_str(), path.c_str()) != 0) ThrowErrno(path);
  } catch (...) {
    unlink(temporary.c_str());
    throw;
  }
  // Makes the directory entry as durable as the file's contents.
  const std::string folder = std::filesystem::path(path).parent_path();
  File(folder.empty() ? "." : folder, O_RDONLY | O_DIRECTORY).Sync();
  return trailer;
}

void ForEachLine(const std::string& path, const std::function<void(std::string_view)>& callback) {
  File input(path, O_RDONLY);
  std::vector<char> buffer(kReadBufferSize + simdjson::SIMDJSON_PADDING);
  std::size_t size = 0;
  for (;;) {
    if (size + simdjson::SIMDJSON_PADDING == buffer.size()) {
      if (size >= kMaxLineSize) {
        throw ExportError(ExportErrorCode::kLineTooLong, path + ": line longer than 1 MiB");
      }
      buffer.resize(2 * buffer.size());
    }
    const std::size_t bytes =
        input.Read(buffer.data() + size, buffer.size() - simdjson::SIMDJSON_PADDING - size);
    size += bytes;
    std::string_view rest(buffer.data(), size);
    for (std::size_t end = 0; (end = rest.find('\n')) != std::string_view::npos;
         rest.remove_prefix(end + 1)) {
      callback(rest.substr(0, end + 1));
    }
    if (bytes == 0) {
      if (!rest.empty()) callback(rest);
      return;
    }
    std::memmove(buffer.data(), rest.data(), rest.size());
    size = rest.size();
  }
}

ReconcileReport ReconcileFiles(const std::vector<std::string>& paths, unsigned threads) {
  ReconcileReport report;
  const std::vector<LedgerExport> exports = GroupByLedger(ListFiles(paths), report);
  std::set<std::string> relays;
  for (const LedgerExport& ledger_export : exports) relays.insert(ledger_export.ledger.relay);
  for (ReconcileReport& part : ReadInParallel(exports, threads)) report.Merge(std::move(part));
  report.relays = relays.size();
  report.Finalize();
  return report;
}

}  // namespace stoatrun::ledger
