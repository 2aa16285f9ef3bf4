/* A disk that misbehaves, for one server: preloaded, it stands before write() for files whose names end in ".capture".
 * SLOW_DISK_MS: each write takes so long; SLOW_DISK_EVERY: only each n-th; SLOW_DISK_FULL_AFTER: bytes until it is full.
 * Used by load/recording-cost.sh. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static long figure(const char* name, long otherwise) {
  const char* text = getenv(name);
  return text ? atol(text) : otherwise;
}

static int is_capture(int fd) {
  char link[64], path[512];
  snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
  const ssize_t n = readlink(link, path, sizeof path - 1);
  if (n < 8) return 0;
  path[n] = 0;
  return strcmp(path + n - 8, ".capture") == 0;
}

ssize_t write(int fd, const void* bytes, size_t size) {
  static ssize_t (*real)(int, const void*, size_t);
  static long writes, written;
  if (!real) real = (ssize_t(*)(int, const void*, size_t))dlsym(RTLD_NEXT, "write");
  if (!is_capture(fd)) return real(fd, bytes, size);
  const long full = figure("SLOW_DISK_FULL_AFTER", -1), every = figure("SLOW_DISK_EVERY", 1);
  const long ms = figure("SLOW_DISK_MS", 0);
  if (ms > 0 && ++writes % every == 0) {
    const struct timespec rest = {ms / 1000, ms % 1000 * 1000000};
    nanosleep(&rest, NULL);
  }
  if (full >= 0 && written + (long)size > full) {
    errno = ENOSPC;
    return -1;
  }
  const ssize_t n = real(fd, bytes, size);
  if (n > 0) written += n;
  return n;
}
