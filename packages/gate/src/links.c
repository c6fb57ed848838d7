/*
 * Links to the backend servers. Symptom this prevents: an instance that was cut off took the broken
 * connections for crashes of all servers. Requests that were running then were quarantined at all
 * instances.
 */
#include "gate_internal.h"

#define HELD_BREAKS_MAX 256 /* of more, the oldest ones suffice to find a poison request */

static void note_refused(struct cw_gate *gate, const struct cw_server *server, int64_t now_ms);
static void hold_break(struct cw_gate *gate, const struct gate_break *held);
static void forget_breaks(struct cw_gate *gate, int64_t now_ms);
static void release_breaks(struct cw_gate *gate, int64_t now_ms);

int cw_gate_note_contact(struct cw_gate *gate, int64_t now_ms)
{
	int was_suspected = gate->partition.state == CW_PARTITION_SUSPECTED;

	gate_charge_carried(gate, now_ms);
	if (!cw_partition_note_contact(&gate->partition, now_ms))
		return 0;
	if (was_suspected)
		release_breaks(gate, now_ms);
	g_array_set_size(gate->held_breaks, 0);
	return 1;
}

int cw_gate_note_loss(struct cw_gate *gate, const struct cw_server *server, int64_t now_ms)
{
	return cw_partition_note_loss(&gate->partition, server->id, now_ms);
}

int cw_gate_note_forwarded(struct cw_gate *gate, struct cw_server *server, int is_refusing,
			   int64_t now_ms)
{
	int is_changed = cw_partition_note_forwarded(&gate->partition, now_ms);

	if (server->path == CW_PATH_DIRECT)
		cw_quarantine_note_alive(gate->quarantine, server->id, now_ms);
	cw_pool_mark_forwarded(server, is_refusing, now_ms);
	if (is_changed)
		forget_breaks(gate, now_ms);
	return is_changed;
}

int cw_gate_note_ended(struct cw_gate *gate, int64_t now_ms)
{
	int is_changed = cw_partition_note_ended(&gate->partition, now_ms);

	if (is_changed)
		release_breaks(gate, now_ms);
	return is_changed;
}

void cw_gate_settle_breaks(struct cw_gate *gate, int64_t now_ms)
{
	if (!gate_holds_breaks(gate, now_ms))
		release_breaks(gate, now_ms);
	gate_drop_carried(gate, now_ms);
}

const struct cw_partition *cw_gate_partition(const struct cw_gate *gate)
{
	return &gate->partition;
}

int gate_holds_breaks(const struct cw_gate *gate, int64_t now_ms)
{
	return gate->partition.state == CW_PARTITION_CONFIRMED ||
	       !cw_partition_is_settled(&gate->partition, now_ms);
}

/* A server that is leaving, or whose version was replaced, stops as planned. */
int gate_ends_as_planned(const struct cw_gate *gate, const struct cw_server *server, int64_t now_ms)
{
	return cw_pool_is_leaving(server) || server->is_removed || server->is_unreachable ||
	       cw_pool_explains_fall(server, now_ms) ||
	       cw_rollouts_is_retired(gate->rollouts, server->service, server->software);
}

void cw_gate_note_break(struct cw_gate *gate, const struct cw_quarantine_request *request,
			const struct cw_server *server, int64_t ran_ms, int is_running,
			int64_t now_ms)
{
	if (gate_ends_as_planned(gate, server, now_ms))
		return;
	if (gate_holds_breaks(gate, now_ms)) {
		struct gate_break held =
			gate_make_break(request, server->id, ran_ms, is_running, now_ms);

		hold_break(gate, &held);
		return;
	}
	cw_partition_note_charged(&gate->partition, server->id);
	cw_quarantine_note_break(gate->quarantine, request, server->id, ran_ms, is_running, now_ms);
}

void cw_gate_note_unopened(struct cw_gate *gate, const struct cw_server *server, int is_refused,
			   int64_t now_ms)
{
	if (gate->partition.state != CW_PARTITION_CONFIRMED)
		cw_quarantine_note_unreachable(gate->quarantine, server->id, now_ms);
	if (is_refused && !gate_ends_as_planned(gate, server, now_ms))
		note_refused(gate, server, now_ms);
}

static void note_refused(struct cw_gate *gate, const struct cw_server *server, int64_t now_ms)
{
	struct gate_break refusal = {.server = server->id, .is_refusal = 1, .at_ms = now_ms};

	if (gate_holds_breaks(gate, now_ms)) {
		hold_break(gate, &refusal);
		return;
	}
	cw_partition_note_charged(&gate->partition, server->id);
	gate_charge_break(gate, &refusal, now_ms);
}

struct gate_break gate_make_break(const struct cw_quarantine_request *request, uint64_t server,
				  int64_t ran_ms, int is_running, int64_t now_ms)
{
	struct gate_break noted = {
		.fingerprint = request->fingerprint,
		.server = server,
		.ran_ms = ran_ms,
		.is_running = is_running,
		.at_ms = now_ms,
	};

	g_strlcpy(noted.organisation, request->organisation, sizeof(noted.organisation));
	g_strlcpy(noted.target, request->target, sizeof(noted.target));
	return noted;
}

void gate_charge_break(struct cw_gate *gate, const struct gate_break *noted, int64_t now_ms)
{
	struct cw_quarantine_request request = {
		.fingerprint = noted->fingerprint,
		.organisation = noted->organisation,
		.target = noted->target,
	};

	if (noted->is_refusal) {
		cw_quarantine_note_refused(gate->quarantine, noted->server, noted->at_ms, now_ms);
		return;
	}
	cw_quarantine_note_past_break(gate->quarantine, &request, noted->server, noted->ran_ms,
				      noted->is_running, noted->at_ms, now_ms);
}

static void hold_break(struct cw_gate *gate, const struct gate_break *held)
{
	if (gate->held_breaks->len < HELD_BREAKS_MAX)
		g_array_append_val(gate->held_breaks, *held);
}

/*
 * The links were cut: also the break that came before the partition was suspected is no crash. A
 * server that only refused connections may have ended all the same, as peers report.
 */
static void forget_breaks(struct cw_gate *gate, int64_t now_ms)
{
	for (size_t i = 0; i < gate->partition.lost_count; i++)
		if (gate->partition.is_charged[i])
			cw_quarantine_note_alive(gate->quarantine, gate->partition.lost[i], now_ms);
	g_array_set_size(gate->held_breaks, 0);
	g_array_set_size(gate->carried_breaks, 0);
}

/* The servers did end. */
static void release_breaks(struct cw_gate *gate, int64_t now_ms)
{
	for (guint i = 0; i < gate->held_breaks->len; i++)
		gate_charge_break(gate, &g_array_index(gate->held_breaks, struct gate_break, i),
				  now_ms);
	g_array_set_size(gate->held_breaks, 0);
}
