// The estimate of what a JSON text takes once it is parsed is an upper bound of what jansson allocates, and low enough
// for the largest configurations.
#include <algorithm>
#include <random>

#include "platform_test.h"

extern "C" {
#include "base/json_memory.h"
}

namespace
{

// Bytes that the parser holds, and the most of them, as chunks of glibc's malloc.
int64_t held, peak;
const size_t HEADER = 16; // keeps the size of an allocation

int64_t chunk_bytes(size_t size) { return std::max<int64_t>(32, (int64_t)(size + 8 + 15) / 16 * 16); }
void *counted_malloc(size_t size)
{
    char *at = (char *)malloc(size + HEADER);
    *(size_t *)at = size;
    held += chunk_bytes(size);
    peak = std::max(peak, held);
    return at + HEADER;
}
void counted_free(void *at)
{
    if (!at)
        return;
    char *begin = (char *)at - HEADER;
    held -= chunk_bytes(*(size_t *)begin);
    free(begin);
}

struct Counted {
    json_malloc_t malloc_before;
    json_free_t free_before;
    Counted()
    {
        json_get_alloc_funcs(&malloc_before, &free_before);
        json_set_alloc_funcs(counted_malloc, counted_free);
        held = peak = 0;
    }
    ~Counted() { json_set_alloc_funcs(malloc_before, free_before); }
};

// The most that the parser held while it read the text, which need not be valid.
int64_t parsed_bytes(const std::string &text)
{
    Counted counted;
    json_t *root = json_loadb(text.data(), text.size(), 0, nullptr);
    json_decref(root);
    return peak;
}

int64_t estimate_of(const std::string &text) { return json_memory_estimate(text.data(), (int64_t)text.size()); }

std::string repeated(const std::string &item, int n)
{
    std::string text = "{\"x\":[" + item;
    for (int i = 1; i < n; i++)
        text += "," + item;
    return text + "]}";
}

std::string random_value(std::mt19937 &random, int depth)
{
    std::string text;
    unsigned n = random() % 6;
    switch (random() % (depth ? 6 : 4)) {
    case 0: return std::to_string(random() % 1000);
    case 1: return random() % 2 ? "null" : "1.5";
    case 2: return "\"" + std::string(random() % 40, 'a') + "\\\"" + "\"";
    case 3: return "\"\"";
    case 4:
        for (unsigned i = 0; i < n; i++)
            text += (i ? "," : "") + random_value(random, depth - 1);
        return "[" + text + "]";
    default:
        for (unsigned i = 0; i < n; i++)
            text += (i ? ",\"k" : "\"k") + std::to_string(i) + "\":" + random_value(random, depth - 1);
        return "{" + text + "}";
    }
}

} // namespace

TEST(JsonMemory, EstimateIsAnUpperBound)
{
    const char *const items[] = {
        "0", "{}", "[]", "\"\"", "\"abc\"", "1.5", "null", "{\"a\":0}", "{\"a\":{\"b\":[]}}", "[[[]]]"};
    for (const char *item : items)
        for (int n : {1, 7, 9, 1000, 40000})
            EXPECT_GE(estimate_of(repeated(item, n)), parsed_bytes(repeated(item, n))) << n << " times " << item;
    std::mt19937 random(1);
    for (int i = 0; i < 500; i++) {
        std::string text = "{\"x\":" + random_value(random, 6) + "}";
        EXPECT_GE(estimate_of(text), parsed_bytes(text)) << text;
        // what follows an error cannot lower it
        std::string broken =
            text.substr(0, 1 + random() % text.size()) + std::string(random() % 50, ":\"{}[]"[random() % 6]);
        EXPECT_GE(estimate_of(broken), parsed_bytes(broken)) << broken;
    }
}

// 20,000 queues, the most that a configuration may have, on the smallest controllers of the users' deployments (160
// MB).
TEST(JsonMemory, LargestConfigurationIsBelowTheLimitOfASmallMachine)
{
    std::string route = R"({"name":"r-a3hwrr6","host":"nony24.example","pathPrefix":"/lohu930/","routeType":)"
                        R"("non_idempotent","timeoutMs":3000,"targetLatencyMs":200,"priority":0,"service":"huvo11a",)"
                        R"("maxAttempts":2,"extension":1.5})";
    EXPECT_LT(estimate_of(repeated(route, 20000)), (160LL << 20) / 3);
    EXPECT_LT(json_memory_estimate("", 0), 1000);
}
