#include "fleet_internal.h"
#include "cw_audience.h"
#include "cw_hash.h"
#include "cw_readers.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define ROUND_MS       150
#define CHECK_MS       100
#define WAY_MS	       1
#define SILENT_MS      2000
#define SETTLE_MS      2000
#define CALM_MS	       500
#define ALONE_MS       3000
#define CALL_MS	       4    /* of the store, without the bytes */
#define GIVE_UP_MS     1000 /* an instance waits so long for the store */
#define OVERLOAD_MS    2000 /* of waiting reads: the store rejects further ones */
#define POLL_MS	       700  /* of a reader's call without news */
#define PAGE_ENTRIES   500
#define FETCH_GAP_MS   100
#define DECLINED_MS    1000
#define STAGGER_MS     300 /* all start within */
#define SEEDS	       3
#define INTRODUCTIONS  400
#define ANSWERS	       8
#define READERS_KEY    1
#define MESSAGE_BYTES  (16 * 1024)
#define READERS_DIE_MS 200 /* before the change */

static uint64_t draw(struct world *world)
{
	return (uint64_t)g_rand_int(world->random) << 32 | g_rand_int(world->random);
}

static void plan(struct world *world, int64_t at_ms, struct event event)
{
	at_ms = MAX(at_ms, world->now_ms + 1);
	if (at_ms >= world->options->end_ms) {
		g_clear_pointer(&event.bytes, g_bytes_unref);
		return;
	}
	event.boot = world->nodes[event.node].boot;
	if (!world->agenda[at_ms])
		world->agenda[at_ms] = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(world->agenda[at_ms], g_memdup2(&event, sizeof(event)));
}

static size_t index_of(const struct world *world, const struct node *node)
{
	return (size_t)(node - world->nodes);
}

static int is_ready(const struct node *node)
{
	return node->topics[OPERATOR].version && node->topics[SERVERS].version;
}

static int is_settled(const struct world *world, const struct node *node)
{
	int64_t running_ms = world->now_ms - node->started_ms;

	if (running_ms < CW_READERS_DISCOVERY_MS ||
	    (cw_membership_size(node->membership) == 1 && running_ms < ALONE_MS))
		return 0;
	return cw_membership_is_stable(node->membership, world->now_ms, CALM_MS);
}

static size_t rank_of(const struct world *world, const struct node *node)
{
	return cw_membership_rank(node->membership, READERS_KEY, world->now_ms);
}

static int is_reader(const struct world *world, const struct node *node)
{
	return is_settled(world, node) && cw_readers_is_reader(rank_of(world, node));
}

static int is_awaited(const struct world *world, const struct node *node)
{
	return node->is_seed ||
	       (is_settled(world, node) && rank_of(world, node) < CW_READERS_STANDBY);
}

static void note_state(struct world *world, struct node *node)
{
	if (is_ready(node) && node->ready_ms < 0)
		node->ready_ms = world->now_ms;
	if (node->topics[OPERATOR].version > 1 && node->change_ms < 0)
		node->change_ms = world->now_ms;
}

/* The store answers in turn, as fast as its bytes allow; who gave up costs as much. */
static void call_store(struct world *world, struct node *node, enum topic topic, double bytes,
		       int64_t wait_ms)
{
	double waiting_ms = MAX(world->store_free_ms - (double)world->now_ms, 0);
	struct event event = {.kind = CALLED, .node = index_of(world, node), .topic = topic};
	int64_t took_ms;

	node->topics[topic].is_asking = 1;
	world->report->store_calls++;
	if (waiting_ms > OVERLOAD_MS) {
		plan(world, world->now_ms + CALL_MS, event);
		return;
	}
	world->store_free_ms = MAX(world->store_free_ms, (double)world->now_ms) +
			       bytes / (world->options->store_mb_per_s * 1000);
	world->report->store_mb += bytes / 1e6;
	took_ms = CALL_MS + (int64_t)(world->store_free_ms - (double)world->now_ms);
	event.is_good = took_ms <= GIVE_UP_MS;
	event.value = world->version;
	plan(world, world->now_ms + MIN(took_ms, GIVE_UP_MS) + wait_ms, event);
}

