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

struct runbook_client {
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

static void print(void *arg, const char *text)
{
    (void)arg;
    printf("%s\n", text);
    (void)fflush(stdout);
}

/* Looks up the HTTP addresses of all live nodes. */
static void find_nodes(struct runbook_client *client)
{
    struct bytes response = {0};
    size_t i;
    json_t *member;
    client->n_nodes = 0;
    if (ctl_request(client->local, "GET", "/v1/members", NULL, &response) == 200) {
        json_t *json = json_loadb((char *)response.at, (size_t)response.len, 0, NULL);
        json_array_foreach(json_object_get(json, "members"), i, member)
        {
            const char *role = json_string_value(json_object_get(member, "role"));
            const char *state = json_string_value(json_object_get(member, "state"));
            const char *http = json_string_value(json_object_get(member, "http"));
            if (role && state && http && !strcmp(role, "node") && !strcmp(state, "alive") &&
                client->n_nodes < COUNT_OF(client->nodes))
                client->nodes[client->n_nodes++] = addr_parse(http);
        }
        json_decref(json);
    }
    bytes_free(&response);
}

static long request(void *arg, int64_t node, const char *method, const char *path, const char *body,
                    struct bytes *response)
{
    struct runbook_client *client = arg;
    if (node < 0)
        return ctl_request(client->local, method, path, body, response);
    if (!node)
        find_nodes(client);
    return node < client->n_nodes ? ctl_request_at(client->nodes[node], method, path, body, response) : -1;
}

static int read_file(const char *name, struct bytes *to)
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
    "check validates the whole runbook and prints the first error. run does the steps that\n"
    "are not done according to the record and stops at the first that fails; run it again\n"
    "with the same record to resume. --dry prints the actions without sending them.\n"
    "Exit status: 0 done, 1 wrong usage or an invalid runbook, 2 stopped.\n";

static int run(struct runbook_client *client, const struct runbook *book, const char *record_name, int dry,
               const struct binding *params, int64_t n_params)
{
    const struct runbook_environment environment = {
        .arg = client, .request = request, .now_ms = now_ms, .pause = pause_ms, .print = print};
    struct bytes record = {0};
    char why[600] = "";
    if (record_name && read_file(record_name, &record) == ERROR_DISK) {
        fprintf(stderr, "sagehitch runbook: %s cannot be read\n", record_name);
        return 1;
    }
    const struct runbook_options options = {.params = params, .n_params = n_params, .dry = dry};
    int rc = runbook_run(book, &options, &environment, &record, why, sizeof why);
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
    struct runbook_client runbook_client = {.local = &local};
    struct runbook book = {0};
    struct bytes text = {0};
    struct binding params[32];
    int64_t n_params = 0;
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
        } else if (equals && equals != argv[i] && *argv[i] != '-' && n_params < COUNT_OF(params)) {
            *equals = 0;
            params[n_params++] = (struct binding){.name = argv[i], .value = equals + 1};
        } else {
            snprintf(why, sizeof why, "%s: expected --seeds, --record, --dry or NAME=VALUE", argv[i]);
        }
    }
    if (!*why && read_file(argv[1], &text))
        snprintf(why, sizeof why, "%s cannot be read", argv[1]);
    if (!*why)
        runbook_parse(&book, (char *)text.at, why, sizeof why);
    if (!*why && !strcmp(argv[0], "run"))
        local_check(&local, 0, why, sizeof why);
    if (*why)
        fprintf(stderr, "sagehitch runbook: %s: %s\n", argv[1], why);
    else if (!strcmp(argv[0], "check"))
        rc = printf("%s: %lld steps, no errors\n", book.name, (long long)book.n_steps) < 0;
    else
        rc = run(&runbook_client, &book, record, dry, params, n_params);
    runbook_free(&book);
    bytes_free(&text);
    local_free(&local);
    return rc;
}
