#include "gossip_internal.h"

#include <arpa/inet.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define GOSSIP_MAGIC 0x6377303a /* identifies the layout below; other values are rejected */

static void add_age(uint32_t *age_ms, uint32_t delay_ms);
static bool_t code(XDR *xdr, struct cw_gossip *gossip);
static bool_t code_eras(XDR *xdr, struct cw_gossip *gossip);
static bool_t code_forwarding(XDR *xdr, struct cw_gossip *gossip);
static bool_t code_shares(XDR *xdr, struct cw_gossip *gossip);
static bool_t code_member(XDR *xdr, struct cw_gossip_member *member);
static bool_t code_address(XDR *xdr, char *address);
static bool_t code_load(XDR *xdr, struct cw_gossip_load *load);
static bool_t code_rollout(XDR *xdr, struct cw_rollout_announcement *announcement);
static bool_t code_crash(XDR *xdr, struct cw_quarantine_crash *end);
static bool_t code_quarantined(XDR *xdr, struct cw_quarantine_record *record);
static bool_t code_drain(XDR *xdr, struct cw_drain_order *order);
static bool_t code_plan(XDR *xdr, struct cw_rollout_announcement *announcement);
static bool_t code_evidence(XDR *xdr, struct cw_rollout_evidence *evidence);
static bool_t code_number(XDR *xdr, float *number);

/*
 * Sixty instances that each sent the full message to all others filled links of 10 Mbit/s for half
 * a second: 2.5 kB to 65 peers every 150 ms. Sessions and loads take a tenth of that; reports of
 * server crashes took up to 4 kB more, just while servers crash. A trimmed message therefore keeps
 * neither members, records nor crashes. The list's offset is left out as well: without the records
 * before it, every recipient would see a gap and read the shared store.
 */
void cw_gossip_trim(struct cw_gossip *gossip)
{
	gossip->member_count = 0;
	gossip->change_count = 0;
	gossip->crash_count = 0;
	gossip->quarantined_count = 0;
	gossip->servers_next = (struct cw_position){0};
	gossip->servers_age_ms = CW_GOSSIP_NO_AGE;
	gossip->load_sequence = 0;
	for (size_t i = 0; i < gossip->rollout_count; i++)
		if (gossip->rollouts[i].session_count > CW_GOSSIP_TRIMMED_SESSIONS)
			gossip->rollouts[i].session_count = CW_GOSSIP_TRIMMED_SESSIONS;
}

/*
 * Symptom this prevents: an instance that had been stopped read the messages that had arrived
 * meanwhile, and placed the server crashes they report half a second too late. It took known
 * crashes for further ones, and announced them. Ages of roll-outs need no correction: their
 * earliest start counts.
 */
void cw_gossip_add_delay(struct cw_gossip *gossip, uint32_t delay_ms)
{
	add_age(&gossip->servers_age_ms, delay_ms);
	for (size_t i = 0; i < gossip->member_count; i++)
		add_age(&gossip->members[i].age_ms, delay_ms);
	for (size_t i = 0; i < gossip->crash_count; i++) {
		add_age(&gossip->crashes[i].age_ms, delay_ms);
		add_age(&gossip->crashes[i].answered_ms, delay_ms);
	}
	for (size_t i = 0; i < gossip->quarantined_count; i++)
		add_age(&gossip->quarantined[i].age_ms, delay_ms);
}

/* UINT32_MAX is no age: CW_GOSSIP_NO_AGE, CW_QUARANTINE_NEVER. */
static void add_age(uint32_t *age_ms, uint32_t delay_ms)
{
	if (*age_ms < UINT32_MAX - delay_ms)
		*age_ms += delay_ms;
}

size_t cw_gossip_encode(const struct cw_gossip *gossip, char *bytes, size_t size)
{
	XDR xdr;
	size_t used = 0;

	xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
	/* One function codes both directions; encoding doesn't write to the message. */
	if (code(&xdr, (struct cw_gossip *)gossip) && code_eras(&xdr, (struct cw_gossip *)gossip) &&
	    code_forwarding(&xdr, (struct cw_gossip *)gossip) &&
	    (gossip->load_sequence == 0 || code_shares(&xdr, (struct cw_gossip *)gossip)))
		used = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return used;
}

/*
 * Load pattern: when each of hundreds of instances sends to a few of the other domains, traffic
 * between domains, which is the expensive part, grows with their number, though instances of one
 * domain pass on to each other what any of them received. So a large domain sends as much as a
 * small one, its instances in turn.
 */
size_t cw_gossip_remote_fanout(size_t own_domain, uint64_t random)
{
	size_t all = (size_t)CW_GOSSIP_REMOTE_FANOUT * CW_GOSSIP_SMALL_DOMAIN;

	if (own_domain <= CW_GOSSIP_SMALL_DOMAIN)
		return CW_GOSSIP_REMOTE_FANOUT;
	return all / own_domain + (random % own_domain < all % own_domain);
}

