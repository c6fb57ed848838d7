#include "entry.h"
#include "cw_audience.h"
#include "cw_counters.h"
#include "cw_forwarder.h"
#include "cw_hash.h"
#include "cw_membership.h"
#include "cw_timeline.h"

#include <string.h>

#define GOSSIP_INTERVAL_MS	150 /* prompts wait 20 to 500 ms: loads this old still balance them */
#define PEER_TIMEOUT_MS		2000 /* thirteen rounds; among many, other peers' reports count too */
#define MEMBER_RETENTION_MS	60000
#define DISCOVERY_MS		2000 /* after the start; messages have named all the others by then */
#define STABLE_MS		500  /* ranks are valid after so long without many new peers */
#define ISOLATED_MS		3000 /* without peers by then, an instance is alone or partitioned */
#define SEED_INTERVAL_ROUNDS	8 /* between messages to the seeds, of which some may never answer */
#define FIRST_ROUND_MS		10   /* after the start; a peer's state arrives within 20 ms */
#define FORWARD_AVOIDED_MS	1000 /* a peer that did not forward: it may be partitioned too */
#define REPLIES_PER_ROUND	8    /* to instances that have no state yet */
#define INTRODUCTIONS_PER_ROUND 400  /* to instances that are new here: 0.3 kB each */
#define RECEIVE_BUFFER_BYTES	(20 * 1024) /* larger than any message */

struct peers {
	struct entry *entry;
	struct cw_membership *membership;
	uv_udp_t socket;
	uv_timer_t timer;
	uint64_t boot_id;
	uint64_t round_count;
	int64_t started_ms;
	unsigned int replies_left; /* in this round */
	unsigned int introductions_left;
};

/* One encoded message, sent to any number of peers. */
struct datagram {
	char bytes[CW_GOSSIP_BYTES];
	size_t size; /* 0: no message */
};

static void on_timer(uv_timer_t *timer);
static void on_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static void on_datagram(uv_udp_t *socket, ssize_t size, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned int flags);
static void on_closed(uv_handle_t *handle);
static void fill_sender(const struct peers *peers, struct cw_gossip *gossip);
static void fill_announcement(struct peers *peers, struct cw_gossip *gossip);
static void add_members(const struct peers *peers, struct cw_gossip *gossip, int64_t now_ms);
static void encode_message(struct datagram *message, const struct cw_gossip *gossip);
static void encode_reports(const struct peers *peers, struct datagram *message);
static void send_to_members(struct peers *peers, const struct datagram *full,
			    const struct datagram *trimmed, const struct datagram *reports);
static void send_to(struct peers *peers, const char *address, const struct datagram *message);
static void send_bytes(struct peers *peers, const char *address, const char *bytes, size_t size);
static void merge_announcement(struct peers *peers, struct cw_gossip *gossip);
static void send_introduction(struct peers *peers, const char *address);
static void reply_to_new_instance(struct peers *peers, const char *address);
static void find_warmup_place(void *context, uint64_t server, struct cw_warmup_place *place);
static size_t count_budget_sharers(const struct peers *peers);

struct peers *peers_create(struct entry *entry, struct cw_error *error)
{
	struct peers *peers = g_new0(struct peers, 1);
	const struct cw_up_settings *settings = &entry->settings;
	struct sockaddr_in socket_address;
	int code;

	peers->entry = entry;
	peers->started_ms = entry_now_ms(entry);
	peers->introductions_left = INTRODUCTIONS_PER_ROUND;
	peers->membership =
		cw_membership_create(settings->instance, settings->failure_domain, PEER_TIMEOUT_MS);
	cw_membership_start_settling(peers->membership, peers->started_ms, DISCOVERY_MS,
				     settings->is_only_instance);
	cw_random_bytes(&peers->boot_id, sizeof(peers->boot_id));
	uv_udp_init(&entry->loop, &peers->socket);
	uv_timer_init(&entry->loop, &peers->timer);
	peers->socket.data = peers->timer.data = peers;
	code = cw_flow_parse_address(settings->peers_listen, &socket_address) == CW_OK ? 0
										       : UV_EINVAL;
	if (!code)
		code = uv_udp_bind(&peers->socket, (const struct sockaddr *)&socket_address, 0);
	if (!code)
		code = uv_udp_recv_start(&peers->socket, on_buffer, on_datagram);
	if (code) {
		cw_error_set(error, CW_UNREACHABLE, "listen for peers", settings->peers_listen,
			     "%s", uv_strerror(code));
		peers_destroy(peers);
		return NULL;
	}
	cw_flow_datagram_delay_ms(&peers->socket);
	uv_timer_start(&peers->timer, on_timer, FIRST_ROUND_MS, GOSSIP_INTERVAL_MS);
	cw_pool_set_place_lookup(cw_gate_pool(entry->gate), find_warmup_place, peers);
	return peers;
}

