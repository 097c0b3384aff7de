/* Local settings: schema, parser and checks. */
#include "proc/local.h"

#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define L(MEMBER, OUTER, DFLT, MIN, MAX) \
    INT_NAMED(local, MEMBER, OUTER, .default_value = (DFLT), .min = (MIN), .max = (MAX))

static const struct field fields[] = {STR(local, cluster, .default_str = "sagehitch", .min = 1, .max = 64),
                                      STR(local, zone, .default_str = "z1", .max = 64),
                                      STR(local, listen, .max = 32),
                                      STR(local, http, .max = 32),
                                      STR(local, seeds, .max = 200),
                                      STR(local, data, .max = 1000),
                                      STR_NAMED(local, log_level, "logLevel", .default_str = "info"),
                                      STR(local, name, .min = 1, .max = 100),
                                      STR(local, kind, .default_str = "lift", .min = 1, .max = 64),
                                      STR(local, rack, .default_str = "r1", .max = 64),
                                      STR(local, services, .default_str = "", .max = 500),
                                      STR(local, deployment, .default_str = "dackhuset"),
                                      L(cores, "cores", 16, 0, 1 << 20),
                                      L(mem_mb, "memMb", 65536, 0, INT32_MAX),
                                      L(fail_pct, "failPct", 0, 0, 100),
                                      L(stall_pct, "stallPct", 0, 0, 100),
                                      L(slow_pct, "slowPct", 100, 1, 100000),
                                      L(stop_ms, "stopMs", 50, 0, 600000),
                                      L(incarnation, "incarnation", 0, 0, INT64_MAX),
                                      L(leave_ms, "leaveMs", 1500, 0, 3600000),
                                      L(per_minute, "perMinute", 510, 1, 60000),
                                      L(seconds, "seconds", 30, 1, 86400)};
SCHEMA(local_schema, local, fields);

static enum sagehitch_error setting_error(char *why, size_t why_len, const char *where, const char *name,
                                          const char *expected)
{
    snprintf(why, why_len, "%s: %s: expected %s", where, name, expected);
    return ERROR_BAD_SETTING;
}

enum sagehitch_error local_set(struct local *local, const char *name, const char *value, const char *where, char *why,
                               size_t why_len)
{
    const struct field *field = schema_field(&local_schema, name);
    char expected[120];
    if (!field)
        return setting_error(why, why_len, where, name, "a known setting");
    void *at = (char *)local + field->off;
    if (field->kind == F_STR) {
        int64_t len = (int64_t)strlen(value);
        snprintf(expected, sizeof expected, "a text of %lld to %lld letters", (long long)field->min,
                 (long long)field->max);
        if (len < field->min || (field->max && len > field->max))
            return setting_error(why, why_len, where, name, expected);
        free(*(char **)at);
        *(char **)at = must_dup(value);
        return ERROR_NONE;
    }
    char *end;
    errno = 0;
    long long n = strtoll(value, &end, 10);
    snprintf(expected, sizeof expected, "a whole number from %lld to %lld", (long long)field->min,
             (long long)field->max);
    if (errno || *end || end == value || n < field->min || n > field->max)
        return setting_error(why, why_len, where, name, expected);
    *(int64_t *)at = n;
    return ERROR_NONE;
}

static char *trim(char *text)
{
    while (isspace((unsigned char)*text))
        text++;
    size_t n = strlen(text);
    while (n && isspace((unsigned char)text[n - 1]))
        text[--n] = 0;
    return text;
}

enum sagehitch_error local_read_file(struct local *local, const char *file, char *why, size_t why_len)
{
    char line[2000], where[300];
    int no = 0, rc = ERROR_NONE;
    FILE *in = fopen(file, "r");
    if (!in)
        return setting_error(why, why_len, file, "file", strerror(errno));
    while (!rc && fgets(line, sizeof line, in)) {
        snprintf(where, sizeof where, "%.250s:%d", file, ++no);
        char *hash = strchr(line, '#');
        if (hash)
            *hash = 0;
        char *text = trim(line);
        if (!*text)
            continue;
        char *equals = strchr(text, '=');
        if (!equals) {
            rc = setting_error(why, why_len, where, text, "name = value");
            break;
        }
        *equals = 0;
        rc = local_set(local, trim(text), trim(equals + 1), where, why, why_len);
    }
    (void)fclose(in);
    return rc;
}

static enum sagehitch_error parse_seeds(struct local *local, const char *where, char *why, size_t why_len)
{
    char *copy = must_dup(local->seeds ? local->seeds : ""), *save = NULL;
    enum sagehitch_error rc = ERROR_NONE;
    local->n_seeds = 0;
    for (char *one = strtok_r(copy, ", ", &save); one && !rc; one = strtok_r(NULL, ", ", &save)) {
        uint64_t addr = addr_parse(one);
        if (!addr || local->n_seeds == COUNT_OF(local->seed_addrs))
            rc = setting_error(why, why_len, where, "seeds", "a list of at most 8 IP:PORT");
        else
            local->seed_addrs[local->n_seeds++] = (int64_t)addr;
    }
    if (!rc && !local->n_seeds)
        rc = setting_error(why, why_len, where, "seeds", "at least one IP:PORT");
    free(copy);
    return rc;
}

int local_check(struct local *local, int needs, char *why, size_t why_len)
{
    static const char *const levels[] = {"debug", "info", "warn", "error"};
    const char *where = local->file ? local->file : "flags";
    int level = 0;
    for (int i = 0; i < COUNT_OF(levels); i++)
        level |= local->log_level && !strcmp(local->log_level, levels[i]);
    if (!level)
        return setting_error(why, why_len, where, "logLevel", "debug, info, warn or error");
    local->listen_addr = local->listen ? addr_parse(local->listen) : 0;
    local->http_addr = local->http ? addr_parse(local->http) : 0;
    if ((needs & NEED_LISTEN) && !local->listen_addr)
        return setting_error(why, why_len, where, "listen", "IP:PORT");
    if ((needs & NEED_HTTP) && !local->http_addr)
        return setting_error(why, why_len, where, "http", "IP:PORT");
    if ((needs & NEED_DATA) && (!local->data || !*local->data))
        return setting_error(why, why_len, where, "data", "a folder");
    if ((needs & NEED_NAME) && !local->name)
        return setting_error(why, why_len, where, "name", "the executor's name");
    return parse_seeds(local, where, why, why_len);
}

void local_free(struct local *local)
{
    schema_free(&local_schema, local);
    free(local->file);
    local->file = NULL;
}
