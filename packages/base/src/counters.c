#include "cw_counters.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>

#define COUNTER_PREFIX "corianderwalk_"

static pthread_mutex_t counters_mutex = PTHREAD_MUTEX_INITIALIZER;
static GTree *counters; /* "name{label}" -> value; ordered, so that the text is stable */

static uint64_t *counter_slot(const char *name, const char *label);
static int compare_names(gconstpointer a, gconstpointer b, gpointer unused);
static gboolean append_counter(gpointer key, gpointer value, gpointer text);

void cw_count(const char *name, const char *label, uint64_t add)
{
	pthread_mutex_lock(&counters_mutex);
	*counter_slot(name, label) += add;
	pthread_mutex_unlock(&counters_mutex);
}

void cw_gauge(const char *name, const char *label, uint64_t value)
{
	pthread_mutex_lock(&counters_mutex);
	*counter_slot(name, label) = value;
	pthread_mutex_unlock(&counters_mutex);
}

char *cw_counters_text(void)
{
	GString *text = g_string_new(NULL);

	pthread_mutex_lock(&counters_mutex);
	if (counters)
		g_tree_foreach(counters, append_counter, text);
	pthread_mutex_unlock(&counters_mutex);
	return g_string_free(text, FALSE);
}

static uint64_t *counter_slot(const char *name, const char *label)
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

static gboolean append_counter(gpointer key, gpointer value, gpointer text)
{
	g_string_append_printf(text, "%s %" G_GUINT64_FORMAT "\n", (char *)key, *(uint64_t *)value);
	return FALSE;
}
