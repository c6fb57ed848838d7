/* Selects the version of a request: by its session, its model's weights, or the cascade. */
#include "node_internal.h"

#include <math.h>
#include <string.h>

#define AUTO_MODEL "auto"

static const struct cw_row *select_by_weight(struct cw_node *node, const struct request *request,
					     const char *model, int *allowed);
static enum choice_result select_from_model(struct cw_node *node, struct request *request,
					    const char *model);
static enum choice_result select_from_all_models(struct cw_node *node, struct request *request);
static void add_option(struct request *request, const struct cw_row *row);
static int has_option(const struct request *request, const char *model);
static void set_version(struct request *request, const struct cw_row *row);
static uint64_t rendezvous_key(const struct request *request);
static int is_newer_table(const struct cw_node *node, uint64_t offset);

enum choice_result choice_select_version(struct cw_node *node, struct request *request)
{
	const struct cw_row *row;

	if (request->binding.key && *request->binding.model) {
		row = cw_table_find_row(node->table, request->organisation, request->binding.model,
					request->binding.version);
		if (cw_table_is_binding_valid(row, request->binding.bound_at)) {
			set_version(request, row);
			return CHOICE_OK;
		}
		/*
		 * The binding was made with a newer table, so whether the version is allowed is not
		 * known here. Another choice would move the session; an instance with the newer
		 * table can serve the request.
		 */
		if (!cw_table_is_allowed(row) && is_newer_table(node, request->binding.bound_at))
			return CHOICE_TABLE_OUTDATED;
		/* The version was withdrawn: the session continues on another version, and the
		 * dispatch event reports session=rebound. */
		cw_session_remove(node->sessions, request->binding.key);
		*request->binding.model = '\0';
		request->is_rebound = 1;
	}
	if (!strcmp(request->in.target, AUTO_MODEL))
		return select_from_all_models(node, request);
	return select_from_model(node, request, request->in.target);
}

/*
 * Among valid bindings of a session the one with the smaller table offset wins. A binding that a
 * withdrawal has ended must not win again by its smaller offset, which would move the session to
 * another version twice. A binding made with a newer table than this instance's proves that the
 * older one had ended.
 */
void choice_merge_binding(struct cw_node *node, const struct cw_binding *binding)
{
	const struct cw_binding *stored =
		cw_session_find(node->sessions, binding->key, node->now_ms);
	const struct cw_row *row = cw_table_find_row_by_id(node->table, binding->row);
	int is_table_behind = is_newer_table(node, binding->bound_at);
	struct cw_binding limited = *binding;

	if (!is_table_behind)
		limited.bound_at = MIN(limited.bound_at, cw_table_offset(node->table));
	binding = &limited;
	if (!is_table_behind && !cw_table_is_binding_valid(row, binding->bound_at))
		return;
	if (stored && stored->bound_at < binding->bound_at &&
	    (is_table_behind ||
	     !cw_table_is_binding_valid(cw_table_find_row_by_id(node->table, stored->row),
					stored->bound_at)))
		cw_session_remove(node->sessions, binding->key);
	cw_session_merge(node->sessions, binding, node->now_ms);
}

void choice_apply_option(struct request *request, size_t index)
{
	g_strlcpy(request->model, request->option_model[index], CW_NAME_MAX);
	g_strlcpy(request->version, request->option_version[index], CW_NAME_MAX);
	request->version_id = request->options[index].version;
	request->cost_per_1k = request->options[index].cost_per_1k;
}

int choice_is_allowed(struct cw_node *node, const struct request *request)
{
	const struct cw_row *row = cw_table_find_row(node->table, request->organisation,
						     request->model, request->version);

	if (request->binding.key && *request->binding.model &&
	    !strcmp(request->binding.model, request->model) &&
	    !strcmp(request->binding.version, request->version))
		return cw_table_is_binding_valid(row, request->binding.bound_at);
	return cw_table_is_allowed(row);
}

static enum choice_result select_from_model(struct cw_node *node, struct request *request,
					    const char *model)
{
	int allowed = 0;
	const struct cw_row *row = select_by_weight(node, request, model, &allowed);

	if (!row)
		return allowed ? CHOICE_NO_WEIGHT : CHOICE_NOT_ALLOWED;
	set_version(request, row);
	return CHOICE_OK;
}

