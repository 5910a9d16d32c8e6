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

constexpr std::size_t kPayloadSize = kPageSize - kReservedBytes;

std::uint64_t PageChecksum(const char* page, std::uint64_t number) {
  return XXH3_64bits_withSeed(page, kPayloadSize, number);
}

struct VfsLayer {
  sqlite3_vfs vfs{};
  sqlite3_vfs* base = nullptr;
  std::string name;
};

struct CheckedFile {
  sqlite3_file file;
  bool checked;
  sqlite3_file* real;  // The file of the layer below; follows this struct in the memory that SQLite provides.
};

CheckedFile* AsChecked(sqlite3_file* file) { return reinterpret_cast<CheckedFile*>(file); }
sqlite3_file* RealFile(sqlite3_file* file) { return AsChecked(file)->real; }
sqlite3_vfs* BaseVfs(sqlite3_vfs* vfs) { return static_cast<VfsLayer*>(vfs->pAppData)->base; }

bool IsPage(int amount, sqlite3_int64 offset) { return amount == kPageSize && offset % kPageSize == 0; }

int Close(sqlite3_file* file) {
  return RealFile(file)->pMethods != nullptr ? RealFile(file)->pMethods->xClose(RealFile(file)) : SQLITE_OK;
}

int Read(sqlite3_file* file, void* data, int amount, sqlite3_int64 offset) {
  const int code = RealFile(file)->pMethods->xRead(RealFile(file), data, amount, offset);
  if (code != SQLITE_OK || !AsChecked(file)->checked || !IsPage(amount, offset)) return code;
  const std::string_view page(static_cast<const char*>(data), kPageSize);
  return IsPageValid(page, static_cast<std::uint64_t>(offset / kPageSize) + 1) ? SQLITE_OK
                                                                               : SQLITE_IOERR_DATA;
}

int Write(sqlite3_file* file, const void* from, int amount, sqlite3_int64 offset) {
  if (!AsChecked(file)->checked || !IsPage(amount, offset)) {
    return RealFile(file)->pMethods->xWrite(RealFile(file), from, amount, offset);
  }
  std::array<char, kPageSize> page;
  std::memcpy(page.data(), from, kPayloadSize);
  const std::uint64_t sum = PageChecksum(page.data(), static_cast<std::uint64_t>(offset / kPageSize) + 1);
  std::memcpy(page.data() + kPayloadSize, &sum, sizeof sum);
  return RealFile(file)->pMethods->xWrite(RealFile(file), page.data(), amount, offset);
}

