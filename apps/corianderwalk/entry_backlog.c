/*
 * Prompts and memory at servers, of this instance and its peers. Each round of gossip announces
 * what this instance has in progress; a note does so at once for a server where a long prompt was
 * sent or begun.
 */
#include "cw_audience.h"
#include "cw_counters.h"
#include "cw_gossip_backlogs.h"
#include "cw_hash.h"
#include "cw_timeline.h"
#include "entry.h"
#include "entry_load.h"

#include <string.h>

#define SHARES_TIMEOUT_MS 2000 /* as long as a silent peer counts as live */
#define NOTE_GAP_MS	  4    /* between two notes; prompts sent and begun in it share one */
#define NOTES_OFF_MS	  1e9  /* note_min_ms that no prompt reaches */
#define NOTE_AGAIN_MS	  1000 /* for a prompt that is still unread: shares time out */
#define NOTES_PER_S	  40   /* of one instance: 3 to 18 kB a second for each recipient */
#define BEHIND_MS	  2000 /* unread work of a server from which a request there is logged */

struct backlogs {
	struct entry *entry;
	struct cw_backlog_peers *peers;
	uint32_t sequence; /* of the newest message */
	uv_timer_t timer;
	uint64_t changed[CW_GOSSIP_BACKLOGS]; /* servers with a note to be sent */
	size_t changed_count;
	double notes_left; /* that may be sent now */
	int64_t notes_left_ms;
	int64_t noted_ms;     /* time of the last note */
	int64_t noted_all_ms; /* of the last one on all unread prompts */
};

static void on_work_changed(void *context, struct cw_server *server, double work_ms);
static void add_changed(struct backlogs *backlogs, const struct cw_server *server);
static int sends_notes(const struct backlogs *backlogs);
static void get_share(const struct backlogs *backlogs, const struct cw_server *server,
		      struct cw_backlog_share *share, int64_t now_ms);
static int has_long_prompt(const struct cw_server *server);
static void on_timer(uv_timer_t *timer);
static void on_closed(uv_handle_t *handle);
static void send_note(struct backlogs *backlogs);
static void add_to_note(const struct backlogs *backlogs, struct cw_gossip_backlogs *note,
			const struct cw_server *server, int64_t now_ms);
static int take_note(struct backlogs *backlogs, int64_t now_ms);
static void apply(void *context, uint64_t server, const struct cw_backlog_share *sum);
static void log_placement(const struct entry *entry, const struct cw_server *server,
			  double work_ms);
static double capacity_tokens(const struct entry *entry, const struct cw_server *server);

struct backlogs *backlogs_create(struct entry *entry)
{
	struct backlogs *backlogs = g_new0(struct backlogs, 1);

	backlogs->entry = entry;
	backlogs->peers = cw_backlog_peers_create();
	backlogs->notes_left = NOTES_PER_S;
	uv_timer_init(&entry->loop, &backlogs->timer);
	backlogs->timer.data = backlogs;
	cw_pool_set_work_listener(cw_gate_pool(entry->gate), on_work_changed, backlogs);
	return backlogs;
}

void backlogs_destroy(struct backlogs *backlogs)
{
	if (!backlogs)
		return;
	cw_pool_set_work_listener(cw_gate_pool(backlogs->entry->gate), NULL, NULL);
	uv_close((uv_handle_t *)&backlogs->timer, on_closed);
}

void backlogs_fill(struct backlogs *backlogs, struct cw_gossip *gossip, int64_t now_ms)
{
	const struct cw_server *server;
	int is_due = now_ms - backlogs->noted_all_ms >= NOTE_AGAIN_MS;

	if (is_due)
		backlogs->noted_all_ms = now_ms;
	gossip->load_sequence = ++backlogs->sequence;
	TAILQ_FOREACH(server, cw_pool_active(cw_gate_pool(backlogs->entry->gate)), active_link) {
		struct cw_gossip_load *load = &gossip->loads[gossip->load_count];

		if (is_due && has_long_prompt(server))
			add_changed(backlogs, server);
		if (server->own_running == 0 || gossip->load_count == CW_GOSSIP_SERVERS)
			continue;
		load->server = server->id;
		load->running = server->own_running;
		load->work_ms = (uint32_t)MIN(cw_pool_own_work_ms(server, now_ms),
					      CW_BACKLOG_UNREAD_MS_MAX);
		get_share(backlogs, server, &gossip->shares[gossip->load_count++], now_ms);
	}
}

