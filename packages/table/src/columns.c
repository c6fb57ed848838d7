#include "cw_table.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define CELL_MAX 1e12 /* larger values are taken for typing errors */

static const char *const column_names[CW_COLUMN_COUNT] = {
	[CW_COLUMN_WEIGHT] = "weight",
	[CW_COLUMN_REQUESTS_PER_S] = "requests_per_s",
	[CW_COLUMN_TOKENS_PER_S] = "tokens_per_s",
	[CW_COLUMN_CONCURRENT] = "concurrent",
	[CW_COLUMN_COST] = "cost_per_1k_tokens",
	[CW_COLUMN_QUALITY] = "quality_target",
	[CW_COLUMN_STATE] = "state",
};

const char *cw_column_name(enum cw_column column)
{
	return column_names[column];
}

enum cw_status cw_column_find(const char *name, enum cw_column *column)
{
	for (int i = 0; i < CW_COLUMN_COUNT; i++) {
		if (strcmp(name, column_names[i]) != 0)
			continue;
		*column = i;
		return CW_OK;
	}
	return CW_NOT_FOUND;
}

enum cw_status cw_cell_parse(enum cw_column column, const char *text, double *value)
{
	char *end;

	if (column == CW_COLUMN_STATE) {
		*value = !strcmp(text, "allowed");
		return *value != 0 || !strcmp(text, "withdrawn") ? CW_OK : CW_INVALID;
	}
	if (!*text) {
		*value = NAN;
		return CW_OK;
	}
	*value = g_ascii_strtod(text, &end);
	if (*end || !isfinite(*value) || *value < 0 || *value > CELL_MAX)
		return CW_INVALID;
	if (column == CW_COLUMN_QUALITY && *value > 1)
		return CW_INVALID;
	return CW_OK;
}

void cw_cell_format(enum cw_column column, double value, char *text, size_t size)
{
	char number[G_ASCII_DTOSTR_BUF_SIZE];

	if (column == CW_COLUMN_STATE)
		snprintf(text, size, "%s", value == 1 ? "allowed" : "withdrawn");
	else if (isnan(value))
		*text = '\0';
	else
		snprintf(text, size, "%s", g_ascii_formatd(number, sizeof(number), "%.10g", value));
}