enum cw_status cw_gossip_decode(const char *bytes, size_t size, struct cw_gossip *gossip)
{
	XDR xdr;
	bool_t is_complete;

	memset(gossip, 0, sizeof(*gossip));
	xdrmem_create(&xdr, (char *)bytes, (u_int)size, XDR_DECODE);
	is_complete = code(&xdr, gossip);
	/* Earlier builds end before one of these, and ignore what follows the part that they know.
	 */
	if (is_complete && xdr_getpos(&xdr) < size)
		is_complete = code_eras(&xdr, gossip);
	if (is_complete && xdr_getpos(&xdr) < size)
		is_complete = code_forwarding(&xdr, gossip);
	if (is_complete && xdr_getpos(&xdr) < size)
		is_complete = code_shares(&xdr, gossip);
	xdr_destroy(&xdr);
	return is_complete ? CW_OK : CW_INVALID;
}

/* The eras of all positions, in the order in which the message holds their offsets. */
static bool_t code_eras(XDR *xdr, struct cw_gossip *gossip)
{
	if (!xdr_uint64_t(xdr, &gossip->store_era) ||
	    !xdr_uint64_t(xdr, &gossip->operator_next.era) ||
	    !xdr_uint64_t(xdr, &gossip->servers_next.era))
		return FALSE;
	for (size_t i = 0; i < gossip->rollout_count; i++)
		if (!xdr_uint64_t(xdr, &gossip->rollouts[i].position.era))
			return FALSE;
	for (size_t i = 0; i < gossip->drain_count; i++)
		if (!xdr_uint64_t(xdr, &gossip->drains[i].position.era))
			return FALSE;
	return TRUE;
}

static bool_t code_forwarding(XDR *xdr, struct cw_gossip *gossip)
{
	return xdr_uint64_t(xdr, &gossip->forward_key) && xdr_int(xdr, &gossip->is_partitioned);
}

static bool_t code_shares(XDR *xdr, struct cw_gossip *gossip)
{
	if (!xdr_uint32_t(xdr, &gossip->load_sequence))
		return FALSE;
	for (size_t i = 0; i < gossip->load_count; i++) {
		gossip->shares[i].running = gossip->loads[i].running;
		if (!gossip_code_share(xdr, &gossip->shares[i]))
			return FALSE;
	}
	return TRUE;
}

static bool_t code(XDR *xdr, struct cw_gossip *gossip)
{
	u_int magic = GOSSIP_MAGIC;

	if (!xdr_u_int(xdr, &magic) || magic != GOSSIP_MAGIC)
		return FALSE;
	if (!code_member(xdr, &gossip->sender) || !xdr_uint64_t(xdr, &gossip->boot) ||
	    !xdr_int(xdr, &gossip->is_leaving) || !xdr_uint64_t(xdr, &gossip->config_version) ||
	    !xdr_uint64_t(xdr, &gossip->operator_next.offset) ||
	    !xdr_uint64_t(xdr, &gossip->servers_next.offset) ||
	    !xdr_u_int(xdr, &gossip->servers_age_ms) ||
	    !xdr_uint64_t(xdr, &gossip->servers_evidence.reader) ||
	    !xdr_uint64_t(xdr, &gossip->servers_evidence.number))
		return FALSE;
	if (!gossip_code_count(xdr, &gossip->change_count, CW_FOLLOW_CHANGES))
		return FALSE;
	for (size_t i = 0; i < gossip->change_count; i++)
		if (!gossip_code_change(xdr, &gossip->changes[i]))
			return FALSE;
	if (!gossip_code_count(xdr, &gossip->member_count, CW_GOSSIP_MEMBERS))
		return FALSE;
	for (size_t i = 0; i < gossip->member_count; i++)
		if (!code_member(xdr, &gossip->members[i]))
			return FALSE;
	if (!gossip_code_count(xdr, &gossip->load_count, CW_GOSSIP_SERVERS))
		return FALSE;
	for (size_t i = 0; i < gossip->load_count; i++)
		if (!code_load(xdr, &gossip->loads[i]))
			return FALSE;
	if (!gossip_code_count(xdr, &gossip->rollout_count, CW_GOSSIP_ROLLOUTS))
		return FALSE;
	for (size_t i = 0; i < gossip->rollout_count; i++)
		if (!code_rollout(xdr, &gossip->rollouts[i]))
			return FALSE;
	if (!gossip_code_count(xdr, &gossip->crash_count, CW_QUARANTINE_CRASHES_MAX))
		return FALSE;
	for (size_t i = 0; i < gossip->crash_count; i++)
		if (!code_crash(xdr, &gossip->crashes[i]))
			return FALSE;
	if (!gossip_code_count(xdr, &gossip->quarantined_count, CW_QUARANTINE_RECORDS_MAX))
		return FALSE;
	for (size_t i = 0; i < gossip->quarantined_count; i++)
		if (!code_quarantined(xdr, &gossip->quarantined[i]))
			return FALSE;
	if (!gossip_code_count(xdr, &gossip->drain_count, CW_DRAINS_MAX))
		return FALSE;
	for (size_t i = 0; i < gossip->drain_count; i++)
		if (!code_drain(xdr, &gossip->drains[i]))
			return FALSE;
	return TRUE;
}

