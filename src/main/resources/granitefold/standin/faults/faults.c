/*
 * Is preloaded into a dispatcher by the soak test and injects failures of system calls that Linux documents. The test process
 * maps the same control file, which has one slot per kind of fault: the test process writes `percent` and `value`, this
 * library counts the injected faults in `injected`. It allocates no memory; without a control file all calls pass through.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The order of granitefold.standin.faults.SystemCallFault. */
enum fault {
    ACCEPT, SOCKET, CONNECT, WAIT, SHORT_READ, SHORT_WRITE, BROKEN_READ, STORAGE_WRITE, STORAGE_SYNC, WALL_CLOCK, HELD_WRITE, INTERRUPTED, FAULTS
};

struct slot {
    volatile int32_t percent;
    volatile int32_t value;
    volatile int64_t injected;
};

#define NS_PER_MS 1000000L
/* As in granitefold.standin.faults.SystemCallFaults. */
#define MIN_HOLD_INTERVAL_MS 500
/* A special value of `percent`: only the next call is affected. */
#define NEXT_CALL_ONLY 101
#define RESOLVE(name) ((__typeof__(&name)) dlsym(RTLD_NEXT, #name))
#define CALL(name, ...) ({ static __typeof__(&name) next; if (!next) next = RESOLVE(name); next(__VA_ARGS__); })

#define MAX_TRACKED_FD 65536

/* The content of the control file. */
struct control {
    struct slot slots[FAULTS];
    /* No hold-up of the process may begin before this time of CLOCK_MONOTONIC, in milliseconds. */
    volatile int64_t next_hold_ms;
};

static struct control *control;
static struct slot *slots;
/* Descriptors of outgoing connections. BROKEN_READ applies only to these; the test process breaks those of clients itself. */
static volatile unsigned char outgoing[MAX_TRACKED_FD];

static void note_outgoing(int fd, unsigned char value) {
    if (fd >= 0 && fd < MAX_TRACKED_FD) {
        outgoing[fd] = value;
    }
}
static __thread uint64_t random_state;

__attribute__((constructor)) static void map_control_file(void) {
    const char *path = getenv("GRANITEFOLD_FAULTS");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    control = mapped == MAP_FAILED ? NULL : mapped;
    slots = control ? control->slots : NULL;
    close(fd);
}

