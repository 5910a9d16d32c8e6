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

struct VfsShim {
  sqlite3_vfs vfs{};
  sqlite3_vfs* base = nullptr;
  std::string name;
};

struct CheckedFile {
  sqlite3_file file;
  bool checked;        // Only the main database has page checksums.
  sqlite3_file* base;  // The base VFS's file, located after this struct in the memory that SQLite allocates.
};

CheckedFile* AsCheckedFile(sqlite3_file* file) { return reinterpret_cast<CheckedFile*>(file); }
sqlite3_file* BaseFile(sqlite3_file* file) { return AsCheckedFile(file)->base; }
sqlite3_vfs* BaseVfs(sqlite3_vfs* vfs) { return static_cast<VfsShim*>(vfs->pAppData)->base; }

bool IsWholePage(int amount, sqlite3_int64 offset) { return amount == kPageSize && offset % kPageSize == 0; }

int Close(sqlite3_file* file) {
  return BaseFile(file)->pMethods != nullptr ? BaseFile(file)->pMethods->xClose(BaseFile(file)) : SQLITE_OK;
}

int Read(sqlite3_file* file, void* data, int amount, sqlite3_int64 offset) {
  const int code = BaseFile(file)->pMethods->xRead(BaseFile(file), data, amount, offset);
  if (code != SQLITE_OK || !AsCheckedFile(file)->checked || !IsWholePage(amount, offset)) return code;
  const std::string_view page(static_cast<const char*>(data), kPageSize);
  return IsPageValid(page, static_cast<std::uint64_t>(offset / kPageSize) + 1) ? SQLITE_OK
                                                                               : SQLITE_IOERR_DATA;
}

int Write(sqlite3_file* file, const void* from, int amount, sqlite3_int64 offset) {
  if (!AsCheckedFile(file)->checked || !IsWholePage(amount, offset)) {
    return BaseFile(file)->pMethods->xWrite(BaseFile(file), from, amount, offset);
  }
  std::array<char, kPageSize> page;
  std::memcpy(page.data(), from, kPayloadSize);
  const std::uint64_t checksum =
      PageChecksum(page.data(), static_cast<std::uint64_t>(offset / kPageSize) + 1);
  std::memcpy(page.data() + kPayloadSize, &checksum, sizeof checksum);
  return BaseFile(file)->pMethods->xWrite(BaseFile(file), page.data(), amount, offset);
}

int Truncate(sqlite3_file* file, sqlite3_int64 size) {
  return BaseFile(file)->pMethods->xTruncate(BaseFile(file), size);
}
int Sync(sqlite3_file* file, int flags) { return BaseFile(file)->pMethods->xSync(BaseFile(file), flags); }
int FileSize(sqlite3_file* file, sqlite3_int64* size) {
  return BaseFile(file)->pMethods->xFileSize(BaseFile(file), size);
}
int Lock(sqlite3_file* file, int level) { return BaseFile(file)->pMethods->xLock(BaseFile(file), level); }
int Unlock(sqlite3_file* file, int level) { return BaseFile(file)->pMethods->xUnlock(BaseFile(file), level); }
int CheckReservedLock(sqlite3_file* file, int* out) {
  return BaseFile(file)->pMethods->xCheckReservedLock(BaseFile(file), out);
}
int FileControl(sqlite3_file* file, int operation, void* arg) {
  return BaseFile(file)->pMethods->xFileControl(BaseFile(file), operation, arg);
}
int SectorSize(sqlite3_file* file) { return BaseFile(file)->pMethods->xSectorSize(BaseFile(file)); }
int DeviceCharacteristics(sqlite3_file* file) {
  // SQLite must not rely on guarantees about parts of pages: a checksum covers the whole page.
  return BaseFile(file)->pMethods->xDeviceCharacteristics(BaseFile(file)) & ~(SQLITE_IOCAP_BATCH_ATOMIC);
}

