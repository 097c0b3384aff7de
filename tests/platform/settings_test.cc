// The settings file: what is taken from it, and what is wrong with it.
#include "platform_test.h"

#include <cstdio>
#include <unistd.h>

namespace
{

const std::string good = R"(nodeName: "n-4"
role: "front"
machineClass: "edge"
serves:
  - "edge"
ipAddress: "10.7.0.4"
zone: "north"
region: "coast"
zones:
  north: "coast"
  south: "hills"
bindAddresses:
  frontend: "10.7.0.4:9001"
  controlPlane: "10.7.0.4:9003"
internalPortRange:
  - 7000
  - 7009
seedNodes:
  - "10.7.0.4:9003"
  - "10.8.0.4:9003"
initialStart: true
countsAsLoss: false
limits:
  cpuShare: 0.15
  memoryMb: 128
  maxFileDescriptors: 4096
dataDirectory: null
heartbeatIntervalMs: 1100
faultTolerance:
  machines: 2
  zones: 1
bounds:
  contactMs: 2900
  drainMs: 1900
  gracePeriodS: 5
  holdMaxMs: 4000
  stopTimeoutMs: 300
  gangTimeoutMs: 2800
  cancel_ms: 2700
  early_ms: 240
  status_s: 110
  spreadFactor: 1.75
  checkpointIntervalS: 1.5
  restoreMs: 500
  someday: true
commands: "invocation"
app: "10.7.0.4:9005"
service: "s-mill"
)";

struct File {
    platform_settings settings = {};
    std::string why;
    int error;
    explicit File(const std::string &text)
    {
        char *said = nullptr;
        error = settings_read_text(&settings, text.data(), (int64_t)text.size(), &said);
        why = said ? said : "";
        free(said);
    }
    ~File() { settings_free(&settings); }
};

std::string with(std::string text, const std::string &from, const std::string &to)
{
    auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

} // namespace

TEST(Settings, Whole)
{
    File file(good);
    ASSERT_EQ(file.error, 0) << file.why;
    const platform_settings &s = file.settings;
    EXPECT_STREQ(s.node_name, "n-4");
    EXPECT_STREQ(s.role, "front");
    EXPECT_STREQ(s.zone, "north");
    EXPECT_STREQ(s.region, "coast");
    ASSERT_EQ(s.n_zones, 2);
    EXPECT_STREQ(s.zones[1].name, "south");
    EXPECT_STREQ(s.zones[1].region, "hills");
    EXPECT_EQ(s.ip_address, 0x0a070004);
    EXPECT_EQ((uint64_t)s.frontend, addr_parse("10.7.0.4:9001"));
    EXPECT_EQ(s.readiness, 0);
    EXPECT_EQ((uint64_t)s.control_plane, addr_parse("10.7.0.4:9003"));
    EXPECT_EQ((uint64_t)s.app, addr_parse("10.7.0.4:9005"));
    EXPECT_EQ(s.first_port, 7000);
    EXPECT_EQ(s.last_port, 7009);
    ASSERT_EQ(s.n_seed_nodes, 2);
    EXPECT_EQ((uint64_t)s.seed_nodes[1], addr_parse("10.8.0.4:9003"));
    EXPECT_EQ(s.initial_start, 1);
    EXPECT_EQ(s.counts_as_loss, 0);
    EXPECT_EQ(s.data_directory, nullptr);
    EXPECT_STREQ(s.service, "s-mill");
    EXPECT_EQ(s.memory_mb, 128);
    EXPECT_EQ(s.cpu_share_milli, 150);
    EXPECT_EQ(s.max_file_descriptors, 4096);
    EXPECT_EQ(s.heartbeat_interval_ms, 1100);
    EXPECT_EQ(s.machines_lost, 2);
    EXPECT_EQ(s.zones_lost, 1);
    EXPECT_EQ(s.grace_ms, 5000);
    EXPECT_EQ(s.commands, COMMANDS_INVOCATION);
    dispatch_settings settings = {};
    settings_dispatch(&s, &settings);
    EXPECT_EQ(s.hold_max_ms, 4000);
    EXPECT_EQ(settings.lease_ms, 3800);
    EXPECT_EQ(settings.gang_timeout_ms, 2800);
    EXPECT_EQ(s.stop_timeout_ms, 300);
    EXPECT_EQ(s.cancel_ms, 2700);
    EXPECT_EQ(settings.early_ms, 240);
    EXPECT_EQ(settings.job_retention_ms, 110000);
    EXPECT_EQ(s.drain_ms, 1900);
    EXPECT_EQ(settings.remote_data_pct, 175);
    EXPECT_EQ(s.checkpoint_ms, 1500);
    EXPECT_EQ(settings.restore_ms, 500);
    File longer(with(good, "holdMaxMs: 4000", "holdMaxMs: 20000"));
    settings_dispatch(&longer.settings, &settings);
    EXPECT_EQ(settings.lease_ms, 5000);
    // held from when the answer to a beat is taken, up to a second after the beat: the lease covers that too
    File beats(with(with(good, "holdMaxMs: 4000", "holdMaxMs: 2000"), "\"invocation\"", "\"heartbeat\""));
    settings_dispatch(&beats.settings, &settings);
    EXPECT_EQ(settings.lease_ms, 2900);
    File beats_long(with(with(good, "holdMaxMs: 4000", "holdMaxMs: 6000"), "\"invocation\"", "\"heartbeat\""));
    settings_dispatch(&beats_long.settings, &settings);
    EXPECT_EQ(settings.lease_ms, 5000);
    File disk(with(with(good, "dataDirectory: null", "dataDirectory: /d/x"), "\"invocation\"", "\"heartbeat\""));
    EXPECT_STREQ(disk.settings.data_directory, "/d/x");
    EXPECT_EQ(disk.settings.commands, COMMANDS_HEARTBEAT);
}

