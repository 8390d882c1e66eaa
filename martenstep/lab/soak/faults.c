/* Fault injection for one process, loaded with LD_PRELOAD.
 *
 * The file named by MARTENSTEP_FAULTS is mapped shared; the test writes into it while the process runs (faults.py has
 * the same layout).  There are two kinds of fault.  The wall clock can be shifted; the monotonic clock is never shifted.
 * A system call can fail, or do only part of its work, a number of times or with a probability.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, RECV, SEND, WRITE, SYNC, OPEN, CALLS };

#define SHORT_COUNT (-1) /* in place of an errno: the call transfers one byte or half of what it was given */

struct fault {
    int32_t error;      /* errno, or SHORT_COUNT */
    int32_t left;       /* number of calls still to fail; -1: no limit */
    uint32_t per_million; /* probability that a call fails */
    uint32_t hits;      /* calls that failed or were cut short */
};

struct control {
    int64_t wall_shift_ns;
    struct fault fault[CALLS];
};

static struct control *control;
static struct control none;
static uint64_t draws;

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("MARTENSTEP_FAULTS");
    int number = path ? REAL(open)(path, O_RDWR) : -1;
    control = &none;
    if (number < 0)
        return;
    void *found = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, number, 0);
    close(number);
    if (found != MAP_FAILED)
        control = found;
    struct timespec now;
    REAL(clock_gettime)(CLOCK_MONOTONIC, &now);
    draws = (uint64_t)now.tv_nsec * 2654435761u + (uint64_t)getpid();
}

static uint32_t draw(void) { /* splitmix64, reduced to a number below a million */
    uint64_t z = (draws += 0x9E3779B97F4A7C15ull);
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ull;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBull;
    return (uint32_t)((z ^ (z >> 31)) % 1000000u);
}

/* Returns 0 if the call is to succeed, else the errno or SHORT_COUNT with which it fails. */
static int hit(enum call which) {
    if (!control)
        return 0;
    struct fault *fault = &control->fault[which];
    if (!fault->error || !fault->left || (fault->per_million < 1000000u && draw() >= fault->per_million))
        return 0;
    if (fault->left > 0)
        fault->left--;
    fault->hits++;
    return fault->error;
}

static size_t part_of(size_t size) { return size > 1 ? (draw() & 1 ? 1 : size / 2) : size; }

static int is_file(int number) {
    struct stat told;
    return fstat(number, &told) == 0 && S_ISREG(told.st_mode);
}

int clock_gettime(clockid_t id, struct timespec *at) {
    static int (*real)(clockid_t, struct timespec *);
    if (!real)
        real = REAL(clock_gettime);
    int result = real(id, at);
    if (result == 0 && control && control->wall_shift_ns && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
        int64_t ns = at->tv_sec * 1000000000ll + at->tv_nsec + control->wall_shift_ns;
        at->tv_sec = ns / 1000000000ll;
        at->tv_nsec = ns % 1000000000ll;
    }
    return result;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone) {
    struct timespec told;
    (void)zone;
    int result = clock_gettime(CLOCK_REALTIME, &told);
    at->tv_sec = told.tv_sec;
    at->tv_usec = told.tv_nsec / 1000;
    return result;
}

time_t time(time_t *at) {
    struct timespec told;
    clock_gettime(CLOCK_REALTIME, &told);
    if (at)
        *at = told.tv_sec;
    return told.tv_sec;
}

/* The error takes the accepted connection with it only for those errors for which accept(2) says so. */
static int accept_fault(int number) {
    int error = hit(ACCEPT);
    if (error == ECONNABORTED || error == EPROTO) {
        int lost = REAL(accept4)(number, NULL, NULL, 0);
        if (lost >= 0)
            close(lost);
    }
    return error;
}

int accept4(int number, struct sockaddr *restrict address, socklen_t *restrict size, int flags) {
    int error = accept_fault(number);
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(accept4)(number, address, size, flags);
}

int accept(int number, struct sockaddr *restrict address, socklen_t *restrict size) {
    return accept4(number, address, size, 0);
}

int socket(int domain, int type, int protocol) {
    int error = domain == AF_INET ? hit(SOCKET) : 0;
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(socket)(domain, type, protocol);
}

int connect(int number, const struct sockaddr *address, socklen_t size) {
    int error = hit(CONNECT);
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(connect)(number, address, size);
}

ssize_t recv(int number, void *data, size_t size, int flags) {
    int error = flags & MSG_PEEK ? 0 : hit(RECV);
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(recv)(number, data, error == SHORT_COUNT ? part_of(size) : size, flags);
}

ssize_t send(int number, const void *data, size_t size, int flags) {
    int error = hit(SEND);
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(send)(number, data, error == SHORT_COUNT ? part_of(size) : size, flags);
}

/* Imitates a disk that fills up: half of the first write still fits, and the next write fails. */
ssize_t write(int number, const void *data, size_t size) {
    static __thread int partial;
    if (!is_file(number))
        return REAL(write)(number, data, size);
    int error = hit(WRITE);
    if (error > 0 && (partial || size < 2)) {
        errno = error;
        partial = 0;
        return -1;
    }
    partial = error > 0;
    return REAL(write)(number, data, error ? (size > 1 ? size / 2 : size) : size);
}

static int sync_fault(void) {
    int error = hit(SYNC);
    if (error > 0)
        errno = error;
    return error > 0 ? -1 : 0;
}

int fsync(int number) { return sync_fault() ? -1 : REAL(fsync)(number); }

int fdatasync(int number) { return sync_fault() ? -1 : REAL(fdatasync)(number); }

static int open_fault(int flags) {
    int error = flags & (O_CREAT | O_WRONLY | O_RDWR) ? hit(OPEN) : 0;
    if (error > 0)
        errno = error;
    return error > 0 ? -1 : 0;
}

int open(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = va_arg(more, mode_t);
    va_end(more);
    return open_fault(flags) ? -1 : REAL(open)(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = va_arg(more, mode_t);
    va_end(more);
    return open_fault(flags) ? -1 : REAL(open64)(path, flags, mode);
}
