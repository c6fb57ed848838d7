#include "cwctl.h"
#include "cw_http_client.h"
#include "cw_settings.h"

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define POSITIONALS_MAX 8

struct command {
	const char *name;
	const char *subcommand; /* NULL: the command has none */
	const char *usage;
	int needs_platform;
	int needs_operators;
	enum exit_code (*run)(const struct options *options);
};

static enum exit_code check_settings_file(const struct options *options);
static enum exit_code describe_settings(const struct options *options);
static const struct command *find_command(char **arguments, size_t *consumed);
static int run_command(const struct command *command, const struct options *options);
static int read_settings(const char *file, struct options *options, struct cw_settings **settings);
static void print_help(void **table);

static const struct command commands[] = {
	{"check", NULL, "check FILE", 0, 0, check_settings_file},
	{"settings", NULL, "settings", 0, 0, describe_settings},
	{"table", "publish", "table publish FILE.csv", 1, 0, table_publish},
	{"table", "set", "table set ORGANISATION MODEL VERSION COLUMN VALUE [--if-revision N]", 1,
	 0, table_set},
	{"table", "show", "table show [--csv]", 1, 0, table_show},
	{"organisation", "add", "organisation add NAME", 1, 0, organisation_add},
	{"domain", "drain", "domain drain NAME", 1, 0, domain_drain},
	{"domain", "restore", "domain restore NAME", 1, 0, domain_restore},
	{"domain", "list", "domain list", 1, 0, domain_list},
	{"timeline", NULL, "timeline [--request ID]", 0, 1, show_timeline},
	{"counters", NULL, "counters", 0, 1, show_counters},
	{"bills", NULL, "bills [--organisation NAME]", 1, 0, show_bills},
	{"status", NULL, "status", 0, 1, show_status},
	{"quarantine", "list", "quarantine list", 0, 1, show_quarantine},
	{"quarantine", "release", "quarantine release FINGERPRINT", 0, 1, release_quarantined},
};

int main(int argc, char **argv)
{
	struct arg_str *arguments =
		arg_strn(NULL, NULL, "COMMAND", 0, POSITIONALS_MAX, "the command and its words");
	struct arg_str *platform = arg_str0(NULL, "platform", "IP:PORT", "the platform");
	struct arg_str *operators =
		arg_str0(NULL, "operators", "IP:PORT,...", "operator addresses of the instances");
	struct arg_file *file =
		arg_file0(NULL, "settings", "FILE", "take both from an instance's settings");
	struct arg_str *request = arg_str0(NULL, "request", "ID", "only this request");
	struct arg_str *organisation =
		arg_str0(NULL, "organisation", "NAME", "only this organisation");
	struct arg_str *if_revision =
		arg_str0(NULL, "if-revision", "N", "refuse when the cell's revision is another");
	struct arg_lit *csv = arg_lit0(NULL, "csv", "as the CSV that publish takes");
	struct arg_lit *json = arg_lit0(NULL, "json", "for programs: a JSON object a line");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version and exit");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help and exit");
	struct arg_end *end = arg_end(20);
	void *table[] = {arguments,   platform, operators, file,    request, organisation,
			 if_revision, csv,	json,	   version, help,    end};
	struct options options = {0};
	struct cw_settings *settings = NULL;
	const struct command *command;
	char *list[POSITIONALS_MAX + 1] = {0};
	size_t consumed = 0;
	int code = EXIT_DONE;
	int errors = arg_parse(argc, argv, table);

	for (int i = 0; i < arguments->count; i++)
		list[i] = (char *)arguments->sval[i];
	command = find_command(list, &consumed);
	options.arguments = list + consumed;
	options.json = json->count;
	options.csv = csv->count;
	options.request = request->count ? request->sval[0] : NULL;
	options.organisation = organisation->count ? organisation->sval[0] : NULL;
	options.if_revision = if_revision->count ? if_revision->sval[0] : NULL;
	options.operators = g_strsplit(operators->count ? operators->sval[0] : "", ",", -1);
	if (help->count) {
		print_help(table);
	} else if (version->count) {
		printf("cwctl %s\n", CW_VERSION);
	} else if (errors || !command) {
		arg_print_errors(stderr, end, "cwctl");
		fprintf(stderr, "cwctl: no such command; --help lists them\n");
		code = EXIT_USAGE;
	} else if (file->count && read_settings(file->filename[0], &options, &settings)) {
		code = EXIT_USAGE;
	} else {
		if (platform->count)
			options.platform = platform->sval[0];
		code = run_command(command, &options);
	}
	g_strfreev(options.operators);
	cw_settings_destroy(settings);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

static int run_command(const struct command *command, const struct options *options)
{
	int code;

	if ((command->needs_platform && !options->platform) ||
	    (command->needs_operators && !options->operators[0])) {
		fprintf(stderr, "cwctl: %s needs --%s or --settings\n", command->usage,
			command->needs_platform ? "platform" : "operators");
		return EXIT_USAGE;
	}
	cw_http_open();
	code = (int)command->run(options);
	cw_http_close();
	return code;
}

static enum exit_code check_settings_file(const struct options *options)
{
	struct cw_settings *settings;
	char *faults;

	if (!options->arguments[0]) {
		fprintf(stderr, "cwctl: check FILE\n");
		return EXIT_USAGE;
	}
	settings = cw_settings_load(options->arguments[0], &faults);
	if (settings) {
		printf("%s: ok\n", options->arguments[0]);
		cw_settings_destroy(settings);
		return EXIT_DONE;
	}
	fprintf(stderr, "%s", faults);
	g_free(faults);
	return EXIT_USAGE;
}

static enum exit_code describe_settings(const struct options *options)
{
	char *text = cw_settings_describe();

	printf("%s", text);
	g_free(text);
	return EXIT_DONE;
}

static const struct command *find_command(char **arguments, size_t *consumed)
{
	for (size_t i = 0; arguments[0] && i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, arguments[0]) != 0)
			continue;
		if (commands[i].subcommand &&
		    (!arguments[1] || strcmp(commands[i].subcommand, arguments[1]) != 0))
			continue;
		*consumed = commands[i].subcommand ? 2 : 1;
		return &commands[i];
	}
	return NULL;
}

static int read_settings(const char *file, struct options *options, struct cw_settings **settings)
{
	char *faults;

	*settings = cw_settings_load(file, &faults);
	if (!*settings) {
		fprintf(stderr, "%s", faults);
		g_free(faults);
		return -1;
	}
	options->platform = (*settings)->platform;
	if (!options->operators[0]) {
		g_strfreev(options->operators);
		options->operators = g_strsplit((*settings)->operator_listen, ",", -1);
	}
	return 0;
}

static void print_help(void **table)
{
	printf("cwctl: drives corianderwalk for operators\nusage: cwctl COMMAND "
	       "[options]\n\ncommands:\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		printf("  %s\n", commands[i].usage);
	printf("\noptions:\n");
	arg_print_glossary(stdout, table, "  %-24s %s\n");
	printf("\nexit codes: 0 done, 1 refused, 2 usage, 3 unreachable\n");
}
