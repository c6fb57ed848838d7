#include "cw_counters.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>

#define COUNTER_PREFIX "corianderwalk_"

/* Upper bounds of the buckets in ms, chosen to include the latency objectives of callers. */
static const int64_t bounds_ms[] = {1,	 5,    20,   50,   100,	  150,	300,
				    500, 1000, 1500, 3000, 10000, 25000};

struct histogram {
	char *name;
	char *label;
	uint64_t buckets[G_N_ELEMENTS(bounds_ms) + 1];
	uint64_t count;
	uint64_t sum_ms;
};

static GTree *histograms; /* "name{label}" -> histogram */
static pthread_mutex_t counters_mutex = PTHREAD_MUTEX_INITIALIZER;
static GTree *counters; /* "name{label}" -> value; sorted, so that the text is stable */

static uint64_t *find_counter(const char *name, const char *label);
static int compare_names(gconstpointer a, gconstpointer b, gpointer unused);
static gboolean append_counter(gpointer key, gpointer value, gpointer text);
static gboolean append_histogram(gpointer key, gpointer value, gpointer text);
static void free_histogram(gpointer data);

void cw_counter_add(const char *name, const char *label, uint64_t add)
{
	pthread_mutex_lock(&counters_mutex);
	*find_counter(name, label) += add;
	pthread_mutex_unlock(&counters_mutex);
}

void cw_gauge_set(const char *name, const char *label, uint64_t value)
{
	pthread_mutex_lock(&counters_mutex);
	*find_counter(name, label) = value;
	pthread_mutex_unlock(&counters_mutex);
}

void cw_histogram_observe_ms(const char *name, const char *label, int64_t ms)
{
	struct histogram *histogram;
	char key[256];
	size_t bucket = 0;

	snprintf(key, sizeof(key), "%s{%s}", name, label);
	while (bucket < G_N_ELEMENTS(bounds_ms) && ms > bounds_ms[bucket])
		bucket++;
	pthread_mutex_lock(&counters_mutex);
	if (!histograms)
		histograms = g_tree_new_full(compare_names, NULL, g_free, free_histogram);
	histogram = g_tree_lookup(histograms, key);
	if (!histogram) {
		histogram = g_new0(struct histogram, 1);
		histogram->name = g_strdup(name);
		histogram->label = g_strdup(label);
		g_tree_insert(histograms, g_strdup(key), histogram);
	}
	histogram->buckets[bucket]++;
	histogram->count++;
	histogram->sum_ms += (uint64_t)MAX(ms, 0);
	pthread_mutex_unlock(&counters_mutex);
}

char *cw_counters_format(void)
{
	GString *text = g_string_new(NULL);

	pthread_mutex_lock(&counters_mutex);
	if (counters)
		g_tree_foreach(counters, append_counter, text);
	if (histograms)
		g_tree_foreach(histograms, append_histogram, text);
	pthread_mutex_unlock(&counters_mutex);
	return g_string_free(text, FALSE);
}

static uint64_t *find_counter(const char *name, const char *label)
{
	char key[256];
	uint64_t *slot;

	if (label && *label)
		snprintf(key, sizeof(key), COUNTER_PREFIX "%s{%s}", name, label);
	else
		snprintf(key, sizeof(key), COUNTER_PREFIX "%s", name);
	if (!counters)
		counters = g_tree_new_full(compare_names, NULL, g_free, g_free);
	slot = g_tree_lookup(counters, key);
	if (!slot) {
		slot = g_new0(uint64_t, 1);
		g_tree_insert(counters, g_strdup(key), slot);
	}
	return slot;
}

static int compare_names(gconstpointer a, gconstpointer b, gpointer unused)
{
	return g_strcmp0(a, b);
}

static gboolean append_histogram(gpointer key, gpointer value, gpointer text)
{
	const struct histogram *histogram = value;
	const char *separator = *histogram->label ? "," : "";
	uint64_t cumulative = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(bounds_ms); i++) {
		cumulative += histogram->buckets[i];
		g_string_append_printf(text,
				       COUNTER_PREFIX "%s_bucket{%s%sle=\"%" G_GINT64_FORMAT
						      "\"} %" G_GUINT64_FORMAT "\n",
				       histogram->name, histogram->label, separator, bounds_ms[i],
				       cumulative);
	}
	g_string_append_printf(text,
			       COUNTER_PREFIX "%s_bucket{%s%sle=\"+Inf\"} %" G_GUINT64_FORMAT
					      "\n" COUNTER_PREFIX "%s_sum{%s} %" G_GUINT64_FORMAT
					      "\n" COUNTER_PREFIX "%s_count{%s} %" G_GUINT64_FORMAT
					      "\n",
			       histogram->name, histogram->label, separator, histogram->count,
			       histogram->name, histogram->label, histogram->sum_ms,
			       histogram->name, histogram->label, histogram->count);
	return FALSE;
}

static void free_histogram(gpointer data)
{
	struct histogram *histogram = data;

	g_free(histogram->name);
	g_free(histogram->label);
	g_free(histogram);
}

static gboolean append_counter(gpointer key, gpointer value, gpointer text)
{
	g_string_append_printf(text, "%s %" G_GUINT64_FORMAT "\n", (char *)key, *(uint64_t *)value);
	return FALSE;
}