void peers_destroy(struct peers *peers)
{
	if (!peers)
		return;
	uv_close((uv_handle_t *)&peers->timer, NULL);
	uv_close((uv_handle_t *)&peers->socket, on_closed);
}

size_t peers_count(const struct peers *peers)
{
	return cw_membership_size(peers->membership) - 1;
}

int peers_is_stable(const struct peers *peers, int64_t now_ms)
{
	if (peers_count(peers) == 0 && !peers->entry->settings.is_only_instance &&
	    now_ms - peers->started_ms < ISOLATED_MS)
		return 0;
	return cw_membership_is_stable(peers->membership, now_ms, STABLE_MS);
}

size_t peers_rank(const struct peers *peers, uint64_t key, int64_t now_ms)
{
	return cw_membership_rank(peers->membership, key, now_ms);
}

struct cw_member *peers_choose_forwarder(struct peers *peers, const uint64_t *tried,
					 size_t tried_count)
{
	struct cw_forwarder_choice choice = {
		.failure_domain = peers->entry->settings.failure_domain,
		.tried = tried,
		.tried_count = tried_count,
		.now_ms = entry_now_ms(peers->entry),
	};
	struct cw_member *member;

	cw_random_bytes(&choice.random, sizeof(choice.random));
	member = cw_forwarder_choose(peers->membership, &choice);
	if (member)
		member->forwards++;
	return member;
}

/* The membership may have dropped the peer meanwhile, or counts for a new start of it. */
void peers_end_forward(struct peers *peers, const char *instance, int is_avoided)
{
	struct cw_member *member = cw_membership_find(peers->membership, instance);

	if (!member)
		return;
	if (member->forwards > 0)
		member->forwards--;
	if (is_avoided)
		member->avoided_until_ms = entry_now_ms(peers->entry) + FORWARD_AVOIDED_MS;
}

uint64_t peers_boot(const struct peers *peers)
{
	return peers->boot_id;
}

size_t peers_send_to_domain(struct peers *peers, const char *failure_domain, const char *bytes,
			    size_t size)
{
	const char *own_domain = peers->entry->settings.failure_domain;
	int64_t now_ms = entry_now_ms(peers->entry);
	size_t known = cw_membership_size(peers->membership);
	struct cw_member **members = g_new(struct cw_member *, known);
	size_t own_left = PEERS_DOMAIN_FANOUT;
	int is_any = failure_domain == NULL;
	size_t other_left =
		is_any || strcmp(failure_domain, own_domain) != 0 ? PEERS_DOMAIN_FANOUT : 0;
	size_t sent = 0;
	size_t count;
	uint64_t random;

	cw_random_bytes(&random, sizeof(random));
	count = cw_membership_sample(peers->membership, random, members, known);
	for (size_t i = 0; i < count; i++) {
		int is_own = !strcmp(members[i]->failure_domain, own_domain);
		size_t *left = is_own ? &own_left : &other_left;

		if (!is_own && !is_any && strcmp(members[i]->failure_domain, failure_domain) != 0)
			continue;
		if (*left == 0 || !cw_membership_is_live(peers->membership, members[i], now_ms))
			continue;
		(*left)--;
		send_bytes(peers, members[i]->address, bytes, size);
		sent++;
	}
	g_free(members);
	return sent;
}