static double page_bytes(const struct world *world, enum topic topic)
{
	double entries = (double)world->options->servers;

	if (topic == OPERATOR)
		return world->options->config_bytes;
	if (world->options->scenario == FLEET_START)
		return 0;
	return MIN(entries, PAGE_ENTRIES) * world->options->entry_bytes;
}

static void ask_at(struct world *world, struct node *node, enum topic topic, int64_t at_ms)
{
	plan(world, at_ms,
	     (struct event){.kind = ASK, .node = index_of(world, node), .topic = topic});
}

static void on_ask(struct world *world, struct node *node, enum topic topic)
{
	struct reading *reading = &node->topics[topic];
	struct cw_readers_view view = {
		.is_awaited = is_awaited(world, node),
		.is_peer_sending = reading->is_fetching ||
				   (reading->declined_ms &&
				    world->now_ms - reading->declined_ms < DECLINED_MS),
		.is_jitter_done = reading->is_jitter_done,
		.knows_peers = cw_membership_size(node->membership) > 1,
		.running_ms = world->now_ms - node->started_ms,
	};

	if (reading->version || reading->is_asking)
		return;
	switch (cw_readers_next_step(&view)) {
	case CW_READERS_READ:
		call_store(world, node, topic, page_bytes(world, topic), 0);
		break;
	case CW_READERS_AWAIT_PEER:
		ask_at(world, node, topic, world->now_ms + CHECK_MS);
		break;
	case CW_READERS_WAIT_JITTER:
		reading->is_jitter_done = 1;
		ask_at(world, node, topic, world->now_ms + cw_readers_jitter_ms(draw(world)));
		break;
	}
}

static void read_on(struct world *world, struct node *node)
{
	struct reading *list = &node->topics[SERVERS];
	size_t pages = (world->options->servers + PAGE_ENTRIES - 1) / PAGE_ENTRIES;
	int is_first = list->pages_left == 0;

	if (world->options->scenario == FLEET_START)
		pages = 1;
	list->pages_left = is_first ? pages - 1 : list->pages_left - 1;
	if (list->pages_left == 0) {
		list->version = 1;
		cw_follow_end_read(&node->follow, world->now_ms);
		return;
	}
	if (is_first && !is_awaited(world, node))
		ask_at(world, node, SERVERS, world->now_ms + cw_readers_jitter_ms(draw(world)));
	else
		call_store(world, node, SERVERS, page_bytes(world, SERVERS), 0);
}

static void on_called(struct world *world, struct node *node, const struct event *event)
{
	struct reading *reading = &node->topics[event->topic];
	size_t rank = rank_of(world, node);

	reading->is_asking = 0;
	if (!event->is_good) {
		world->report->calls_failed++;
		reading->failures++;
		ask_at(world, node, event->topic,
		       world->now_ms + cw_readers_retry_ms(rank, reading->failures, draw(world)));
		return;
	}
	reading->failures = 0;
	if (event->topic == OPERATOR)
		reading->version = MAX(reading->version, event->value);
	else if (!reading->version)
		read_on(world, node);
	else
		cw_follow_end_read(&node->follow, world->now_ms);
	note_state(world, node);
}

/* What a reader or one that steps in learns: is there anything new? */
static void follow(struct world *world, struct node *node)
{
	struct reading *operator= & node->topics[OPERATOR];
	struct reading *servers = &node->topics[SERVERS];
	size_t rank = rank_of(world, node);
	int reads = is_reader(world, node);

	if (!is_ready(node) || !is_settled(world, node))
		return;
	if (!servers->is_asking &&
	    (reads || cw_follow_is_reader(&node->follow, rank, world->now_ms)))
		call_store(world, node, SERVERS, 0, reads ? POLL_MS : 0);
	else if (!reads)
		return;
	/* A long poll ends as soon as there is news. */
	if (!operator->is_asking && operator->version<world->version)
		call_store(world, node, OPERATOR, world->options->config_bytes, 0);
}

