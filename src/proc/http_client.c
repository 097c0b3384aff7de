/* HTTP client: libcurl's multi interface on the libev loop. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "proc/runtime.h"

/* A call in flight, freed after done() was called. headers: owned, NULL: the common ones; repeatable: it only reads;
 * headed: the head of the response is complete. Invariant: of one that is not repeatable no byte is sent on a second
 * connection once any was sent on a first. */
struct out {
    struct runtime *runtime;
    CURL *easy;
    struct curl_slist *headers;
    struct bytes got;
    char url[160];
    char *body;
    int repeatable, headed;
    call_done *done;
    void *arg;
    int64_t tag;
};

struct out_io {
    ev_io io;
    struct runtime *runtime;
};

static void finish(struct runtime *runtime)
{
    CURLMsg *msg;
    int left;
    while ((msg = curl_multi_info_read(runtime->multi, &left))) {
        struct out *out;
        long status = 0;
        if (msg->msg != CURLMSG_DONE)
            continue;
        CURLcode code = msg->data.result;
        curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &out);
        curl_easy_getinfo(msg->easy_handle, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(runtime->multi, out->easy);
        if (runtime->n_idle < COUNT_OF(runtime->idle)) {
            curl_easy_reset(out->easy);
            runtime->idle[runtime->n_idle++] = out->easy;
        } else {
            curl_easy_cleanup(out->easy);
        }
        curl_slist_free_all(out->headers);
        runtime->n_calls--;
        bytes_add(&out->got, "", 0);
        out->done(out->arg, out->tag, code || !out->headed ? 0 : (int)status, (char *)out->got.at, out->got.len);
        bytes_free(&out->got);
        free(out->body);
        free(out);
    }
}

static void io_event(struct ev_loop *loop, ev_io *io, int events)
{
    struct runtime *runtime = ((struct out_io *)io)->runtime;
    int running, flags = (events & EV_READ ? CURL_CSELECT_IN : 0) | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);
    (void)loop;
    curl_multi_socket_action(runtime->multi, io->fd, flags, &running);
    finish(runtime);
}

