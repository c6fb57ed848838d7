/* Events of the simulated instances, which call the product's modules for each decision. */
#include "fleet_internal.h"
#include "cw_audience.h"
#include "cw_hash.h"
#include "cw_readers.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Timings and limits of gossip, fetches and polls equal those of apps/corianderwalk. */
#define GOSSIP_ROUND_MS		150
#define FOLLOW_CHECK_MS		100
#define LATENCY_MS		1    /* of the network, one way */
#define MEMBER_TIMEOUT_MS	2000 /* without a sign of life for longer: not live */
#define SETTLE_MS		2000 /* of the own rank, after a start and each growth by a quarter */
#define STABLE_MS		500  /* without growth by a quarter: ranks are reliable */
#define ALONE_SETTLE_MS		3000 /* after the start, for an instance that knows no other */
#define STORE_CALL_MS		4    /* of a call to the shared store, without the transfer */
#define STORE_TIMEOUT_MS	1000 /* of a call to the shared store */
#define STORE_QUEUE_MAX_MS	2000 /* of queued transfers: the store rejects further calls */
#define LONG_POLL_MS		700  /* of a reader's call for the server list, without changes */
#define PAGE_ENTRIES		500
#define FETCH_GAP_MS		100  /* least time between two fetches of a topic */
#define DECLINED_WAIT_MS	1000 /* after a declined fetch, for other peers' state */
#define START_SPREAD_MS		300  /* all instances start within this time */
#define SEED_COUNT		3
#define INTRODUCTIONS_PER_ROUND 400
#define ANSWERS_PER_ROUND	8
#define READERS_KEY		1 /* of the rendezvous hashing that ranks the readers */
#define MESSAGE_MAX_BYTES	(16 * 1024)
#define READER_CRASH_LEAD_MS	200 /* from the readers' crash to the change */

static uint64_t random_u64(struct fleet *fleet)
{
	return (uint64_t)g_rand_int(fleet->random) << 32 | g_rand_int(fleet->random);
}

static void schedule_event(struct fleet *fleet, int64_t at_ms, struct event event)
{
	at_ms = MAX(at_ms, fleet->now_ms + 1);
	if (at_ms >= fleet->options->duration_ms) {
		g_clear_pointer(&event.message, g_bytes_unref);
		return;
	}
	event.boot = fleet->instances[event.instance_index].boot;
	if (!fleet->schedule[at_ms])
		fleet->schedule[at_ms] = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(fleet->schedule[at_ms], g_memdup2(&event, sizeof(event)));
}

static size_t instance_index(const struct fleet *fleet, const struct instance *instance)
{
	return (size_t)(instance - fleet->instances);
}

static int is_ready(const struct instance *instance)
{
	return instance->topics[TOPIC_CONFIG].version && instance->topics[TOPIC_SERVERS].version;
}

static int is_settled(const struct fleet *fleet, const struct instance *instance)
{
	int64_t running_ms = fleet->now_ms - instance->started_ms;

	if (running_ms < CW_READERS_DISCOVERY_MS ||
	    (cw_membership_size(instance->membership) == 1 && running_ms < ALONE_SETTLE_MS))
		return 0;
	return cw_membership_is_stable(instance->membership, fleet->now_ms, STABLE_MS);
}

static size_t reader_rank(const struct fleet *fleet, const struct instance *instance)
{
	return cw_membership_rank(instance->membership, READERS_KEY, fleet->now_ms);
}

static int is_reader(const struct fleet *fleet, const struct instance *instance)
{
	return is_settled(fleet, instance) && cw_readers_is_reader(reader_rank(fleet, instance));
}

static int is_awaited(const struct fleet *fleet, const struct instance *instance)
{
	return instance->is_seed ||
	       (is_settled(fleet, instance) && reader_rank(fleet, instance) < CW_READERS_STANDBY);
}

static void record_times(struct fleet *fleet, struct instance *instance)
{
	if (is_ready(instance) && instance->ready_ms < 0)
		instance->ready_ms = fleet->now_ms;
	if (instance->topics[TOPIC_CONFIG].version > 1 && instance->change_ms < 0)
		instance->change_ms = fleet->now_ms;
}

