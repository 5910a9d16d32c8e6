#include "standin/in_memory_disk.h"

#include <algorithm>
#include <cstring>
#include <new>
#include <utility>

namespace stoatrun::standin {
namespace {

constexpr std::size_t kSector = 512;  // What a disk writes whole or not at all.

struct OpenFile {
  sqlite3_file file;
  InMemoryDisk* disk;
  std::shared_ptr<InMemoryDisk::Content>* content;
  int lock;
};

OpenFile* Of(sqlite3_file* f) { return reinterpret_cast<OpenFile*>(f); }
InMemoryDisk::Content& ContentOf(sqlite3_file* f) { return **Of(f)->content; }

int Close(sqlite3_file* f) {
  delete Of(f)->content;
  return SQLITE_OK;
}

int Read(sqlite3_file* f, void* to, int amount, sqlite3_int64 offset) {
  if (Of(f)->disk->Lost()) return SQLITE_IOERR_READ;
  const std::string& now = ContentOf(f).now;
  const auto at = std::min(static_cast<std::size_t>(offset), now.size());
  const std::size_t n = std::min(static_cast<std::size_t>(amount), now.size() - at);
  std::memcpy(to, now.data() + at, n);
  std::memset(static_cast<char*>(to) + n, 0, static_cast<std::size_t>(amount) - n);
  return n == static_cast<std::size_t>(amount) ? SQLITE_OK : SQLITE_IOERR_SHORT_READ;
}

int Change(sqlite3_file* f, InMemoryDisk::Change change) {
  bool part = false;
  const int code = Of(f)->disk->Step(&part);
  if (code != SQLITE_OK && !part) return code;
  InMemoryDisk::Content& c = ContentOf(f);
  if (part && !change.truncate) {  // A prefix made it.
    change.bytes.resize(Of(f)->disk->random() % (change.bytes.size() + 1));
  }
  c.Apply(change, c.now);
  c.unsynced.push_back(std::move(change));
  return code;
}

int Write(sqlite3_file* f, const void* from, int amount, sqlite3_int64 offset) {
  return Change(
      f, {offset, std::string(static_cast<const char*>(from), static_cast<std::size_t>(amount)), false});
}
int Truncate(sqlite3_file* f, sqlite3_int64 size) { return Change(f, {size, {}, true}); }
int Sync(sqlite3_file* f, int /*flags*/) { return Of(f)->disk->Sync(ContentOf(f)); }
int Size(sqlite3_file* f, sqlite3_int64* size) {
  *size = static_cast<sqlite3_int64>(ContentOf(f).now.size());
  return SQLITE_OK;
}
int Lock(sqlite3_file* /*f*/, int /*level*/) { return SQLITE_OK; }  // One connection at a time.
int Reserved(sqlite3_file* /*f*/, int* out) {
  *out = 0;
  return SQLITE_OK;
}
int Control(sqlite3_file* /*f*/, int /*op*/, void* /*arg*/) { return SQLITE_NOTFOUND; }
int Sector(sqlite3_file* /*f*/) { return static_cast<int>(kSector); }
int Traits(sqlite3_file* /*f*/) { return 0; }

constexpr sqlite3_io_methods kMethods = {
    1,      Close,   Read,    Write,    Truncate, ::stoatrun::standin::Sync,
    Size,   Lock,    Lock,    Reserved, Control,  Sector,
    Traits, nullptr, nullptr, nullptr,  nullptr,  nullptr,
    nullptr};

InMemoryDisk& DiskOf(sqlite3_vfs* v) { return *static_cast<InMemoryDisk*>(v->pAppData); }

int Open(sqlite3_vfs* v, const char* name, sqlite3_file* f, int flags, int* out_flags) {
  InMemoryDisk& disk = DiskOf(v);
  f->pMethods = nullptr;
  const std::string key = name != nullptr ? name : "";
  auto it = disk.files.find(key);
  if (disk.Lost()) return SQLITE_CANTOPEN;
  if (it == disk.files.end()) {
    if ((flags & SQLITE_OPEN_CREATE) == 0) return SQLITE_CANTOPEN;
    if (const int code = disk.Step(); code != SQLITE_OK) return code;
    it = disk.files.emplace(key, std::make_shared<InMemoryDisk::Content>()).first;
  }
  OpenFile* file = Of(f);
  file->disk = &disk;
  file->content = new std::shared_ptr<InMemoryDisk::Content>(it->second);
  file->lock = 0;
  f->pMethods = &kMethods;
  if (out_flags != nullptr) *out_flags = flags;
  return SQLITE_OK;
}

// The deletion of a synced journal is the moment of a commit; the store asks for the folder's sync with it.
int Delete(sqlite3_vfs* v, const char* name, int /*sync_folder*/) {
  InMemoryDisk& disk = DiskOf(v);
  if (!disk.files.contains(name)) return SQLITE_IOERR_DELETE_NOENT;
  bool part = false;
  const int code = disk.Step(&part);
  if (code == SQLITE_OK || (part && disk.random() % 2 == 0)) disk.files.erase(name);
  return code;
}

int Access(sqlite3_vfs* v, const char* name, int /*flags*/, int* out) {
  *out = DiskOf(v).files.contains(name) ? 1 : 0;
  return DiskOf(v).Lost() ? SQLITE_IOERR_ACCESS : SQLITE_OK;
}

int FullPath(sqlite3_vfs* /*v*/, const char* name, int size, char* out) {
  sqlite3_snprintf(size, out, "%s", name);
  return SQLITE_OK;
}
int Randomness(sqlite3_vfs* /*v*/, int size, char* out) {
  std::memset(out, 7, static_cast<std::size_t>(size));
  return size;
}
int Sleep(sqlite3_vfs* /*v*/, int us) { return us; }
int CurrentTime(sqlite3_vfs* /*v*/, double* out) {
  *out = 2'460'000.0;
  return SQLITE_OK;
}
int LastError(sqlite3_vfs* /*v*/, int /*size*/, char* /*out*/) { return SQLITE_OK; }

}  // namespace

struct InMemoryDisk::Registered {
  sqlite3_vfs vfs{};
};

InMemoryDisk::InMemoryDisk(std::string name)
    : name_(std::move(name)), registered_(std::make_unique<Registered>()) {
  sqlite3_vfs& v = registered_->vfs;
  v.iVersion = 1;
  v.szOsFile = sizeof(OpenFile);
  v.mxPathname = 512;
  v.zName = name_.c_str();
  v.pAppData = this;
  v.xOpen = Open;
  v.xDelete = Delete;
  v.xAccess = Access;
  v.xFullPathname = FullPath;
  v.xRandomness = Randomness;
  v.xSleep = ::stoatrun::standin::Sleep;
  v.xCurrentTime = CurrentTime;
  v.xGetLastError = LastError;
  sqlite3_vfs_register(&v, 0);
}

InMemoryDisk::~InMemoryDisk() { sqlite3_vfs_unregister(&registered_->vfs); }

void InMemoryDisk::Content::Apply(const Change& change, std::string& to) const {
  const auto at = static_cast<std::size_t>(change.offset);
  if (change.truncate) {
    to.resize(std::min(to.size(), at));
    return;
  }
  if (to.size() < at + change.bytes.size()) to.resize(at + change.bytes.size());
  change.bytes.copy(to.data() + at, change.bytes.size());
}

int InMemoryDisk::Step(bool* part) {
  if (lost_) return SQLITE_IOERR;
  ++changes_;
  if (changes_ == power_) {
    lost_ = true;
    if (part != nullptr) *part = true;
    return SQLITE_IOERR;
  }
  if (changes_ == fail_at_) return fail_code_;
  return failure_code_;
}

int InMemoryDisk::Sync(Content& content) {
  {
    std::unique_lock lock(guard_);
    released_.wait(lock, [this] { return !stalled_; });
  }
  if (const int code = Step(); code != SQLITE_OK) return code;
  content.synced = content.now;
  content.unsynced.clear();
  return SQLITE_OK;
}

void InMemoryDisk::PowerOn(std::uint64_t seed) {
  random.seed(seed);
  lost_ = false;
  power_ = fail_at_ = 0;
  for (auto& [name, content] : files) {
    auto after = std::make_shared<Content>();
    after->synced = content->synced;
    for (const Change& change : content->unsynced) {
      if (change.truncate) {
        if (random() % 2 == 0) content->Apply(change, after->synced);
        continue;
      }
      for (std::size_t at = 0; at < change.bytes.size(); at += kSector) {  // Each sector for itself.
        if (random() % 2 == 0) continue;
        content->Apply(
            {change.offset + static_cast<sqlite3_int64>(at), change.bytes.substr(at, kSector), false},
            after->synced);
      }
    }
    after->now = after->synced;
    content = after;
  }
}

void InMemoryDisk::Stall() {
  const std::scoped_lock lock(guard_);
  stalled_ = true;
}

void InMemoryDisk::Release() {
  {
    const std::scoped_lock lock(guard_);
    stalled_ = false;
  }
  released_.notify_all();
}

}  // namespace stoatrun::standin
