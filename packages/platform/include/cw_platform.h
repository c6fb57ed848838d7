/*
 * The services of the platform: the log, the list of members and the rating of answers. Each is
 * accessed through a table of function pointers; the tables defined here use HTTP.
 */
#ifndef CW_PLATFORM_H
#define CW_PLATFORM_H

#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

struct cw_platform_record {
	uint64_t offset;
	int64_t time_ms; /* by the log's clock */
	char *data;	 /* JSON text */
};

struct cw_platform_read_result {
	uint64_t first_offset; /* oldest offset kept by the log; 0: not reported */
	struct cw_platform_record *records;
	size_t count;
};

/* An instance or a backend server, as the platform lists it. */
struct cw_platform_member {
	char name[CW_NAME_MAX];
	int is_instance; /* 0: a backend server */
	char address[CW_ADDRESS_MAX];
	char peer_address[CW_ADDRESS_MAX];
	char failure_domain[CW_NAME_MAX];
	char service[CW_NAME_MAX];
	int is_leaving;
	int checks_fencing;
};

/* An answer to be rated by the platform. */
struct cw_rating_request {
	const char *request_id;
	const char *organisation;
	const char *model;
	const char *version;
	const char *task;
	const char *answer;
};

struct cw_log_ops {
	/* CW_REFUSED, CW_UNREACHABLE: not appended. CW_UNKNOWN: may have been appended. */
	enum cw_status (*append)(const char *platform, const char *stream, const char *data,
				 uint64_t *offset, struct cw_error *error);
	/* CW_EXPIRED: from is older than read->first_offset. */
	enum cw_status (*read)(const char *platform, const char *stream, uint64_t from, size_t max,
			       int wait_ms, struct cw_platform_read_result *read,
			       struct cw_error *error);
};

struct cw_member_list_ops {
	enum cw_status (*list)(const char *platform, struct cw_platform_member **members,
			       size_t *count, struct cw_error *error); /* g_free(members) */
};

struct cw_rating_ops {
	enum cw_status (*rate)(const char *platform, const struct cw_rating_request *request,
			       double *score, struct cw_error *error); /* score: 0 to 1 */
};

extern const struct cw_log_ops cw_log_http;
extern const struct cw_member_list_ops cw_member_list_http;
extern const struct cw_rating_ops cw_rating_http;

void cw_platform_read_result_clear(struct cw_platform_read_result *read);

#endif
