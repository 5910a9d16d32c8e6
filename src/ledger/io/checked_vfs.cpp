#include "ledger/io/checked_vfs.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>

#include "ledger/io/sqlite.h"

namespace stoatrun::ledger {
namespace {

constexpr std::size_t kBody = kPageSize - kReserved;

std::uint64_t Sum(const char* page, std::uint64_t number) {
  return XXH3_64bits_withSeed(page, kBody, number);
}

struct Layer {
  sqlite3_vfs vfs{};
  sqlite3_vfs* base = nullptr;
  std::string name;
};

struct CheckedFile {
  sqlite3_file file;
  bool checked;
  sqlite3_file* real;  // Behind this one, in the memory that SQLite gives.
};

CheckedFile* Of(sqlite3_file* f) { return reinterpret_cast<CheckedFile*>(f); }
sqlite3_file* Real(sqlite3_file* f) { return Of(f)->real; }
sqlite3_vfs* Base(sqlite3_vfs* v) { return static_cast<Layer*>(v->pAppData)->base; }

bool IsPage(int amount, sqlite3_int64 offset) { return amount == kPageSize && offset % kPageSize == 0; }

int Close(sqlite3_file* f) {
  return Real(f)->pMethods != nullptr ? Real(f)->pMethods->xClose(Real(f)) : SQLITE_OK;
}

int Read(sqlite3_file* f, void* to, int amount, sqlite3_int64 offset) {
  const int code = Real(f)->pMethods->xRead(Real(f), to, amount, offset);
  if (code != SQLITE_OK || !Of(f)->checked || !IsPage(amount, offset)) return code;
  const std::string_view page(static_cast<const char*>(to), kPageSize);
  return IsPageValid(page, static_cast<std::uint64_t>(offset / kPageSize) + 1) ? SQLITE_OK
                                                                               : SQLITE_IOERR_DATA;
}

int Write(sqlite3_file* f, const void* from, int amount, sqlite3_int64 offset) {
  if (!Of(f)->checked || !IsPage(amount, offset)) {
    return Real(f)->pMethods->xWrite(Real(f), from, amount, offset);
  }
  std::array<char, kPageSize> page;
  std::memcpy(page.data(), from, kBody);
  const std::uint64_t sum = Sum(page.data(), static_cast<std::uint64_t>(offset / kPageSize) + 1);
  std::memcpy(page.data() + kBody, &sum, sizeof sum);
  return Real(f)->pMethods->xWrite(Real(f), page.data(), amount, offset);
}

int Truncate(sqlite3_file* f, sqlite3_int64 size) { return Real(f)->pMethods->xTruncate(Real(f), size); }
int Sync(sqlite3_file* f, int flags) { return Real(f)->pMethods->xSync(Real(f), flags); }
int Size(sqlite3_file* f, sqlite3_int64* size) { return Real(f)->pMethods->xFileSize(Real(f), size); }
int Lock(sqlite3_file* f, int level) { return Real(f)->pMethods->xLock(Real(f), level); }
int Unlock(sqlite3_file* f, int level) { return Real(f)->pMethods->xUnlock(Real(f), level); }
int Reserved(sqlite3_file* f, int* out) { return Real(f)->pMethods->xCheckReservedLock(Real(f), out); }
int Control(sqlite3_file* f, int op, void* arg) { return Real(f)->pMethods->xFileControl(Real(f), op, arg); }
int Sector(sqlite3_file* f) { return Real(f)->pMethods->xSectorSize(Real(f)); }
int Traits(sqlite3_file* f) {
  // No promise about parts of pages may reach SQLite: a checksum goes with the whole page.
  return Real(f)->pMethods->xDeviceCharacteristics(Real(f)) & ~(SQLITE_IOCAP_BATCH_ATOMIC);
}

constexpr sqlite3_io_methods kMethods = {
    .iVersion = 1,  // No shared memory and no mapped reads: they would pass by the check.
    .xClose = Close,
    .xRead = Read,
    .xWrite = Write,
    .xTruncate = Truncate,
    .xSync = Sync,
    .xFileSize = Size,
    .xLock = Lock,
    .xUnlock = Unlock,
    .xCheckReservedLock = Reserved,
    .xFileControl = Control,
    .xSectorSize = Sector,
    .xDeviceCharacteristics = Traits,
    .xShmMap = nullptr,
    .xShmLock = nullptr,
    .xShmBarrier = nullptr,
    .xShmUnmap = nullptr,
    .xFetch = nullptr,
    .xUnfetch = nullptr,
};

int Open(sqlite3_vfs* v, const char* name, sqlite3_file* f, int flags, int* out_flags) {
  CheckedFile* file = Of(f);
  file->file.pMethods = nullptr;
  file->real = reinterpret_cast<sqlite3_file*>(file + 1);
  file->checked = (flags & SQLITE_OPEN_MAIN_DB) != 0;
  const int code = Base(v)->xOpen(Base(v), name, file->real, flags, out_flags);
  if (code == SQLITE_OK) file->file.pMethods = &kMethods;
  return code;
}

int Delete(sqlite3_vfs* v, const char* name, int sync) { return Base(v)->xDelete(Base(v), name, sync); }
int Access(sqlite3_vfs* v, const char* name, int flags, int* out) {
  return Base(v)->xAccess(Base(v), name, flags, out);
}
int FullPath(sqlite3_vfs* v, const char* name, int size, char* out) {
  return Base(v)->xFullPathname(Base(v), name, size, out);
}
int Randomness(sqlite3_vfs* v, int size, char* out) { return Base(v)->xRandomness(Base(v), size, out); }
int Sleep(sqlite3_vfs* v, int us) { return Base(v)->xSleep(Base(v), us); }
int CurrentTime(sqlite3_vfs* v, double* out) { return Base(v)->xCurrentTime(Base(v), out); }
int LastError(sqlite3_vfs* v, int size, char* out) { return Base(v)->xGetLastError(Base(v), size, out); }

}  // namespace

const char* CheckedVfs(const char* base) {
  static std::mutex guard;
  static std::map<std::string, std::unique_ptr<Layer>> layers;
  const std::scoped_lock lock(guard);
  sqlite3_vfs* below = sqlite3_vfs_find(base);
  if (below == nullptr) throw std::runtime_error(std::string("no VFS ") + (base != nullptr ? base : ""));
  std::unique_ptr<Layer>& layer = layers[below->zName];
  if (!layer || layer->base != below) {
    if (layer) sqlite3_vfs_unregister(&layer->vfs);
    layer = std::make_unique<Layer>();
    layer->base = below;
    layer->name = std::string("checked-") + below->zName;
    sqlite3_vfs& v = layer->vfs;
    v.iVersion = 1;
    v.szOsFile = static_cast<int>(sizeof(CheckedFile)) + below->szOsFile;
    v.mxPathname = below->mxPathname;
    v.zName = layer->name.c_str();
    v.pAppData = layer.get();
    v.xOpen = Open;
    v.xDelete = Delete;
    v.xAccess = Access;
    v.xFullPathname = FullPath;
    v.xRandomness = Randomness;
    v.xSleep = Sleep;
    v.xCurrentTime = CurrentTime;
    v.xGetLastError = LastError;
    sqlite3_vfs_register(&v, 0);
  }
  return layer->name.c_str();
}

void Prepare(sqlite3* db) {
  int reserved = kReserved;
  const int code = sqlite3_file_control(db, "main", SQLITE_FCNTL_RESERVE_BYTES, &reserved);
  if (code != SQLITE_OK) throw SqlError(code, "no room for checksums in the pages");
}

bool IsPageValid(std::string_view page, std::uint64_t number) {
  std::uint64_t sum = 0;
  std::memcpy(&sum, page.data() + kBody, sizeof sum);
  if (sum == Sum(page.data(), number)) return true;
  return std::all_of(page.begin(), page.end(), [](char c) { return c == 0; });
}

std::optional<std::uint64_t> FindInvalidPage(sqlite3* db) {
  sqlite3_file* file = nullptr;
  sqlite3_int64 size = 0;
  int code = sqlite3_file_control(db, "main", SQLITE_FCNTL_FILE_POINTER, static_cast<void*>(&file));
  if (code == SQLITE_OK) code = file->pMethods->xFileSize(file, &size);
  if (code != SQLITE_OK) throw SqlError(code, "the file can't be read");
  std::array<char, kPageSize> page;
  for (sqlite3_int64 at = 0; at < size; at += kPageSize) {
    code = file->pMethods->xRead(file, page.data(), kPageSize, at);
    if (code == SQLITE_IOERR_DATA || code == SQLITE_IOERR_SHORT_READ) return at / kPageSize + 1;
    if (code != SQLITE_OK) throw SqlError(code, "the file can't be read");
  }
  return std::nullopt;
}

}  // namespace stoatrun::ledger
