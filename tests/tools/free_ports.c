/*
 * free-ports N: prints N free TCP ports of the loopback address, chosen by the kernel. Each port is
 * left in TIME_WAIT: for a minute the kernel gives it to no other process that asks for any port,
 * but a listener with SO_REUSEADDR can still bind it.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

static int reserve(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int client = socket(AF_INET, SOCK_STREAM, 0);
	int yes = 1;
	int accepted;

	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
	if (bind(listener, (struct sockaddr *)&address, sizeof(address)) || listen(listener, 1) ||
	    getsockname(listener, (struct sockaddr *)&address, &size) ||
	    connect(client, (struct sockaddr *)&address, sizeof(address)))
		return -1;
	accepted = accept(listener, NULL, NULL);
	close(accepted); /* the side that closes first is in TIME_WAIT, with the listener's port */
	close(client);
	close(listener);
	return ntohs(address.sin_port);
}

int main(int argc, char **argv)
{
	long count = argc > 1 ? strtol(argv[1], NULL, 10) : 1;

	for (long i = 0; i < count; i++) {
		int port = reserve();

		if (port < 0)
			return 1;
		printf("%d\n", port);
	}
	return 0;
}