static bool_t code_crash(XDR *xdr, struct cw_quarantine_crash *end)
{
	return xdr_uint64_t(xdr, &end->fingerprint) && xdr_uint64_t(xdr, &end->server) &&
	       xdr_int(xdr, &end->is_alive) && xdr_u_int(xdr, &end->age_ms) &&
	       xdr_u_int(xdr, &end->ran_ms) && xdr_int(xdr, &end->is_running) &&
	       xdr_int(xdr, &end->is_confirmed) && xdr_u_int(xdr, &end->answered_ms);
}

static bool_t code_quarantined(XDR *xdr, struct cw_quarantine_record *record)
{
	return xdr_uint64_t(xdr, &record->fingerprint) &&
	       gossip_code_text(xdr, record->organisation, CW_NAME_MAX) &&
	       gossip_code_text(xdr, record->target, CW_NAME_MAX) &&
	       xdr_u_int(xdr, &record->crash_count) && xdr_u_int(xdr, &record->age_ms) &&
	       xdr_int(xdr, &record->is_released) && xdr_int(xdr, &record->is_written);
}

static bool_t code_drain(XDR *xdr, struct cw_drain_order *order)
{
	return gossip_code_text(xdr, order->failure_domain, CW_NAME_MAX) &&
	       xdr_uint64_t(xdr, &order->position.offset) && xdr_int(xdr, &order->is_drained);
}

static bool_t code_member(XDR *xdr, struct cw_gossip_member *member)
{
	return gossip_code_text(xdr, member->instance, CW_NAME_MAX) &&
	       gossip_code_text(xdr, member->failure_domain, CW_NAME_MAX) &&
	       code_address(xdr, member->address) && xdr_u_int(xdr, &member->age_ms);
}

/* "IP:PORT" in eight bytes: names and addresses of members are the bulk of each message. */
static bool_t code_address(XDR *xdr, char *address)
{
	struct in_addr ip = {0};
	u_int host = 0;
	u_int port = 0;

	if (xdr->x_op == XDR_ENCODE && *address) {
		char text[INET_ADDRSTRLEN] = "";

		if (sscanf(address, "%15[0-9.]:%u", text, &port) != 2 || /* NOLINT(cert-err34-c) */
		    inet_pton(AF_INET, text, &ip) != 1)
			return FALSE;
		host = ntohl(ip.s_addr);
	}
	if (!xdr_u_int(xdr, &host) || !xdr_u_int(xdr, &port) || port > UINT16_MAX)
		return FALSE;
	if (xdr->x_op == XDR_DECODE && port > 0)
		snprintf(address, CW_ADDRESS_MAX, "%u.%u.%u.%u:%u", host >> 24, host >> 16 & 0xff,
			 host >> 8 & 0xff, host & 0xff, port);
	return TRUE;
}

bool_t gossip_code_change(XDR *xdr, struct cw_change *change)
{
	struct cw_server_entry *entry = &change->entry;

	if (!xdr_uint64_t(xdr, &change->offset) || !xdr_int(xdr, &change->is_removed) ||
	    !gossip_code_text(xdr, entry->name, CW_NAME_MAX))
		return FALSE;
	return change->is_removed || gossip_code_entry(xdr, entry);
}

bool_t gossip_code_entry(XDR *xdr, struct cw_server_entry *entry)
{
	return gossip_code_int64(xdr, &entry->process_start_ms) &&
	       gossip_code_text(xdr, entry->service, CW_NAME_MAX) &&
	       gossip_code_text(xdr, entry->address, CW_ADDRESS_MAX) &&
	       gossip_code_text(xdr, entry->failure_domain, CW_NAME_MAX) &&
	       gossip_code_text(xdr, entry->software, CW_NAME_MAX) &&
	       xdr_u_int(xdr, &entry->slots) && xdr_int(xdr, &entry->is_leaving) &&
	       gossip_code_int64(xdr, &entry->cold_ms) && entry->cold_ms >= 0;
}

static bool_t code_load(XDR *xdr, struct cw_gossip_load *load)
{
	return xdr_uint64_t(xdr, &load->server) && xdr_u_int(xdr, &load->running) &&
	       xdr_u_int(xdr, &load->work_ms);
}

