/* Command line: selects the role and reads its settings. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "proc/roles.h"

#ifndef SAGEHITCH_VERSION
#define SAGEHITCH_VERSION "unknown"
#endif

static const struct {
    const char *name, *what;
    int (*run)(struct local *local);
    int needs;
} roles[] = {
    {"keeper", "one of the three machines with a disk", role_keeper, NEED_LISTEN | NEED_HTTP | NEED_DATA},
    {"node", "a machine that owns shards and executors", role_node, NEED_LISTEN | NEED_HTTP},
    {"executor", "simulated executor", role_executor, NEED_HTTP | NEED_NAME},
    {"caller", "simulated caller", role_caller, 0},
};

static void usage(FILE *to)
{
    fprintf(to, "usage: sagehitch ROLE [--config FILE] [--NAME VALUE ...]\n\nroles:\n");
    for (int i = 0; i < COUNT_OF(roles); i++)
        fprintf(to, "  %-9s %s\n", roles[i].name, roles[i].what);
    fprintf(to, "  ctl       inspect and change a running cluster; see sagehitch ctl --help\n"
                "  check     check executors' journals for broken invariants\n"
                "  runbook   check or run a runbook; see sagehitch runbook --help\n"
                "  platform  controller or agent on the users' platform, configured by a settings file\n\n"
                "sagehitch ROLE --help lists the settings of a role, which a file may hold too.\n");
}

/* Parses flags. Their names are those of the local settings, so local_schema checks both. strict 0: other arguments
 * follow. */
static int parse(struct local *local, const char *role, int *argc, char ***argv, int strict)
{
    static char *values[64];
    static GOptionEntry entries[68];
    static char *config;
    GError *error = NULL;
    char why[400] = "";
    int n = 0, rc = 0;
    entries[n++] = (GOptionEntry){"config", 'c', 0, G_OPTION_ARG_FILENAME, &config, "settings file", "FILE"};
    for (int i = 0; i < local_schema.n && i < COUNT_OF(values); i++)
        entries[n++] = (GOptionEntry){local_schema.fields[i].name,
                                      0,
                                      0,
                                      G_OPTION_ARG_STRING,
                                      &values[i],
                                      local_schema.fields[i].kind == F_INT ? "a whole number" : "a text",
                                      "VALUE"};
    char *summary = g_strdup_printf("sagehitch %s", role);
    GOptionContext *context = g_option_context_new(strict ? NULL : "COMMAND ...");
    g_option_context_set_summary(context, strict ? summary : ctl_help);
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, argc, argv, &error)) {
        fprintf(stderr, "sagehitch: %s\n", error->message);
        g_error_free(error);
        rc = 1;
    }
    if (!rc && config) {
        local->file = must_dup(config);
        rc = local_read_file(local, config, why, sizeof why);
    }
    for (int i = 0; !rc && i < local_schema.n && i < COUNT_OF(values); i++)
        if (values[i])
            rc = local_set(local, local_schema.fields[i].name, values[i], "flags", why, sizeof why);
    if (rc && *why)
        fprintf(stderr, "sagehitch: %s\n", why);
    for (int i = 0; i < COUNT_OF(values); i++)
        g_free(values[i]);
    g_free(config);
    g_free(summary);
    g_option_context_free(context);
    return rc;
}

int main(int argc, char **argv)
{
    struct local local = {0};
    char why[400] = "";
    if (argc < 2 || !strcmp(argv[1], "--help") || !strcmp(argv[1], "-h") || !strcmp(argv[1], "help")) {
        usage(argc < 2 ? stderr : stdout);
        return argc < 2;
    }
    if (!strcmp(argv[1], "--version")) {
        printf("sagehitch %s\n", SAGEHITCH_VERSION);
        return 0;
    }
    const char *role = argv[1];
    if (!strcmp(role, "check"))
        return check_main(argc - 2, argv + 2);
    if (!strcmp(role, "runbook"))
        return runbook_main(argc - 2, argv + 2);
    if (!strcmp(role, "platform"))
        return platform_main(argc - 2, argv + 2);
    schema_defaults(&local_schema, &local);
    argv[1] = argv[0];
    argc--;
    argv++;
    int rc = 1, ctl = !strcmp(role, "ctl");
    if (ctl) {
        rc = parse(&local, role, &argc, &argv, 0);
        if (!rc)
            rc = ctl_main(&local, argc - 1, argv + 1);
        local_free(&local);
        return rc;
    }
    for (int i = 0; i < COUNT_OF(roles); i++) {
        if (strcmp(roles[i].name, role))
            continue;
        rc = parse(&local, role, &argc, &argv, 1);
        if (!rc && (rc = local_check(&local, roles[i].needs, why, sizeof why)))
            fprintf(stderr, "sagehitch: %s\n", why);
        if (!rc)
            rc = roles[i].run(&local);
        local_free(&local);
        return rc ? 1 : 0;
    }
    fprintf(stderr, "sagehitch: unknown role %s\n", role);
    usage(stderr);
    local_free(&local);
    return 1;
}
