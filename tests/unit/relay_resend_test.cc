// How often a request is sent to a controller that is named as the leader but refuses it as not the leader.
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "base/frame.h"
#include "controller/controller.h"
#include "controller/controller_state.h"
}

namespace
{

constexpr int64_t SEED = 100, SELF = 200;
constexpr const char *CLUSTER = "test";

// A controller without a disk, and one seed, whose part the test plays.
struct Rig : world {
    int64_t time_ms = 1000, term = 5;
    world_calls table = {};
    std::vector<std::vector<uint8_t>> arriving; // frames that reach the controller in the next millisecond
    int64_t requests = 0;                       // number of FRAME_REQUEST sent to the seed
    int64_t status = 0;
    api_codec codec = {};
    struct controller *controller = nullptr;

    static Rig *of(world *w) { return static_cast<Rig *>(w); }
    Rig()
    {
        table.mono_ms = [](world *w) { return of(w)->time_ms; };
        table.wall_ms = [](world *w) { return of(w)->time_ms; };
        table.random = [](world *) { return (uint64_t)7; };
        table.send = [](world *w, uint64_t, blob *frame, int) { of(w)->seed_receives(frame); };
        table.answer = [](world *w, int64_t, int code, int64_t, const char *) { of(w)->status = code; };
        table.note = [](world *, int, const char *) {};
        codec.read = [](api_request *request, const http_request *, validation_error *) {
            request->host = must_dup("host");
            request->path = must_dup("/q/");
            api_request_make_config_get(request);
            return (int)ERROR_NONE;
        };
        codec.write = [](const api_response *response, int *code, char **body) {
            *code = response->error ? 503 : 200;
            *body = must_dup("{}");
        };
        calls = &table;
        self = (uint64_t)SELF;
        controller_setup setup = {};
        const int64_t seeds[] = {SEED};
        setup.cluster = CLUSTER;
        setup.zone = "north";
        setup.seeds = seeds;
        setup.n_seeds = 1;
        setup.boot = 1;
        setup.dispatch = {6000, 3000, 250, 120000, 600, 150, 0};
        setup.codec = &codec;
        controller = controller_new(this, &setup);
    }
    ~Rig() { controller_free(controller); }

    template <class Message> void arrive(frame_kind kind, const schema *as, const Message &message)
    {
        bytes frame = {};
        frame_build(&frame, kind, (uint32_t)hash_text(CLUSTER), (uint64_t)SEED, as, &message);
        arriving.emplace_back(frame.at, frame.at + frame.len);
        bytes_free(&frame);
    }
    // The seed names itself as the leader, but refuses every request.
    void seed_receives(blob *sent)
    {
        frame f;
        ASSERT_EQ(frame_parse(&f, sent->bytes.at, sent->bytes.len, (uint32_t)hash_text(CLUSTER)), 0);
        if (f.kind == FRAME_LEADER_QUERY) {
            leader_reply reply = {};
            reply.term = term;
            reply.leader = SEED;
            arrive(FRAME_LEADER_REPLY, &leader_reply_schema, reply);
        }
        if (f.kind != FRAME_REQUEST)
            return;
        requests++;
        forwarded_request request = {};
        ASSERT_EQ(schema_unpack(&forwarded_request_schema, &request, f.body, f.len), 0);
        forwarded_response refusal = {};
        refusal.boot = request.boot;
        refusal.ticket = request.ticket;
        refusal.answer = api_response_error(request.request.kind, ERROR_NOT_LEADER, 0, nullptr);
        arrive(FRAME_RESPONSE, &forwarded_response_schema, refusal);
        schema_free(&forwarded_request_schema, &request);
    }
    void run(int64_t ms)
    {
        for (int64_t until_ms = time_ms + ms; time_ms < until_ms;) {
            time_ms++;
            std::vector<std::vector<uint8_t>> now;
            now.swap(arriving);
            for (const auto &frame : now)
                controller_on_frame(controller, frame.data(), (int64_t)frame.size());
            if (time_ms % 10 == 0)
                controller_on_timer(controller);
        }
    }
    void request()
    {
        http_request web = {};
        web.method = "GET";
        web.path = "/config";
        controller_request(controller, 1, &web);
    }
};

} // namespace

TEST(RelayResend, RepeatedRefusalsDelayResends)
{
    Rig rig;
    rig.run(1000);
    ASSERT_EQ(directory_leader(&rig.controller->directory), SEED);
    rig.request();
    rig.run(800);
    EXPECT_EQ(rig.status, 0);
    EXPECT_GE(rig.requests, 3);
    EXPECT_LE(rig.requests, 7);
}

TEST(RelayResend, NewTermResendsAtOnce)
{
    Rig rig;
    rig.run(1000);
    rig.request();
    rig.run(700);
    int64_t before = rig.requests;
    rig.term++;
    rig.run(200);
    EXPECT_GE(rig.requests - before, 1);
}
