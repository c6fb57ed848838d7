#include "entry.h"
#include "cw_counters.h"
#include "cw_gossip.h"
#include "cw_hash.h"
#include "cw_membership.h"
#include "cw_readers.h"
#include "cw_timeline.h"

#include <string.h>

#define GOSSIP_EVERY_MS 150  /* prompts wait 20 to 500 ms: a view this old still balances them */
#define SILENT_MS	2000 /* thirteen rounds; of many instances, what others heard counts too */
#define KEEP_MS		60000
#define KNOWN_MS	2000	    /* after a start: by then messages have named all the others */
#define FANOUT_ALL	12	    /* up to so many are all told each time */
#define FANOUT_OWN	6	    /* of more neighbours, others each time */
#define SEED_EVERY	8	    /* messages between two to a seed that never answered */
#define FIRST_MS	10	    /* after a start: a peer's state is there in 20 ms */
#define ANSWERS		8	    /* a round to instances that know nothing yet */
#define READ_BYTES	(20 * 1024) /* more than any message */

struct peer_loads {
	uint64_t id;
	int64_t heard_ms;
	size_t count;
	struct cw_gossip_load loads[CW_GOSSIP_SERVERS];
};

struct peers {
	struct entry *entry;
	struct cw_membership *membership;
	GHashTable *loads; /* member id -> struct peer_loads */
	uv_udp_t socket;
	uv_timer_t timer;
	uint64_t boot;
	uint64_t rounds;
	int64_t started_ms;
	unsigned int answers_left; /* of this round */
};

/* One datagram, to any number of peers. */
struct message {
	char bytes[CW_GOSSIP_BYTES];
	size_t size; /* 0: none */
};

static void on_timer(uv_timer_t *timer);
static void on_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static void on_datagram(uv_udp_t *socket, ssize_t size, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned int flags);
static void on_closed(uv_handle_t *handle);
static void fill(struct peers *peers, struct cw_gossip *gossip);
static void name_members(const struct peers *peers, struct cw_gossip *gossip, int64_t now_ms);
static void encode(struct message *message, const struct cw_gossip *gossip);
static void tell_members(struct peers *peers, const struct message *whole,
			 const struct message *cut);
static void send_to(struct peers *peers, const char *address, const struct message *message);
static void hear(struct peers *peers, const struct cw_gossip *gossip);
static void answer_new(struct peers *peers, const char *address);
static void hear_of(struct peers *peers, const struct cw_gossip_member *told, int64_t now_ms);
static void count_loads(struct peers *peers);
static void find_place(void *context, uint64_t server, struct cw_warmup_place *place);
static size_t sharers(const struct peers *peers);

struct peers *peers_create(struct entry *entry, struct cw_error *error)
{
	struct peers *peers = g_new0(struct peers, 1);
	const struct cw_up_settings *settings = &entry->settings;
	struct sockaddr_in where;
	int code;

	peers->entry = entry;
	peers->started_ms = entry_now_ms(entry);
	peers->membership =
		cw_membership_create(settings->instance, settings->failure_domain, SILENT_MS);
	cw_membership_settle(peers->membership, peers->started_ms, KNOWN_MS,
			     settings->is_only_instance);
	peers->loads = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	cw_random_bytes(&peers->boot, sizeof(peers->boot));
	uv_udp_init(&entry->loop, &peers->socket);
	uv_timer_init(&entry->loop, &peers->timer);
	peers->socket.data = peers->timer.data = peers;
	code = cw_flow_address(settings->peers_listen, &where) == CW_OK ? 0 : UV_EINVAL;
	if (!code)
		code = uv_udp_bind(&peers->socket, (const struct sockaddr *)&where, 0);
	if (!code)
		code = uv_udp_recv_start(&peers->socket, on_buffer, on_datagram);
	if (code) {
		cw_error_set(error, CW_UNREACHABLE, "listen for peers", settings->peers_listen,
			     "%s", uv_strerror(code));
		peers_destroy(peers);
		return NULL;
	}
	uv_timer_start(&peers->timer, on_timer, FIRST_MS, GOSSIP_EVERY_MS);
	cw_pool_set_places(cw_gate_pool(entry->gate), find_place, peers);
	return peers;
}

