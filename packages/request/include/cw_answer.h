/*
 * Parser of one request's answer across all its attempts. The received bytes are split into
 * server-sent events, checked against the chunk sequence and counted; the text is kept so that
 * another server can continue the answer.
 */
#ifndef CW_ANSWER_H
#define CW_ANSWER_H

#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

enum cw_answer_state {
	CW_ANSWER_INCOMPLETE, /* well-formed so far, more data expected */
	CW_ANSWER_DONE,	      /* [DONE] was received */
	CW_ANSWER_MALFORMED, /* not server-sent events, an error event, a missing chunk, or too long
			      */
};

struct cw_answer;

struct cw_answer *cw_answer_create(size_t max_bytes);
void cw_answer_destroy(struct cw_answer *answer);
void cw_answer_begin_attempt(
	struct cw_answer *answer,
	int is_resumed); /* a new attempt; the chunk sequence continues if resumed, else restarts */
enum cw_answer_state cw_answer_feed(struct cw_answer *answer, const char *data, size_t size,
				    void (*forward)(void *context, const char *event, size_t size),
				    void *context);
uint64_t cw_answer_last_sequence(const struct cw_answer *answer); /* id of the last chunk accepted
								from this server's stream, 0 none */
unsigned int
cw_answer_forwarded_chunks(const struct cw_answer *answer); /* chunks forwarded, all attempts */
unsigned int cw_answer_dropped_chunks(const struct cw_answer *answer); /* repeated or late chunks */
unsigned int
cw_answer_prompt_tokens(const struct cw_answer *answer); /* as the engine reports, 0 unknown */
unsigned int
cw_answer_attempt_tokens(const struct cw_answer *answer);   /* generated in this attempt */
const char *cw_answer_text(const struct cw_answer *answer); /* generated text of all attempts */
enum cw_status
cw_answer_parse_completion(const char *body, size_t size, unsigned int *prompt_tokens,
			   unsigned int *completion_tokens,
			   char **text); /* not streamed; CW_INVALID: no completion; g_free(text) */

#endif