/*
 * The shared store sends its answers one after another, at its bandwidth. An answer that the caller
 * no longer waits for takes as long. poll_ms: time for which the answer to a long poll is withheld.
 */
static void call_store(struct fleet *fleet, struct instance *instance, enum topic topic,
		       double bytes, int64_t poll_ms)
{
	double queue_ms = MAX(fleet->store_idle_at_ms - (double)fleet->now_ms, 0);
	struct event event = {.kind = EVENT_STORE_ANSWER,
			      .instance_index = instance_index(fleet, instance),
			      .topic = topic};
	int64_t answer_ms;

	instance->topics[topic].is_call_pending = 1;
	fleet->report->store_calls++;
	if (queue_ms > STORE_QUEUE_MAX_MS) {
		schedule_event(fleet, fleet->now_ms + STORE_CALL_MS, event);
		return;
	}
	fleet->store_idle_at_ms = MAX(fleet->store_idle_at_ms, (double)fleet->now_ms) +
				  bytes / (fleet->options->store_mb_per_s * 1000);
	fleet->report->store_mb += bytes / 1e6;
	answer_ms = STORE_CALL_MS + (int64_t)(fleet->store_idle_at_ms - (double)fleet->now_ms);
	event.is_success = answer_ms <= STORE_TIMEOUT_MS;
	event.version = fleet->config_version;
	schedule_event(fleet, fleet->now_ms + MIN(answer_ms, STORE_TIMEOUT_MS) + poll_ms, event);
}

static double page_bytes(const struct fleet *fleet, enum topic topic)
{
	double entries = (double)fleet->options->server_count;

	if (topic == TOPIC_CONFIG)
		return fleet->options->config_store_bytes;
	if (fleet->options->scenario == FLEET_FIRST_START)
		return 0;
	return MIN(entries, PAGE_ENTRIES) * fleet->options->entry_store_bytes;
}

static void schedule_read(struct fleet *fleet, struct instance *instance, enum topic topic,
			  int64_t at_ms)
{
	schedule_event(fleet, at_ms,
		       (struct event){.kind = EVENT_READ_DUE,
				      .instance_index = instance_index(fleet, instance),
				      .topic = topic});
}

static void on_read_due(struct fleet *fleet, struct instance *instance, enum topic topic)
{
	struct topic_state *state = &instance->topics[topic];
	struct cw_readers_view view = {
		.is_awaited = is_awaited(fleet, instance),
		.is_peer_sending = state->is_fetching ||
				   (state->last_declined_ms &&
				    fleet->now_ms - state->last_declined_ms < DECLINED_WAIT_MS),
		.is_jitter_done = state->is_jitter_done,
		.knows_peers = cw_membership_size(instance->membership) > 1,
		.running_ms = fleet->now_ms - instance->started_ms,
	};

	if (state->version || state->is_call_pending)
		return;
	switch (cw_readers_next_step(&view)) {
	case CW_READERS_READ:
		call_store(fleet, instance, topic, page_bytes(fleet, topic), 0);
		break;
	case CW_READERS_AWAIT_PEER:
		schedule_read(fleet, instance, topic, fleet->now_ms + FOLLOW_CHECK_MS);
		break;
	case CW_READERS_WAIT_JITTER:
		state->is_jitter_done = 1;
		schedule_read(fleet, instance, topic,
			      fleet->now_ms + cw_readers_jitter_ms(random_u64(fleet)));
		break;
	}
}

/* After a page of the server list: reads the next page, or ends the read. */
static void continue_list_read(struct fleet *fleet, struct instance *instance)
{
	struct topic_state *list = &instance->topics[TOPIC_SERVERS];
	size_t pages = (fleet->options->server_count + PAGE_ENTRIES - 1) / PAGE_ENTRIES;
	int is_first = list->pages_left == 0;

	if (fleet->options->scenario == FLEET_FIRST_START)
		pages = 1;
	list->pages_left = is_first ? pages - 1 : list->pages_left - 1;
	if (list->pages_left == 0) {
		list->version = 1;
		cw_follow_end_read(&instance->follow, fleet->now_ms);
		return;
	}
	if (is_first && !is_awaited(fleet, instance))
		schedule_read(fleet, instance, TOPIC_SERVERS,
			      fleet->now_ms + cw_readers_jitter_ms(random_u64(fleet)));
	else
		call_store(fleet, instance, TOPIC_SERVERS, page_bytes(fleet, TOPIC_SERVERS), 0);
}