static unsigned random_percent(void) {
    if (!random_state) {
        struct timespec now;
        CALL(clock_gettime, CLOCK_MONOTONIC, &now);
        random_state = ((uint64_t) now.tv_nsec << 20) ^ (uintptr_t) &random_state ^ 0x9e3779b97f4a7c15ULL;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (unsigned) (random_state >> 33) % 100;
}

/* Claims the fault of a single call, so that no other thread injects it again. */
static int claim_next_call(enum fault kind) {
    int32_t expected = NEXT_CALL_ONLY;
    return __atomic_compare_exchange_n(&slots[kind].percent, &expected, 0, 0, __ATOMIC_RELAXED, __ATOMIC_RELAXED);
}

/* Decides whether this call is affected, and counts it if so. */
static int should_inject(enum fault kind) {
    if (!slots || slots[kind].percent <= 0 || (int) random_percent() >= slots[kind].percent) {
        return 0;
    }
    if (slots[kind].percent == NEXT_CALL_ONLY && !claim_next_call(kind)) {
        return 0;
    }
    __atomic_add_fetch(&slots[kind].injected, 1, __ATOMIC_RELAXED);
    return 1;
}

static int fails(enum fault kind) {
    if (!should_inject(kind)) {
        return 0;
    }
    errno = slots[kind].value;
    return 1;
}

static int is_type(int fd, mode_t type) {
    struct stat s;
    return slots && fd > STDERR_FILENO && fstat(fd, &s) == 0 && (s.st_mode & S_IFMT) == type;
}

static int is_stream(int fd) {
    int type = 0;
    socklen_t length = sizeof type;
    return is_type(fd, S_IFSOCK) && getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && type == SOCK_STREAM;
}

/* Claims the next hold-up: the test process pauses this one too, and a request must not meet two hold-ups in a row. */
static int claim_hold(int64_t now_ms) {
    int64_t next_ms = control->next_hold_ms;
    int64_t following_ms = now_ms + slots[HELD_WRITE].value + MIN_HOLD_INTERVAL_MS;
    return now_ms >= next_ms
        && __atomic_compare_exchange_n(&control->next_hold_ms, &next_ms, following_ms, 0, __ATOMIC_SEQ_CST, __ATOMIC_SEQ_CST);
}

static void hold(void) {
    struct timespec now;
    CALL(clock_gettime, CLOCK_MONOTONIC, &now);
    int64_t now_ms = (int64_t) now.tv_sec * 1000 + now.tv_nsec / NS_PER_MS;
    if (now_ms >= control->next_hold_ms && should_inject(HELD_WRITE) && claim_hold(now_ms)) {
        struct timespec delay = {0, slots[HELD_WRITE].value * NS_PER_MS};
        nanosleep(&delay, NULL);
    }
}

/* Fails a read and shuts down the kernel's connection, since a broken connection stays broken. */
static int fails_and_breaks(int fd) {
    if (slots && slots[BROKEN_READ].percent > 0 && fd >= 0 && fd < MAX_TRACKED_FD && outgoing[fd] && is_stream(fd) && fails(BROKEN_READ)) {
        int error = errno;
        shutdown(fd, SHUT_RDWR);
        errno = error;
        return 1;
    }
    return 0;
}

static size_t shortened(enum fault kind, int fd, size_t count) {
    return slots && count > 1 && slots[kind].percent > 0 && is_stream(fd) && should_inject(kind) ? 1 + count / 4 : count;
}

/* Injects a signal before the first byte is transferred. */
static int interrupted(int fd) {
    if (!slots || slots[INTERRUPTED].percent <= 0 || !is_stream(fd) || !should_inject(INTERRUPTED)) {
        return 0;
    }
    errno = EINTR;
    return 1;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    int accepted = fails(ACCEPT) ? -1 : CALL(accept, fd, address, length);
    note_outgoing(accepted, 0);
    return accepted;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    int accepted = fails(ACCEPT) ? -1 : CALL(accept4, fd, address, length, flags);
    note_outgoing(accepted, 0);
    return accepted;
}

int socket(int domain, int type, int protocol) {
    return fails(SOCKET) ? -1 : CALL(socket, domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (fails(CONNECT)) {
        return -1;
    }
    note_outgoing(fd, 1);
    return CALL(connect, fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    if (slots && should_inject(WAIT)) {
        errno = EINTR;
        return -1;
    }
    return CALL(epoll_wait, fd, events, max_events, timeout);
}

ssize_t read(int fd, void *buffer, size_t count) {
    return fails_and_breaks(fd) || interrupted(fd) ? -1 : CALL(read, fd, buffer, shortened(SHORT_READ, fd, count));
}

ssize_t readv(int fd, const struct iovec *buffers, int count) {
    return fails_and_breaks(fd) || interrupted(fd) ? -1 : CALL(readv, fd, buffers, count);
}

static int storage_fails(int fd) {
    return slots && slots[STORAGE_WRITE].percent > 0 && is_type(fd, S_IFREG) && fails(STORAGE_WRITE);
}

ssize_t write(int fd, const void *buffer, size_t count) {
    if (storage_fails(fd) || interrupted(fd)) {
        return -1;
    }
    if (slots && slots[HELD_WRITE].percent > 0 && is_stream(fd)) {
        hold();
    }
    return CALL(write, fd, buffer, shortened(SHORT_WRITE, fd, count));
}

ssize_t writev(int fd, const struct iovec *buffers, int count) {
    if (storage_fails(fd) || interrupted(fd)) {
        return -1;
    }
    if (slots && slots[HELD_WRITE].percent > 0 && is_stream(fd)) {
        hold();
    }
    if (slots && count > 0 && buffers[0].iov_len > 0) {
        size_t length = shortened(SHORT_WRITE, fd, buffers[0].iov_len);
        if (length < buffers[0].iov_len) {
            return CALL(write, fd, buffers[0].iov_base, length);
        }
    }
    return CALL(writev, fd, buffers, count);
}

ssize_t pwrite64(int fd, const void *buffer, size_t count, off64_t offset) {
    return storage_fails(fd) ? -1 : CALL(pwrite64, fd, buffer, count, offset);
}

int fsync(int fd) {
    return fails(STORAGE_SYNC) ? -1 : CALL(fsync, fd);
}

int fdatasync(int fd) {
    return fails(STORAGE_SYNC) ? -1 : CALL(fdatasync, fd);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = CALL(clock_gettime, clock, time);
    if (slots && result == 0 && clock == CLOCK_REALTIME && slots[WALL_CLOCK].percent > 0) {
        time->tv_sec += slots[WALL_CLOCK].value;
        __atomic_add_fetch(&slots[WALL_CLOCK].injected, 1, __ATOMIC_RELAXED);
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    int result = CALL(gettimeofday, time, zone);
    if (slots && result == 0 && slots[WALL_CLOCK].percent > 0) {
        time->tv_sec += slots[WALL_CLOCK].value;
        __atomic_add_fetch(&slots[WALL_CLOCK].injected, 1, __ATOMIC_RELAXED);
    }
    return result;
}
