#include "standin/in_memory_disk.h"

#include <algorithm>
#include <cstring>
#include <new>
#include <utility>

namespace stoatrun::standin {
namespace {

constexpr std::size_t kSectorSize = 512;  // Sectors are written atomically.

// SQLite's handle of an open file.
struct OpenFile {
  sqlite3_file file;
  InMemoryDisk* disk;
  std::shared_ptr<InMemoryDisk::Content>* content;
};

OpenFile* AsOpenFile(sqlite3_file* file) { return reinterpret_cast<OpenFile*>(file); }
InMemoryDisk::Content& ContentOf(sqlite3_file* file) { return **AsOpenFile(file)->content; }

int Close(sqlite3_file* file) {
  delete AsOpenFile(file)->content;
  return SQLITE_OK;
}

int Read(sqlite3_file* file, void* data, int amount, sqlite3_int64 offset) {
  if (AsOpenFile(file)->disk->HasLostPower()) return SQLITE_IOERR_READ;
  const std::string& current = ContentOf(file).current;
  const auto at = std::min(static_cast<std::size_t>(offset), current.size());
  const std::size_t n = std::min(static_cast<std::size_t>(amount), current.size() - at);
  std::memcpy(data, current.data() + at, n);
  std::memset(static_cast<char*>(data) + n, 0, static_cast<std::size_t>(amount) - n);
  return n == static_cast<std::size_t>(amount) ? SQLITE_OK : SQLITE_IOERR_SHORT_READ;
}

int Change(sqlite3_file* file, InMemoryDisk::Change change) {
  bool partial = false;
  const int code = AsOpenFile(file)->disk->CountChange(&partial);
  if (code != SQLITE_OK && !partial) return code;
  InMemoryDisk::Content& content = ContentOf(file);
  if (partial && !change.truncate) {  // Only a prefix reached the disk.
    change.bytes.resize(AsOpenFile(file)->disk->random() % (change.bytes.size() + 1));
  }
  content.Apply(change, content.current);
  content.unsynced.push_back(std::move(change));
  return code;
}

int Write(sqlite3_file* file, const void* from, int amount, sqlite3_int64 offset) {
  return Change(
      file, {offset, std::string(static_cast<const char*>(from), static_cast<std::size_t>(amount)), false});
}
int Truncate(sqlite3_file* file, sqlite3_int64 size) { return Change(file, {size, {}, true}); }
int Sync(sqlite3_file* file, int /*flags*/) { return AsOpenFile(file)->disk->Sync(ContentOf(file)); }
int FileSize(sqlite3_file* file, sqlite3_int64* size) {
  *size = static_cast<sqlite3_int64>(ContentOf(file).current.size());
  return SQLITE_OK;
}
int Lock(sqlite3_file* /*file*/, int /*level*/) { return SQLITE_OK; }  // Tests use one connection at a time.
int CheckReservedLock(sqlite3_file* /*file*/, int* out) {
  *out = 0;
  return SQLITE_OK;
}
int FileControl(sqlite3_file* /*file*/, int /*op*/, void* /*arg*/) { return SQLITE_NOTFOUND; }
int SectorSize(sqlite3_file* /*file*/) { return static_cast<int>(kSectorSize); }
int DeviceCharacteristics(sqlite3_file* /*file*/) { return 0; }

constexpr sqlite3_io_methods kMethods = {
    .iVersion = 1,
    .xClose = Close,
    .xRead = Read,
    .xWrite = Write,
    .xTruncate = Truncate,
    .xSync = ::stoatrun::standin::Sync,
    .xFileSize = FileSize,
    .xLock = Lock,
    .xUnlock = Lock,
    .xCheckReservedLock = CheckReservedLock,
    .xFileControl = FileControl,
    .xSectorSize = SectorSize,
    .xDeviceCharacteristics = DeviceCharacteristics,
    .xShmMap = nullptr,
    .xShmLock = nullptr,
    .xShmBarrier = nullptr,
    .xShmUnmap = nullptr,
    .xFetch = nullptr,
    .xUnfetch = nullptr,
};

InMemoryDisk& DiskOf(sqlite3_vfs* vfs) { return *static_cast<InMemoryDisk*>(vfs->pAppData); }

int Open(sqlite3_vfs* vfs, const char* name, sqlite3_file* file, int flags, int* out_flags) {
  InMemoryDisk& disk = DiskOf(vfs);
  file->pMethods = nullptr;
  const std::string key = name != nullptr ? name : "";
  auto it = disk.files.find(key);
  if (disk.HasLostPower()) return SQLITE_CANTOPEN;
  if (it == disk.files.end()) {
    if ((flags & SQLITE_OPEN_CREATE) == 0) return SQLITE_CANTOPEN;
    if (const int code = disk.CountChange(); code != SQLITE_OK) return code;
    it = disk.files.emplace(key, std::make_shared<InMemoryDisk::Content>()).first;
  }
  OpenFile* open_file = AsOpenFile(file);
  open_file->disk = &disk;
  open_file->content = new std::shared_ptr<InMemoryDisk::Content>(it->second);
  file->pMethods = &kMethods;
  if (out_flags != nullptr) *out_flags = flags;
  return SQLITE_OK;
}

// Deleting the synced journal commits a transaction. The deletion counts as durable at once, since the store
// has SQLite sync the folder with it (PRAGMA synchronous = EXTRA).
int Delete(sqlite3_vfs* vfs, const char* name, int /*sync_folder*/) {
  InMemoryDisk& disk = DiskOf(vfs);
  if (!disk.files.contains(name)) return SQLITE_IOERR_DELETE_NOENT;
  bool partial = false;
  const int code = disk.CountChange(&partial);
  if (code == SQLITE_OK || (partial && disk.random() % 2 == 0)) disk.files.erase(name);
  return code;
}

int Access(sqlite3_vfs* vfs, const char* name, int /*flags*/, int* out) {
  *out = DiskOf(vfs).files.contains(name) ? 1 : 0;
  return DiskOf(vfs).HasLostPower() ? SQLITE_IOERR_ACCESS : SQLITE_OK;
}

int FullPathname(sqlite3_vfs* /*vfs*/, const char* name, int size, char* out) {
  sqlite3_snprintf(size, out, "%s", name);
  return SQLITE_OK;
}
int Randomness(sqlite3_vfs* /*vfs*/, int size, char* out) {
  std::memset(out, 7, static_cast<std::size_t>(size));
  return size;
}
int Sleep(sqlite3_vfs* /*vfs*/, int us) { return us; }
int CurrentTime(sqlite3_vfs* /*vfs*/, double* out) {
  *out = 2'460'000.0;
  return SQLITE_OK;
}
int GetLastError(sqlite3_vfs* /*vfs*/, int /*size*/, char* /*out*/) { return SQLITE_OK; }

}  // namespace

struct InMemoryDisk::VfsRegistration {
  sqlite3_vfs vfs{};
};

InMemoryDisk::InMemoryDisk(std::string name)
    : name_(std::move(name)), registration_(std::make_unique<VfsRegistration>()) {
  sqlite3_vfs& vfs = registration_->vfs;
  vfs.iVersion = 1;
  vfs.szOsFile = sizeof(OpenFile);
  vfs.mxPathname = 512;
  vfs.zName = name_.c_str();
  vfs.pAppData = this;
  vfs.xOpen = Open;
  vfs.xDelete = Delete;
  vfs.xAccess = Access;
  vfs.xFullPathname = FullPathname;
  vfs.xRandomness = Randomness;
  vfs.xSleep = ::stoatrun::standin::Sleep;
  vfs.xCurrentTime = CurrentTime;
  vfs.xGetLastError = GetLastError;
  sqlite3_vfs_register(&vfs, 0);
}

InMemoryDisk::~InMemoryDisk() { sqlite3_vfs_unregister(&registration_->vfs); }

void InMemoryDisk::Content::Apply(const Change& change, std::string& target) const {
  const auto at = static_cast<std::size_t>(change.offset);
  if (change.truncate) {
    target.resize(std::min(target.size(), at));
    return;
  }
  if (target.size() < at + change.bytes.size()) target.resize(at + change.bytes.size());
  change.bytes.copy(target.data() + at, change.bytes.size());
}

int InMemoryDisk::CountChange(bool* partial) {
  if (power_lost_) return SQLITE_IOERR;
  ++change_count_;
  if (change_count_ == power_loss_at_) {
    power_lost_ = true;
    if (partial != nullptr) *partial = true;
    return SQLITE_IOERR;
  }
  if (change_count_ == one_time_fail_at_) return one_time_fail_code_;
  return persistent_fail_code_;
}

int InMemoryDisk::Sync(Content& content) {
  {
    std::unique_lock lock(mutex_);
    syncs_unblocked_.wait(lock, [this] { return !syncs_blocked_; });
  }
  if (const int code = CountChange(); code != SQLITE_OK) return code;
  content.synced = content.current;
  content.unsynced.clear();
  return SQLITE_OK;
}

void InMemoryDisk::PowerOn(std::uint64_t seed) {
  random.seed(seed);
  power_lost_ = false;
  power_loss_at_ = one_time_fail_at_ = 0;
  for (auto& [name, content] : files) {
    auto after = std::make_shared<Content>();
    after->synced = content->synced;
    for (const Change& change : content->unsynced) {
      if (change.truncate) {
        if (random() % 2 == 0) content->Apply(change, after->synced);
        continue;
      }
      // Each sector is kept or lost on its own.
      for (std::size_t at = 0; at < change.bytes.size(); at += kSectorSize) {
        if (random() % 2 == 0) continue;
        content->Apply(
            {change.offset + static_cast<sqlite3_int64>(at), change.bytes.substr(at, kSectorSize), false},
            after->synced);
      }
    }
    after->current = after->synced;
    content = after;
  }
}

void InMemoryDisk::BlockSyncs() {
  const std::scoped_lock lock(mutex_);
  syncs_blocked_ = true;
}

void InMemoryDisk::UnblockSyncs() {
  {
    const std::scoped_lock lock(mutex_);
    syncs_blocked_ = false;
  }
  syncs_unblocked_.notify_all();
}

}  // namespace stoatrun::standin
