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
#include <utility>

namespace stoatrun::ledger {
namespace {

constexpr std::size_t kWriteAtOnce = std::size_t{1} << 20U;
constexpr std::size_t kReadAtOnce = std::size_t{1} << 18U;
constexpr std::size_t kMaxLineSize = std::size_t{1} << 20U;  // A record's line is a few hundred bytes.

[[noreturn]] void FailOf(const std::string& path) {
  throw std::runtime_error(path + ": " +
                           std::strerror(errno));  // NOLINT(concurrency-mt-unsafe): glibc's is safe.
}

class File {
 public:
  File(const std::string& path, int flags) : path_(path), fd_(open(path.c_str(), flags | O_CLOEXEC, 0644)) {
    if (fd_ < 0) FailOf(path);
  }
  ~File() {
    if (fd_ >= 0) close(fd_);
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  void Write(std::string_view text) {
    while (!text.empty()) {
      const ssize_t n = write(fd_, text.data(), text.size());
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) FailOf(path_);
      text.remove_prefix(static_cast<std::size_t>(n));
    }
  }
  std::size_t Read(char* to, std::size_t size) {
    for (;;) {
      const ssize_t n = read(fd_, to, size);
      if (n >= 0) return static_cast<std::size_t>(n);
      if (errno != EINTR) FailOf(path_);
    }
  }
  void Sync() {
    if (fsync(fd_) != 0) FailOf(path_);
  }

 private:
  const std::string path_;
  int fd_;
};

struct Part {
  std::uint64_t first_seq = 0;
  std::string path;
  bool operator<(const Part& o) const { return std::tie(first_seq, path) < std::tie(o.first_seq, o.path); }
};

std::string FirstLine(const std::string& path) {
  File in(path, O_RDONLY);
  std::string text(kReadAtOnce, '\0');
  std::size_t size = 0;
  while (size < text.size()) {
    const std::size_t n = in.Read(text.data() + size, text.size() - size);
    size += n;
    if (n == 0 || std::string_view(text.data(), size).find('\n') != std::string_view::npos) break;
  }
  text.resize(size);
  return text.substr(0, text.find('\n'));
}

}  // namespace

ExportTrailer WriteExport(Store& store, std::uint64_t from_seq, const std::string& path) {
  const std::string beside = fmt::format("{}.{}.part", path, getpid());
  const StoreState state = store.State();
  ExportTrailer end{state.relay, state.ledger_id, from_seq, from_seq - 1, FirstHash()};
  try {
    File out(beside, O_WRONLY | O_CREAT | O_TRUNC);
    std::string text;
    store.EachRecord(from_seq, [&](const StoredRecord& r) {
      if (r.seq != end.to + 1)
        throw std::runtime_error(fmt::format("record {} is missing in the ledger", end.to + 1));
      text += r.line;
      end.to = r.seq;
      end.head = r.hash;
      if (text.size() < kWriteAtOnce) return;
      out.Write(text);
      text.clear();
    });
    out.Write(text + MakeTrailer(end));
    out.Sync();
    if (rename(beside.c_str(), path.c_str()) != 0) FailOf(path);
  } catch (...) {
    unlink(beside.c_str());
    throw;
  }
  const std::string folder = std::filesystem::path(path).parent_path();
  File(folder.empty() ? "." : folder, O_RDONLY | O_DIRECTORY).Sync();  // The name must last as the bytes do.
  return end;
}

void EachLine(const std::string& path, const std::function<void(std::string_view)>& each) {
  File in(path, O_RDONLY);
  std::vector<char> buffer(kReadAtOnce + simdjson::SIMDJSON_PADDING);
  std::size_t size = 0;
  for (;;) {
    if (size + simdjson::SIMDJSON_PADDING == buffer.size()) {
      if (size >= kMaxLineSize) throw std::runtime_error(path + ": a line of over 1 MiB");
      buffer.resize(2 * buffer.size());
    }
    const std::size_t n = in.Read(buffer.data() + size, buffer.size() - simdjson::SIMDJSON_PADDING - size);
    size += n;
    std::string_view left(buffer.data(), size);
    for (std::size_t end = 0; (end = left.find('\n')) != std::string_view::npos;
         left.remove_prefix(end + 1)) {
      each(left.substr(0, end + 1));
    }
    if (n == 0) {
      if (!left.empty()) each(left);
      return;
    }
    std::memmove(buffer.data(), left.data(), left.size());
    size = left.size();
  }
}

ReconcileReport ReconcileFiles(const std::vector<std::string>& paths, unsigned threads) {
  namespace fs = std::filesystem;
  std::set<std::string> files;
  ReconcileReport all;
  for (const std::string& path : paths) {
    if (!fs::is_directory(path)) {
      files.insert(path);
      continue;
    }
    for (const auto& entry : fs::directory_iterator(path)) {
      if (entry.path().extension() == ".jsonl") files.insert(entry.path());
    }
  }
  std::map<std::pair<std::string, std::string>, std::vector<Part>> ledgers;
  std::set<std::string> relays;
  for (const std::string& file : files) {
    try {
      const FileHead head = ReadHead(FirstLine(file));
      ledgers[{head.relay, head.ledger_id}].push_back({head.first_seq, file});
      relays.insert(head.relay);
    } catch (const std::runtime_error& e) {
      ++all.files;
      all.Add({file, 1, 0, e.what()});
    }
  }
  std::vector<std::pair<const std::pair<std::string, std::string>*, std::vector<Part>*>> work;
  for (auto& [ledger_id, parts] : ledgers) {
    std::sort(parts.begin(), parts.end());
    work.emplace_back(&ledger_id, &parts);
  }
  std::atomic<std::size_t> next = 0;
  std::vector<ReconcileReport> results(std::max(1U, threads));
  std::vector<std::thread> pool;
  pool.reserve(results.size());
  for (ReconcileReport& result : results) {
    pool.emplace_back([&] {
      for (std::size_t k = 0; (k = next++) < work.size();) {
        ExportReader reader(work[k].first->first, work[k].first->second, result);
        for (const Part& part : *work[k].second) {
          reader.BeginFile(part.path);
          try {
            EachLine(part.path, [&](std::string_view line) { reader.Take(line); });
            reader.EndFile();
          } catch (const std::runtime_error& e) {
            result.Add({part.path, 0, 0, e.what()});
          }
        }
      }
    });
  }
  for (std::thread& t : pool) t.join();
  for (ReconcileReport& result : results) all.Merge(std::move(result));
  all.relays = relays.size();
  all.CheckPeriods();
  return all;
}

}  // namespace stoatrun::ledger
