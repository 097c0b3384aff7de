// Clients of a cluster on real sockets, a codec for their requests, and the checks of the responses they get.
#ifndef SAGEHITCH_TESTS_RELAY_CLIENT_H
#define SAGEHITCH_TESTS_RELAY_CLIENT_H
#include <cinttypes>
#include <set>

#include "cluster_rig.h"
#include "tests/sim/config_register.h"

namespace proc_rig
{

// --- the codec: POST /job/ID, GET /why/ID, PUT /config/BASE/VERSION, GET /config ---

inline int read_request(struct api_request *request, const struct http_request *http_request,
                        struct validation_error *validation_error)
{
    long long first = 0, second = 0;
    request->host = must_dup("host");
    request->path = must_dup("/q/");
    if (sscanf(http_request->path, "/job/%llx", &first) == 1) {
        struct job_spec *spec = api_request_make_job(request);
        spec->id = first;
        spec->text = must_dup("");
        spec->steps = (struct step_spec *)must_alloc(sizeof(struct step_spec));
        spec->n_steps = 1;
        spec->steps[0].task_count = 1;
    } else if (sscanf(http_request->path, "/why/%llx", &first) == 1) {
        api_request_make_why(request, first);
    } else if (sscanf(http_request->path, "/config/%lld/%lld", &first, &second) == 2) {
        struct config_change *change = api_request_make_config_put(request);
        change->base = first;
        struct config &config = change->config;
        config.version = second;
        config.n_queues = config.n_services = 1;
        config.services = (struct service_config *)must_alloc(sizeof *config.services);
        *config.services = {must_dup("s"), must_dup("/up"), 0};
        config.queues = (struct queue_config *)must_alloc(sizeof *config.queues);
        *config.queues = {must_dup("q"), must_dup("host"), must_dup("/q/"), must_dup("s"), 1, 3, 200, 1000, 3000};
        bytes_add(&config.raw, http_request->body, http_request->len);
    } else if (!strcmp(http_request->method, "PUT")) {
        schema_free(&api_request_schema, request);
        *request = {};
        return validation_error_named(validation_error, ERROR_BAD_FIELD, "", "base", "a number");
    } else {
        api_request_make_config_get(request);
    }
    return ERROR_NONE;
}
// The text that a response carries.
inline std::string response_text(const struct api_response *response)
{
    const struct bytes *text = nullptr;
    if (response->kind == REQUEST_WHY)
        text = &api_response_explanation(response)->text;
    if (response->kind == REQUEST_CONFIG_GET)
        text = &api_response_document(response)->text;
    return text ? std::string((const char *)text->at, (size_t)text->len) : "";
}

// Each response contains the kind of its request, and the name of the error if there is one.
inline void write_response(const struct api_response *response, int *status, char **body)
{
    *status = response->error == ERROR_OUTCOME_UNKNOWN ? 504
              : response->error == ERROR_STALE         ? 412
                                                       : error_response((int)response->error)->status;
    std::string raw = response->error ? "" : response_text(response);
    std::string text = "kind " + std::to_string(response->kind) + " " +
                       (response->error ? error_response((int)response->error)->name : raw);
    *body = must_dup(text.c_str());
}
inline const struct api_codec relay_codec = {read_request, write_response, nullptr};

// --- requests and their responses ---------------------------------------------------------------------------------

// Counts for one job: how often it was sent, and how many of these were refused (429, 503), acknowledged, or neither.
struct JobCounts {
    int64_t sent = 0, refused = 0, accepted = 0, unknown = 0;
};

struct Ledger {
    std::map<int64_t, JobCounts> jobs;
    std::vector<int64_t> accepted, uncertain;
    std::vector<config_register::Call> configs;
    int64_t newest_version = 0, clock = 0, responses = 0, lost = 0, explanations = 0, timeouts = 0;
};

struct Request {
    int64_t kind = 0, job = 0;
    bool known = false; // the job was acknowledged before
    config_register::Call config = {};
    std::string text;
};

// A client with one connection to a machine and one request at a time. It may disconnect before the response.
class Client
{
    Cluster &cluster;
    Ledger &ledger;
    size_t number, machine = 0;
    int fd = -1;
    std::string received, unsent;
    Request request;
    int64_t disconnect_ms = 0;

