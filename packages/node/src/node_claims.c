/* Appending claims, outcomes and releases in batches, and keeping guarded keys in the log. */
#include "node_internal.h"

#include <string.h>

#define LINES_RETRY_MS 50
#define KEPT_STEP_MS   500 /* between the turns of live instances to append kept keys */
#define KEPT_BATCH     256

static void send_lines(struct cw_node *node);
static struct line *line_create(const struct cw_claim *claim, int kind, int status,
				const char *answer);
static void line_destroy(struct line *line);
static void plan_kept(struct cw_node *node);
static int wants_kept(const struct cw_node *node);
static void send_kept(struct cw_node *node);

void log_line(struct cw_node *node, const struct cw_claim *claim, int kind, int status,
	      const char *answer)
{
	struct line *line = line_create(claim, kind, status, answer);

	STAILQ_INSERT_TAIL(&node->lines, line, link);
}

void claims_tick(struct cw_node *node)
{
	if (!node->lines_ticket && !STAILQ_EMPTY(&node->lines) &&
	    node->now_ms >= node->lines_retry_ms)
		send_lines(node);
	plan_kept(node);
}

void claims_appended(struct cw_node *node, const struct cw_appended *appended)
{
	struct line *line;

	if (appended->ticket == node->kept_ticket && node->kept_ticket) {
		node->kept_ticket = 0;
		/* A floor that stands without its keys would hide them: any doubt starts the cycle
		 * anew. */
		if (appended->status != CW_OK)
			node->kept_floor = 0;
		return;
	}
	if (appended->ticket != node->lines_ticket || !node->lines_ticket)
		return;
	node->lines_ticket = 0;
	if (appended->status != CW_OK) {
		/*
		 * It may have been kept. Appending the same lines again is harmless: the fold knows
		 * a claim by its own number, and an outcome or a release counts once.
		 */
		STAILQ_CONCAT(&node->lines_out, &node->lines);
		STAILQ_CONCAT(&node->lines, &node->lines_out);
		node->lines_retry_ms = node->now_ms + LINES_RETRY_MS +
				       (int64_t)(node_random(node) % LINES_RETRY_MS);
		return;
	}
	while ((line = STAILQ_FIRST(&node->lines_out))) {
		STAILQ_REMOVE_HEAD(&node->lines_out, link);
		line_destroy(line);
	}
}

void claims_folded(struct cw_node *node)
{
	request_claims_changed(node);
}

void claims_close(struct cw_node *node)
{
	struct line *line;

	STAILQ_CONCAT(&node->lines, &node->lines_out);
	while ((line = STAILQ_FIRST(&node->lines))) {
		STAILQ_REMOVE_HEAD(&node->lines, link);
		line_destroy(line);
	}
}

/* One append is out at a time; what comes meanwhile shares the next one. */
static void send_lines(struct cw_node *node)
{
	struct json_object *record = json_object_new_object();
	struct line *line;
	size_t count = 0;

	while (count < CW_CLAIM_BATCH && (line = STAILQ_FIRST(&node->lines))) {
		STAILQ_REMOVE_HEAD(&node->lines, link);
		STAILQ_INSERT_TAIL(&node->lines_out, line, link);
		if (line->kind == LINE_CLAIM)
			cw_claims_add_claim(record, &line->claim);
		else if (line->kind == LINE_OUTCOME)
			cw_claims_add_outcome(record, &line->claim, line->status, line->answer);
		else
			cw_claims_add_release(record, &line->claim);
		count++;
	}
	node->lines_ticket = log_append(
		node, CW_STREAM_CLAIMS,
		g_strdup(json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN)));
	json_object_put(record);
}

static struct line *line_create(const struct cw_claim *claim, int kind, int status,
				const char *answer)
{
	struct line *line = g_new0(struct line, 1);

	line->claim = *claim;
	line->kind = kind;
	line->status = status;
	line->answer = g_strdup(answer);
	return line;
}

static void line_destroy(struct line *line)
{
	g_free(line->answer);
	g_free(line);
}

static void plan_kept(struct cw_node *node)
{
	size_t rank;

	if (node->kept_ticket)
		return;
	if (node->kept_floor) {
		send_kept(node);
		return;
	}
	if (!wants_kept(node)) {
		node->kept_due_ms = 0;
		return;
	}
	if (node->kept_due_ms == 0) {
		rank = cw_membership_rank(node->membership,
					  cw_hash_text("kept", cw_claims_floor(node->claims)),
					  node->now_ms);
		node->kept_due_ms = node->now_ms + 1 + KEPT_STEP_MS * (int64_t)rank +
				    (int64_t)(node_random(node) % KEPT_STEP_MS / 2);
	}
	if (node->now_ms < node->kept_due_ms)
		return;
	node->kept_due_ms = 0;
	node->kept_after = 0;
	node->kept_floor = cw_claims_offset(node->claims) + 1;
	send_kept(node);
}

static int wants_kept(const struct cw_node *node)
{
	const struct feed *feed = &node->feeds[CW_STREAM_CLAIMS];
	uint64_t floor = cw_claims_floor(node->claims);

	if (!log_is_up(node, CW_STREAM_CLAIMS) || !cw_claims_is_complete(node->claims))
		return 0;
	if (feed->first > 1 && floor < feed->first + (feed->next - feed->first) / 2)
		return 1;
	/* Nothing new stands behind the floor: what it covers ages all the same. */
	if (cw_claims_count(node->claims) == 0)
		return 0;
	return node->kept_wall_ms &&
	       node->wall_ms - node->kept_wall_ms > node->config.log_retention_ms / 2;
}

static void send_kept(struct cw_node *node)
{
	struct json_object *record = json_object_new_object();
	uint64_t last = node->kept_after;

	if (cw_claims_add_kept(node->claims, record, node->kept_after, KEPT_BATCH, &last) == 0) {
		cw_claims_add_floor(record, node->kept_floor);
		node_event(node, "claims", "floor", "floor=%" G_GUINT64_FORMAT, node->kept_floor);
		node->kept_floor = 0;
	}
	node->kept_after = last;
	node->kept_ticket = log_append(
		node, CW_STREAM_CLAIMS,
		g_strdup(json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN)));
	json_object_put(record);
}
