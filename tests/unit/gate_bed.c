#include "gate_bed.h"

#include <stdio.h>
#include <string.h>

void fixture_add_server(struct fixture *fixture, const char *name, const char *service,
			const char *software)
{
	struct cw_server_entry entry = {.slots = 8};

	snprintf(entry.name, sizeof(entry.name), "%s", name);
	snprintf(entry.service, sizeof(entry.service), "%s", service);
	snprintf(entry.software, sizeof(entry.software), "%s", software);
	snprintf(entry.address, sizeof(entry.address), "10.0.0.1:%d", 1000 + name[1]);
	strcpy(entry.failure_domain, "d1");
	assert_int_not_equal(
		cw_pool_apply_entry(cw_gate_pool(fixture->gate), &entry, FIXTURE_NOW_MS),
		CW_LISTING_FULL);
}

static struct cw_route *add_route(struct cw_config *config, const char *prefix,
				  enum cw_retry_policy retry_policy, int attempts,
				  const char *service)
{
	struct cw_route *route = cw_config_add_route(config);

	strcpy(route->host, "h.example");
	g_strlcpy(route->prefix, prefix, sizeof(route->prefix));
	g_strlcpy(route->name, prefix, sizeof(route->name));
	route->retry_policy = retry_policy;
	route->max_attempts = attempts;
	route->limit_ms = 800;
	route->objective_ms = 300;
	route->share_count = 1;
	route->shares[0].weight = 1;
	g_strlcpy(route->shares[0].service, service, CW_NAME_MAX);
	return route;
}

struct cw_config *fixture_make_config(uint64_t version)
{
	struct cw_config *config = cw_config_create(version);
	struct cw_organisation *organisation = cw_config_add_organisation(config);
	struct cw_service *engine = cw_config_add_service(config);
	struct cw_route *route;

	strcpy(cw_config_add_service(config)->name, "orders");
	strcpy(engine->name, "llm");
	engine->is_engine = 1;
	engine->slots = 8;
	strcpy(organisation->name, "museo");
	cw_config_require_keys(config);
	cw_config_add_key(config, "key", organisation);
	add_route(config, "/once/", CW_RETRY_NEVER, 1, "orders");
	add_route(config, "/read/", CW_RETRY_ANY, 3, "orders");
	add_route(config, "/read/deep/", CW_RETRY_ANY, 3, "orders")->is_public = 1;
	route = add_route(config, "/chat/", CW_RETRY_STREAM, 3, "llm");
	route->is_resumable = 1;
	route->limit_ms = 20000;
	route->model_count = 2;
	strcpy(route->models[0], "small");
	strcpy(route->models[1], "large");
	route = add_route(config, "/report/", CW_RETRY_STREAM, 3, "llm");
	route->is_resumable = 1;
	route->limit_ms = 20000;
	cw_config_build_index(config);
	return config;
}

void fixture_open(struct fixture *fixture)
{
	struct cw_gate_options options = {
		.failure_domain = "d1",
		.seed = 5,
		.retry_ratio = 0.5,
		.retry_slack = 10,
		.retry_window_ms = 10000,
		.cold_factor = 2,
		.rollouts = {.session_ms = 5000, .exposed_share = 0.15, .exposed_slack = 30},
	};

	memset(fixture, 0, sizeof(*fixture));
	fixture->gate = cw_gate_create(&options);
	cw_gate_set_instances(fixture->gate, 1);
	fixture->config = fixture_make_config(5);
	cw_gate_configure(fixture->gate, fixture->config);
	strcpy(fixture->info.id, "r1");
	strcpy(fixture->info.host, "H.example:80");
	strcpy(fixture->info.key, "key");
	strcpy(fixture->info.model, CW_ANY_MODEL);
	fixture->info.allowed_ms = 10000;
	fixture->info.last_event = CW_NO_EVENT;
	fixture_add_server(fixture, "s1", "orders", "v1");
	fixture_add_server(fixture, "s2", "orders", "v1");
	fixture_add_server(fixture, "e1", "llm", "v1");
	fixture_add_server(fixture, "e2", "llm", "v1");
}

void fixture_close(struct fixture *fixture)
{
	cw_call_close(fixture->call, FIXTURE_NOW_MS);
	cw_gate_destroy(fixture->gate);
	cw_config_unref(fixture->config);
}

void fixture_open_call(struct fixture *fixture, const char *path)
{
	cw_call_close(fixture->call, FIXTURE_NOW_MS);
	fixture->info.path = path;
	fixture->call = cw_call_open(fixture->gate, &fixture->info, FIXTURE_NOW_MS, FIXTURE_NOW_MS,
				     &fixture->step);
}

void fixture_answer(struct fixture *fixture, unsigned int status, int is_signed, int is_not_run)
{
	struct cw_response_head head = {.status = status,
					.is_signed = is_signed,
					.is_not_run = is_not_run,
					.confidence = -1};

	cw_call_handle_head(fixture->call, &head, FIXTURE_NOW_MS + 10, &fixture->step);
}

void fixture_answer_stream(struct fixture *fixture, int confidence, unsigned int running,
			   unsigned int slots, int64_t after_ms)
{
	struct cw_response_head head = {.status = 200,
					.is_signed = 1,
					.is_event_stream = 1,
					.confidence = confidence,
					.has_load = 1,
					.running = running,
					.slots = slots};

	cw_call_handle_head(fixture->call, &head, FIXTURE_NOW_MS + after_ms, &fixture->step);
}

void fixture_assert_rejected(const struct fixture *fixture, unsigned int status,
			     enum cw_run_state run)
{
	assert_int_equal(fixture->step.kind, CW_STEP_REJECT);
	assert_int_equal(fixture->step.status, status);
	assert_int_equal(fixture->step.run, run);
}
