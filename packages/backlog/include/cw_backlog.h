/*
 * What one start of a backend server has in progress for all instances: prompts whose answers have
 * not begun ("unread"), in ms of work of the usual server, and the tokens that requests keep in its
 * memory. Own requests are known exactly, those of peers from their announcements. Sans-I/O.
 */
#ifndef CW_BACKLOG_H
#define CW_BACKLOG_H

#include <stddef.h>
#include <stdint.h>

/* Of one instance at one server; more is announced as so much. */
#define CW_BACKLOG_REQUESTS_MAX	 (1U << 16)
#define CW_BACKLOG_UNREAD_MS_MAX (1U << 20)
#define CW_BACKLOG_TOKENS_MAX	 (1U << 24)

/* What one instance has in progress at a server. */
struct cw_backlog_share {
	uint32_t running;   /* requests, unread ones included */
	uint32_t unread;    /* requests whose answers have not begun */
	uint32_t unread_ms; /* work of their prompts */
	uint32_t tokens;    /* of all its requests there: prompts, and answers as far as expected */
};

struct cw_backlog {
	uint32_t own_unread; /* own prompts, and those of peers, whose answers have not begun */
	uint32_t peers_unread;
	uint32_t own_long; /* of the own ones those that peers get a note of */
	double own_long_ms;
	double own_tokens;
	uint64_t peers_tokens;
	double stale_ms;    /* announced work of peers that the server's own report refutes */
	int64_t reading_ms; /* time from which the prompt that is read now may have been read */
	int64_t grown_ms;   /* time at which the peers' prompts became more */
};

void cw_backlog_begin(struct cw_backlog *backlog, double work_ms, double long_ms,
		      int64_t now_ms); /* an own prompt was sent; long_ms: work of a long one */
void cw_backlog_end(struct cw_backlog *backlog, double work_ms,
		    double long_ms); /* its answer began, or the attempt ended */
void cw_backlog_record_progress(struct cw_backlog *backlog,
				int64_t now_ms); /* an answer began: the next prompt is read */
void cw_backlog_set_peers(struct cw_backlog *backlog, const struct cw_backlog_share *sum,
			  int64_t now_ms); /* sum over the newest announcements of all peers */
void cw_backlog_check(struct cw_backlog *backlog, uint32_t queued, double peers_ms,
		      int64_t now_ms); /* the server reported so many waiting prompts; peers_ms:
					  unread work of peers, as announced */
double cw_backlog_left_ms(const struct cw_backlog *backlog, double own_ms, double peers_ms,
			  double pace, double unread_least,
			  int64_t now_ms); /* of unread work; unread_least: part of the prompt being
					      read, or of the longer time it takes, that is left
					      until its answer begins */
double cw_backlog_tokens(const struct cw_backlog *backlog); /* kept in the server's memory */

#endif