    std::string http(const std::string &method, const std::string &path, const std::string &body = "") const
    {
        return method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }
    static std::string hex(int64_t id)
    {
        char text[32];
        snprintf(text, sizeof text, "%016" PRIx64, (uint64_t)id);
        return text;
    }
    void send_job(int64_t id)
    {
        request.kind = REQUEST_JOB;
        request.job = id;
        ledger.jobs[id].sent++;
        request.text = http("POST", "/job/" + hex(id));
    }
    void send_why(int64_t id)
    {
        request.kind = REQUEST_WHY;
        request.job = id;
        request.known = ledger.jobs.count(id) && ledger.jobs[id].accepted;
        request.text = http("GET", "/why/" + hex(id));
    }
    void send_config_put()
    {
        int64_t base = ledger.newest_version, version = base + 1 + (int64_t)cluster.random_below(2);
        std::string body = "configuration " + std::to_string(version) + " of " + std::to_string(ledger.clock);
        request.kind = REQUEST_CONFIG_PUT;
        request.config = {true, 0, 0, version, base, body, CONFIG_UNKNOWN};
        request.text = http("PUT", "/config/" + std::to_string(base) + "/" + std::to_string(version), body);
    }
    // An id that no other client uses, with random-looking digits.
    int64_t fresh_id()
    {
        return (int64_t)(hash_mix((uint64_t)number, (uint64_t)++ledger.clock) & 0x7fffffffffffffff) | 1;
    }
    void send_request()
    {
        request = Request();
        ledger.clock++;
        unsigned percent = cluster.random() % 100;
        if (percent < 6 || (!ledger.newest_version && percent < 60)) {
            send_config_put();
        } else if (percent < 12 ||
                   !ledger.newest_version) { // the first change may be applied although its response was lost
            request.kind = REQUEST_CONFIG_GET;
            request.config = {false, 0, 0, 0, 0, "", CONFIG_UNKNOWN};
            request.text = http("GET", "/config");
        } else if (percent < 35 || ledger.accepted.empty()) {
            send_job(fresh_id());
        } else if (percent < 45 && !ledger.uncertain.empty()) {
            send_job(ledger.uncertain[cluster.random_below(ledger.uncertain.size())]); // it may have been accepted
        } else {
            send_why(percent < 50 ? fresh_id() : ledger.accepted[cluster.random_below(ledger.accepted.size())]);
        }
        request.config.began = ++ledger.clock;
        unsent = request.text;
        disconnect_ms = cluster.random_below(20) ? 0 : Cluster::now_ms() + (int64_t)cluster.random_below(30);
    }
    void end_config(enum config_outcome outcome)
    {
        request.config.outcome = outcome;
        request.config.ended = outcome == CONFIG_UNKNOWN ? INT64_MAX : ++ledger.clock;
        if (outcome == CONFIG_TAKEN)
            ledger.newest_version = std::max(ledger.newest_version, request.config.version);
        if (request.config.put || outcome == CONFIG_TAKEN)
            ledger.configs.push_back(request.config);
    }
    // Closes the connection without a response: the outcome of the request is unknown.
    void lose()
    {
        if (fd >= 0)
            cluster.random_below(2) ? reset(fd) : (void)close(fd);
        fd = -1;
        received.clear();
        unsent.clear();
        if (!request.kind)
            return;
        ledger.lost++;
        if (request.kind == REQUEST_JOB)
            record_uncertain_job();
        if (request.kind == REQUEST_CONFIG_PUT)
            end_config(CONFIG_UNKNOWN);
        request = Request();
    }
    void record_uncertain_job()
    {
        ledger.jobs[request.job].unknown++;
        ledger.uncertain.push_back(request.job);
    }
    void job_responded(int status)
    {
        JobCounts &job = ledger.jobs[request.job];
        if (status == 200 && !job.accepted++)
            ledger.accepted.push_back(request.job);
        if (status == 503 || status == 429)
            job.refused++;
        else if (status != 200)
            record_uncertain_job();
        EXPECT_TRUE(status == 200 || status == 429 || status == 503 || status == 504) << status;
    }
    void why_responded(int status, const std::string &body)
    {
        std::string job = "job " + hex(request.job) + " queue q";
        ledger.explanations += status == 200;
        EXPECT_TRUE(status == 200 || status == 410 || status == 503) << status;
        if (status == 200) {
            EXPECT_NE(body.find(job), std::string::npos) << "asked for " << hex(request.job) << ", got: " << body;
        }
        if (status == 410) {
            EXPECT_FALSE(request.known) << "an acknowledged job is unknown: " << hex(request.job);
        }
    }
    void config_responded(int status, const std::string &body)
    {
        if (request.kind == REQUEST_CONFIG_PUT) {
            end_config(status == 200 ? CONFIG_TAKEN : status == 412 ? CONFIG_REFUSED : CONFIG_UNKNOWN);
            EXPECT_TRUE(status == 200 || status == 412 || status == 503 || status == 504) << status;
            return;
        }
        EXPECT_TRUE(status == 200 || status == 503) << status;
        size_t at = body.find("configuration ");
        EXPECT_EQ(status == 200, at != std::string::npos) << body;
        if (status != 200 || at == std::string::npos)
            return;
        request.config.body = body.substr(at);
        request.config.version = atoll(body.c_str() + at + strlen("configuration "));
        end_config(CONFIG_TAKEN);
    }
    void responded(int status, const std::string &body)
    {
        EXPECT_EQ(atoll(body.c_str() + strlen("kind ")), request.kind) << "response to another request: " << body;
        ledger.responses++;
        ledger.timeouts += status == 504;
        if (request.kind == REQUEST_JOB)
            job_responded(status);
        else if (request.kind == REQUEST_WHY)
            why_responded(status, body);
        else
            config_responded(status, body);
        request = Request();
    }
    void take_response()
    {
        size_t head = received.find("\r\n\r\n"), at = received.find("Content-Length: ");
        if (head == std::string::npos || at > head)
            return;
        size_t len = std::stoul(received.substr(at + strlen("Content-Length: ")));
        if (received.size() < head + 4 + len)
            return;
        int status = atoi(received.c_str() + strlen("HTTP/1.1 "));
        std::string body = received.substr(head + 4, len);
        received.erase(0, head + 4 + len);
        EXPECT_TRUE(request.kind) << "a response without a request: " << body;
        EXPECT_TRUE(received.empty()) << "two responses to one request: " << received;
        responded(status, body);
    }

  public:
    Client(Cluster &of, Ledger &records, size_t client_number) : cluster(of), ledger(records), number(client_number) {}
    ~Client()
    {
        if (fd >= 0)
            close(fd);
    }
    Client(const Client &) = delete;
    bool idle() const { return !request.kind; }
    // The process of a machine has ended: a connection to it is lost.
    void machine_ends(size_t which)
    {
        if (fd >= 0 && machine == which)
            lose();
    }
    void turn(bool more)
    {
        if (fd < 0 && more) {
            machine = cluster.random_below(cluster.machines.size());
            fd = connect_at(cluster.machines[machine]->http_addr);
        }
        if (fd < 0)
            return;
        if (!request.kind && more && !cluster.random_below(4))
            send_request();
        if (!unsent.empty()) {
            ssize_t n = send(fd, unsent.data(), unsent.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            unsent.erase(0, n > 0 ? (size_t)n : 0);
        }
        char bytes[4096];
        ssize_t n = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (n > 0)
            received.append(bytes, (size_t)n);
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN))
            lose();
        else
            take_response();
        if (request.kind && disconnect_ms && Cluster::now_ms() >= disconnect_ms)
            lose();
    }
};

} // namespace proc_rig
#endif