static void on_store_answer(struct fleet *fleet, struct instance *instance,
			    const struct event *event)
{
	struct topic_state *state = &instance->topics[event->topic];
	size_t rank = reader_rank(fleet, instance);

	state->is_call_pending = 0;
	if (!event->is_success) {
		fleet->report->store_calls_failed++;
		state->failures++;
		schedule_read(fleet, instance, event->topic,
			      fleet->now_ms + cw_readers_retry_ms(rank, state->failures,
								  random_u64(fleet)));
		return;
	}
	state->failures = 0;
	if (event->topic == TOPIC_CONFIG)
		state->version = MAX(state->version, event->version);
	else if (!state->version)
		continue_list_read(fleet, instance);
	else
		cw_follow_end_read(&instance->follow, fleet->now_ms);
	record_times(fleet, instance);
}

/* Asks for changes of list and configuration, as a reader or taking over from the readers. */
static void poll_store(struct fleet *fleet, struct instance *instance)
{
	struct topic_state *config = &instance->topics[TOPIC_CONFIG];
	struct topic_state *servers = &instance->topics[TOPIC_SERVERS];
	size_t rank = reader_rank(fleet, instance);
	int reads_for_all = is_reader(fleet, instance);

	if (!is_ready(instance) || !is_settled(fleet, instance))
		return;
	if (!servers->is_call_pending &&
	    (reads_for_all || cw_follow_is_reader(&instance->follow, rank, fleet->now_ms)))
		call_store(fleet, instance, TOPIC_SERVERS, 0, reads_for_all ? LONG_POLL_MS : 0);
	else if (!reads_for_all)
		return;
	/* The long poll for the configuration is answered at once after a change. Polls that end
	 * without a change are not simulated. */
	if (!config->is_call_pending && config->version < fleet->config_version)
		call_store(fleet, instance, TOPIC_CONFIG, fleet->options->config_store_bytes, 0);
}

static void send_message(struct fleet *fleet, const char *address, GBytes *message)
{
	struct instance *recipient = g_hash_table_lookup(fleet->instances_by_address, address);

	if (fleet->now_ms >= fleet_steady_from_ms(fleet)) {
		fleet->messages_sent++;
		fleet->bytes_sent += (double)g_bytes_get_size(message);
	}
	if (!recipient || g_rand_int_range(fleet->random, 0, 1000) < fleet->options->lost_per_mille)
		return;
	schedule_event(fleet, fleet->now_ms + LATENCY_MS,
		       (struct event){.kind = EVENT_MESSAGE,
				      .instance_index = instance_index(fleet, recipient),
				      .message = g_bytes_ref(message)});
}

static GBytes *encode_message(struct fleet *fleet, const struct instance *instance, int omits_state)
{
	struct cw_gossip *gossip = g_new0(struct cw_gossip, 1);
	char *buffer = g_malloc(MESSAGE_MAX_BYTES);
	size_t size;

	g_strlcpy(gossip->sender.instance, instance->name, CW_NAME_MAX);
	g_strlcpy(gossip->sender.failure_domain, instance->failure_domain, CW_NAME_MAX);
	g_strlcpy(gossip->sender.address, instance->address, CW_ADDRESS_MAX);
	gossip->boot = instance->boot;
	gossip->servers_age_ms = CW_GOSSIP_NO_AGE;
	if (!omits_state)
		gossip->operator_next.offset = instance->topics[TOPIC_CONFIG].version;
	if (!omits_state && instance->topics[TOPIC_SERVERS].version) {
		gossip->servers_next = instance->follow.next;
		gossip->servers_age_ms = (uint32_t)(fleet->now_ms - instance->follow.fresh_ms);
		gossip->servers_evidence = instance->follow.evidence;
	}
	cw_gossip_add_members(gossip, instance->membership, READERS_KEY, random_u64(fleet),
			      fleet->now_ms);
	size = cw_gossip_encode(gossip, buffer, MESSAGE_MAX_BYTES);
	g_free(gossip);
	return g_bytes_new_take(g_realloc(buffer, size), size);
}

