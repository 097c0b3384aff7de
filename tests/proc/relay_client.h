// Callers of a cluster on real sockets, their requests in a codec of the test, and what they may be told of them.
#ifndef SAGEHITCH_TESTS_RELAY_CLIENT_H
#define SAGEHITCH_TESTS_RELAY_CLIENT_H
#include <cinttypes>
#include <set>

#include "cluster_rig.h"
#include "tests/sim/config_register.h"

namespace proc_rig
{

// --- the codec: POST /job/ID, GET /why/ID, PUT /config/BASE/VERSION, GET /config ---

inline int read_request(struct api_request *request, const struct http_request *web,
                        struct validation_error *validation_error)
{
    long long first = 0, second = 0;
    request->host = must_dup("host");
    request->path = must_dup("/q/");
    if (sscanf(web->path, "/job/%llx", &first) == 1) {
        struct job_spec *spec = api_request_make_job(request);
        spec->id = first;
        spec->text = must_dup("");
        spec->steps = (struct step_spec *)must_alloc(sizeof(struct step_spec));
        spec->n_steps = 1;
        spec->steps[0].task_count = 1;
    } else if (sscanf(web->path, "/why/%llx", &first) == 1) {
        api_request_make_why(request, first);
    } else if (sscanf(web->path, "/config/%lld/%lld", &first, &second) == 2) {
        struct config_change *change = api_request_make_config_put(request);
        change->base = first;
        struct config &config = change->config;
        config.version = second;
        config.n_queues = config.n_services = 1;
        config.services = (struct service_config *)must_alloc(sizeof *config.services);
        *config.services = {must_dup("s"), must_dup("/up"), 0};
        config.queues = (struct queue_config *)must_alloc(sizeof *config.queues);
        *config.queues = {must_dup("q"), must_dup("host"), must_dup("/q/"), must_dup("s"), 1, 3, 200, 1000, 3000};
        bytes_add(&config.raw, web->body, web->len);
    } else if (!strcmp(web->method, "PUT")) {
        schema_free(&api_request_schema, request);
        *request = {};
        return validation_error_named(validation_error, ERROR_BAD_FIELD, "", "base", "a number");
    } else {
        api_request_make_config_get(request);
    }
    return ERROR_NONE;
}
// The text that an answer carries.
inline std::string text_of(const struct api_response *answer)
{
    const struct bytes *text = nullptr;
    if (answer->kind == REQUEST_WHY)
        text = &api_response_explanation(answer)->text;
    if (answer->kind == REQUEST_CONFIG_GET)
        text = &api_response_document(answer)->text;
    return text ? std::string((const char *)text->at, (size_t)text->len) : "";
}

// The kind stands in each answer, and the error's name where there is one.
inline void write_answer(const struct api_response *answer, int *status, char **body)
{
    *status = answer->error == ERROR_OUTCOME_UNKNOWN ? 504
              : answer->error == ERROR_STALE         ? 412
                                                     : error_response((int)answer->error)->status;
    std::string raw = answer->error ? "" : text_of(answer);
    std::string text =
        "kind " + std::to_string(answer->kind) + " " + (answer->error ? error_response((int)answer->error)->name : raw);
    *body = must_dup(text.c_str());
}
inline const struct api_codec relay_codec = {read_request, write_answer, nullptr};

// --- what was asked and told
// -------------------------------------------------------------------------------------------

// A job: how often it was sent, and of these how often it was refused for good (429, 503), acknowledged, or neither.
struct JobStory {
    int64_t sent = 0, refused = 0, taken = 0, unknown = 0;
};

struct Ledger {
    std::map<int64_t, JobStory> jobs;
    std::vector<int64_t> taken, unclear;
    std::vector<config_register::Call> configs;
    int64_t newest = 0, clock = 0, told = 0, lost = 0, tokens = 0, doubtful = 0;
};

struct Request {
    int64_t kind = 0, job = 0;
    bool known = false; // the job was acknowledged before
    config_register::Call config = {};
    std::string text;
};

// One caller: a kept connection to a machine, one request at a time. It may go away before the answer.
class Client
{
    Cluster &cluster;
    Ledger &ledger;
    size_t number, machine = 0;
    int fd = -1;
    std::string in, out;
    Request request;
    int64_t leaves_ms = 0;

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
    void ask_job(int64_t id)
    {
        request.kind = REQUEST_JOB;
        request.job = id;
        ledger.jobs[id].sent++;
        request.text = http("POST", "/job/" + hex(id));
    }
    void ask_why(int64_t id)
    {
        request.kind = REQUEST_WHY;
        request.job = id;
        request.known = ledger.jobs.count(id) && ledger.jobs[id].taken;
        request.text = http("GET", "/why/" + hex(id));
    }
    void ask_config_put()
    {
        int64_t base = ledger.newest, version = base + 1 + (int64_t)cluster.one_of(2);
        std::string body = "configuration " + std::to_string(version) + " of " + std::to_string(ledger.clock);
        request.kind = REQUEST_CONFIG_PUT;
        request.config = {true, 0, 0, version, base, body, CONFIG_UNKNOWN};
        request.text = http("PUT", "/config/" + std::to_string(base) + "/" + std::to_string(version), body);
    }
    // An id that another caller's is not, and that says nothing by itself.
    int64_t fresh_id()
    {
        return (int64_t)(hash_mix((uint64_t)number, (uint64_t)++ledger.clock) & 0x7fffffffffffffff) | 1;
    }
    void ask()
    {
        request = Request();
        ledger.clock++;
        unsigned what = cluster.random() % 100;
        if (what < 6 || (!ledger.newest && what < 60)) {
            ask_config_put();
        } else if (what < 12 || !ledger.newest) { // the first may be in force though nobody was told
            request.kind = REQUEST_CONFIG_GET;
            request.config = {false, 0, 0, 0, 0, "", CONFIG_UNKNOWN};
            request.text = http("GET", "/config");
        } else if (what < 35 || ledger.taken.empty()) {
            ask_job(fresh_id());
        } else if (what < 45 && !ledger.unclear.empty()) {
            ask_job(ledger.unclear[cluster.one_of(ledger.unclear.size())]); // perhaps taken
        } else {
            ask_why(what < 50 ? fresh_id() : ledger.taken[cluster.one_of(ledger.taken.size())]);
        }
        request.config.began = ++ledger.clock;
        out = request.text;
        leaves_ms = cluster.one_of(20) ? 0 : Cluster::now_ms() + (int64_t)cluster.one_of(30);
    }
    void end_config(enum config_outcome outcome)
    {
        request.config.outcome = outcome;
        request.config.ended = outcome == CONFIG_UNKNOWN ? INT64_MAX : ++ledger.clock;
        if (outcome == CONFIG_TAKEN)
            ledger.newest = std::max(ledger.newest, request.config.version);
        if (request.config.put || outcome == CONFIG_TAKEN)
            ledger.configs.push_back(request.config);
    }
    // No answer: nothing is known.
    void lose()
    {
        if (fd >= 0)
            cluster.one_of(2) ? reset(fd) : (void)close(fd);
        fd = -1;
        in.clear();
        out.clear();
        if (!request.kind)
            return;
        ledger.lost++;
        if (request.kind == REQUEST_JOB)
            unclear_job();
        if (request.kind == REQUEST_CONFIG_PUT)
            end_config(CONFIG_UNKNOWN);
        request = Request();
    }
    void unclear_job()
    {
        ledger.jobs[request.job].unknown++;
        ledger.unclear.push_back(request.job);
    }
    void told_job(int status)
    {
        JobStory &job = ledger.jobs[request.job];
        if (status == 200 && !job.taken++)
            ledger.taken.push_back(request.job);
        if (status == 503 || status == 429)
            job.refused++;
        else if (status != 200)
            unclear_job();
        EXPECT_TRUE(status == 200 || status == 429 || status == 503 || status == 504) << status;
    }
    void told_why(int status, const std::string &body)
    {
        std::string job = "job " + hex(request.job) + " queue q";
        ledger.tokens += status == 200;
        EXPECT_TRUE(status == 200 || status == 410 || status == 503) << status;
        if (status == 200) {
            EXPECT_NE(body.find(job), std::string::npos) << "asked for " << hex(request.job) << ", got: " << body;
        }
        if (status == 410) {
            EXPECT_FALSE(request.known) << "an acknowledged job is unknown: " << hex(request.job);
        }
    }
    void told_config(int status, const std::string &body)
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
    void told(int status, const std::string &body)
    {
        EXPECT_EQ(atoll(body.c_str() + strlen("kind ")), request.kind) << "another's answer: " << body;
        ledger.told++;
        ledger.doubtful += status == 504;
        if (request.kind == REQUEST_JOB)
            told_job(status);
        else if (request.kind == REQUEST_WHY)
            told_why(status, body);
        else
            told_config(status, body);
        request = Request();
    }
    void take_answer()
    {
        size_t head = in.find("\r\n\r\n"), at = in.find("Content-Length: ");
        if (head == std::string::npos || at > head)
            return;
        size_t len = std::stoul(in.substr(at + strlen("Content-Length: ")));
        if (in.size() < head + 4 + len)
            return;
        int status = atoi(in.c_str() + strlen("HTTP/1.1 "));
        std::string body = in.substr(head + 4, len);
        in.erase(0, head + 4 + len);
        EXPECT_TRUE(request.kind) << "an answer to nothing: " << body;
        EXPECT_TRUE(in.empty()) << "two answers to one request: " << in;
        told(status, body);
    }

  public:
    Client(Cluster &of, Ledger &to, size_t no) : cluster(of), ledger(to), number(no) {}
    ~Client()
    {
        if (fd >= 0)
            close(fd);
    }
    Client(const Client &) = delete;
    bool idle() const { return !request.kind; }
    // Its machine ends: as when the connection is lost.
    void machine_ends(size_t which)
    {
        if (fd >= 0 && machine == which)
            lose();
    }
    void turn(bool more)
    {
        if (fd < 0 && more) {
            machine = cluster.one_of(cluster.machines.size());
            fd = connect_at(cluster.machines[machine]->http_addr);
        }
        if (fd < 0)
            return;
        if (!request.kind && more && !cluster.one_of(4))
            ask();
        if (!out.empty()) {
            ssize_t n = send(fd, out.data(), out.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            out.erase(0, n > 0 ? (size_t)n : 0);
        }
        char bytes[4096];
        ssize_t n = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (n > 0)
            in.append(bytes, (size_t)n);
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN))
            lose();
        else
            take_answer();
        if (request.kind && leaves_ms && Cluster::now_ms() >= leaves_ms)
            lose();
    }
};

} // namespace proc_rig
#endif
