/* sagehitch runbook check|run FILE [name=value ...] --seeds A,B [--record FILE] [--dry] */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/error.h"
#include "ctl/ctl.h"
#include "runbook/runbook.h"

struct outside {
    struct local *local;
    uint64_t nodes[64];
    int64_t n_nodes;
};

static int64_t now_ms(void *arg)
{
    struct timespec ts;
    (void)arg;
    clock_gettime(CLOCK_REALTIME, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void pause_ms(void *arg, int64_t ms)
{
    struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};
    (void)arg;
    nanosleep(&ts, NULL);
}

static void say(void *arg, const char *text)
{
    (void)arg;
    printf("%s\n", text);
    (void)fflush(stdout);
}

/* The doors of all live nodes, asked anew for each sweep over them. */
static void find_nodes(struct outside *o)
{
    struct bytes got = {0};
    size_t i;
    json_t *one;
    o->n_nodes = 0;
    if (ctl_request(o->local, "GET", "/v1/members", NULL, &got) == 200) {
        json_t *json = json_loadb((char *)got.at, (size_t)got.len, 0, NULL);
        json_array_foreach(json_object_get(json, "members"), i, one)
        {
            const char *role = json_string_value(json_object_get(one, "role"));
            const char *state = json_string_value(json_object_get(one, "state"));
            const char *http = json_string_value(json_object_get(one, "http"));
            if (role && state && http && !strcmp(role, "node") && !strcmp(state, "alive") &&
                o->n_nodes < COUNT_OF(o->nodes))
                o->nodes[o->n_nodes++] = addr_parse(http);
        }
        json_decref(json);
    }
    bytes_free(&got);
}

static long request(void *arg, int64_t node, const char *method, const char *path, const char *body, struct bytes *got)
{
    struct outside *o = arg;
    if (node < 0)
        return ctl_request(o->local, method, path, body, got);
    if (!node)
        find_nodes(o);
    return node < o->n_nodes ? ctl_request_at(o->nodes[node], method, path, body, got) : -1;
}

static int read_whole(const char *name, struct bytes *to)
{
    char chunk[4096];
    size_t n;
    FILE *in = fopen(name, "r");
    if (!in)
        return errno == ENOENT ? ERROR_NOT_FOUND : ERROR_DISK;
    while ((n = fread(chunk, 1, sizeof chunk, in)) > 0)
        bytes_add(to, chunk, (int64_t)n);
    (void)fclose(in);
    bytes_add(to, "", 0);
    return ERROR_NONE;
}

static int write_record(const char *name, const struct bytes *record)
{
    FILE *out = fopen(name, "w");
    if (!out)
        return ERROR_DISK;
    size_t n = fwrite(record->at ? record->at : (uint8_t *)"", 1, (size_t)record->len, out);
    int rc = n != (size_t)record->len || fflush(out) || fsync(fileno(out));
    return fclose(out) || rc ? ERROR_DISK : ERROR_NONE;
}

static const char help[] =
    "usage: sagehitch runbook check FILE\n"
    "       sagehitch runbook run FILE --seeds IP:PORT[,...] [--record FILE] [--dry] [NAME=VALUE ...]\n"
    "check reads the whole runbook and names the first line that is wrong. run does the\n"
    "steps its record does not say are done, stops at the first that is not as expected,\n"
    "and can be taken up again with the same record. --dry names actions without doing them.\n"
    "Exit status: 0 all done, 1 wrong use or a wrong line, 2 stopped.\n";

static int run(struct outside *o, const struct runbook *book, const char *record_name, int dry,
               const struct binding *settings, int64_t n_settings)
{
    const struct runbook_world world = {.arg = o, .request = request, .now_ms = now_ms, .pause = pause_ms, .say = say};
    struct bytes record = {0};
    char why[600] = "";
    if (record_name && read_whole(record_name, &record) == ERROR_DISK) {
        fprintf(stderr, "sagehitch runbook: %s cannot be read\n", record_name);
        return 1;
    }
    const struct runbook_options options = {.settings = settings, .n_settings = n_settings, .dry = dry};
    int rc = runbook_run(book, &options, &world, &record, why, sizeof why);
    if (record_name && write_record(record_name, &record))
        fprintf(stderr, "sagehitch runbook: %s cannot be written\n", record_name);
    if (rc)
        fprintf(stderr, "sagehitch runbook: stopped: %s\n", why);
    else
        printf("%s: %s\n", book->name, dry ? "would be done" : "done");
    bytes_free(&record);
    return !rc ? 0 : rc == ERROR_BAD_SETTING ? 1 : 2;
}

int runbook_main(int argc, char **argv)
{
    struct local local;
    struct outside outside = {.local = &local};
    struct runbook book = {0};
    struct bytes text = {0};
    struct binding settings[32];
    int64_t n_settings = 0;
    const char *record = NULL;
    char why[400] = "";
    int dry = 0, rc = 1;
    if (argc < 2 || (strcmp(argv[0], "check") && strcmp(argv[0], "run"))) {
        fputs(help, argc > 0 && !strcmp(argv[0], "--help") ? stdout : stderr);
        return argc > 0 && !strcmp(argv[0], "--help") ? 0 : 1;
    }
    schema_defaults(&local_schema, &local);
    for (int i = 2; i < argc; i++) {
        char *equals = strchr(argv[i], '=');
        if (!strcmp(argv[i], "--dry")) {
            dry = 1;
        } else if (!strcmp(argv[i], "--record") && i + 1 < argc) {
            record = argv[++i];
        } else if (!strcmp(argv[i], "--seeds") && i + 1 < argc) {
            local_set(&local, "seeds", argv[++i], "flags", why, sizeof why);
        } else if (equals && equals != argv[i] && *argv[i] != '-' && n_settings < COUNT_OF(settings)) {
            *equals = 0;
            settings[n_settings++] = (struct binding){.name = argv[i], .value = equals + 1};
        } else {
            snprintf(why, sizeof why, "%s: expected --seeds, --record, --dry or NAME=VALUE", argv[i]);
        }
    }
    if (!*why && read_whole(argv[1], &text))
        snprintf(why, sizeof why, "%s cannot be read", argv[1]);
    if (!*why)
        runbook_parse(&book, (char *)text.at, why, sizeof why);
    if (!*why && !strcmp(argv[0], "run"))
        local_check(&local, 0, why, sizeof why);
    if (*why)
        fprintf(stderr, "sagehitch runbook: %s: %s\n", argv[1], why);
    else if (!strcmp(argv[0], "check"))
        rc = printf("%s: %lld steps, nothing wrong\n", book.name, (long long)book.n_steps) < 0;
    else
        rc = run(&outside, &book, record, dry, settings, n_settings);
    runbook_free(&book);
    bytes_free(&text);
    local_free(&local);
    return rc;
}