int Truncate(sqlite3_file* file, sqlite3_int64 size) {
  return RealFile(file)->pMethods->xTruncate(RealFile(file), size);
}
int Sync(sqlite3_file* file, int flags) { return RealFile(file)->pMethods->xSync(RealFile(file), flags); }
int Size(sqlite3_file* file, sqlite3_int64* size) {
  return RealFile(file)->pMethods->xFileSize(RealFile(file), size);
}
int Lock(sqlite3_file* file, int level) { return RealFile(file)->pMethods->xLock(RealFile(file), level); }
int Unlock(sqlite3_file* file, int level) { return RealFile(file)->pMethods->xUnlock(RealFile(file), level); }
int Reserved(sqlite3_file* file, int* out) {
  return RealFile(file)->pMethods->xCheckReservedLock(RealFile(file), out);
}
int Control(sqlite3_file* file, int operation, void* arg) {
  return RealFile(file)->pMethods->xFileControl(RealFile(file), operation, arg);
}
int Sector(sqlite3_file* file) { return RealFile(file)->pMethods->xSectorSize(RealFile(file)); }
int Traits(sqlite3_file* file) {
  // No promise about parts of pages may reach SQLite: a checksum goes with the whole page.
  return RealFile(file)->pMethods->xDeviceCharacteristics(RealFile(file)) & ~(SQLITE_IOCAP_BATCH_ATOMIC);
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

int Open(sqlite3_vfs* vfs, const char* name, sqlite3_file* file, int flags, int* out_flags) {
  CheckedFile* checked_file = AsChecked(file);
  file->pMethods = nullptr;
  checked_file->real = reinterpret_cast<sqlite3_file*>(checked_file + 1);
  checked_file->checked = (flags & SQLITE_OPEN_MAIN_DB) != 0;
  const int code = BaseVfs(vfs)->xOpen(BaseVfs(vfs), name, checked_file->real, flags, out_flags);
  if (code == SQLITE_OK) file->pMethods = &kMethods;
  return code;
}

int Delete(sqlite3_vfs* vfs, const char* name, int sync) {
  return BaseVfs(vfs)->xDelete(BaseVfs(vfs), name, sync);
}
int Access(sqlite3_vfs* vfs, const char* name, int flags, int* out) {
  return BaseVfs(vfs)->xAccess(BaseVfs(vfs), name, flags, out);
}
int FullPath(sqlite3_vfs* vfs, const char* name, int size, char* out) {
  return BaseVfs(vfs)->xFullPathname(BaseVfs(vfs), name, size, out);
}
int Randomness(sqlite3_vfs* vfs, int size, char* out) {
  return BaseVfs(vfs)->xRandomness(BaseVfs(vfs), size, out);
}
int Sleep(sqlite3_vfs* vfs, int us) { return BaseVfs(vfs)->xSleep(BaseVfs(vfs), us); }
int CurrentTime(sqlite3_vfs* vfs, double* out) { return BaseVfs(vfs)->xCurrentTime(BaseVfs(vfs), out); }
int LastError(sqlite3_vfs* vfs, int size, char* out) {
  return BaseVfs(vfs)->xGetLastError(BaseVfs(vfs), size, out);
}

std::unique_ptr<VfsLayer> RegisterLayer(sqlite3_vfs* base) {
  auto layer = std::make_unique<VfsLayer>();
  layer->base = base;
  layer->name = std::string("checked-") + base->zName;
  sqlite3_vfs& vfs = layer->vfs;
  vfs.iVersion = 1;
  vfs.szOsFile = static_cast<int>(sizeof(CheckedFile)) + base->szOsFile;
  vfs.mxPathname = base->mxPathname;
  vfs.zName = layer->name.c_str();
  vfs.pAppData = layer.get();
  vfs.xOpen = Open;
  vfs.xDelete = Delete;
  vfs.xAccess = Access;
  vfs.xFullPathname = FullPath;
  vfs.xRandomness = Randomness;
  vfs.xSleep = Sleep;
  vfs.xCurrentTime = CurrentTime;
  vfs.xGetLastError = LastError;
  sqlite3_vfs_register(&vfs, 0);
  return layer;
}

}  // namespace

const char* CheckedVfs(const char* base_name) {
  static std::mutex mutex;
  static std::map<std::string, std::unique_ptr<VfsLayer>> layers;
  const std::scoped_lock lock(mutex);
  sqlite3_vfs* base = sqlite3_vfs_find(base_name);
  if (base == nullptr) {
    throw std::runtime_error(std::string("no VFS ") + (base_name != nullptr ? base_name : ""));
  }
  std::unique_ptr<VfsLayer>& layer = layers[base->zName];
  if (!layer || layer->base != base) {  // Tests register VFSs of one name again and again.
    if (layer) sqlite3_vfs_unregister(&layer->vfs);
    layer = RegisterLayer(base);
  }
  return layer->name.c_str();
}

void ReservePageChecksums(sqlite3* database) {
  int reserved = kReservedBytes;
  const int code = sqlite3_file_control(database, "main", SQLITE_FCNTL_RESERVE_BYTES, &reserved);
  if (code != SQLITE_OK) throw SqlError(code, "no room for checksums in the pages");
}

bool IsPageValid(std::string_view page, std::uint64_t number) {
  std::uint64_t sum = 0;
  std::memcpy(&sum, page.data() + kPayloadSize, sizeof sum);
  if (sum == PageChecksum(page.data(), number)) return true;
  return std::all_of(page.begin(), page.end(), [](char c) { return c == 0; });
}

std::optional<std::uint64_t> FindInvalidPage(sqlite3* database) {
  sqlite3_file* file = nullptr;
  sqlite3_int64 size = 0;
  int code = sqlite3_file_control(database, "main", SQLITE_FCNTL_FILE_POINTER, static_cast<void*>(&file));
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