static bool_t code_rollout(XDR *xdr, struct cw_rollout_announcement *announcement)
{
	int state = announcement->state;

	if (!gossip_code_text(xdr, announcement->service, CW_NAME_MAX) ||
	    !gossip_code_text(xdr, announcement->target, CW_NAME_MAX) ||
	    !xdr_uint64_t(xdr, &announcement->position.offset) ||
	    !gossip_code_int64(xdr, &announcement->elapsed_ms) ||
	    !gossip_code_int64(xdr, &announcement->duration_ms) || !xdr_int(xdr, &state) ||
	    !xdr_int(xdr, &announcement->is_written) || !xdr_uint64_t(xdr, &announcement->sent) ||
	    !xdr_uint64_t(xdr, &announcement->sent_target) || !code_plan(xdr, announcement))
		return FALSE;
	if (state < CW_ROLLOUT_RUNNING || state > CW_ROLLOUT_ROLLED_BACK)
		return FALSE;
	announcement->state = (enum cw_rollout_state)state;
	if (!gossip_code_count(xdr, &announcement->kind_count, CW_ROLLOUT_MAX_KINDS))
		return FALSE;
	for (size_t i = 0; i < announcement->kind_count; i++)
		if (!code_evidence(xdr, &announcement->kinds[i]))
			return FALSE;
	if (!gossip_code_count(xdr, &announcement->session_count, CW_ROLLOUT_MAX_SESSIONS))
		return FALSE;
	for (size_t i = 0; i < announcement->session_count; i++)
		if (!xdr_uint64_t(xdr, &announcement->sessions[i].session) ||
		    !xdr_u_int(xdr, &announcement->sessions[i].age_ms))
			return FALSE;
	return TRUE;
}

/*
 * Rejects steps with a negative time: a step in force before its order would move sessions at once.
 * No instance announces such a step.
 */
static bool_t code_plan(XDR *xdr, struct cw_rollout_announcement *announcement)
{
	for (size_t i = 0; i < CW_ROLLOUT_STEP_COUNT; i++)
		if (!gossip_code_int64(xdr, &announcement->effective_ms[i]) ||
		    announcement->effective_ms[i] < 0)
			return FALSE;
	if (!code_number(xdr, &announcement->trial_share) ||
	    !xdr_u_int(xdr, &announcement->counted_ms) ||
	    !gossip_code_count(xdr, &announcement->route_count, CW_ROLLOUT_MAX_ROUTES))
		return FALSE;
	for (size_t i = 0; i < announcement->route_count; i++) {
		struct cw_rollout_route *route = &announcement->routes[i];

		if (!xdr_uint64_t(xdr, &route->route) || !xdr_u_int(xdr, &route->arrivals) ||
		    !xdr_u_int(xdr, &route->long_running) ||
		    !xdr_u_int(xdr, &route->short_prompts) ||
		    !xdr_u_int(xdr, &route->old_answers) || !xdr_u_int(xdr, &route->old_failed) ||
		    !xdr_u_int(xdr, &route->new_answers) || !xdr_u_int(xdr, &route->new_failed) ||
		    !xdr_u_int(xdr, &route->kinds) || !code_number(xdr, &route->share))
			return FALSE;
	}
	return TRUE;
}

static bool_t code_evidence(XDR *xdr, struct cw_rollout_evidence *evidence)
{
	return xdr_uint64_t(xdr, &evidence->route) && xdr_int(xdr, &evidence->is_loaded) &&
	       code_number(xdr, &evidence->old_answers) && code_number(xdr, &evidence->old_bad) &&
	       code_number(xdr, &evidence->old_answers_long) &&
	       code_number(xdr, &evidence->old_bad_long) &&
	       code_number(xdr, &evidence->new_answers) && code_number(xdr, &evidence->new_bad) &&
	       code_number(xdr, &evidence->new_answers_long) &&
	       code_number(xdr, &evidence->new_bad_long);
}

/* A number that is not finite would corrupt every sum that it is added to. */
static bool_t code_number(XDR *xdr, float *number)
{
	return xdr_float(xdr, number) && isfinite(*number) && *number >= 0;
}

bool_t gossip_code_text(XDR *xdr, char *text, u_int size)
{
	return xdr_string(xdr, &text, size - 1);
}

bool_t gossip_code_count(XDR *xdr, size_t *count, size_t max)
{
	u_int number = (u_int)*count;

	if (!xdr_u_int(xdr, &number) || number > max)
		return FALSE;
	*count = number;
	return TRUE;
}

bool_t gossip_code_int64(XDR *xdr, int64_t *value)
{
	uint64_t bits = (uint64_t)*value;

	if (!xdr_uint64_t(xdr, &bits))
		return FALSE;
	*value = (int64_t)bits;
	return TRUE;
}