static void send_to_peer(struct fleet *fleet, struct instance *instance, const char *address,
			 int omits_state)
{
	GBytes *message = encode_message(fleet, instance, omits_state);

	send_message(fleet, address, message);
	g_bytes_unref(message);
}

static void on_gossip_round(struct fleet *fleet, struct instance *instance)
{
	GBytes *message = encode_message(fleet, instance, 0);
	struct cw_audience audience;

	instance->introductions_left = INTRODUCTIONS_PER_ROUND;
	instance->answers_left = ANSWERS_PER_ROUND;
	cw_membership_remove_stale(instance->membership, fleet->now_ms, 60000);
	cw_audience_choose(&audience, instance->membership, instance->failure_domain,
			   random_u64(fleet));
	for (size_t i = 0; i < audience.full_count; i++)
		send_message(fleet, audience.members[i]->address, message);
	cw_audience_clear(&audience);
	if (instance->rounds++ % 8 == 0 ||
	    cw_audience_needs_seeds(instance->membership, is_ready(instance)))
		for (size_t i = 0; i < MIN(SEED_COUNT, fleet->options->instance_count); i++)
			if (&fleet->instances[i] != instance)
				send_message(fleet, fleet->instances[i].address, message);
	g_bytes_unref(message);
	schedule_event(fleet, fleet->now_ms + GOSSIP_ROUND_MS,
		       (struct event){.kind = EVENT_GOSSIP_ROUND,
				      .instance_index = instance_index(fleet, instance)});
}

static void fetch_from_peer(struct fleet *fleet, struct instance *instance, enum topic topic,
			    struct instance *peer)
{
	struct topic_state *state = &instance->topics[topic];
	double size = topic == TOPIC_CONFIG ? fleet->options->config_peer_bytes
					    : (double)fleet->options->server_count *
						      fleet->options->entry_peer_bytes;
	double bytes_per_ms = fleet->options->link_mbps * 125;
	struct event event = {.kind = EVENT_FETCH_ANSWER,
			      .instance_index = instance_index(fleet, instance),
			      .topic = topic};

	if (state->is_fetching || fleet->now_ms - state->last_fetch_ms < FETCH_GAP_MS)
		return;
	if (topic == TOPIC_SERVERS && fleet->options->scenario == FLEET_FIRST_START)
		size = 0;
	state->is_fetching = 1;
	state->last_fetch_ms = fleet->now_ms;
	fleet->report->fetches++;
	event.is_success = cw_uplink_admits(&peer->uplink, fleet->now_ms);
	event.version = peer->topics[topic].version;
	if (event.is_success)
		cw_uplink_add_transfer(&peer->uplink, (size_t)size, fleet->now_ms);
	else
		fleet->report->fetches_declined++;
	schedule_event(fleet,
		       fleet->now_ms + 4 * LATENCY_MS +
			       (event.is_success ? (int64_t)(2 * size / bytes_per_ms) : 0),
		       event);
}

static void on_fetch_answer(struct fleet *fleet, struct instance *instance,
			    const struct event *event)
{
	struct topic_state *state = &instance->topics[event->topic];

	state->is_fetching = 0;
	if (!event->is_success) {
		state->last_declined_ms = fleet->now_ms;
		return;
	}
	if (event->topic == TOPIC_SERVERS && !state->version)
		instance->follow.fresh_ms = fleet->now_ms;
	state->version = MAX(state->version, event->version);
	record_times(fleet, instance);
}