size_t peers_send_to_some(struct peers *peers, const char *bytes, size_t size)
{
	struct cw_audience audience;
	uint64_t random;
	size_t sent;

	cw_random_bytes(&random, sizeof(random));
	cw_audience_choose(&audience, peers->membership, peers->entry->settings.failure_domain,
			   random);
	sent = audience.full_count;
	for (size_t i = 0; i < sent; i++)
		send_bytes(peers, audience.members[i]->address, bytes, size);
	cw_audience_clear(&audience);
	return sent;
}

void peers_announce(struct peers *peers)
{
	const struct cw_up_settings *settings = &peers->entry->settings;
	struct cw_rollouts *rollouts = cw_gate_rollouts(peers->entry->gate);
	struct cw_gossip *gossip = g_new0(struct cw_gossip, 1);
	struct datagram full;
	struct datagram trimmed = {0};
	struct datagram reports;

	fill_announcement(peers, gossip);
	encode_message(&full, gossip);
	/*
	 * Before a roll-out sends the first session to the new version, all instances must know
	 * which sessions the old version serves.
	 */
	if (cw_rollouts_is_starting(rollouts, entry_now_ms(peers->entry))) {
		cw_gossip_trim(gossip);
		encode_message(&trimmed, gossip);
	}
	g_free(gossip);
	encode_reports(peers, &reports);
	send_to_members(peers, &full, &trimmed, &reports);
	load_announce(peers->entry, entry_now_ms(peers->entry));
	if (peers->round_count++ % SEED_INTERVAL_ROUNDS == 0 ||
	    cw_audience_needs_seeds(peers->membership, entry_is_synced(peers->entry)))
		for (size_t i = 0; i < settings->seed_count; i++)
			if (strcmp(settings->seeds[i], settings->peers_listen) != 0)
				send_to(peers, settings->seeds[i], &full);
}

static void encode_message(struct datagram *message, const struct cw_gossip *gossip)
{
	message->size = cw_gossip_encode(gossip, message->bytes, sizeof(message->bytes));
	if (message->size == 0)
		cw_warn("peers", "message_too_large", "limit=%d", CW_GOSSIP_BYTES);
}

/* Without reports there is no message. */
static void encode_reports(const struct peers *peers, struct datagram *message)
{
	const struct entry *entry = peers->entry;
	struct cw_gossip_reports reports;
	uint64_t random;

	cw_random_bytes(&random, sizeof(random));
	cw_gossip_fill_reports(&reports, entry->settings.instance, cw_gate_pool(entry->gate),
			       random, entry_now_ms(entry));
	message->size = 0;
	if (reports.count > 0)
		message->size =
			cw_gossip_encode_reports(&reports, message->bytes, sizeof(message->bytes));
}

static void send_to_members(struct peers *peers, const struct datagram *full,
			    const struct datagram *trimmed, const struct datagram *reports)
{
	struct cw_audience audience;
	uint64_t random;

	cw_random_bytes(&random, sizeof(random));
	cw_audience_choose(&audience, peers->membership, peers->entry->settings.failure_domain,
			   random);
	for (size_t i = 0; i < audience.count; i++)
		send_to(peers, audience.members[i]->address,
			i < audience.full_count ? full : trimmed);
	for (size_t i = 0; i < audience.full_count; i++)
		send_to(peers, audience.members[i]->address, reports);
	cw_audience_clear(&audience);
}

static void on_timer(uv_timer_t *timer)
{
	struct peers *peers = timer->data;

	cw_membership_remove_stale(peers->membership, entry_now_ms(peers->entry),
				   MEMBER_RETENTION_MS);
	backlogs_apply(peers->entry->backlogs, entry_now_ms(peers->entry));
	cw_gate_set_instances(peers->entry->gate, count_budget_sharers(peers));
	peers->replies_left = REPLIES_PER_ROUND;
	peers->introductions_left = INTRODUCTIONS_PER_ROUND;
	peers_announce(peers);
}

/*
 * The number of instances that share budgets, 0 until peers are discovered. Peers that fell silent
 * within the last minute count: they may have used their share, and a network partition only hides
 * them.
 */
static size_t count_budget_sharers(const struct peers *peers)
{
	if (entry_now_ms(peers->entry) - peers->started_ms < DISCOVERY_MS)
		return 0;
	return cw_membership_size(peers->membership);
}

