// LD_PRELOAD library that delays every fsync and fdatasync by 200 ms, like a worn or remote disk, and then calls
// the C library's function and returns its result.
#define _GNU_SOURCE
#include <dlfcn.h>
#include <time.h>

static int DelayedSync(const char* name, int fd) {
  const struct timespec delay = {0, 200 * 1000 * 1000};
  nanosleep(&delay, 0);
  int (*libc_sync)(int) = (int (*)(int))dlsym(RTLD_NEXT, name);
  return libc_sync(fd);
}
int fsync(int fd) { return DelayedSync("fsync", fd); }
int fdatasync(int fd) { return DelayedSync("fdatasync", fd); }
