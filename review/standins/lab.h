/*
 * Shared by the cases: sockets, HTTP/1.1 heads and bodies, records, and the platform's store as far
 * as a case writes to it. Blocking calls, one thread a connection.
 */
#ifndef LAB_H
#define LAB_H

#include <stddef.h>
#include <stdint.h>

#define LAB_HEAD_MAX	16384
#define LAB_ADDRESS_MAX 64

/* Reads a connection through a buffer. */
struct lab_reader {
	int fd;
	size_t start;
	size_t end;
	char bytes[65536];
};

int64_t lab_now_ms(void); /* since lab_open_record */
int lab_open_record(const char *file);
void lab_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

int lab_listen(const char *ip, int receive_bytes, char *address); /* at a free port; -1: failed */
void lab_stop_listening(int listener);				  /* connections live on */
int lab_connect(const char *address, int receive_bytes);	  /* receive_bytes 0: the default */
int lab_send(int fd, const void *bytes, size_t size);		  /* 0: the connection ended */
void lab_shut(int fd);				      /* ends a connection whose thread closes it */
void lab_serve(int listener, void (*handle)(int fd)); /* a thread for each connection; returns */
int lab_start_thread(void *(*run)(void *), void *context);

void lab_reader_open(struct lab_reader *reader, int fd);
int lab_read_head(struct lab_reader *reader, char *head); /* LAB_HEAD_MAX; 0: none came */
int lab_read_line(struct lab_reader *reader, char *line, size_t size);
int lab_read_body(struct lab_reader *reader, char *bytes, size_t size); /* bytes NULL: dropped */
int lab_find_field(const char *head, const char *name, char *value, size_t size);
long lab_number_field(const char *head, const char *name, long absent);
int lab_status(const char *head);

int lab_put(const char *store, const char *topic, const char *key, const char *value);
int lab_is_ready(const char *address);
int lab_wait_ready(const char *address, int64_t limit_ms);
void lab_sleep_ms(int64_t duration_ms);

#endif
