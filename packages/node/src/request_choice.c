/* Which version a request runs on: of its session, of its model's weights, or of the cascade. */
#include "node_internal.h"

#include <math.h>
#include <string.h>

#define AUTO_MODEL "auto"

static const struct cw_row *pick_by_weight(struct cw_node *node, const struct request *request,
					   const char *model, int *allowed);
static enum choice_result choose_of_model(struct cw_node *node, struct request *request,
					  const char *model);
static enum choice_result choose_of_all(struct cw_node *node, struct request *request);
static void add_option(struct request *request, const struct cw_row *row);
static int has_option(const struct request *request, const char *model);
static void take_row(struct request *request, const struct cw_row *row);
static uint64_t choice_key(const struct request *request);

enum choice_result choice_version(struct cw_node *node, struct request *request)
{
	const struct cw_row *row;

	if (request->binding.key && *request->binding.model) {
		row = cw_table_find_row(node->table, request->organisation, request->binding.model,
					request->binding.version);
		if (cw_table_is_binding_valid(row, request->binding.bound_at)) {
			take_row(request, row);
			return CHOICE_OK;
		}
		/*
		 * Bound by an instance that knows a later table: what it allows is not known here.
		 * Choosing anew would move the session; another instance can serve it.
		 */
		if (!cw_table_is_allowed(row) &&
		    request->binding.bound_at > cw_table_offset(node->table))
			return CHOICE_BEHIND;
		/* The version was withdrawn: the session goes on, on another version, and the
		 * answer says so. */
		cw_session_remove(node->sessions, request->binding.key);
		*request->binding.model = '\0';
		request->rebound = 1;
	}
	if (!strcmp(request->in.target, AUTO_MODEL))
		return choose_of_all(node, request);
	return choose_of_model(node, request, request->in.target);
}

/*
 * The smaller offset stands, but only among bindings that hold: one that a withdrawal has ended
 * must not come back by its smaller offset. It shows as a session that moves twice. Where this
 * table is behind the newer binding's, its making tells that the older one had ended.
 */
void choice_merge_binding(struct cw_node *node, const struct cw_binding *binding)
{
	const struct cw_binding *held = cw_session_find(node->sessions, binding->key, node->now_ms);
	const struct cw_row *row = cw_table_find_row_by_id(node->table, binding->row);
	int is_newer = binding->bound_at > cw_table_offset(node->table);

	if (!is_newer && !cw_table_is_binding_valid(row, binding->bound_at))
		return;
	if (held && held->bound_at < binding->bound_at &&
	    (is_newer || !cw_table_is_binding_valid(cw_table_find_row_by_id(node->table, held->row),
						    held->bound_at)))
		cw_session_remove(node->sessions, binding->key);
	cw_session_merge(node->sessions, binding, node->now_ms);
}

void choice_take_option(struct request *request, size_t index)
{
	g_strlcpy(request->model, request->option_model[index], CW_NAME_MAX);
	g_strlcpy(request->version, request->option_version[index], CW_NAME_MAX);
	request->version_id = request->options[index].version;
	request->cost_per_1k = request->options[index].cost_per_1k;
}

int choice_holds(struct cw_node *node, const struct request *request)
{
	const struct cw_row *row = cw_table_find_row(node->table, request->organisation,
						     request->model, request->version);

	if (request->binding.key && *request->binding.model &&
	    !strcmp(request->binding.model, request->model) &&
	    !strcmp(request->binding.version, request->version))
		return cw_table_is_binding_valid(row, request->binding.bound_at);
	return cw_table_is_allowed(row);
}

static enum choice_result choose_of_model(struct cw_node *node, struct request *request,
					  const char *model)
{
	int allowed = 0;
	const struct cw_row *row = pick_by_weight(node, request, model, &allowed);

	if (!row)
		return allowed ? CHOICE_NO_WEIGHT : CHOICE_NOT_ALLOWED;
	take_row(request, row);
	return CHOICE_OK;
}

/* One version of each allowed model stands for it, by weight; the cascade plans among these. */
static enum choice_result choose_of_all(struct cw_node *node, struct request *request)
{
	const struct cw_row_list *rows =
		cw_table_organisation_rows(node->table, request->organisation);
	const struct cw_row *row;
	int allowed = 0;

