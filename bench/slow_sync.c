// For LD_PRELOAD: delays every fsync and fdatasync by 200 ms, as a worn or remote disk does. The call itself
// is then made as usual, and its result returned.
#define _GNU_SOURCE
#include <dlfcn.h>
#include <time.h>

// Calls the C library's function `name` on `fd` after the delay.
static int DelayedSync(const char* name, int fd) {
  const struct timespec delay = {0, 200 * 1000 * 1000};
  nanosleep(&delay, 0);
  int (*real)(int) = (int (*)(int))dlsym(RTLD_NEXT, name);
  return real(fd);
}
int fsync(int fd) { return DelayedSync("fsync", fd); }
int fdatasync(int fd) { return DelayedSync("fdatasync", fd); }
