/*
 * A request that crashes each runner after its first event, at an instance that reaches the runners
 * through another instance only. Arguments: record, trouble (1 or 0), store, front and ready
 * address of the instance, the same of the other instance.
 */
#include "../standins/lab.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define RUNNERS		3
#define CYCLES		5    /* times that the request comes */
#define DOWN_MS		2000 /* from a crash until the runner is back */
#define EXPIRY_MS	3600 /* three heartbeats */
#define CONTACT_MS	3000
#define WARM_CALLERS	12
#define CONNECTIONS_MAX 64 /* of an incarnation */
#define WARM_LIMIT_MS	8000
#define READY_LIMIT_MS	15000

/* A runner's place; each start has another name. */
struct runner {
	int number;
	int generation;
	int listener; /* -1: it takes no connections */
	int fds[CONNECTIONS_MAX];
	int connections;
	int64_t crashed_ms; /* 0: it runs */
	char name[32];
	char old_name[32]; /* still listed; empty: none */
};

static const char *store;
static const char *front;
static const char *other_front;
static int is_trouble;
static struct runner runners[RUNNERS];
static int crashes;
static int64_t third_crash_ms;
static int runs;
static int late_runs; /* sent later than CONTACT_MS after the third crash */
static int warm_running;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"tag\",\"host\":\"h\",\"path_prefix\":\"/tag/\","
	"\"route_kind\":\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":1500,"
	"\"target_gap_ms\":1000,\"priority\":2,\"service\":\"llm\",\"max_attempts\":3,"
	"\"public\":false,\"sticky\":true,\"resumable\":true}],"
	"\"services\":[{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":360,"
	"\"engine\":{\"slots\":64,\"kv_capacity\":659125,\"stride\":5,"
	"\"models\":[{\"name\":\"m0\",\"cost\":0.02}]}}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"museo\",\"api_keys\":[\"k1\"],\"priority\":1}]}";

static int send_event(int fd, long number)
{
	char text[128];
	int size = snprintf(text, sizeof(text), "15\r\nid: %03ld\ndata: piece\n\n\r\n", number);

	return lab_send(fd, text, (size_t)size);
}

static void stop_listening(struct runner *runner)
{
	if (runner->listener >= 0)
		lab_stop_listening(runner->listener);
	runner->listener = -1;
}

/* The process ends: all its connections are reset, and its port refuses. */
static void crash(struct runner *runner)
{
	pthread_mutex_lock(&lock);
	runner->crashed_ms = lab_now_ms();
	if (++crashes == 3)
		third_crash_ms = runner->crashed_ms;
	lab_record("runner %s crashes, the crash number %d", runner->name, crashes);
	stop_listening(runner);
	for (int i = 0; i < runner->connections; i++)
		lab_shut(runner->fds[i]);
	pthread_mutex_unlock(&lock);
}

static void run_deadly(struct runner *runner, int fd, long from)
{
	int64_t now_ms = lab_now_ms();

	pthread_mutex_lock(&lock);
	runs++;
	if (third_crash_ms && now_ms > third_crash_ms + CONTACT_MS)
		late_runs++;
	pthread_mutex_unlock(&lock);
	lab_record("runner %s begins the deadly request after event %ld", runner->name, from);
	send_event(fd, from + 1);
	lab_sleep_ms(60);
	crash(runner);
}