void peers_destroy(struct peers *peers)
{
	if (!peers)
		return;
	uv_close((uv_handle_t *)&peers->timer, NULL);
	uv_close((uv_handle_t *)&peers->socket, on_closed);
}

size_t peers_rank(const struct peers *peers, uint64_t key, int64_t now_ms)
{
	return cw_membership_rank(peers->membership, key, now_ms);
}

void peers_tell(struct peers *peers)
{
	const struct cw_up_settings *settings = &peers->entry->settings;
	struct cw_rollouts *rollouts = cw_gate_rollouts(peers->entry->gate);
	struct cw_gossip *gossip = g_new0(struct cw_gossip, 1);
	struct message whole;
	struct message cut = {0};

	fill(peers, gossip);
	encode(&whole, gossip);
	/* Before the first session meets a new version, all must know which ones the old one
	 * serves. */
	if (cw_rollouts_is_starting(rollouts, entry_now_ms(peers->entry))) {
		cw_gossip_cut(gossip);
		encode(&cut, gossip);
	}
	g_free(gossip);
	tell_members(peers, &whole, &cut);
	if (peers->rounds++ % SEED_EVERY == 0 || !entry_knows_enough(peers->entry))
		for (size_t i = 0; i < settings->seed_count; i++)
			if (strcmp(settings->seeds[i], settings->peers_listen) != 0)
				send_to(peers, settings->seeds[i], &whole);
}

static void encode(struct message *message, const struct cw_gossip *gossip)
{
	message->size = cw_gossip_encode(gossip, message->bytes, sizeof(message->bytes));
	if (message->size == 0)
		cw_warn("peers", "message_too_large", "limit=%d", CW_GOSSIP_BYTES);
}

/* Some of a large system hear everything this time, the others what is for all, if anything is. */
static void tell_members(struct peers *peers, const struct message *whole,
			 const struct message *cut)
{
	const char *own_name = peers->entry->settings.failure_domain;
	struct cw_member *members[CW_MAX_INSTANCES];
	size_t own_left = FANOUT_OWN;
	size_t own_domain = 1;
	size_t other_left;
	uint64_t random;
	size_t count;

	cw_random_bytes(&random, sizeof(random));
	count = cw_membership_sample(peers->membership, random, members, CW_MAX_INSTANCES);
	for (size_t i = 0; i < count; i++)
		own_domain += !strcmp(members[i]->failure_domain, own_name);
	/* Not the bits that choose whom to tell: a part of the members would never be told. */
	other_left = cw_gossip_foreign_fanout(own_domain, random >> 32);
	for (size_t i = 0; i < count; i++) {
		int is_own = !strcmp(members[i]->failure_domain, own_name);
		size_t *left = is_own ? &own_left : &other_left;

		if (count <= FANOUT_ALL || *left > 0)
			send_to(peers, members[i]->address, whole);
		else if (cut->size > 0)
			send_to(peers, members[i]->address, cut);
		*left -= *left > 0;
	}
}

static void on_timer(uv_timer_t *timer)
{
	struct peers *peers = timer->data;

	cw_membership_forget(peers->membership, entry_now_ms(peers->entry), KEEP_MS);
	count_loads(peers);
	cw_gate_divide(peers->entry->gate, sharers(peers));
	peers->answers_left = ANSWERS;
	peers_tell(peers);
}

/*
 * Those that fell silent within the last minute count: they may have used their part, and a cut
 * hides them only.
 */
static size_t sharers(const struct peers *peers)
{
	if (entry_now_ms(peers->entry) - peers->started_ms < KNOWN_MS)
		return 0;
	return cw_membership_size(peers->membership);
}

static void on_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[READ_BYTES];

	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_datagram(uv_udp_t *socket, ssize_t size, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned int flags)
{
	struct peers *peers = socket->data;
	struct cw_gossip *gossip;

	if (size <= 0)
		return;
	gossip = g_new0(struct cw_gossip, 1);
	if (cw_gossip_decode(buffer->base, (size_t)size, gossip) == CW_OK)
		hear(peers, gossip);
	else
		cw_count("peer_messages_ignored", "", 1);
	g_free(gossip);
}

static void on_closed(uv_handle_t *handle)
{
	struct peers *peers = handle->data;

	cw_pool_set_places(cw_gate_pool(peers->entry->gate), NULL, NULL);
	cw_membership_destroy(peers->membership);
	g_hash_table_destroy(peers->loads);
	g_free(peers);
}

