/* Numbered events of the process log with their level and text. docs/events.md is the catalogue for operators; a test
 * compares the two. A number is never reused for another event. */
#ifndef SAGEHITCH_EVENTS_H
#define SAGEHITCH_EVENTS_H

enum event_level { LEVEL_DEBUG, LEVEL_INFO, LEVEL_WARN, LEVEL_ERROR };

#define EVENT_LIST(X)                                                                              \
    X(1001, EV_STARTED, LEVEL_INFO, "process started")                                             \
    X(1002, EV_STOPPING, LEVEL_INFO, "process asked to stop, hands over its work")                 \
    X(1003, EV_STOPPED, LEVEL_INFO, "process stopped")                                             \
    X(1004, EV_PARAMS_READ, LEVEL_INFO, "local settings reread")                                   \
    X(1005, EV_PARAMS_DENIED, LEVEL_ERROR, "local settings rejected, previous ones kept")          \
    X(1006, EV_FRAME_DROPPED, LEVEL_WARN, "invalid frame dropped")                                 \
    X(1007, EV_REQUEST_DROPPED, LEVEL_WARN, "request dropped, too large or too slow")              \
    X(2001, EV_FOUNDED, LEVEL_INFO, "log bootstrapped by empty voters")                            \
    X(2002, EV_LEADER, LEVEL_INFO, "became leader of a log")                                       \
    X(2003, EV_FOLLOWER, LEVEL_INFO, "stepped down or follows another leader")                     \
    X(2004, EV_LOG_CUT, LEVEL_WARN, "incomplete record at the end of a log removed")               \
    X(2005, EV_LOG_BROKEN, LEVEL_ERROR, "log is damaged, acknowledged entries may be lost")        \
    X(2006, EV_DIGEST_SAVED, LEVEL_DEBUG, "snapshot saved, older segments removed")                \
    X(2007, EV_DIGEST_TAKEN, LEVEL_INFO, "snapshot from the leader installed")                     \
    X(2008, EV_MEMBER_CHANGE, LEVEL_INFO, "log membership changes")                                \
    X(2009, EV_DISK_FAILED, LEVEL_ERROR, "disk failed, member sends nothing more")                 \
    X(2010, EV_DISK_SLOW, LEVEL_WARN, "disk slow, leadership handed over")                         \
    X(2011, EV_SNAPSHOT_REFUSED, LEVEL_WARN, "chunk of a snapshot refused")                        \
    X(2012, EV_SNAPSHOT_DAMAGED, LEVEL_WARN, "snapshot is damaged, not used")                      \
    X(2013, EV_MEMBER_ROLLED_BACK, LEVEL_WARN, "member lost acknowledged entries")                 \
    X(2014, EV_LEAVE_WAITS, LEVEL_WARN, "voter asked to stop waits, another is missing")           \
    X(2015, EV_MAJORITY_LOST, LEVEL_WARN, "no replies from a majority, leader steps down")         \
    X(2016, EV_REPAIR_WAITS, LEVEL_WARN, "replacement of a voter waits")                           \
    X(2017, EV_DISK_WORKS, LEVEL_INFO, "disk works again, log is read")                            \
    X(3001, EV_CHARTER, LEVEL_INFO, "settings version in effect")                                  \
    X(3002, EV_DUTY_GIVEN, LEVEL_INFO, "shard or executor assigned to a node")                     \
    X(3003, EV_GATE_CLOSED, LEVEL_WARN, "configuration tree not confirmed, admission closed")      \
    X(3004, EV_GATE_OPEN, LEVEL_INFO, "configuration tree confirmed, admission open")              \
    X(3005, EV_PLANNED, LEVEL_INFO, "planned change took effect")                                  \
    X(3006, EV_ORDER_REFUSED, LEVEL_INFO, "change by an operator rejected")                        \
    X(4001, EV_SIBLING_JOINED, LEVEL_INFO, "peer joined")                                          \
    X(4002, EV_SIBLING_SUSPECT, LEVEL_INFO, "peer suspected")                                      \
    X(4003, EV_SIBLING_DEAD, LEVEL_WARN, "peer declared dead")                                     \
    X(4004, EV_SIBLING_LEAVING, LEVEL_INFO, "peer is leaving")                                     \
    X(5001, EV_SHARD_OPEN, LEVEL_INFO, "shard opened under its epoch")                             \
    X(5002, EV_SHARD_LOST, LEVEL_INFO, "shard released")                                           \
    X(5003, EV_BREAKER_OPEN, LEVEL_WARN, "circuit breaker of a shard opened")                      \
    X(5004, EV_BREAKER_SHUT, LEVEL_INFO, "circuit breaker of a shard closed again")                \
    X(5005, EV_JOB_TAKEN, LEVEL_DEBUG, "job accepted")                                             \
    X(5006, EV_JOB_ENDED, LEVEL_DEBUG, "job ended")                                                \
    X(5007, EV_TASK_LOST, LEVEL_WARN, "task ended with unknown outcome")                           \
    X(5008, EV_TASK_RETRY, LEVEL_DEBUG, "task rescheduled")                                        \
    X(6001, EV_HOME_OPEN, LEVEL_INFO, "executor opened under its epoch")                           \
    X(6002, EV_EXECUTOR_SILENT, LEVEL_WARN, "executor does not respond")                           \
    X(6003, EV_EXECUTOR_GONE, LEVEL_WARN, "executor did not respond until all its leases expired") \
    X(6004, EV_EXECUTOR_LEAVING, LEVEL_INFO, "executor is leaving")                                \
    X(6005, EV_QUARANTINE, LEVEL_WARN, "executor quarantined because of its outcomes")             \
    X(6006, EV_PROBATION, LEVEL_INFO, "executor on probation")                                     \
    X(6007, EV_HOME_LOST, LEVEL_INFO, "executor released")                                         \
    X(6008, EV_TASK_STILL, LEVEL_WARN, "task without progress stopped")                            \
    X(6009, EV_PREEMPTED, LEVEL_INFO, "task preempted to run elsewhere")                           \
    X(6010, EV_INCARNATION_ENDED, LEVEL_INFO, "incarnation of an executor has ended")              \
    X(7001, EV_EXEC_START, LEVEL_DEBUG, "stand-in executor starts a task")                         \
    X(7002, EV_EXEC_STOP, LEVEL_DEBUG, "stand-in executor stops a task")

#define EVENT_ENUM(NO, NAME, LEVEL, TEXT) NAME = (NO),
enum event { EVENT_LIST(EVENT_ENUM) EVENT_NONE = 0 };

/* An event of the list. */
struct event_kind {
    int no;
    const char *name;
    enum event_level level;
    const char *text;
};

/* The event with this number, or NULL. Static memory. */
const struct event_kind *event_kind(int number);
/* The number of events, and event i (0 to event_count() - 1) in the order of the list. */
int event_count(void);
const struct event_kind *event_at(int i);
#endif