/* Selects one version of each allowed model by weight; the cascade plans among these. */
static enum choice_result select_from_all_models(struct cw_node *node, struct request *request)
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
		const struct cw_row *selected;

		if (!strncmp(row->model, CW_SERVICE_PREFIX, strlen(CW_SERVICE_PREFIX)) ||
		    has_option(request, row->model))
			continue;
		if (!cw_table_is_allowed(row) || request->choice.count == CW_MAX_VERSIONS)
			continue;
		selected = select_by_weight(node, request, row->model, &allowed);
		if (selected)
			add_option(request, selected);
	}
	if (request->choice.count == 0)
		return allowed ? CHOICE_NO_WEIGHT : CHOICE_NOT_ALLOWED;
	request->choice.task = cw_cascade_task_key(request->organisation, request->in.task);
	request->choice.common = cw_cascade_task_key("", request->in.task);
	/* A session stays on one version and chunks of a stream can't be withdrawn, so neither can
	 * be escalated to a second version. */
	request->choice.can_check =
		!(request->in.flags & CW_REQUEST_STREAM) && !request->binding.key;
	request->choice.random = node_random(node);
	cw_cascade_plan(node->cascade, &request->choice, &request->plan);
	request->has_plan = 1;
	choice_apply_option(request, request->plan.first);
	row = cw_table_find_row(node->table, request->organisation, request->model,
				request->version);
	request->row = row->id;
	return CHOICE_OK;
}

/*
 * Weighted rendezvous hashing over the allowed versions: it gives each version its exact share of
 * requests, and the same choice on all instances with the same table and health, without messages.
 */
static const struct cw_row *select_by_weight(struct cw_node *node, const struct request *request,
					     const char *model, int *allowed)
{
	const struct cw_row_list *rows =
		cw_table_organisation_rows(node->table, request->organisation);
	const struct cw_row *best = NULL;
	const struct cw_row *fallback = NULL;
	const struct cw_row *row;
	double best_score = 0;
	double fallback_score = 0;
	uint64_t key = rendezvous_key(request);

	if (!rows)
		return NULL;
	TAILQ_FOREACH(row, rows, organisation_link) {
		double weight = row->cell[CW_COLUMN_WEIGHT];
		uint64_t id = cw_pool_version_hash(row->model, row->version);
		double weight_factor = cw_health_weight_factor(node->health, id, node->now_ms);
		double score;

		if (strcmp(row->model, model) != 0 || !cw_table_is_allowed(row))
			continue;
		*allowed = 1;
		if (isnan(weight) || weight <= 0)
			continue;
		cw_health_set_model(node->health, id, cw_pool_version_hash(row->model, ""));
		/* A version that failed this request is used only if no other version is left. */
		if (id == request->failed_version)
			weight_factor = 0;
		score = cw_rendezvous_score(key, id, weight * weight_factor);
		if (weight_factor > 0 && score > best_score) {
			best = row;
			best_score = score;
		}
		score = cw_rendezvous_score(key, id, weight);
		if (score > fallback_score) {
			fallback = row;
			fallback_score = score;
		}
	}
	/* All versions have tripped or failed: an answer from any of them is better than none. */
	return best ? best : fallback;
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

static void set_version(struct request *request, const struct cw_row *row)
{
	double cost = row->cell[CW_COLUMN_COST];

	g_strlcpy(request->model, row->model, CW_NAME_MAX);
	g_strlcpy(request->version, row->version, CW_NAME_MAX);
	request->row = row->id;
	request->version_id = cw_pool_version_hash(row->model, row->version);
	request->cost_per_1k = isnan(cost) ? 0 : cost;
}

static uint64_t rendezvous_key(const struct request *request)
{
	if (request->binding.key)
		return request->binding.key;
	return cw_hash_text(request->in.request_id, cw_hash_text(request->organisation, 7));
}

/*
 * An offset past the end of a table that was just read is one of a log that was restored since, or
 * some instance has the newer table. In doubt it is the latter.
 */
static int is_newer_table(const struct cw_node *node, uint64_t offset)
{
	const struct cw_member *member;

	if (offset <= cw_table_offset(node->table))
		return 0;
	if (!log_is_current(node, CW_STREAM_TABLE))
		return 1;
	TAILQ_FOREACH(member, cw_membership_members(node->membership), link)
		if (member->table_offset >= offset &&
		    cw_membership_is_live(node->membership, member, node->now_ms))
			return 1;
	return 0;
}
