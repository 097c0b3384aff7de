/* The command ctl of operators: sends one request, prints the response and returns an exit status. */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "proc/roles.h"

const char ctl_help[] = "Sends a request to the first node of --seeds (HTTP addresses) that responds. Commands:\n"
                        "  status | members | duties | executors | settings | calendar\n"
                        "  effective PATH                 settings in force at PATH and where each comes from\n"
                        "  story ID                       what each node journalled about a job, in order of time\n"
                        "  job ID | why ID TASK | jobs [KEY] | cancel ID\n"
                        "  send FILE                      a job from a JSON file\n"
                        "  set-all VERSION FILE           whole settings: {\"root\": {...}, \"root/service\": {...}}\n"
                        "  set VERSION PATH FILE          one branch; FILE - reads standard input\n"
                        "  unset VERSION PATH             remove a branch, so that it inherits again\n"
                        "  plan VERSION NAME FILE         a planned move; unplan VERSION NAME\n"
                        "  get PATH                       any GET path, for example /v1/status\n"
                        "Exit status: 0 done, 1 wrong usage, 2 denied, 3 no response or try again later.";

static size_t append_body(char *at, size_t size, size_t n, void *arg)
{
    bytes_add(arg, at, (int64_t)(size * n));
    return size * n;
}

long ctl_request_at(uint64_t addr, const char *method, const char *path, const char *body, struct bytes *response)
{
    long status = 0;
    CURL *handle = curl_easy_init();
    char *url = must_printf("http://%s%s", addr_text(addr), path);
    struct curl_slist *headers = curl_slist_append(NULL, "Content-Type: application/json");
    response->len = 0;
    curl_easy_setopt(handle, CURLOPT_URL, url);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, 6000L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, response);
    if (strcmp(method, "GET")) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body ? body : "");
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method);
    }
    if (!curl_easy_perform(handle))
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(handle);
    free(url);
    return status;
}

long ctl_request(const struct local *local, const char *method, const char *path, const char *body,
                 struct bytes *response)
{
    long status = 0;
    for (int64_t i = 0; i < local->n_seeds && !status; i++)
        status = ctl_request_at((uint64_t)local->seed_addrs[i], method, path, body, response);
    return status;
}

static int print_response(long status, const struct bytes *response)
{
    json_t *json = response->len ? json_loadb((char *)response->at, (size_t)response->len, 0, NULL) : NULL;
    char *text = json ? json_dumps(json, JSON_INDENT(2)) : NULL;
    FILE *to = status >= 200 && status < 300 ? stdout : stderr;
    if (!status)
        fprintf(stderr, "sagehitch ctl: no node responded\n");
    else
        fprintf(to, "%s\n", text ? text : "");
    free(text);
    json_decref(json);
    if (status >= 200 && status < 300)
        return 0;
    return !status || status == 503 || status == 429 ? 3 : 2;
}

static int request_and_print(const struct local *local, const char *method, char *path, const char *body)
{
    struct bytes response = {0};
    int rc = print_response(ctl_request(local, method, path, body, &response), &response);
    bytes_free(&response);
    free(path);
    return rc;
}

static char *read_file(const char *name)
{
    struct bytes all = {0};
    char chunk[4096];
    size_t n;
    FILE *in = strcmp(name, "-") ? fopen(name, "r") : stdin;
    if (!in) {
        fprintf(stderr, "sagehitch ctl: %s cannot be read\n", name);
        return NULL;
    }
    while ((n = fread(chunk, 1, sizeof chunk, in)) > 0)
        bytes_add(&all, chunk, (int64_t)n);
    if (in != stdin)
        (void)fclose(in);
    bytes_add(&all, "", 0);
    return (char *)all.at;
}

static int request_with_file(const struct local *local, const char *method, char *path, const char *file)
{
    char *body = read_file(file);
    if (!body) {
        free(path);
        return 1;
    }
    int rc = request_and_print(local, method, path, body);
    free(body);
    return rc;
}

static const struct {
    const char *name, *method, *format;
    int n_args, file; /* number of arguments for format; whether a file follows them */
} commands[] = {
    {"status", "GET", "/v1/status", 0, 0},
    {"members", "GET", "/v1/members", 0, 0},
    {"duties", "GET", "/v1/duties", 0, 0},
    {"executors", "GET", "/v1/executors", 0, 0},
    {"settings", "GET", "/v1/settings", 0, 0},
    {"calendar", "GET", "/v1/calendar", 0, 0},
    {"jobs", "GET", "/v1/jobs", 0, 0},
    {"effective", "GET", "/v1/settings/effective?path=%s", 1, 0},
    {"job", "GET", "/v1/jobs/%s", 1, 0},
    {"jobs", "GET", "/v1/jobs?key=%s", 1, 0},
    {"why", "GET", "/v1/jobs/%s?why=%s", 2, 0},
    {"cancel", "DELETE", "/v1/jobs/%s", 1, 0},
    {"send", "POST", "/v1/jobs", 0, 1},
    {"set-all", "PUT", "/v1/settings?expect=%s", 1, 1},
    {"set", "PUT", "/v1/settings/branch?expect=%s&path=%s", 2, 1},
    {"unset", "DELETE", "/v1/settings/branch?expect=%s&path=%s", 2, 0},
    {"plan", "PUT", "/v1/calendar/%2$s?expect=%1$s", 2, 1},
    {"unplan", "DELETE", "/v1/calendar/%2$s?expect=%1$s", 2, 0},
    {"get", "GET", "%s", 1, 0},
};

static char *format_path(const char *format, int n_args, char **argv)
{
    const char *a = n_args > 0 ? argv[0] : "", *b = n_args > 1 ? argv[1] : "";
    struct bytes out = {0};
    int next = 0;
    for (const char *c = format; *c; c++) {
        if (*c != '%') {
            bytes_add(&out, c, 1);
            continue;
        }
        if (c[1] == 's') {
            bytes_printf(&out, "%s", next++ ? b : a);
            c++;
        } else {
            bytes_printf(&out, "%s", c[1] == '2' ? b : a);
            c += 3;
        }
    }
    return (char *)out.at;
}

int ctl_main(struct local *local, int argc, char **argv)
{
    char why[300];
    int known = 0;
    if (argc < 1) {
        fprintf(stderr, "%s\n", ctl_help);
        return 1;
    }
    if (local_check(local, 0, why, sizeof why)) {
        fprintf(stderr, "sagehitch: %s\n", why);
        return 1;
    }
    if (!strcmp(argv[0], "story") && argc == 2)
        return ctl_story(local, argv[1]);
    for (int i = 0; i < COUNT_OF(commands); i++) {
        if (strcmp(commands[i].name, argv[0]))
            continue;
        known = 1;
        if (argc - 1 != commands[i].n_args + commands[i].file)
            continue;
        char *path = format_path(commands[i].format, commands[i].n_args, argv + 1);
        if (commands[i].file)
            return request_with_file(local, commands[i].method, path, argv[argc - 1]);
        return request_and_print(local, commands[i].method, path, NULL);
    }
    fprintf(stderr, "sagehitch ctl: %s %s\n%s\n", known ? "wrong arguments for" : "unknown command", argv[0], ctl_help);
    return 1;
}
