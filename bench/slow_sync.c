// For LD_PRELOAD: every sync of a file takes 200 ms, as on a worn or remote disk.
#define _GNU_SOURCE
#include <dlfcn.h>
#include <time.h>

static int Slow(const char* name, int fd) {
  const struct timespec span = {0, 200 * 1000 * 1000};
  nanosleep(&span, 0);
  int (*real)(int) = (int (*)(int))dlsym(RTLD_NEXT, name);
  return real(fd);
}
int fsync(int fd) { return Slow("fsync", fd); }
int fdatasync(int fd) { return Slow("fdatasync", fd); }
