/* HTTP client: the multi interface of libcurl on the libev loop. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "proc/runtime.h"

/* A call in flight, freed after done() was called. url and body are owned. headers: owned, NULL: the common headers;
 * repeatable: the request has no side effects (GET); head_complete: the head of the response is complete. Invariant:
 * once a byte of a call that is not repeatable was sent on a connection, none is sent on another. */
struct transfer {
    struct runtime *runtime;
    CURL *easy;
    struct curl_slist *headers;
    struct bytes received;
    char *url, *body;
    int repeatable, head_complete;
    call_done *done;
    void *arg;
    int64_t tag;
};

struct socket_watcher {
    ev_io io;
    struct runtime *runtime;
};

static void finish_calls(struct runtime *runtime)
{
    CURLMsg *msg;
    int left;
    while ((msg = curl_multi_info_read(runtime->multi, &left))) {
        struct transfer *transfer;
        long status = 0;
        if (msg->msg != CURLMSG_DONE)
            continue;
        CURLcode code = msg->data.result;
        curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &transfer);
        curl_easy_getinfo(msg->easy_handle, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(runtime->multi, transfer->easy);
        if (runtime->n_idle < COUNT_OF(runtime->idle)) {
            curl_easy_reset(transfer->easy);
            runtime->idle[runtime->n_idle++] = transfer->easy;
        } else {
            curl_easy_cleanup(transfer->easy);
        }
        curl_slist_free_all(transfer->headers);
        runtime->n_calls--;
        bytes_add(&transfer->received, "", 0);
        transfer->done(transfer->arg, transfer->tag, code || !transfer->head_complete ? 0 : (int)status,
                       (char *)transfer->received.at, transfer->received.len);
        bytes_free(&transfer->received);
        free(transfer->url);
        free(transfer->body);
        free(transfer);
    }
}

static void io_event(struct ev_loop *loop, ev_io *io, int events)
{
    struct runtime *runtime = ((struct socket_watcher *)io)->runtime;
    int running, flags = (events & EV_READ ? CURL_CSELECT_IN : 0) | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);
    (void)loop;
    curl_multi_socket_action(runtime->multi, io->fd, flags, &running);
    finish_calls(runtime);
}

static void timer_event(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct runtime *runtime = timer->data;
    int running;
    (void)loop, (void)events;
    curl_multi_socket_action(runtime->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    finish_calls(runtime);
}

static int on_curl_timer(CURLM *multi, long wait_ms, void *arg)
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

static int on_curl_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *socket_arg)
{
    struct runtime *runtime = arg;
    struct socket_watcher *io = socket_arg;
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
    struct transfer *transfer = arg;
    if (transfer->received.len + (int64_t)(size * n) > (64 << 20))
        return 0;
    bytes_add(&transfer->received, at, (int64_t)(size * n));
    return size * n;
}

/* Tracks whether the head is complete: libcurl reports the status in its first line also if the rest is missing. */
static size_t on_header(char *at, size_t size, size_t n, void *arg)
{
    struct transfer *transfer = arg;
    if (size * n > 5 && !memcmp(at, "HTTP/", 5))
        transfer->head_complete = 0; /* the first head, or the head that follows a 100 */
    else if (size * n == 2 && !memcmp(at, "\r\n", 2))
        transfer->head_complete = 1;
    return size * n;
}

/* Whether the request may be sent on the next connection. libcurl repeats a request by itself if a kept connection
 * ended before any byte of the response. A request of which bytes were sent may have arrived, so only the caller may
 * repeat it. On a connection that was reset while idle no byte is sent, so a new connection is safe. */
static int may_send(const struct transfer *transfer)
{
    long sent_bytes = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    return transfer->repeatable || !sent_bytes;
}

