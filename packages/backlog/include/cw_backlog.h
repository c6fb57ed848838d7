/*
 * What one start of a backend server has in progress for all instances: the prompts that it has not
 * processed yet, in ms of work of the usual server, and the tokens that requests keep in its
 * memory. Own requests are known exactly, those of peers from their announcements. Sans-I/O.
 */
#ifndef CW_BACKLOG_H
#define CW_BACKLOG_H

#include <stddef.h>
#include <stdint.h>

/* What one instance has in progress at a server. */
struct cw_backlog_share {
	unsigned int running; /* requests */
	double unread_ms;     /* work of prompts whose answers have not begun */
	double tokens; /* of all its requests there: prompts, and answers as far as expected */
};

struct cw_backlog {
	struct cw_backlog_share own;
	struct cw_backlog_share peers; /* sum over the peers' latest announcements */
	double processed_ms; /* time at which all known prompts are predicted to be processed */
};

void cw_backlog_begin(struct cw_backlog *backlog, double work_ms, double tokens, double pace,
		      int64_t now_ms); /* an own request was sent */
void cw_backlog_end_prompt(struct cw_backlog *backlog, double work_ms, double pace,
			   int64_t now_ms); /* its answer began, or the attempt ended before */
void cw_backlog_end(struct cw_backlog *backlog, double tokens); /* the attempt ended */
void cw_backlog_set_peers(struct cw_backlog *backlog, const struct cw_backlog_share *peers,
			  double pace, int64_t now_ms); /* replaces the sum over the peers */
double cw_backlog_wait_ms(const struct cw_backlog *backlog, double pace, double unread_least,
			  int64_t now_ms); /* until a prompt that is sent now is begun */
double cw_backlog_tokens(const struct cw_backlog *backlog); /* kept in the server's memory */

#endif