static void on_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[RECEIVE_BUFFER_BYTES];

	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_datagram(uv_udp_t *socket, ssize_t size, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned int flags)
{
	struct peers *peers = socket->data;
	struct cw_gossip_reports reports;
	struct cw_gossip *gossip;

	if (size <= 0)
		return;
	gossip = g_new0(struct cw_gossip, 1);
	if (cw_gossip_decode(buffer->base, (size_t)size, gossip) == CW_OK) {
		cw_gossip_add_delay(gossip, cw_flow_datagram_delay_ms(socket));
		merge_announcement(peers, gossip);
	} else if (cw_gossip_decode_reports(buffer->base, (size_t)size, &reports) == CW_OK) {
		reports_merge(peers->entry, &reports, cw_flow_datagram_delay_ms(socket));
	} else if (!load_merge(peers->entry, buffer->base, (size_t)size,
			       cw_flow_datagram_delay_ms(socket))) {
		cw_counter_add("peer_messages_ignored", "", 1);
	}
	g_free(gossip);
}

static void on_closed(uv_handle_t *handle)
{
	struct peers *peers = handle->data;

	cw_pool_set_place_lookup(cw_gate_pool(peers->entry->gate), NULL, NULL);
	cw_membership_destroy(peers->membership);
	g_free(peers);
}

static void fill_sender(const struct peers *peers, struct cw_gossip *gossip)
{
	const struct entry *entry = peers->entry;

	g_strlcpy(gossip->sender.instance, entry->settings.instance, CW_NAME_MAX);
	g_strlcpy(gossip->sender.failure_domain, entry->settings.failure_domain, CW_NAME_MAX);
	g_strlcpy(gossip->sender.address, entry->settings.peers_listen, CW_ADDRESS_MAX);
	gossip->boot = peers->boot_id;
	gossip->is_leaving = entry->stop_requested_ms != 0;
	gossip->forward_key = forwards_key(entry->forwards);
	gossip->is_partitioned =
		cw_partition_is_cut_off(cw_gate_partition(entry->gate), entry_now_ms(entry));
}

static void fill_announcement(struct peers *peers, struct cw_gossip *gossip)
{
	struct entry *entry = peers->entry;
	const struct cw_config *config = cw_gate_config(entry->gate);
	int64_t now_ms = entry_now_ms(entry);

	fill_sender(peers, gossip);
	gossip->config_version = config ? cw_config_version(config) : 0;
	feed_fill_announcement(entry->feed, gossip);
	add_members(peers, gossip, now_ms);
	backlogs_fill(entry->backlogs, gossip, now_ms);
	gossip->rollout_count = cw_rollouts_announce(cw_gate_rollouts(entry->gate), now_ms,
						     gossip->rollouts, CW_GOSSIP_ROLLOUTS);
	gossip->crash_count =
		cw_quarantine_announce_crashes(cw_gate_quarantine(entry->gate), now_ms,
					       gossip->crashes, CW_QUARANTINE_CRASHES_MAX);
	gossip->quarantined_count =
		cw_quarantine_announce_records(cw_gate_quarantine(entry->gate), now_ms,
					       gossip->quarantined, CW_QUARANTINE_RECORDS_MAX);
	gossip->drain_count = cw_drains_list(cw_pool_drains(cw_gate_pool(entry->gate)),
					     gossip->drains, CW_DRAINS_MAX);
}

/* This instance's rank among those that may send requests to a cold or rate-limited server. */
static void find_warmup_place(void *context, uint64_t server, struct cw_warmup_place *place)
{
	const struct peers *peers = context;

	place->rank = cw_membership_stable_rank(peers->membership, server,
						entry_now_ms(peers->entry), &place->instances);
	place->may_be_split =
		!cw_membership_is_complete(peers->membership, entry_now_ms(peers->entry));
}

static void add_members(const struct peers *peers, struct cw_gossip *gossip, int64_t now_ms)
{
	uint64_t random;

	cw_random_bytes(&random, sizeof(random));
	cw_gossip_add_members(gossip, peers->membership, PEERS_READERS_KEY, random, now_ms);
}