static void serve(int fd, struct runner *runner)
{
	struct lab_reader *reader = malloc(sizeof(*reader));
	char head[LAB_HEAD_MAX];
	char id[64];
	char body[64];
	char text[512];
	int is_open = 1;

	pthread_mutex_lock(&lock);
	if (runner->connections < CONNECTIONS_MAX)
		runner->fds[runner->connections++] = fd;
	pthread_mutex_unlock(&lock);
	lab_reader_open(reader, fd);
	while (is_open && lab_read_head(reader, head)) {
		long from = lab_number_field(head, "Last-Event-Id", 0);

		lab_find_field(head, "Attempt-Id", id, sizeof(id));
		if (!lab_read_body(reader, body, 8))
			break;
		snprintf(text, sizeof(text),
			 "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s\r\n"
			 "Server-Load: 1,0,64\r\nKeep-Alive: timeout=15\r\n"
			 "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			 id, id);
		is_open = lab_send(fd, text, strlen(text));
		if (!strncmp(body, "deadly", 6)) {
			run_deadly(runner, fd, from);
			break;
		}
		lab_sleep_ms(40);
		is_open = is_open && send_event(fd, 1) && lab_send(fd, "0\r\n\r\n", 5);
	}
	free(reader);
}

static void serve_0(int fd)
{
	serve(fd, &runners[0]);
}

static void serve_1(int fd)
{
	serve(fd, &runners[1]);
}

static void serve_2(int fd)
{
	serve(fd, &runners[2]);
}

static int start_runner(struct runner *runner)
{
	static void (*const handlers[RUNNERS])(int fd) = {serve_0, serve_1, serve_2};
	char address[LAB_ADDRESS_MAX];
	char entry[512];

	memcpy(runner->old_name, runner->name, sizeof(runner->old_name));
	pthread_mutex_lock(&lock);
	runner->connections = 0;
	runner->crashed_ms = 0;
	pthread_mutex_unlock(&lock);
	runner->listener = lab_listen("127.0.0.1", 0, address);
	if (runner->listener < 0)
		return 0;
	lab_serve(runner->listener, handlers[runner->number]);
	snprintf(runner->name, sizeof(runner->name), "r%d-%d", runner->number + 1,
		 ++runner->generation);
	lab_record("runner %s starts", runner->name);
	snprintf(entry, sizeof(entry),
		 "{\"service\":\"llm\",\"address\":\"%s\",\"zone\":\"z1\",\"version\":\"v1\","
		 "\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}",
		 address);
	return lab_put(store, "keyed.servers", runner->name, entry);
}

static int ask(const char *address, const char *id, const char *body)
{
	struct lab_reader *reader = malloc(sizeof(*reader));
	int fd = lab_connect(address, 0);
	char head[LAB_HEAD_MAX] = "";
	char line[256];
	char request[512];
	int length = snprintf(
		request, sizeof(request),
		"POST /tag/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\n"
		"Authorization: Token k1\r\nModel: m0\r\nToken-Count: 100,10\r\n"
		"Prefix-Hash: aa:40,%lx:60\r\nContent-Length: 8\r\n\r\n%-8.8s",
		id, (unsigned long)lab_now_ms() + 4096, body);

	lab_reader_open(reader, fd);
	if (fd >= 0 && lab_send(fd, request, (size_t)length) && lab_read_head(reader, head) &&
	    lab_status(head) == 200)
		while (lab_read_line(reader, line, sizeof(line)) && strcmp(line, "0") != 0)
			;
	if (fd >= 0)
		close(fd);
	free(reader);
	return *head ? lab_status(head) : 0;
}

static void *call_other(void *context)
{
	char id[32];

	snprintf(id, sizeof(id), "w%ld-%ld", *(const long *)context, (long)lab_now_ms());
	ask(other_front, id, "small");
	pthread_mutex_lock(&lock);
	warm_running--;
	pthread_mutex_unlock(&lock);
	return NULL;
}

/* Until the other instance has a connection to each runner. */
static int warm(void)
{
	static long numbers[WARM_CALLERS];
	int64_t until_ms = lab_now_ms() + WARM_LIMIT_MS;

	while (lab_now_ms() < until_ms) {
		int all = 1;

		for (int i = 0; i < WARM_CALLERS; i++) {
			numbers[i] = i;
			pthread_mutex_lock(&lock);
			warm_running++;
			pthread_mutex_unlock(&lock);
			lab_start_thread(call_other, &numbers[i]);
		}
		while (warm_running > 0)
			lab_sleep_ms(5);
		for (int i = 0; i < RUNNERS; i++)
			all &= runners[i].connections > 0;
		if (all)
			return 1;
		lab_sleep_ms(50);
	}
	return 0;
}

static int play(void)
{
	for (int cycle = 0; cycle < CYCLES; cycle++) {
		char id[32];
		int status;

		if (!warm())
			return 0;
		for (int i = 0; is_trouble && i < RUNNERS; i++)
			stop_listening(&runners[i]);
		lab_sleep_ms(300);
		snprintf(id, sizeof(id), "d%d", cycle);
		status = ask(front, id, "deadly");
		lab_record("caller of the deadly request, time %d: status %d", cycle + 1, status);
		lab_sleep_ms(DOWN_MS);
		for (int i = 0; i < RUNNERS; i++) {
			if (runners[i].crashed_ms && !start_runner(&runners[i]))
				return 0;
		}
		lab_sleep_ms(EXPIRY_MS - DOWN_MS);
		for (int i = 0; i < RUNNERS; i++)
			if (*runners[i].old_name &&
			    strcmp(runners[i].old_name, runners[i].name) != 0)
				lab_put(store, "keyed.servers", runners[i].old_name, "");
	}
	return 1;
}

int main(int argc, char **argv)
{
	if (argc != 8 || !lab_open_record(argv[1]))
		return 2;
	is_trouble = strcmp(argv[2], "0") != 0;
	store = argv[3];
	front = argv[4];
	other_front = argv[6];
	if (!lab_put(store, "keyed.op", "config", config))
		return 2;
	for (int i = 0; i < RUNNERS; i++) {
		runners[i].number = i;
		if (!start_runner(&runners[i]))
			return 2;
	}
	if (!lab_wait_ready(argv[5], READY_LIMIT_MS) || !lab_wait_ready(argv[7], READY_LIMIT_MS))
		return 2;
	lab_sleep_ms(4000);
	if (!play())
		return 2;
	lab_record("the deadly request ran %d times and crashed %d runners", runs, crashes);
	lab_record(
		"BUDGET: it reached runners %d times later than contact_ms after the third crash "
		"(3 may)",
		late_runs);
	return late_runs > 3;
}