static void fill(struct peers *peers, struct cw_gossip *gossip)
{
	struct entry *entry = peers->entry;
	const struct cw_config *config = cw_gate_config(entry->gate);
	const struct cw_server *server;
	int64_t now_ms = entry_now_ms(entry);

	g_strlcpy(gossip->sender.instance, entry->settings.instance, CW_NAME_MAX);
	g_strlcpy(gossip->sender.failure_domain, entry->settings.failure_domain, CW_NAME_MAX);
	g_strlcpy(gossip->sender.address, entry->settings.peers_listen, CW_ADDRESS_MAX);
	gossip->boot = peers->boot;
	gossip->is_leaving = entry->stop_asked_ms != 0;
	gossip->config_version = config ? cw_config_version(config) : 0;
	feed_tell(entry->feed, gossip);
	name_members(peers, gossip, now_ms);
	TAILQ_FOREACH(server, cw_pool_servers(cw_gate_pool(entry->gate)), link) {
		struct cw_gossip_load *load = &gossip->loads[gossip->load_count];

		if (server->own_running == 0 || gossip->load_count == CW_GOSSIP_SERVERS)
			continue;
		load->server = server->id;
		load->running = server->own_running;
		load->work_ms = (uint32_t)cw_pool_own_work_ms(server, now_ms);
		gossip->load_count++;
	}
	gossip->rollout_count = cw_rollouts_tell(cw_gate_rollouts(entry->gate), now_ms,
						 gossip->rollouts, CW_GOSSIP_ROLLOUTS);
	gossip->end_count = cw_quarantine_tell_ends(cw_gate_quarantine(entry->gate), now_ms,
						    gossip->ends, CW_QUARANTINE_ENDS);
	gossip->held_count = cw_quarantine_tell_records(cw_gate_quarantine(entry->gate), now_ms,
							gossip->held, CW_QUARANTINE_RECORDS);
	gossip->drain_count = cw_drains_tell(cw_pool_drains(cw_gate_pool(entry->gate)),
					     gossip->drains, CW_DRAINS);
}

/* This instance's place among those that may send to a cold server. */
static void find_place(void *context, uint64_t server, struct cw_warmup_place *place)
{
	const struct peers *peers = context;

	place->rank = cw_membership_place(peers->membership, server, entry_now_ms(peers->entry),
					  &place->instances);
}

/*
 * The readers of the store are named each time, with others in turn. An instance that had not heard
 * of a reader for 2 s took its place: of 195, seven at a time read what two read for all.
 */
static void name_members(const struct peers *peers, struct cw_gossip *gossip, int64_t now_ms)
{
	struct cw_member *members[CW_GOSSIP_MEMBERS];
	size_t count = cw_membership_first(peers->membership, PEERS_READERS_KEY, now_ms, members,
					   CW_READERS);
	uint64_t random;

	cw_random_bytes(&random, sizeof(random));
	count += cw_membership_sample(peers->membership, random, members + count,
				      CW_GOSSIP_MEMBERS - count);
	for (size_t i = 0; i < count; i++) {
		struct cw_gossip_member *member = &gossip->members[gossip->member_count];

		if (!cw_membership_is_live(peers->membership, members[i], now_ms))
			continue;
		g_strlcpy(member->instance, members[i]->instance, CW_NAME_MAX);
		g_strlcpy(member->failure_domain, members[i]->failure_domain, CW_NAME_MAX);
		g_strlcpy(member->address, members[i]->address, CW_ADDRESS_MAX);
		member->age_ms = (uint32_t)(now_ms - members[i]->heard_ms);
		gossip->member_count++;
	}
}

static void send_to(struct peers *peers, const char *address, const struct message *message)
{
	struct sockaddr_in where;
	uv_buf_t buffer = uv_buf_init((char *)message->bytes, (unsigned int)message->size);

	if (message->size == 0 || cw_flow_address(address, &where) != CW_OK)
		return;
	/* A full socket drops the message, as the network may: the next one follows. */
	if (uv_udp_try_send(&peers->socket, &buffer, 1, (const struct sockaddr *)&where) < 0)
		cw_count("peer_messages_unsent", "", 1);
}