static void on_message(struct fleet *fleet, struct instance *instance, GBytes *message)
{
	struct cw_gossip *gossip = g_new0(struct cw_gossip, 1);
	struct cw_follow_report peer_report = {0};
	struct instance *sender;
	gsize size;
	const char *data = g_bytes_get_data(message, &size);
	int is_new;

	if (cw_gossip_decode(data, size, gossip) != CW_OK ||
	    !cw_gossip_merge_members(gossip, instance->membership, &is_new, fleet->now_ms)) {
		g_free(gossip);
		return;
	}
	sender = g_hash_table_lookup(fleet->instances_by_address, gossip->sender.address);
	if (is_new && instance->introductions_left-- > 0)
		send_to_peer(fleet, instance, gossip->sender.address, 1);
	if (gossip->operator_next.offset == 0 && is_ready(instance) && instance->answers_left-- > 0)
		send_to_peer(fleet, instance, gossip->sender.address, 0);
	if (gossip->operator_next.offset > instance->topics[TOPIC_CONFIG].version)
		fetch_from_peer(fleet, instance, TOPIC_CONFIG, sender);
	peer_report.next = gossip->servers_next;
	peer_report.age_ms = gossip->servers_age_ms;
	peer_report.evidence = gossip->servers_evidence;
	if (gossip->servers_age_ms == CW_GOSSIP_NO_AGE)
		;
	else if (!instance->topics[TOPIC_SERVERS].version)
		fetch_from_peer(fleet, instance, TOPIC_SERVERS, sender);
	else
		cw_follow_merge_changes(&instance->follow, NULL, 0, &peer_report, fleet->now_ms,
					NULL, NULL);
	g_free(gossip);
}

static void start_instance(struct fleet *fleet, size_t index)
{
	struct instance *instance = &fleet->instances[index];
	struct cw_readers_start start = {
		.is_first = fleet->options->scenario == FLEET_FIRST_START,
		.is_seed = index < SEED_COUNT,
		.random = random_u64(fleet),
	};
	struct cw_readers_first_call first_call;

	instance->membership =
		cw_membership_create(instance->name, instance->failure_domain, MEMBER_TIMEOUT_MS);
	cw_membership_start_settling(instance->membership, fleet->now_ms, SETTLE_MS, 0);
	instance->is_up = 1;
	instance->is_seed = start.is_seed;
	instance->started_ms = fleet->now_ms;
	instance->boot = random_u64(fleet) | 1;
	instance->follow.self = instance->boot;
	instance->introductions_left = INTRODUCTIONS_PER_ROUND;
	cw_uplink_open(&instance->uplink, fleet->options->link_mbps);
	cw_readers_start(&start, &first_call);
	for (enum topic topic = TOPIC_CONFIG; topic < TOPIC_COUNT; topic++) {
		instance->topics[topic].is_jitter_done = first_call.is_early;
		instance->topics[topic].last_fetch_ms = -FETCH_GAP_MS;
		schedule_read(fleet, instance, topic, fleet->now_ms + first_call.wait_ms);
	}
	schedule_event(fleet, fleet->now_ms + 10,
		       (struct event){.kind = EVENT_GOSSIP_ROUND, .instance_index = index});
	schedule_event(fleet, fleet->now_ms + FOLLOW_CHECK_MS,
		       (struct event){.kind = EVENT_FOLLOW_CHECK, .instance_index = index});
}

static void crash_readers(struct fleet *fleet)
{
	for (size_t i = 0; i < fleet->options->instance_count; i++) {
		struct instance *instance = &fleet->instances[i];

		if (is_reader(fleet, instance))
			instance->is_up = 0;
	}
}

static void handle_event(struct fleet *fleet, const struct event *event)
{
	struct instance *instance = &fleet->instances[event->instance_index];

	if (!instance->is_up || instance->boot != event->boot)
		return;
	switch (event->kind) {
	case EVENT_GOSSIP_ROUND:
		on_gossip_round(fleet, instance);
		break;
	case EVENT_FOLLOW_CHECK:
		poll_store(fleet, instance);
		schedule_event(fleet, fleet->now_ms + FOLLOW_CHECK_MS,
			       (struct event){.kind = EVENT_FOLLOW_CHECK,
					      .instance_index = event->instance_index});
		break;
	case EVENT_READ_DUE:
		on_read_due(fleet, instance, event->topic);
		break;
	case EVENT_STORE_ANSWER:
		on_store_answer(fleet, instance, event);
		break;
	case EVENT_MESSAGE:
		on_message(fleet, instance, event->message);
		break;
	case EVENT_FETCH_ANSWER:
		on_fetch_answer(fleet, instance, event);
		break;
	}
}