static void send_message(struct world *world, const char *address, GBytes *message)
{
	struct node *to = g_hash_table_lookup(world->by_address, address);

	if (world->now_ms >= fleet_steady_ms(world)) {
		world->messages++;
		world->bytes += (double)g_bytes_get_size(message);
	}
	if (!to || g_rand_int_range(world->random, 0, 1000) < world->options->lost_per_mille)
		return;
	plan(world, world->now_ms + WAY_MS,
	     (struct event){
		     .kind = MESSAGE, .node = index_of(world, to), .bytes = g_bytes_ref(message)});
}

static GBytes *write_message(struct world *world, const struct node *node, int is_bare)
{
	struct cw_gossip *gossip = g_new0(struct cw_gossip, 1);
	char *bytes = g_malloc(MESSAGE_BYTES);
	size_t size;

	g_strlcpy(gossip->sender.instance, node->name, CW_NAME_MAX);
	g_strlcpy(gossip->sender.failure_domain, node->domain, CW_NAME_MAX);
	g_strlcpy(gossip->sender.address, node->address, CW_ADDRESS_MAX);
	gossip->boot = node->boot;
	gossip->servers_age_ms = CW_GOSSIP_NO_AGE;
	if (!is_bare)
		gossip->operator_offset = node->topics[OPERATOR].version;
	if (!is_bare && node->topics[SERVERS].version) {
		gossip->servers_offset = node->follow.from;
		gossip->servers_age_ms = (uint32_t)(world->now_ms - node->follow.fresh_ms);
		gossip->servers_evidence = node->follow.evidence;
	}
	cw_gossip_add_members(gossip, node->membership, READERS_KEY, draw(world), world->now_ms);
	size = cw_gossip_encode(gossip, bytes, MESSAGE_BYTES);
	g_free(gossip);
	return g_bytes_new_take(g_realloc(bytes, size), size);
}

static void tell(struct world *world, struct node *node, const char *address, int is_bare)
{
	GBytes *message = write_message(world, node, is_bare);

	send_message(world, address, message);
	g_bytes_unref(message);
}

static void on_round(struct world *world, struct node *node)
{
	GBytes *message = write_message(world, node, 0);
	struct cw_audience audience;

	node->introductions = INTRODUCTIONS;
	node->answers = ANSWERS;
	cw_membership_remove_stale(node->membership, world->now_ms, 60000);
	cw_audience_choose(&audience, node->membership, node->domain, draw(world));
	for (size_t i = 0; i < audience.full_count; i++)
		send_message(world, audience.members[i]->address, message);
	cw_audience_clear(&audience);
	if (node->rounds++ % 8 == 0 || cw_audience_needs_seeds(node->membership, is_ready(node)))
		for (size_t i = 0; i < MIN(SEEDS, world->options->instances); i++)
			if (&world->nodes[i] != node)
				send_message(world, world->nodes[i].address, message);
	g_bytes_unref(message);
	plan(world, world->now_ms + ROUND_MS,
	     (struct event){.kind = ROUND, .node = index_of(world, node)});
}

static void fetch(struct world *world, struct node *node, enum topic topic, struct node *peer)
{
	struct reading *reading = &node->topics[topic];
	double size = topic == OPERATOR
			      ? world->options->config_packed
			      : (double)world->options->servers * world->options->entry_packed;
	double per_ms = world->options->link_mbps * 125;
	struct event event = {.kind = FETCHED, .node = index_of(world, node), .topic = topic};

	if (reading->is_fetching || world->now_ms - reading->tried_ms < FETCH_GAP_MS)
		return;
	if (topic == SERVERS && world->options->scenario == FLEET_START)
		size = 0;
	reading->is_fetching = 1;
	reading->tried_ms = world->now_ms;
	world->report->fetches++;
	event.is_good = cw_uplink_admits(&peer->uplink, world->now_ms);
	event.value = peer->topics[topic].version;
	if (event.is_good)
		cw_uplink_add_transfer(&peer->uplink, (size_t)size, world->now_ms);
	else
		world->report->declined++;
	plan(world, world->now_ms + 4 * WAY_MS + (event.is_good ? (int64_t)(2 * size / per_ms) : 0),
	     event);
}

