#include "gate_bed.h"

#include <stdio.h>
#include <string.h>

void bed_add_server(struct bed *bed, const char *name, const char *service, const char *software)
{
	struct cw_server_entry entry = {.slots = 8};

	snprintf(entry.name, sizeof(entry.name), "%s", name);
	snprintf(entry.service, sizeof(entry.service), "%s", service);
	snprintf(entry.software, sizeof(entry.software), "%s", software);
	snprintf(entry.address, sizeof(entry.address), "10.0.0.1:%d", 1000 + name[1]);
	strcpy(entry.failure_domain, "d1");
	assert_int_not_equal(cw_pool_list(cw_gate_pool(bed->gate), &entry, BED_NOW),
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

struct cw_config *bed_make_config(uint64_t version)
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

void bed_open(struct bed *bed)
{
	struct cw_gate_options options = {
		.failure_domain = "d1",
		.seed = 5,
		.repeat_ratio = 0.5,
		.repeat_slack = 10,
		.repeat_window_ms = 10000,
		.cold_factor = 2,
		.rollouts = {.session_ms = 5000, .exposed_share = 0.15, .exposed_slack = 30},
	};

	memset(bed, 0, sizeof(*bed));
	bed->gate = cw_gate_create(&options);
	cw_gate_divide(bed->gate, 1);
	bed->config = bed_make_config(5);
	cw_gate_configure(bed->gate, bed->config);
	strcpy(bed->facts.id, "r1");
	strcpy(bed->facts.host, "H.example:80");
	strcpy(bed->facts.key, "key");
	strcpy(bed->facts.model, CW_ANY_MODEL);
	bed->facts.allowed_ms = 10000;
	bed->facts.last_event = CW_NO_EVENT;
	bed_add_server(bed, "s1", "orders", "v1");
	bed_add_server(bed, "s2", "orders", "v1");
	bed_add_server(bed, "e1", "llm", "v1");
	bed_add_server(bed, "e2", "llm", "v1");
}

void bed_close(struct bed *bed)
{
	cw_call_close(bed->call, BED_NOW);
	cw_gate_destroy(bed->gate);
	cw_config_unref(bed->config);
}

void bed_ask(struct bed *bed, const char *path)
{
	cw_call_close(bed->call, BED_NOW);
	bed->facts.path = path;
	bed->call = cw_call_open(bed->gate, &bed->facts, BED_NOW, BED_NOW, &bed->step);
}

void bed_answer(struct bed *bed, unsigned int status, int is_sealed, int is_not_run)
{
	struct cw_answer_facts facts = {.status = status,
					.is_sealed = is_sealed,
					.is_not_run = is_not_run,
					.confidence = -1};

	cw_call_head(bed->call, &facts, BED_NOW + 10, &bed->step);
}

void bed_assert_refused(const struct bed *bed, unsigned int status, enum cw_run run)
{
	assert_int_equal(bed->step.kind, CW_STEP_REFUSE);
	assert_int_equal(bed->step.status, status);
	assert_int_equal(bed->step.run, run);
}
