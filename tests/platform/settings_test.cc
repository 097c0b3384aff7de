// The settings file: the values that are read, and the errors that are reported.
#include "platform_test.h"

#include <cstdio>
#include <unistd.h>

namespace
{

const std::string valid_settings = R"(nodeName: "n-4"
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

struct ParsedSettings {
    platform_settings settings = {};
    std::string error_text;
    int error;
    explicit ParsedSettings(const std::string &text)
    {
        char *reason = nullptr;
        error = settings_read_text(&settings, text.data(), (int64_t)text.size(), &reason);
        error_text = reason ? reason : "";
        free(reason);
    }
    ~ParsedSettings() { settings_free(&settings); }
};

} // namespace

TEST(Settings, AllItems)
{
    ParsedSettings file(valid_settings);
    ASSERT_EQ(file.error, 0) << file.error_text;
    const platform_settings &settings = file.settings;
    EXPECT_STREQ(settings.node_name, "n-4");
    EXPECT_STREQ(settings.role, "front");
    EXPECT_STREQ(settings.zone, "north");
    EXPECT_STREQ(settings.region, "coast");
    ASSERT_EQ(settings.n_zones, 2);
    EXPECT_STREQ(settings.zones[1].name, "south");
    EXPECT_STREQ(settings.zones[1].region, "hills");
    EXPECT_EQ(settings.ip_address, 0x0a070004);
    EXPECT_EQ((uint64_t)settings.frontend, addr_parse("10.7.0.4:9001"));
    EXPECT_EQ(settings.readiness, 0);
    EXPECT_EQ((uint64_t)settings.control_plane, addr_parse("10.7.0.4:9003"));
    EXPECT_EQ((uint64_t)settings.app, addr_parse("10.7.0.4:9005"));
    EXPECT_EQ(settings.first_port, 7000);
    EXPECT_EQ(settings.last_port, 7009);
    ASSERT_EQ(settings.n_seed_nodes, 2);
    EXPECT_EQ((uint64_t)settings.seed_nodes[1], addr_parse("10.8.0.4:9003"));
    EXPECT_EQ(settings.initial_start, 1);
    EXPECT_EQ(settings.counts_as_loss, 0);
    EXPECT_EQ(settings.data_directory, nullptr);
    EXPECT_STREQ(settings.service, "s-mill");
    EXPECT_EQ(settings.memory_mb, 128);
    EXPECT_EQ(settings.cpu_share_milli, 150);
    EXPECT_EQ(settings.max_file_descriptors, 4096);
    EXPECT_EQ(settings.heartbeat_interval_ms, 1100);
    EXPECT_EQ(settings.machines_lost, 2);
    EXPECT_EQ(settings.zones_lost, 1);
    EXPECT_EQ(settings.grace_ms, 5000);
    EXPECT_EQ(settings.commands, COMMANDS_INVOCATION);
    dispatch_settings dispatch = {};
    settings_for_dispatch(&settings, &dispatch);
    EXPECT_EQ(settings.hold_max_ms, 4000);
    EXPECT_EQ(dispatch.lease_ms, 3800);
    EXPECT_EQ(dispatch.gang_timeout_ms, 2800);
    EXPECT_EQ(settings.stop_timeout_ms, 300);
    EXPECT_EQ(settings.cancel_ms, 2700);
    EXPECT_EQ(dispatch.early_ms, 240);
    EXPECT_EQ(dispatch.job_retention_ms, 110000);
    EXPECT_EQ(settings.drain_ms, 1900);
    EXPECT_EQ(dispatch.remote_data_pct, 175);
    EXPECT_EQ(settings.checkpoint_ms, 1500);
    EXPECT_EQ(dispatch.restore_ms, 500);
    ParsedSettings longer(replaced_text(valid_settings, "holdMaxMs: 4000", "holdMaxMs: 20000"));
    settings_for_dispatch(&longer.settings, &dispatch);
    EXPECT_EQ(dispatch.lease_ms, 5000);
    // the executor's lease starts when it receives the response to a heartbeat, up to a second after the heartbeat; the
    // agent's lease covers that time too
    ParsedSettings heartbeats(replaced_text(replaced_text(valid_settings, "holdMaxMs: 4000", "holdMaxMs: 2000"),
                                            "\"invocation\"", "\"heartbeat\""));
    settings_for_dispatch(&heartbeats.settings, &dispatch);
    EXPECT_EQ(dispatch.lease_ms, 2900);
    ParsedSettings long_heartbeats(replaced_text(replaced_text(valid_settings, "holdMaxMs: 4000", "holdMaxMs: 6000"),
                                                 "\"invocation\"", "\"heartbeat\""));
    settings_for_dispatch(&long_heartbeats.settings, &dispatch);
    EXPECT_EQ(dispatch.lease_ms, 5000);
    ParsedSettings disk(replaced_text(replaced_text(valid_settings, "dataDirectory: null", "dataDirectory: /d/x"),
                                      "\"invocation\"", "\"heartbeat\""));
    EXPECT_STREQ(disk.settings.data_directory, "/d/x");
    EXPECT_EQ(disk.settings.commands, COMMANDS_HEARTBEAT);
}

TEST(Settings, InvalidItems)
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
        ParsedSettings file(replaced_text(valid_settings, c.from, c.to));
        EXPECT_EQ(file.error, ERROR_BAD_SETTING) << c.from << " -> " << c.to;
        std::string expected = std::string(c.field) + ": line " + std::to_string(c.line) + ":";
        EXPECT_EQ(file.error_text.substr(0, expected.size()), expected) << c.from << " -> " << c.to;
        platform_settings none = {};
        EXPECT_EQ(memcmp(&file.settings, &none, sizeof none), 0);
    }
    for (const char *text : {"", "- a\n", "a: [\n", "a: \"b\n", "\t- :", "a: &x [*x]\n"})
        EXPECT_EQ(ParsedSettings(text).error, ERROR_BAD_SETTING) << text;
}

TEST(Settings, FromFile)
{
    char path[] = "/tmp/sagehitch-settings-XXXXXX";
    int fd = mkstemp(path);
    ASSERT_GE(fd, 0);
    ASSERT_EQ(write(fd, valid_settings.data(), valid_settings.size()), (ssize_t)valid_settings.size());
    close(fd);
    platform_settings settings = {};
    char *reason = nullptr;
    EXPECT_EQ(settings_read(&settings, path, &reason), 0);
    EXPECT_STREQ(settings.node_name, "n-4");
    settings_free(&settings);
    unlink(path);
    EXPECT_EQ(settings_read(&settings, path, &reason), ERROR_BAD_SETTING);
    ASSERT_NE(reason, nullptr);
    EXPECT_EQ(std::string(reason).find(path), 0u);
    free(reason);
}
