#include "cw_route.h"

#include <string.h>
#include <strings.h>

#define WEIGHT_STEPS 1000003 /* resolution of the weights */

struct cw_config {
	int references;
	uint64_t version;
	int needs_key;
	struct cw_caller_limits limits;
	GPtrArray *routes;
	GPtrArray *services;
	GPtrArray *organisations;
	GHashTable *by_host; /* host -> GPtrArray of routes, longest prefix first */
	GHashTable *by_key;
	GHashTable *by_service;
};

static gint by_prefix_length(gconstpointer a, gconstpointer b);
static void free_array(gpointer array);

struct cw_config *cw_config_create(uint64_t version)
{
	struct cw_config *config = g_new0(struct cw_config, 1);

	config->references = 1;
	config->version = version;
	config->routes = g_ptr_array_new_with_free_func(g_free);
	config->services = g_ptr_array_new_with_free_func(g_free);
	config->organisations = g_ptr_array_new_with_free_func(g_free);
	config->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_array);
	config->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	config->by_service = g_hash_table_new(g_str_hash, g_str_equal);
	return config;
}

struct cw_config *cw_config_ref(struct cw_config *config)
{
	config->references++;
	return config;
}

void cw_config_unref(struct cw_config *config)
{
	if (!config || --config->references > 0)
		return;
	g_hash_table_destroy(config->by_host);
	g_hash_table_destroy(config->by_key);
	g_hash_table_destroy(config->by_service);
	g_ptr_array_unref(config->routes);
	g_ptr_array_unref(config->services);
	g_ptr_array_unref(config->organisations);
	g_free(config);
}

uint64_t cw_config_version(const struct cw_config *config)
{
	return config->version;
}

struct cw_route *cw_config_add_route(struct cw_config *config)
{
	struct cw_route *route = g_new0(struct cw_route, 1);

	g_ptr_array_add(config->routes, route);
	return route;
}

struct cw_service *cw_config_add_service(struct cw_config *config)
{
	struct cw_service *service = g_new0(struct cw_service, 1);

	g_ptr_array_add(config->services, service);
	return service;
}

struct cw_organisation *cw_config_add_organisation(struct cw_config *config)
{
	struct cw_organisation *organisation = g_new0(struct cw_organisation, 1);

	g_ptr_array_add(config->organisations, organisation);
	return organisation;
}

void cw_config_add_key(struct cw_config *config, const char *key,
		       const struct cw_organisation *organisation)
{
	g_hash_table_replace(config->by_key, g_strdup(key), (gpointer)organisation);
}

void cw_config_require_keys(struct cw_config *config)
{
	config->needs_key = 1;
}

struct cw_caller_limits *cw_config_limits(struct cw_config *config)
{
	return &config->limits;
}

void cw_config_build_index(struct cw_config *config)
{
	GHashTableIter iter;
	gpointer list;

	for (guint i = 0; i < config->routes->len; i++) {
		struct cw_route *route = g_ptr_array_index(config->routes, i);

		for (char *c = route->host; *c; c++)
			*c = g_ascii_tolower(*c);
		list = g_hash_table_lookup(config->by_host, route->host);
		if (!list) {
			list = g_ptr_array_new();
			g_hash_table_insert(config->by_host, route->host, list);
		}
		g_ptr_array_add(list, route);
	}
	g_hash_table_iter_init(&iter, config->by_host);
	while (g_hash_table_iter_next(&iter, NULL, &list))
		g_ptr_array_sort(list, by_prefix_length);
	for (guint i = 0; i < config->services->len; i++) {
		struct cw_service *service = g_ptr_array_index(config->services, i);

		g_hash_table_replace(config->by_service, service->name, service);
	}
	cw_config_rank_routes(config);
}

void cw_config_rank_routes(struct cw_config *config)
{
	for (guint i = 0; i < config->services->len; i++)
		((struct cw_service *)g_ptr_array_index(config->services, i))->most_urgent =
			G_MAXINT;
	for (guint i = 0; i < config->routes->len; i++) {
		const struct cw_route *route = g_ptr_array_index(config->routes, i);

		for (size_t j = 0; route->model_count > 1 && j < route->share_count; j++) {
			struct cw_service *service =
				g_hash_table_lookup(config->by_service, route->shares[j].service);

			if (service)
				service->most_urgent = MIN(service->most_urgent, route->priority);
		}
	}
}

const struct cw_route *cw_config_find_route(const struct cw_config *config, const char *host,
					    const char *path)
{
	char lower[sizeof(((struct cw_route *)NULL)->host)];
	size_t size = strcspn(host, ":");
	GPtrArray *routes;

	if (size >= sizeof(lower))
		return NULL;
	for (size_t i = 0; i < size; i++)
		lower[i] = g_ascii_tolower(host[i]);
	lower[size] = '\0';
	routes = g_hash_table_lookup(config->by_host, lower);
	for (guint i = 0; routes && i < routes->len; i++) {
		const struct cw_route *route = g_ptr_array_index(routes, i);

		if (g_str_has_prefix(path, route->prefix))
			return route;
	}
	return NULL;
}

const struct cw_service *cw_config_find_service(const struct cw_config *config, const char *name)
{
	return g_hash_table_lookup(config->by_service, name);
}

const struct cw_organisation *cw_config_find_organisation(const struct cw_config *config,
							  const char *key)
{
	return g_hash_table_lookup(config->by_key, key);
}

int cw_config_requires_key(const struct cw_config *config)
{
	return config->needs_key;
}

size_t cw_config_route_count(const struct cw_config *config)
{
	return config->routes->len;
}

size_t cw_config_service_count(const struct cw_config *config)
{
	return config->services->len;
}

const struct cw_service *cw_config_service_at(const struct cw_config *config, size_t index)
{
	return g_ptr_array_index(config->services, index);
}

const char *cw_route_choose_service(const struct cw_route *route, uint64_t hash)
{
	double total = 0;
	double point;

	for (size_t i = 0; i < route->share_count; i++)
		total += route->shares[i].weight;
	point = (double)(hash % WEIGHT_STEPS) / WEIGHT_STEPS * total;
	for (size_t i = 0; i < route->share_count; i++) {
		if (point < route->shares[i].weight)
			return route->shares[i].service;
		point -= route->shares[i].weight;
	}
	return route->shares[0].service;
}

static gint by_prefix_length(gconstpointer a, gconstpointer b)
{
	const struct cw_route *left = *(struct cw_route *const *)a;
	const struct cw_route *right = *(struct cw_route *const *)b;
	size_t left_size = strlen(left->prefix);
	size_t right_size = strlen(right->prefix);

	return left_size > right_size ? -1 : left_size < right_size;
}

static void free_array(gpointer array)
{
	g_ptr_array_unref(array);
}
