/*
 * One request's answer as it arrives, over all its attempts: server-sent events are cut out of the
 * bytes, held against the chunk sequence, counted and kept for a continuation.
 */
#ifndef CW_ANSWER_H
#define CW_ANSWER_H

#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

enum cw_answer_state {
	CW_ANSWER_MORE,	   /* nothing wrong, not at its end */
	CW_ANSWER_DONE,	   /* [DONE] came */
	CW_ANSWER_RUBBISH, /* not server-sent events, an error event, a chunk missing, or too long
			    */
};

struct cw_answer;

struct cw_answer *cw_answer_create(size_t max_bytes);
void cw_answer_destroy(struct cw_answer *answer);
void cw_answer_begin(
	struct cw_answer *answer,
	int resumed); /* a new attempt; resumed: sequence goes on, else it starts anew */
enum cw_answer_state cw_answer_feed(struct cw_answer *answer, const char *data, size_t size,
				    void (*show)(void *context, const char *event, size_t size),
				    void *context);
uint64_t cw_answer_sequence(
	const struct cw_answer *answer); /* last chunk taken of this server's stream, 0 none */
unsigned int cw_answer_shown(const struct cw_answer *answer);	/* chunks shown, of all attempts */
unsigned int cw_answer_dropped(const struct cw_answer *answer); /* late or repeated chunks */
unsigned int
cw_answer_prompt_tokens(const struct cw_answer *answer); /* as the engine says; 0 unknown */
unsigned int
cw_answer_attempt_tokens(const struct cw_answer *answer);   /* generated in this attempt */
const char *cw_answer_text(const struct cw_answer *answer); /* of all attempts */
enum cw_status cw_answer_parse_whole(const char *body, size_t size, unsigned int *prompt_tokens,
				     unsigned int *completion_tokens,
				     char **text); /* CW_INVALID: not a completion; g_free(text) */

#endif