static void hear(struct peers *peers, const struct cw_gossip *gossip)
{
	struct entry *entry = peers->entry;
	int64_t now_ms = entry_now_ms(entry);
	struct cw_member *member =
		cw_membership_learn(peers->membership, gossip->sender.instance,
				    gossip->sender.failure_domain, gossip->sender.address);
	struct peer_loads *loads;

	if (!member)
		return;
	if (member->boot != gossip->boot)
		cw_event("peers", "peer", "peer=%s domain=%s address=%s boot=%lx", member->instance,
			 member->failure_domain, member->address, (unsigned long)gossip->boot);
	cw_membership_heard(member, gossip->boot, gossip->is_leaving, now_ms);
	for (size_t i = 0; i < gossip->member_count; i++)
		hear_of(peers, &gossip->members[i], now_ms);
	loads = g_hash_table_lookup(peers->loads, &member->id);
	if (!loads) {
		loads = g_new0(struct peer_loads, 1);
		loads->id = member->id;
		g_hash_table_insert(peers->loads, &loads->id, loads);
	}
	loads->heard_ms = now_ms;
	loads->count = gossip->load_count;
	memcpy(loads->loads, gossip->loads, gossip->load_count * sizeof(gossip->loads[0]));
	for (size_t i = 0; i < gossip->rollout_count; i++)
		if (cw_rollouts_hear(cw_gate_rollouts(entry->gate), member->id,
				     &gossip->rollouts[i], now_ms))
			cw_event("peers", "rollout_heard",
				 "peer=%s service=%s target=%s state=%d written=%d",
				 member->instance, gossip->rollouts[i].service,
				 gossip->rollouts[i].target, gossip->rollouts[i].state,
				 gossip->rollouts[i].is_written);
	for (size_t i = 0; i < gossip->end_count; i++)
		cw_quarantine_hear_end(cw_gate_quarantine(entry->gate), &gossip->ends[i], now_ms);
	for (size_t i = 0; i < gossip->held_count; i++)
		cw_quarantine_hear_record(cw_gate_quarantine(entry->gate), &gossip->held[i],
					  CW_QUARANTINE_PEER, now_ms);
	for (size_t i = 0; i < gossip->drain_count; i++)
		feed_drain(entry->feed, &gossip->drains[i], member->instance);
	feed_hear(entry->feed, gossip);
	if (gossip->operator_offset == 0 && entry_knows_enough(entry) && peers->answers_left > 0)
		answer_new(peers, gossip->sender.address);
}

/* It needs a peer that knows more in order not to read the store, and its callers wait. */
static void answer_new(struct peers *peers, const char *address)
{
	struct cw_gossip *gossip = g_new0(struct cw_gossip, 1);
	struct message message;

	peers->answers_left--;
	fill(peers, gossip);
	encode(&message, gossip);
	g_free(gossip);
	send_to(peers, address, &message);
}

/*
 * In a large system a peer is heard directly every second or so only. What others heard of it keeps
 * it from seeming gone, which would make every instance read the store for itself.
 */
static void hear_of(struct peers *peers, const struct cw_gossip_member *told, int64_t now_ms)
{
	struct cw_member *member = cw_membership_learn(peers->membership, told->instance,
						       told->failure_domain, told->address);

	if (member)
		member->heard_ms = MAX(member->heard_ms, now_ms - (int64_t)told->age_ms);
}

/* Sums what the peers said lately, server by server. */
static void count_loads(struct peers *peers)
{
	struct cw_pool *pool = cw_gate_pool(peers->entry->gate);
	int64_t now_ms = entry_now_ms(peers->entry);
	struct cw_server *server;
	GHashTableIter iter;
	gpointer value;

	TAILQ_FOREACH(server, cw_pool_servers(pool), link) {
		server->peers_running = 0;
		server->peers_work_ms = 0;
		server->peers_ms = now_ms;
	}
	g_hash_table_iter_init(&iter, peers->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer_loads *loads = value;

		if (now_ms - loads->heard_ms > SILENT_MS)
			continue;
		for (size_t i = 0; i < loads->count; i++) {
			server = cw_pool_find(pool, loads->loads[i].server);
			if (!server)
				continue;
			server->peers_running += loads->loads[i].running;
			server->peers_work_ms += loads->loads[i].work_ms;
		}
	}
}