/* Called before a request is sent on a connection, new or kept. */
static int on_before_request(void *arg, char *peer_ip, char *own_ip, int peer_port, int own_port)
{
    (void)peer_ip, (void)own_ip, (void)peer_port, (void)own_port;
    return may_send(arg) ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

/* Called before a new connection is opened. The timeout for a peer that does not respond is the same as in net.c. */
static int on_before_connect(void *arg, curl_socket_t fd, curlsocktype purpose)
{
    int wait_ms = 3000;
    (void)purpose;
    if (!may_send(arg))
        return CURL_SOCKOPT_ERROR;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &wait_ms, sizeof wait_ms);
    return CURL_SOCKOPT_OK;
}

static struct curl_slist *common_headers(void)
{
    return curl_slist_append(curl_slist_append(NULL, "Content-Type: application/json"), "Expect:");
}

/* Sets the options of a handle that is new or was reset. */
static void set_options(struct transfer *transfer, const struct http_call *call)
{
    curl_easy_setopt(transfer->easy, CURLOPT_URL, transfer->url);
    curl_easy_setopt(transfer->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS, (long)call->wait_ms);
    curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER,
                     transfer->headers ? transfer->headers : transfer->runtime->headers);
    curl_easy_setopt(transfer->easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(transfer->easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(transfer->easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(transfer->easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(transfer->easy, CURLOPT_PREREQFUNCTION, on_before_request);
    curl_easy_setopt(transfer->easy, CURLOPT_PREREQDATA, transfer);
    curl_easy_setopt(transfer->easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(transfer->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(transfer->easy, CURLOPT_SOCKOPTFUNCTION, on_before_connect);
    curl_easy_setopt(transfer->easy, CURLOPT_SOCKOPTDATA, transfer);
    if (transfer->repeatable)
        return;
    curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDS, transfer->body);
    curl_easy_setopt(transfer->easy, CURLOPT_CUSTOMREQUEST, call->method);
}

void http_client_call(struct world *world, const struct http_call *call)
{
    struct runtime *runtime = (struct runtime *)world;
    struct transfer *transfer = must_alloc(sizeof *transfer);
    *transfer = (struct transfer){.runtime = runtime,
                                  .done = call->done,
                                  .arg = call->arg,
                                  .tag = call->tag,
                                  .body = must_dup(call->body ? call->body : "")};
    transfer->repeatable = !strcmp(call->method, "GET");
    transfer->url = must_printf("http://%s%s", addr_text(call->to), call->path);
    transfer->easy = runtime->n_idle ? runtime->idle[--runtime->n_idle] : curl_easy_init();
    if (call->header)
        transfer->headers = curl_slist_append(common_headers(), call->header);
    set_options(transfer, call);
    runtime->n_calls++;
    curl_multi_add_handle(runtime->multi, transfer->easy);
}

void http_client_start(struct runtime *runtime)
{
    curl_global_init(CURL_GLOBAL_NOTHING);
    runtime->multi = curl_multi_init();
    runtime->headers = common_headers();
    ev_timer_init(&runtime->multi_timer, timer_event, 1., 0.);
    runtime->multi_timer.data = runtime;
    curl_multi_setopt(runtime->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
    curl_multi_setopt(runtime->multi, CURLMOPT_SOCKETDATA, runtime);
    curl_multi_setopt(runtime->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
    curl_multi_setopt(runtime->multi, CURLMOPT_TIMERDATA, runtime);
}

void http_client_limit(struct runtime *runtime, long host_connections, long kept)
{
    curl_multi_setopt(runtime->multi, CURLMOPT_MAX_HOST_CONNECTIONS, host_connections);
    curl_multi_setopt(runtime->multi, CURLMOPT_MAXCONNECTS, kept);
}

void http_client_end(struct runtime *runtime)
{
    while (runtime->n_idle)
        curl_easy_cleanup(runtime->idle[--runtime->n_idle]);
    curl_multi_cleanup(runtime->multi);
    curl_slist_free_all(runtime->headers);
    curl_global_cleanup();
}
