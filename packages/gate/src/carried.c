/*
 * Connections that broke under requests of peers. A server that ended and a link that was cut look
 * alike, and a request of another instance must not be charged for a link of this one. So such a
 * break counts as a crash only with proof that the links of this instance are whole, which is a
 * byte or a new connection from any server shortly after the break, or that the server has gone,
 * which is its removal from the list.
 */
#include "gate_internal.h"

#define CARRIED_BREAKS_MAX 256
#define CONTACT_FROM_MS	   50	/* bytes that were sent before a cut have been read by then */
#define CONTACT_UNTIL_MS   400	/* later, a cut that began with the break may be over */
#define REMOVAL_MS	   4000 /* until a server that ended is off the list */

static int is_due(const struct gate_break *carried, int64_t now_ms);

void cw_gate_note_carried_break(struct cw_gate *gate, const struct cw_quarantine_request *request,
				const struct cw_server *server, int64_t ran_ms, int is_running,
				int64_t now_ms)
{
	struct gate_break carried =
		gate_make_break(request, server->id, ran_ms, is_running, now_ms);

	if (gate_ends_as_planned(gate, server, now_ms) ||
	    gate->partition.state == CW_PARTITION_CONFIRMED ||
	    gate->carried_breaks->len >= CARRIED_BREAKS_MAX)
		return;
	g_array_append_val(gate->carried_breaks, carried);
}

int cw_gate_needs_contact(struct cw_gate *gate, int64_t now_ms)
{
	int needs_contact = 0;

	for (guint i = 0; i < gate->carried_breaks->len; i++) {
		struct gate_break *carried =
			&g_array_index(gate->carried_breaks, struct gate_break, i);

		needs_contact |= is_due(carried, now_ms) && !carried->is_probed;
		carried->is_probed |= is_due(carried, now_ms);
	}
	return needs_contact;
}

void cw_gate_note_removed(struct cw_gate *gate, const struct cw_server *server, int64_t now_ms)
{
	for (guint i = gate->carried_breaks->len; i-- > 0;) {
		const struct gate_break *carried =
			&g_array_index(gate->carried_breaks, struct gate_break, i);

		if (carried->server != server->id)
			continue;
		gate_charge_break(gate, carried, now_ms);
		g_array_remove_index(gate->carried_breaks, i);
	}
	cw_quarantine_note_unreachable(gate->quarantine, server->id, now_ms);
}

void gate_charge_carried(struct cw_gate *gate, int64_t now_ms)
{
	for (guint i = gate->carried_breaks->len; i-- > 0;) {
		const struct gate_break *carried =
			&g_array_index(gate->carried_breaks, struct gate_break, i);

		if (!is_due(carried, now_ms))
			continue;
		gate_charge_break(gate, carried, now_ms);
		g_array_remove_index(gate->carried_breaks, i);
	}
}

void gate_drop_carried(struct cw_gate *gate, int64_t now_ms)
{
	for (guint i = gate->carried_breaks->len; i-- > 0;)
		if (now_ms - g_array_index(gate->carried_breaks, struct gate_break, i).at_ms >=
		    REMOVAL_MS)
			g_array_remove_index(gate->carried_breaks, i);
}

static int is_due(const struct gate_break *carried, int64_t now_ms)
{
	return now_ms - carried->at_ms >= CONTACT_FROM_MS &&
	       now_ms - carried->at_ms <= CONTACT_UNTIL_MS;
}