void backlogs_merge_round(struct backlogs *backlogs, const struct cw_gossip *gossip, int64_t now_ms)
{
	struct cw_backlog_report reports[CW_GOSSIP_SERVERS];
	struct cw_backlog_message message = {
		.instance = cw_hash_text(gossip->sender.instance, 0),
		.boot = gossip->boot,
		.sequence = gossip->load_sequence,
		.is_complete = 1,
		.count = gossip->load_count,
		.reports = reports,
	};

	for (size_t i = 0; i < gossip->load_count; i++) {
		const struct cw_gossip_load *load = &gossip->loads[i];

		reports[i].server = load->server;
		reports[i].share = gossip->shares[i];
		/* An earlier build names neither the number of unread prompts nor tokens. */
		if (gossip->load_sequence == 0)
			reports[i].share = (struct cw_backlog_share){
				.running = load->running,
				.unread = load->work_ms > 0,
				.unread_ms = load->work_ms,
			};
	}
	cw_backlog_peers_merge(backlogs->peers, &message, now_ms);
}

void backlogs_apply(struct backlogs *backlogs, int64_t now_ms)
{
	cw_pool_count_unread(cw_gate_pool(backlogs->entry->gate), sends_notes(backlogs));
	cw_backlog_peers_expire(backlogs->peers, now_ms - SHARES_TIMEOUT_MS);
	cw_backlog_peers_each(backlogs->peers, apply, backlogs);
}

int backlog_merge(struct entry *entry, const char *bytes, size_t size, uint32_t delay_ms)
{
	struct backlogs *backlogs = entry->backlogs;
	struct cw_gossip_backlogs note;
	struct cw_backlog_message message;
	struct cw_backlog_share sum;

	if (cw_gossip_decode_backlogs(bytes, size, &note) != CW_OK)
		return 0;
	message = (struct cw_backlog_message){
		.instance = note.instance,
		.boot = note.boot,
		.sequence = note.sequence,
		.names_unread = note.count < CW_GOSSIP_BACKLOGS,
		.count = note.count,
		.reports = note.reports,
	};
	if (!cw_backlog_peers_merge(backlogs->peers, &message, entry_now_ms(entry) - delay_ms)) {
		cw_counter_add("backlog_notes", "result=\"dropped\"", 1);
		return 1;
	}
	cw_counter_add("backlog_notes", "result=\"merged\"", 1);
	for (size_t i = 0; i < note.count; i++) {
		cw_backlog_peers_sum(backlogs->peers, note.reports[i].server, &sum);
		apply(backlogs, note.reports[i].server, &sum);
	}
	return 1;
}

void backlog_update_gauges(const struct entry *entry)
{
	const struct cw_server *server;
	int64_t now_ms = entry_now_ms(entry);
	double largest_ms = 0;
	uint64_t past_memory = 0;

	TAILQ_FOREACH(server, cw_pool_active(cw_gate_pool(entry->gate)), active_link) {
		double capacity = capacity_tokens(entry, server);

		largest_ms = MAX(largest_ms, cw_pool_backlog_ms(server, 0, now_ms));
		if (server->work && capacity > 0)
			past_memory += cw_backlog_tokens(&server->work->backlog) > capacity;
	}
	cw_gauge_set("largest_backlog_ms", "", (uint64_t)largest_ms);
	cw_gauge_set("servers_past_memory", "", past_memory);
	cw_gauge_set("peers_backlog_bytes", "", cw_backlog_peers_bytes(entry->backlogs->peers));
}

static void on_work_changed(void *context, struct cw_server *server, double work_ms)
{
	struct backlogs *backlogs = context;

	if (work_ms > 0)
		log_placement(backlogs->entry, server, work_ms);
	if (ABS(work_ms) >= backlogs->entry->policy.note_min_ms)
		add_changed(backlogs, server);
}

/* A server that finds no place is announced with the next round. */
static void add_changed(struct backlogs *backlogs, const struct cw_server *server)
{
	struct entry *entry = backlogs->entry;
	int64_t since_ms = entry_now_ms(entry) - backlogs->noted_ms;

	if (!sends_notes(backlogs) || backlogs->changed_count == CW_GOSSIP_BACKLOGS)
		return;
	for (size_t i = 0; i < backlogs->changed_count; i++)
		if (backlogs->changed[i] == server->id)
			return;
	backlogs->changed[backlogs->changed_count++] = server->id;
	if (backlogs->changed_count == 1)
		uv_timer_start(&backlogs->timer, on_timer, (uint64_t)MAX(NOTE_GAP_MS - since_ms, 0),
			       0);
}

/* Only where a round doesn't reach all peers. */
static int sends_notes(const struct backlogs *backlogs)
{
	return peers_count(backlogs->entry->peers) > CW_AUDIENCE_FULL_FANOUT &&
	       backlogs->entry->policy.note_min_ms < NOTES_OFF_MS;
}

