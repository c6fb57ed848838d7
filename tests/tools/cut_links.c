/*
 * Partitions an instance from the backend servers. Linked into the test build corianderwalk-cut,
 * where these functions take the place of the C library's. CUT_KEEP names the ports that
 * connections live on to (the store, peers), separated by commas, CUT_FILE a file with the mode,
 * which is read at each SIGUSR1:
 *
 * - none: no partition
 * - hang: nothing passes, connections are silent and new ones do not open
 * - reset: connections end, new ones are refused
 * - refuse: connections live on, new ones are refused
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#define MAX_FDS	  4096
#define MAX_PORTS 8 /* that connections live on to */

enum link_state {
	LINK_OTHER, /* no connection to a backend server */
	LINK_SERVER,
	LINK_DEAD, /* lost bytes in a partition: silent until it is closed */
};

static unsigned char links[MAX_FDS];
static volatile sig_atomic_t mode = 'n';
static char mode_file[256];
static long kept_ports[MAX_PORTS];
static size_t kept_count;

static int is_server_link(int fd)
{
	return fd >= 0 && fd < MAX_FDS && links[fd] != LINK_OTHER;
}

static void drop_input(int fd)
{
	struct sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
	struct sock_fprog program = {1, &drop_all};

	setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

static void pass_input(int fd)
{
	int unused = 0;

	setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
}

static void on_signal(int number)
{
	int saved_errno = errno;
	char read_mode = 'n';
	int file = (int)syscall(SYS_openat, AT_FDCWD, mode_file, O_RDONLY);

	if (file >= 0) {
		/* "reset" and "refuse" differ in the third letter. */
		char text[3] = "";

		if (read(file, text, sizeof(text)) == sizeof(text))
			read_mode = !strncmp(text, "ref", 3) ? 'k' : text[0];
		syscall(SYS_close, file);
	}
	mode = (unsigned char)read_mode;
	for (int fd = 0; fd < MAX_FDS; fd++) {
		if (!is_server_link(fd))
			continue;
		if (mode == 'h')
			drop_input(fd);
		else if (mode == 'r')
			shutdown(fd, SHUT_RDWR);
		else if (mode == 'n' && links[fd] == LINK_SERVER)
			pass_input(fd);
	}
	errno = saved_errno;
}

__attribute__((constructor)) static void install(void)
{
	const char *ports = getenv("CUT_KEEP");
	const char *file = getenv("CUT_FILE");
	struct sigaction action = {.sa_handler = on_signal, .sa_flags = SA_RESTART};

	if (!ports || !file)
		return;
	while (*ports && kept_count < MAX_PORTS) {
		char *end;

		kept_ports[kept_count++] = strtol(ports, &end, 10);
		ports = *end ? end + 1 : end;
	}
	strncpy(mode_file, file, sizeof(mode_file) - 1);
	sigaction(SIGUSR1, &action, NULL);
	on_signal(SIGUSR1);
}

static int is_server(const struct sockaddr *address)
{
	const struct sockaddr_in *in = (const struct sockaddr_in *)address;

	if (kept_count == 0 || address->sa_family != AF_INET)
		return 0;
	for (size_t i = 0; i < kept_count; i++)
		if (ntohs(in->sin_port) == kept_ports[i])
			return 0;
	return 1;
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
	if (fd >= 0 && fd < MAX_FDS && is_server(address)) {
		links[fd] = LINK_SERVER;
		if (mode == 'h')
			drop_input(fd);
		if (mode == 'r' || mode == 'k') {
			errno = ECONNREFUSED;
			return -1;
		}
	}
	return (int)syscall(SYS_connect, fd, address, size);
}

ssize_t write(int fd, const void *bytes, size_t size)
{
	if (mode == 'h' && is_server_link(fd))
		links[fd] = LINK_DEAD;
	if (is_server_link(fd) && links[fd] == LINK_DEAD)
		return (ssize_t)size;
	return (ssize_t)syscall(SYS_write, fd, bytes, size);
}

/* A new descriptor may have the number of an old link, as the library closes some by system call.
 */
static int forget_link(int fd)
{
	if (fd >= 0 && fd < MAX_FDS)
		links[fd] = LINK_OTHER;
	return fd;
}

int socket(int family, int type, int protocol)
{
	return forget_link((int)syscall(SYS_socket, family, type, protocol));
}

int accept4(int listener, struct sockaddr *address, socklen_t *size, int flags)
{
	return forget_link((int)syscall(SYS_accept4, listener, address, size, flags));
}

int close(int fd)
{
	forget_link(fd);
	return (int)syscall(SYS_close, fd);
}
