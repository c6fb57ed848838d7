/* Arguments of a stand-in, each NAME=VALUE. */
#ifndef REVIEW_ARGS_H
#define REVIEW_ARGS_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static inline const char *arg_text(char **argv, const char *name, const char *otherwise)
{
	size_t length = strlen(name);

	for (; *argv; argv++)
		if (!strncmp(*argv, name, length) && (*argv)[length] == '=')
			return *argv + length + 1;
	return otherwise;
}

static inline long arg_number(char **argv, const char *name, long otherwise)
{
	const char *text = arg_text(argv, name, NULL);

	return text ? strtol(text, NULL, 10) : otherwise;
}

/* IP:PORT; 0: invalid. */
static inline int arg_address(char **argv, const char *name, struct sockaddr_in *address)
{
	char text[64];
	char *colon;

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	strncpy(text, arg_text(argv, name, ""), sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	colon = strchr(text, ':');
	if (!colon)
		return 0;
	*colon = '\0';
	address->sin_port = htons((unsigned short)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, text, &address->sin_addr) == 1;
}

/* Copies the value of a header field; empty if it is absent. */
static inline void find_field(const char *head, const char *field, char *value, size_t size)
{
	size_t length = strlen(field);
	const char *line = strstr(head, "\r\n");

	value[0] = '\0';
	while (line && line[2] && line[2] != '\r') {
		line += 2;
		if (!strncasecmp(line, field, length) && line[length] == ':') {
			const char *from = line + length + 1 + strspn(line + length + 1, " ");
			size_t count = strcspn(from, "\r");

			if (count >= size)
				count = size - 1;
			memcpy(value, from, count);
			value[count] = '\0';
			return;
		}
		line = strstr(line, "\r\n");
	}
}

#endif