static void get_share(const struct backlogs *backlogs, const struct cw_server *server,
		      struct cw_backlog_share *share, int64_t now_ms)
{
	if (sends_notes(backlogs))
		cw_pool_get_long_share(server, share, now_ms);
	else
		cw_pool_get_share(server, share, now_ms);
}

static int has_long_prompt(const struct cw_server *server)
{
	return server->work && server->work->backlog.own_long > 0;
}

static void on_timer(uv_timer_t *timer)
{
	send_note(timer->data);
}

static void on_closed(uv_handle_t *handle)
{
	struct backlogs *backlogs = handle->data;

	cw_backlog_peers_destroy(backlogs->peers);
	g_free(backlogs);
}

/*
 * One note on all servers that changed, and on others with a long unread prompt: so a note also
 * makes up for earlier ones that were lost.
 */
static void send_note(struct backlogs *backlogs)
{
	struct entry *entry = backlogs->entry;
	struct cw_pool *pool = cw_gate_pool(entry->gate);
	int64_t now_ms = entry_now_ms(entry);
	struct cw_gossip_backlogs note = {
		.instance = cw_hash_text(entry->settings.instance, 0),
		.boot = peers_boot(entry->peers),
	};
	char bytes[CW_GOSSIP_BACKLOGS_BYTES];
	struct cw_server *server;
	size_t size;

	for (size_t i = 0; i < backlogs->changed_count; i++)
		add_to_note(backlogs, &note, cw_pool_find(pool, backlogs->changed[i]), now_ms);
	TAILQ_FOREACH(server, cw_pool_active(pool), active_link)
		if (has_long_prompt(server))
			add_to_note(backlogs, &note, server, now_ms);
	backlogs->changed_count = 0;
	backlogs->noted_ms = now_ms;
	if (!take_note(backlogs, now_ms)) {
		cw_counter_add("backlog_notes", "result=\"unsent\"", 1);
		return;
	}
	note.sequence = ++backlogs->sequence;
	size = cw_gossip_encode_backlogs(&note, bytes, sizeof(bytes));
	if (size > 0)
		cw_counter_add("backlog_notes", "result=\"sent\"",
			       peers_send_to_domain(entry->peers, NULL, bytes, size));
}

/* Unless it is in the note already, or the note is full. server NULL: it was removed. */
static void add_to_note(const struct backlogs *backlogs, struct cw_gossip_backlogs *note,
			const struct cw_server *server, int64_t now_ms)
{
	if (!server || note->count == CW_GOSSIP_BACKLOGS)
		return;
	for (size_t i = 0; i < note->count; i++)
		if (note->reports[i].server == server->id)
			return;
	note->reports[note->count].server = server->id;
	get_share(backlogs, server, &note->reports[note->count++].share, now_ms);
}

static int take_note(struct backlogs *backlogs, int64_t now_ms)
{
	double earned = (double)(now_ms - backlogs->notes_left_ms) * NOTES_PER_S / 1000;

	backlogs->notes_left = MIN(backlogs->notes_left + earned, NOTES_PER_S);
	backlogs->notes_left_ms = now_ms;
	if (backlogs->notes_left < 1)
		return 0;
	backlogs->notes_left--;
	return 1;
}

static void apply(void *context, uint64_t server_id, const struct cw_backlog_share *sum)
{
	const struct backlogs *backlogs = context;
	struct cw_server *server = cw_pool_find(cw_gate_pool(backlogs->entry->gate), server_id);

	if (server)
		cw_pool_set_peers(server, sum, entry_now_ms(backlogs->entry));
}

/* A request of work_ms was placed although its server is seconds behind or has no memory left. */
static void log_placement(const struct entry *entry, const struct cw_server *server, double work_ms)
{
	int64_t now_ms = entry_now_ms(entry);
	double behind_ms =
		cw_pool_backlog_ms(server, 0, now_ms) - work_ms * cw_pool_pace(server, now_ms);
	double tokens = server->work ? cw_backlog_tokens(&server->work->backlog) : 0;
	double capacity = capacity_tokens(entry, server);
	int is_past_memory = capacity > 0 && tokens > capacity;

	if (behind_ms < BEHIND_MS && !is_past_memory)
		return;
	cw_counter_add("placed_behind", is_past_memory ? "why=\"memory\"" : "why=\"prompts\"", 1);
	cw_event("load", "placed_behind", "server=%s backlog_ms=%.0f tokens=%.0f capacity=%.0f",
		 server->name, behind_ms, tokens, capacity);
}

static double capacity_tokens(const struct entry *entry, const struct cw_server *server)
{
	const struct cw_config *config = cw_gate_config(entry->gate);
	const struct cw_service *service =
		config ? cw_config_find_service(config, server->service) : NULL;

	return service ? service->kv_cache_tokens : 0;
}
