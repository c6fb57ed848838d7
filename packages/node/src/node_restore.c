/*
 * After a restore of the log from an older copy: the instances take turns in writing again what all
 * of them know, so that usually one of them does.
 */
#include "node_internal.h"

#define RANK_DELAY_MS 500   /* added delay for each rank among the live instances */
#define RETRY_MS      1000  /* after an append: its record is read back by then */
#define RESULT_MS     15000 /* an append without a result by then was dropped */

int restore_is_own_turn(struct cw_node *node, struct restore_turn *turn, enum cw_stream stream,
			size_t count)
{
	int is_progress = count < turn->count;

	turn->count = count;
	if (count == 0)
		turn->due_ms = 0;
	if (turn->ticket && node->now_ms > turn->due_ms + RESULT_MS)
		turn->ticket = 0;
	if (turn->ticket || count == 0 || !log_is_up(node, stream))
		return 0;
	if (turn->due_ms == 0 || is_progress)
		turn->due_ms = node->now_ms +
			       RANK_DELAY_MS * (int64_t)cw_membership_rank(
						       node->membership,
						       cw_hash_text(cw_stream_name(stream), 0),
						       node->now_ms);
	return node->now_ms >= turn->due_ms;
}

void restore_append(struct cw_node *node, struct restore_turn *turn, enum cw_stream stream,
		    char *data, size_t count)
{
	turn->due_ms = node->now_ms + RETRY_MS;
	turn->ticket = log_append(node, stream, data);
	restore_log(node, stream, count);
}

void restore_handle_append(struct restore_turn *turn, const struct cw_append_result *appended)
{
	if (appended->ticket == turn->ticket)
		turn->ticket = 0;
}

void restore_log(struct cw_node *node, enum cw_stream stream, size_t count)
{
	node_log_event(node, "log", "written_again", "stream=%s count=%zu", cw_stream_name(stream),
		       count);
	node_count(node, "log_written_again_total", count, "stream=\"%s\"", cw_stream_name(stream));
}