static void handle_due_events(struct fleet *fleet)
{
	GPtrArray *events = fleet->schedule[fleet->now_ms];

	fleet->schedule[fleet->now_ms] = NULL;
	for (guint i = 0; events && i < events->len; i++) {
		struct event *event = events->pdata[i];

		handle_event(fleet, event);
		g_clear_pointer(&event->message, g_bytes_unref);
	}
	if (events)
		g_ptr_array_unref(events);
}

static void update_max_readers(struct fleet *fleet)
{
	size_t count = 0;

	for (size_t i = 0; i < fleet->options->instance_count; i++)
		count += fleet->instances[i].is_up && is_reader(fleet, &fleet->instances[i]);
	fleet->report->max_readers = MAX(fleet->report->max_readers, count);
}

void fleet_set_defaults(struct fleet_options *options)
{
	*options = (struct fleet_options){
		.instance_count = 200,
		.server_count = 2000,
		.failure_domain_count = 6,
		.scenario = FLEET_RESTART,
		.seed = 1,
		.link_mbps = 20,
		.store_mb_per_s = 20,
		.config_store_bytes = 113000,
		.config_peer_bytes = 30000,
		.entry_store_bytes = 385,
		.entry_peer_bytes = 45,
		.duration_ms = 15000,
		.change_ms = 10000,
	};
}

void fleet_simulate(const struct fleet_options *options, struct fleet_report *report)
{
	struct fleet fleet = {.options = options, .report = report, .config_version = 1};

	memset(report, 0, sizeof(*report));
	fleet.random = g_rand_new_with_seed(options->seed);
	fleet.instances = g_new0(struct instance, options->instance_count);
	fleet.schedule = g_new0(GPtrArray *, options->duration_ms);
	fleet.instances_by_address = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < options->instance_count; i++) {
		struct instance *instance = &fleet.instances[i];

		snprintf(instance->name, CW_NAME_MAX, "edge-%zu", i);
		snprintf(instance->failure_domain, CW_NAME_MAX, "domain-%zu",
			 i % options->failure_domain_count);
		snprintf(instance->address, CW_ADDRESS_MAX, "10.%zu.%zu.%zu:7000",
			 i % options->failure_domain_count, i / 250, i % 250);
		instance->ready_ms = instance->change_ms = -1;
		g_hash_table_insert(fleet.instances_by_address, instance->address, instance);
	}
	for (; fleet.now_ms < options->duration_ms; fleet.now_ms++) {
		for (size_t i = 0; fleet.now_ms < START_SPREAD_MS && i < options->instance_count;
		     i++)
			if (!fleet.instances[i].membership &&
			    (int64_t)(cw_hash(&i, sizeof(i), options->seed) % START_SPREAD_MS) <=
				    fleet.now_ms)
				start_instance(&fleet, i);
		if (options->scenario == FLEET_READER_CRASH &&
		    fleet.now_ms == options->change_ms - READER_CRASH_LEAD_MS)
			crash_readers(&fleet);
		if (fleet.now_ms == options->change_ms)
			fleet.config_version = 2;
		handle_due_events(&fleet);
		if (fleet.now_ms % 1000 == 0 && fleet.now_ms >= fleet_steady_from_ms(&fleet))
			update_max_readers(&fleet);
	}
	fleet_fill_report(&fleet);
	for (size_t i = 0; i < options->instance_count; i++)
		cw_membership_destroy(fleet.instances[i].membership);
	g_hash_table_destroy(fleet.instances_by_address);
	g_rand_free(fleet.random);
	g_free(fleet.schedule);
	g_free(fleet.instances);
}
