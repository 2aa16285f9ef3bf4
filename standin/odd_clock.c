/* Clocks that misbehave, and a stop at the worst moment, for one server: preloaded, it is told what to do by a page of
 * memory that the rig writes (ODD_CLOCK names its file; fleet/rig.cpp has the same layout).
 * - CLOCK_BOOTTIME and, if asked, CLOCK_MONOTONIC_RAW show `shown` + (true - `at`) x `rate`.
 * - A message that begins with "POST /task/fenced", or "POST /task/plain", stops the process before it is sent, once, if
 *   asked: between the check and what it does. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

struct Page {
  volatile uint32_t version; /* odd: being written */
  volatile uint32_t both;    /* clocks */
  volatile int64_t at, shown;
  volatile double rate;
  volatile uint32_t stop_before_act; /* 1: fenced, 2: plain; set by the rig, cleared here in the instant before the stop */
};

static struct Page* page(void) {
  static struct Page* mapped;
  if (!mapped) {
    const char* path = getenv("ODD_CLOCK");
    const int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0) return 0;
    void* at = mmap(0, sizeof(struct Page), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (at == MAP_FAILED) return 0;
    mapped = at;
  }
  return mapped;
}

int clock_gettime(clockid_t clock, struct timespec* into) {
  static int (*real)(clockid_t, struct timespec*);
  if (!real) real = (int (*)(clockid_t, struct timespec*))dlsym(RTLD_NEXT, "clock_gettime");
  const int result = real(clock, into);
  struct Page* told = page();
  if (result != 0 || !told || (clock != CLOCK_BOOTTIME && !(clock == CLOCK_MONOTONIC_RAW && told->both))) return result;
  uint32_t version;
  int64_t at, shown;
  double rate;
  do {
    version = __atomic_load_n(&told->version, __ATOMIC_ACQUIRE);
    at = told->at, shown = told->shown, rate = told->rate;
    __atomic_thread_fence(__ATOMIC_ACQUIRE);
  } while ((version & 1) || version != told->version);
  if (rate <= 0) return result;
  const int64_t now = (int64_t)into->tv_sec * 1000000000 + into->tv_nsec;
  const int64_t odd = shown + (int64_t)((double)(now - at) * rate);
  into->tv_sec = odd / 1000000000;
  into->tv_nsec = odd % 1000000000;
  return 0;
}

ssize_t sendmsg(int fd, const struct msghdr* message, int flags) {
  static ssize_t (*real)(int, const struct msghdr*, int);
  if (!real) real = (ssize_t(*)(int, const struct msghdr*, int))dlsym(RTLD_NEXT, "sendmsg");
  struct Page* told = page();
  const char* which = !told ? 0 : told->stop_before_act == 1 ? "POST /task/fenced" : told->stop_before_act == 2 ? "POST /task/plain" : 0;
  if (which && message->msg_iovlen > 0 && message->msg_iov[0].iov_len > strlen(which) &&
      memcmp(message->msg_iov[0].iov_base, which, strlen(which)) == 0) {
    told->stop_before_act = 0;
    raise(SIGSTOP);
  }
  return real(fd, message, flags);
}