static void timer_event(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct runtime *runtime = timer->data;
    int running;
    (void)loop, (void)events;
    curl_multi_socket_action(runtime->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    finish(runtime);
}

static int on_timer(CURLM *multi, long wait_ms, void *arg)
{
    struct runtime *runtime = arg;
    (void)multi;
    ev_timer_stop(runtime->loop, &runtime->multi_timer);
    if (wait_ms >= 0) {
        ev_timer_set(&runtime->multi_timer, wait_ms > 0 ? (double)wait_ms / 1000. : 0.0001, 0.);
        ev_timer_start(runtime->loop, &runtime->multi_timer);
    }
    return 0;
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *socket_arg)
{
    struct runtime *runtime = arg;
    struct out_io *io = socket_arg;
    (void)easy;
    if (what == CURL_POLL_REMOVE) {
        if (io) {
            ev_io_stop(runtime->loop, &io->io);
            free(io);
        }
        return 0;
    }
    int events = (what & CURL_POLL_IN ? EV_READ : 0) | (what & CURL_POLL_OUT ? EV_WRITE : 0);
    if (!io) {
        io = must_alloc(sizeof *io);
        io->runtime = runtime;
        ev_io_init(&io->io, io_event, fd, events);
        curl_multi_assign(runtime->multi, fd, io);
    } else {
        ev_io_stop(runtime->loop, &io->io);
        ev_io_set(&io->io, fd, events);
    }
    ev_io_start(runtime->loop, &io->io);
    return 0;
}

static size_t on_data(char *at, size_t size, size_t n, void *arg)
{
    struct out *out = arg;
    if (out->got.len + (int64_t)(size * n) > (64 << 20))
        return 0;
    bytes_add(&out->got, at, (int64_t)(size * n));
    return size * n;
}

/* A response with an incomplete head is none; libcurl would report the status in its first line. */
static size_t on_header(char *at, size_t size, size_t n, void *arg)
{
    struct out *out = arg;
    if (size * n > 5 && !memcmp(at, "HTTP/", 5))
        out->headed = 0; /* the first head, or one after a 100 */
    else if (size * n == 2 && !memcmp(at, "\r\n", 2))
        out->headed = 1;
    return size * n;
}

/* libcurl repeats a request by itself where a kept connection ended before any byte of a response. What was sent may
 * have arrived, so only the caller may repeat it; a connection that was reset while idle takes no byte, and then a new
 * one is safe. */
static int may_begin(const struct out *out)
{
    long sent_bytes = 0;
    curl_easy_getinfo(out->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    return out->repeatable || !sent_bytes;
}

/* Before a request goes out on a connection, a new or a kept one. */
static int on_request(void *arg, char *peer_ip, char *own_ip, int peer_port, int own_port)
{
    (void)peer_ip, (void)own_ip, (void)peer_port, (void)own_port;
    return may_begin(arg) ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

/* Before a new connection. A peer that vanished is given up as early as in net.c. */
static int on_open(void *arg, curl_socket_t fd, curlsocktype purpose)
{
    int wait_ms = 3000;
    (void)purpose;
    if (!may_begin(arg))
        return CURL_SOCKOPT_ERROR;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &wait_ms, sizeof wait_ms);
    return CURL_SOCKOPT_OK;
}

static struct curl_slist *common_headers(void)
{
    return curl_slist_append(curl_slist_append(NULL, "Content-Type: application/json"), "Expect:");
}

/* Sets the options of a handle that is new or was reset. */
static void set_options(struct out *out, const struct http_call *call)
{
    curl_easy_setopt(out->easy, CURLOPT_URL, out->url);
    curl_easy_setopt(out->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(out->easy, CURLOPT_TIMEOUT_MS, (long)call->wait_ms);
    curl_easy_setopt(out->easy, CURLOPT_HTTPHEADER, out->headers ? out->headers : out->runtime->headers);
    curl_easy_setopt(out->easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(out->easy, CURLOPT_WRITEDATA, out);
    curl_easy_setopt(out->easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(out->easy, CURLOPT_HEADERDATA, out);
    curl_easy_setopt(out->easy, CURLOPT_PREREQFUNCTION, on_request);
    curl_easy_setopt(out->easy, CURLOPT_PREREQDATA, out);
    curl_easy_setopt(out->easy, CURLOPT_PRIVATE, out);
    curl_easy_setopt(out->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(out->easy, CURLOPT_SOCKOPTFUNCTION, on_open);
    curl_easy_setopt(out->easy, CURLOPT_SOCKOPTDATA, out);
    if (out->repeatable)
        return;
    curl_easy_setopt(out->easy, CURLOPT_POSTFIELDS, out->body);
    curl_easy_setopt(out->easy, CURLOPT_CUSTOMREQUEST, call->method);
}

void out_call(struct world *world, const struct http_call *call)
{
    struct runtime *runtime = (struct runtime *)world;
    struct out *out = must_alloc(sizeof *out);
    *out = (struct out){.runtime = runtime,
                        .done = call->done,
                        .arg = call->arg,
                        .tag = call->tag,
                        .body = must_dup(call->body ? call->body : "")};
    out->repeatable = !strcmp(call->method, "GET");
    snprintf(out->url, sizeof out->url, "http://%s%.100s", addr_text(call->to), call->path);
    out->easy = runtime->n_idle ? runtime->idle[--runtime->n_idle] : curl_easy_init();
    if (call->header)
        out->headers = curl_slist_append(common_headers(), call->header);
    set_options(out, call);
    runtime->n_calls++;
    curl_multi_add_handle(runtime->multi, out->easy);
}

void out_start(struct runtime *runtime)
{
    curl_global_init(CURL_GLOBAL_NOTHING);
    runtime->multi = curl_multi_init();
    runtime->headers = common_headers();
    ev_timer_init(&runtime->multi_timer, timer_event, 1., 0.);
    runtime->multi_timer.data = runtime;
    curl_multi_setopt(runtime->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(runtime->multi, CURLMOPT_SOCKETDATA, runtime);
    curl_multi_setopt(runtime->multi, CURLMOPT_TIMERFUNCTION, on_timer);
    curl_multi_setopt(runtime->multi, CURLMOPT_TIMERDATA, runtime);
}

void http_client_limit(struct runtime *runtime, long host_connections, long kept)
{
    curl_multi_setopt(runtime->multi, CURLMOPT_MAX_HOST_CONNECTIONS, host_connections);
    curl_multi_setopt(runtime->multi, CURLMOPT_MAXCONNECTS, kept);
}

void out_end(struct runtime *runtime)
{
    while (runtime->n_idle)
        curl_easy_cleanup(runtime->idle[--runtime->n_idle]);
    curl_multi_cleanup(runtime->multi);
    curl_slist_free_all(runtime->headers);
    curl_global_cleanup();
}