static void send_to(struct peers *peers, const char *address, const struct datagram *message)
{
	send_bytes(peers, address, message->bytes, message->size);
}

static void send_bytes(struct peers *peers, const char *address, const char *bytes, size_t size)
{
	struct sockaddr_in socket_address;
	uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned int)size);

	if (size == 0 || cw_flow_parse_address(address, &socket_address) != CW_OK)
		return;
	/* A full socket buffer drops the message, as the network may; the next one follows. */
	if (uv_udp_try_send(&peers->socket, &buffer, 1, (const struct sockaddr *)&socket_address) <
	    0)
		cw_counter_add("peer_messages_unsent", "", 1);
}

static void merge_announcement(struct peers *peers, struct cw_gossip *gossip)
{
	struct entry *entry = peers->entry;
	int64_t now_ms = entry_now_ms(entry);
	int is_new;
	struct cw_member *member =
		cw_gossip_merge_members(gossip, peers->membership, &is_new, now_ms);

	if (!member)
		return;
	if (is_new)
		cw_event("peers", "peer", "peer=%s domain=%s address=%s boot=%lx", member->instance,
			 member->failure_domain, member->address, (unsigned long)gossip->boot);
	if (is_new && peers->introductions_left > 0)
		send_introduction(peers, gossip->sender.address);
	feed_merge_era(entry->feed, gossip);
	backlogs_merge_round(entry->backlogs, gossip, now_ms);
	for (size_t i = 0; i < gossip->rollout_count; i++)
		if (cw_rollouts_merge(cw_gate_rollouts(entry->gate), member->id,
				      &gossip->rollouts[i], now_ms))
			cw_event("peers", "rollout_received",
				 "peer=%s service=%s target=%s state=%d written=%d",
				 member->instance, gossip->rollouts[i].service,
				 gossip->rollouts[i].target, gossip->rollouts[i].state,
				 gossip->rollouts[i].is_written);
	for (size_t i = 0; i < gossip->crash_count; i++)
		cw_quarantine_merge_crash(cw_gate_quarantine(entry->gate), &gossip->crashes[i],
					  now_ms);
	for (size_t i = 0; i < gossip->quarantined_count; i++)
		cw_quarantine_merge_record(cw_gate_quarantine(entry->gate), &gossip->quarantined[i],
					   CW_QUARANTINE_PEER, now_ms);
	for (size_t i = 0; i < gossip->drain_count; i++)
		feed_apply_drain(entry->feed, &gossip->drains[i], member->instance);
	feed_merge_announcement(entry->feed, gossip);
	if (gossip->operator_next.offset == 0 && entry_is_synced(entry) && peers->replies_left > 0)
		reply_to_new_instance(peers, gossip->sender.address);
}

/*
 * Load pattern: a thousand instances start and know only the seeds, each of which sends to a few
 * instances in a round. Nine seconds later some had received no message, and read the store as if
 * they were alone. So an instance that is new here is sent the names of other members, in a message
 * without state.
 */
static void send_introduction(struct peers *peers, const char *address)
{
	struct cw_gossip *gossip = g_new0(struct cw_gossip, 1);
	struct datagram message;

	peers->introductions_left--;
	fill_sender(peers, gossip);
	gossip->servers_age_ms = CW_GOSSIP_NO_AGE;
	add_members(peers, gossip, entry_now_ms(peers->entry));
	encode_message(&message, gossip);
	g_free(gossip);
	send_to(peers, address, &message);
}

/* Without a peer's state the new instance must read the store, while its callers wait. */
static void reply_to_new_instance(struct peers *peers, const char *address)
{
	struct cw_gossip *gossip = g_new0(struct cw_gossip, 1);
	struct datagram message;
	size_t next = 0;

	peers->replies_left--;
	fill_announcement(peers, gossip);
	encode_message(&message, gossip);
	g_free(gossip);
	send_to(peers, address, &message);
	encode_reports(peers, &message);
	send_to(peers, address, &message);
	do {
		message.size = load_encode_prior(peers->entry, message.bytes, sizeof(message.bytes),
						 &next);
		send_to(peers, address, &message);
	} while (next > 0);
}