	memset(&request->choice, 0, sizeof(request->choice));
	request->choice.options = request->options;
	if (!rows)
		return CHOICE_NOT_ALLOWED;
	TAILQ_FOREACH(row, rows, organisation_link) {
		const struct cw_row *picked;

		if (!strncmp(row->model, CW_SERVICE_PREFIX, strlen(CW_SERVICE_PREFIX)) ||
		    has_option(request, row->model))
			continue;
		if (!cw_table_is_allowed(row) || request->choice.count == CW_MAX_VERSIONS)
			continue;
		picked = pick_by_weight(node, request, row->model, &allowed);
		if (picked)
			add_option(request, picked);
	}
	if (request->choice.count == 0)
		return allowed ? CHOICE_NO_WEIGHT : CHOICE_NOT_ALLOWED;
	request->choice.task = cw_cascade_task_key(request->organisation, request->in.task);
	request->choice.common = cw_cascade_task_key("", request->in.task);
	/* A session stays on one version, so it is not sent to a second one; nor can a stream be
	 * taken back. */
	request->choice.can_check =
		!(request->in.flags & CW_REQUEST_STREAM) && !request->binding.key;
	request->choice.random = node_random(node);
	cw_cascade_plan(node->cascade, &request->choice, &request->plan);
	request->planned = 1;
	choice_take_option(request, request->plan.first);
	row = cw_table_find_row(node->table, request->organisation, request->model,
				request->version);
	request->row = row->id;
	return CHOICE_OK;
}

/*
 * Weighted rendezvous over what is allowed: exact shares, and the same answer on every instance
 * that holds the same table, without a message.
 */
static const struct cw_row *pick_by_weight(struct cw_node *node, const struct request *request,
					   const char *model, int *allowed)
{
	const struct cw_row_list *rows =
		cw_table_organisation_rows(node->table, request->organisation);
	const struct cw_row *best = NULL;
	const struct cw_row *tripped = NULL;
	const struct cw_row *row;
	double best_score = 0;
	double tripped_score = 0;
	uint64_t key = choice_key(request);

	if (!rows)
		return NULL;
	TAILQ_FOREACH(row, rows, organisation_link) {
		double weight = row->cell[CW_COLUMN_WEIGHT];
		uint64_t id = cw_pool_version_hash(row->model, row->version);
		double factor = cw_health_weight_factor(node->health, id, node->now_ms);
		double score;

		if (strcmp(row->model, model) != 0 || !cw_table_is_allowed(row))
			continue;
		*allowed = 1;
		if (isnan(weight) || weight <= 0)
			continue;
		cw_health_set_model(node->health, id, cw_pool_version_hash(row->model, ""));
		/* What failed this request once is its last resort: a sibling may answer it well.
		 */
		if (id == request->avoid)
			factor = 0;
		score = cw_rendezvous(key, id, weight * factor);
		if (factor > 0 && score > best_score) {
			best = row;
			best_score = score;
		}
		score = cw_rendezvous(key, id, weight);
		if (score > tripped_score) {
			tripped = row;
			tripped_score = score;
		}
	}
	/* Every version has tripped: a request still gets an answer rather than none. */
	return best ? best : tripped;
}

static void add_option(struct request *request, const struct cw_row *row)
{
	size_t index = request->choice.count++;
	double cost = row->cell[CW_COLUMN_COST];
	double target = row->cell[CW_COLUMN_QUALITY];

	request->options[index].version = cw_pool_version_hash(row->model, row->version);
	request->options[index].cost_per_1k = isnan(cost) ? 0 : cost;
	g_strlcpy(request->option_model[index], row->model, CW_NAME_MAX);
	g_strlcpy(request->option_version[index], row->version, CW_NAME_MAX);
	if (!isnan(target))
		request->choice.target = MAX(request->choice.target, target);
}

static int has_option(const struct request *request, const char *model)
{
	for (size_t i = 0; i < request->choice.count; i++)
		if (!strcmp(request->option_model[i], model))
			return 1;
	return 0;
}

static void take_row(struct request *request, const struct cw_row *row)
{
	double cost = row->cell[CW_COLUMN_COST];

	g_strlcpy(request->model, row->model, CW_NAME_MAX);
	g_strlcpy(request->version, row->version, CW_NAME_MAX);
	request->row = row->id;
	request->version_id = cw_pool_version_hash(row->model, row->version);
	request->cost_per_1k = isnan(cost) ? 0 : cost;
}

static uint64_t choice_key(const struct request *request)
{
	if (request->binding.key)
		return request->binding.key;
	return cw_hash_text(request->in.request_id, cw_hash_text(request->organisation, 7));
}