TEST(Settings, Flaws)
{
    struct {
        const char *from, *to, *field;
        int line;
    } cases[] = {
        {"zone: \"north\"\n", "", "zone", 1},
        {"zone: \"north\"", "zone: null", "zone", 7},
        {"zone: \"north\"", "zone: [a]", "zone", 7},
        {"10.7.0.4\"", "10.7.0\"", "ipAddress", 6},
        {"10.7.0.4:9001", "10.7.0.4", "bindAddresses.frontend", 13},
        {"- 7009", "- 6999", "internalPortRange", 16},
        {"- 7009", "- 70000", "internalPortRange", 16},
        {"  - 7009\n", "", "internalPortRange", 16},
        {"10.8.0.4:9003", "there", "seedNodes", 19},
        {"initialStart: true", "initialStart: 1", "initialStart", 21},
        {"memoryMb: 128", "memoryMb: 128.5", "limits.memoryMb", 25},
        {"memoryMb: 128", "memoryMb: \"128\"", "limits.memoryMb", 25},
        {"memoryMb: 128", "memoryMb: -1", "limits.memoryMb", 25},
        {"holdMaxMs: 4000", "holdMaxMs: .inf", "bounds.holdMaxMs", 36},
        {"holdMaxMs: 4000", "holdMaxMs: 4s", "bounds.holdMaxMs", 36},
        {"spreadFactor: 1.75", "spreadFactor: wide", "bounds.spreadFactor", 42},
        {"  holdMaxMs: 4000\n", "", "bounds.holdMaxMs", 33},
        {"commands: \"invocation\"", "commands: \"shout\"", "commands", 46},
        {"zones:\n  north", "zones: 7\nmore:\n  north", "zones", 9},
    };
    for (const auto &c : cases) {
        File file(with(good, c.from, c.to));
        EXPECT_EQ(file.error, ERROR_BAD_SETTING) << c.from << " -> " << c.to;
        std::string said = std::string(c.field) + ": line " + std::to_string(c.line) + ":";
        EXPECT_EQ(file.why.substr(0, said.size()), said) << c.from << " -> " << c.to;
        platform_settings none = {};
        EXPECT_EQ(memcmp(&file.settings, &none, sizeof none), 0);
    }
    for (const char *text : {"", "- a\n", "a: [\n", "a: \"b\n", "\t- :", "a: &x [*x]\n"})
        EXPECT_EQ(File(text).error, ERROR_BAD_SETTING) << text;
}

TEST(Settings, FromFile)
{
    char path[] = "/tmp/sagehitch-settings-XXXXXX";
    int fd = mkstemp(path);
    ASSERT_GE(fd, 0);
    ASSERT_EQ(write(fd, good.data(), good.size()), (ssize_t)good.size());
    close(fd);
    platform_settings settings = {};
    char *why = nullptr;
    EXPECT_EQ(settings_read(&settings, path, &why), 0);
    EXPECT_STREQ(settings.node_name, "n-4");
    settings_free(&settings);
    unlink(path);
    EXPECT_EQ(settings_read(&settings, path, &why), ERROR_BAD_SETTING);
    ASSERT_NE(why, nullptr);
    EXPECT_EQ(std::string(why).find(path), 0u);
    free(why);
}