constexpr sqlite3_io_methods kMethods = {
    .iVersion = 1,  // No shared memory and no memory-mapped reads: they would bypass the checksum.
    .xClose = Close,
    .xRead = Read,
    .xWrite = Write,
    .xTruncate = Truncate,
    .xSync = Sync,
    .xFileSize = FileSize,
    .xLock = Lock,
    .xUnlock = Unlock,
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

int Open(sqlite3_vfs* vfs, const char* name, sqlite3_file* file, int flags, int* out_flags) {
  CheckedFile* checked_file = AsCheckedFile(file);
  file->pMethods = nullptr;
  checked_file->base = reinterpret_cast<sqlite3_file*>(checked_file + 1);
  checked_file->checked = (flags & SQLITE_OPEN_MAIN_DB) != 0;
  const int code = BaseVfs(vfs)->xOpen(BaseVfs(vfs), name, checked_file->base, flags, out_flags);
  if (code == SQLITE_OK) file->pMethods = &kMethods;
  return code;
}

int Delete(sqlite3_vfs* vfs, const char* name, int sync) {
  return BaseVfs(vfs)->xDelete(BaseVfs(vfs), name, sync);
}
int Access(sqlite3_vfs* vfs, const char* name, int flags, int* out) {
  return BaseVfs(vfs)->xAccess(BaseVfs(vfs), name, flags, out);
}
int FullPathname(sqlite3_vfs* vfs, const char* name, int size, char* out) {
  return BaseVfs(vfs)->xFullPathname(BaseVfs(vfs), name, size, out);
}
int Randomness(sqlite3_vfs* vfs, int size, char* out) {
  return BaseVfs(vfs)->xRandomness(BaseVfs(vfs), size, out);
}
int Sleep(sqlite3_vfs* vfs, int us) { return BaseVfs(vfs)->xSleep(BaseVfs(vfs), us); }
int CurrentTime(sqlite3_vfs* vfs, double* out) { return BaseVfs(vfs)->xCurrentTime(BaseVfs(vfs), out); }
int GetLastError(sqlite3_vfs* vfs, int size, char* out) {
  return BaseVfs(vfs)->xGetLastError(BaseVfs(vfs), size, out);
}

std::unique_ptr<VfsShim> RegisterShim(sqlite3_vfs* base) {
  auto shim = std::make_unique<VfsShim>();
  shim->base = base;
  shim->name = std::string("checked-") + base->zName;
  sqlite3_vfs& vfs = shim->vfs;
  vfs.iVersion = 1;
  vfs.szOsFile = static_cast<int>(sizeof(CheckedFile)) + base->szOsFile;
  vfs.mxPathname = base->mxPathname;
  vfs.zName = shim->name.c_str();
  vfs.pAppData = shim.get();
  vfs.xOpen = Open;
  vfs.xDelete = Delete;
  vfs.xAccess = Access;
  vfs.xFullPathname = FullPathname;
  vfs.xRandomness = Randomness;
  vfs.xSleep = Sleep;
  vfs.xCurrentTime = CurrentTime;
  vfs.xGetLastError = GetLastError;
  sqlite3_vfs_register(&vfs, 0);
  return shim;
}

}  // namespace

const char* CheckedVfsName(const char* base_name) {
  static std::mutex mutex;
  static std::map<std::string, std::unique_ptr<VfsShim>> shims;
  const std::scoped_lock lock(mutex);
  sqlite3_vfs* base = sqlite3_vfs_find(base_name);
  if (base == nullptr) {
    throw std::runtime_error(std::string("SQLite has no VFS named ") +
                             (base_name != nullptr ? base_name : "(default)"));
  }
  std::unique_ptr<VfsShim>& shim = shims[base->zName];
  if (!shim || shim->base != base) {  // Tests replace a VFS by another of the same name.
    if (shim) sqlite3_vfs_unregister(&shim->vfs);
    shim = RegisterShim(base);
  }
  return shim->name.c_str();
}

void ReservePageChecksums(sqlite3* database) {
  int reserved = kReservedBytes;
  const int code = sqlite3_file_control(database, "main", SQLITE_FCNTL_RESERVE_BYTES, &reserved);
  if (code != SQLITE_OK) throw SqlError(code, "cannot reserve space for page checksums");
}

bool IsPageValid(std::string_view page, std::uint64_t number) {
  std::uint64_t checksum = 0;
  std::memcpy(&checksum, page.data() + kPayloadSize, sizeof checksum);
  if (checksum == PageChecksum(page.data(), number)) return true;
  return std::all_of(page.begin(), page.end(), [](char c) { return c == 0; });
}

std::optional<std::uint64_t> FindInvalidPage(sqlite3* database) {
  sqlite3_file* file = nullptr;
  sqlite3_int64 size = 0;
  int code = sqlite3_file_control(database, "main", SQLITE_FCNTL_FILE_POINTER, static_cast<void*>(&file));
  if (code == SQLITE_OK) code = file->pMethods->xFileSize(file, &size);
  if (code != SQLITE_OK) throw SqlError(code, "cannot determine the size of the database file");
  std::array<char, kPageSize> page;
  for (sqlite3_int64 offset = 0; offset < size; offset += kPageSize) {
    code = file->pMethods->xRead(file, page.data(), kPageSize, offset);
    if (code == SQLITE_IOERR_DATA || code == SQLITE_IOERR_SHORT_READ) return offset / kPageSize + 1;
    if (code != SQLITE_OK) {
      throw SqlError(code, "cannot read page " + std::to_string(offset / kPageSize + 1));
    }
  }
  return std::nullopt;
}

}  // namespace stoatrun::ledger