static void on_fetched(struct world *world, struct node *node, const struct event *event)
{
	struct reading *reading = &node->topics[event->topic];

	reading->is_fetching = 0;
	if (!event->is_good) {
		reading->declined_ms = world->now_ms;
		return;
	}
	if (event->topic == SERVERS && !reading->version)
		node->follow.fresh_ms = world->now_ms;
	reading->version = MAX(reading->version, event->value);
	note_state(world, node);
}

static void on_message(struct world *world, struct node *node, GBytes *bytes)
{
	struct cw_gossip *gossip = g_new0(struct cw_gossip, 1);
	struct cw_follow_report peer_report = {0};
	struct node *sender;
	gsize size;
	const char *text = g_bytes_get_data(bytes, &size);
	int is_new;

	if (cw_gossip_decode(text, size, gossip) != CW_OK ||
	    !cw_gossip_merge_members(gossip, node->membership, &is_new, world->now_ms)) {
		g_free(gossip);
		return;
	}
	sender = g_hash_table_lookup(world->by_address, gossip->sender.address);
	if (is_new && node->introductions-- > 0)
		tell(world, node, gossip->sender.address, 1);
	if (gossip->operator_offset == 0 && is_ready(node) && node->answers-- > 0)
		tell(world, node, gossip->sender.address, 0);
	if (gossip->operator_offset > node->topics[OPERATOR].version)
		fetch(world, node, OPERATOR, sender);
	peer_report.from = gossip->servers_offset;
	peer_report.age_ms = gossip->servers_age_ms;
	peer_report.evidence = gossip->servers_evidence;
	if (gossip->servers_age_ms == CW_GOSSIP_NO_AGE)
		;
	else if (!node->topics[SERVERS].version)
		fetch(world, node, SERVERS, sender);
	else
		cw_follow_merge_changes(&node->follow, NULL, 0, &peer_report, world->now_ms, NULL,
					NULL);
	g_free(gossip);
}

static void start_node(struct world *world, size_t number)
{
	struct node *node = &world->nodes[number];
	struct cw_readers_start start = {
		.is_first = world->options->scenario == FLEET_START,
		.is_seed = number < SEEDS,
		.random = draw(world),
	};
	struct cw_readers_first_call first;

	node->membership = cw_membership_create(node->name, node->domain, SILENT_MS);
	cw_membership_start_settling(node->membership, world->now_ms, SETTLE_MS, 0);
	node->is_up = 1;
	node->is_seed = start.is_seed;
	node->started_ms = world->now_ms;
	node->boot = draw(world) | 1;
	node->follow.self = node->boot;
	node->introductions = INTRODUCTIONS;
	cw_uplink_open(&node->uplink, world->options->link_mbps);
	cw_readers_start(&start, &first);
	for (enum topic topic = OPERATOR; topic < TOPICS; topic++) {
		node->topics[topic].is_jitter_done = first.is_early;
		node->topics[topic].tried_ms = -FETCH_GAP_MS;
		ask_at(world, node, topic, world->now_ms + first.wait_ms);
	}
	plan(world, world->now_ms + 10, (struct event){.kind = ROUND, .node = number});
	plan(world, world->now_ms + CHECK_MS, (struct event){.kind = CHECK, .node = number});
}

static void kill_readers(struct world *world)
{
	for (size_t i = 0; i < world->options->instances; i++) {
		struct node *node = &world->nodes[i];

		if (is_reader(world, node))
			node->is_up = 0;
	}
}

static void carry_out(struct world *world, const struct event *event)
{
	struct node *node = &world->nodes[event->node];

	if (!node->is_up || node->boot != event->boot)
		return;
	switch (event->kind) {
	case ROUND:
		on_round(world, node);
		break;
	case CHECK:
		follow(world, node);
		plan(world, world->now_ms + CHECK_MS,
		     (struct event){.kind = CHECK, .node = event->node});
		break;
	case ASK:
		on_ask(world, node, event->topic);
		break;
	case CALLED:
		on_called(world, node, event);
		break;
	case MESSAGE:
		on_message(world, node, event->bytes);
		break;
	case FETCHED:
		on_fetched(world, node, event);
		break;
	}
}

static void pass(struct world *world)
{
	GPtrArray *events = world->agenda[world->now_ms];

	world->agenda[world->now_ms] = NULL;
	for (guint i = 0; events && i < events->len; i++) {
		struct event *event = events->pdata[i];

		carry_out(world, event);
		g_clear_pointer(&event->bytes, g_bytes_unref);
	}
	if (events)
		g_ptr_array_unref(events);
}

static void count_readers(struct world *world)
{
	size_t count = 0;

	for (size_t i = 0; i < world->options->instances; i++)
		count += world->nodes[i].is_up && is_reader(world, &world->nodes[i]);
	world->report->readers_most = MAX(world->report->readers_most, count);
}

void fleet_defaults(struct fleet_options *options)
{
	*options = (struct fleet_options){
		.instances = 200,
		.servers = 2000,
		.domains = 6,
		.scenario = FLEET_RESTART,
		.seed = 1,
		.link_mbps = 20,
		.store_mb_per_s = 20,
		.config_bytes = 113000,
		.config_packed = 30000,
		.entry_bytes = 385,
		.entry_packed = 45,
		.end_ms = 15000,
		.change_ms = 10000,
	};
}

void fleet_play(const struct fleet_options *options, struct fleet_report *report)
{
	struct world world = {.options = options, .report = report, .version = 1};

	memset(report, 0, sizeof(*report));
	world.random = g_rand_new_with_seed(options->seed);
	world.nodes = g_new0(struct node, options->instances);
	world.agenda = g_new0(GPtrArray *, options->end_ms);
	world.by_address = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < options->instances; i++) {
		struct node *node = &world.nodes[i];

		snprintf(node->name, CW_NAME_MAX, "edge-%zu", i);
		snprintf(node->domain, CW_NAME_MAX, "domain-%zu", i % options->domains);
		snprintf(node->address, CW_ADDRESS_MAX, "10.%zu.%zu.%zu:7000", i % options->domains,
			 i / 250, i % 250);
		node->ready_ms = node->change_ms = -1;
		g_hash_table_insert(world.by_address, node->address, node);
	}
	for (; world.now_ms < options->end_ms; world.now_ms++) {
		for (size_t i = 0; world.now_ms < STAGGER_MS && i < options->instances; i++)
			if (!world.nodes[i].membership &&
			    (int64_t)(cw_hash(&i, sizeof(i), options->seed) % STAGGER_MS) <=
				    world.now_ms)
				start_node(&world, i);
		if (options->scenario == FLEET_READERS &&
		    world.now_ms == options->change_ms - READERS_DIE_MS)
			kill_readers(&world);
		if (world.now_ms == options->change_ms)
			world.version = 2;
		pass(&world);
		if (world.now_ms % 1000 == 0 && world.now_ms >= fleet_steady_ms(&world))
			count_readers(&world);
	}
	fleet_report_on(&world);
	for (size_t i = 0; i < options->instances; i++)
		cw_membership_destroy(world.nodes[i].membership);
	g_hash_table_destroy(world.by_address);
	g_rand_free(world.random);
	g_free(world.agenda);
	g_free(world.nodes);
}
