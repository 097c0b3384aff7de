/* A job as submitted (its steps, their tasks, and the repetitions in which they run), and the configuration of queues
 * and services. Structs own their strings and lists; schema_free() with their schema frees them. */
#ifndef SAGEHITCH_DISPATCH_JOB_H
#define SAGEHITCH_DISPATCH_JOB_H
#include "base/error.h"
#include "base/schema.h"

/* SPEC_MAX: maximum length of a job's text in bytes; JOB_TASKS_MAX: tasks over all steps and repetitions. */
enum { SPEC_MAX = 4000, STEPS_MAX = 64, JOB_TASKS_MAX = 20000 };
/* Maximum length in bytes of a label, rack, zone or service that a codec accepts in a job or heartbeat. */
enum { NAME_BYTES_MAX = 1024 };

/* A step. Resources are requested for each task. checkpoints to long_running are flags (0 or 1). */
struct step_spec {
    int64_t task_count, cpu_milli, memory_mb, gpus;
    int64_t estimate_ms; /* expected duration of a task; may be far off */
    int64_t *depends_on; /* numbers of earlier steps */
    int64_t n_depends_on;
    int64_t checkpoints;  /* its tasks save checkpoints and can resume from them */
    int64_t gang;         /* either all its tasks run at the same time or none does */
    int64_t same_rack;    /* the gang should run in one rack */
    int64_t duplicates;   /* two attempts may run at once; the first one to end counts */
    int64_t long_running; /* its tasks run until the job is cancelled */
    int64_t per_executor; /* limit of its tasks on one executor; 0: none */
    char *label;          /* label that the executor must have; NULL: none */
    char *rack;           /* preferred rack, where its data are; NULL: any */
};

/* A job as submitted. */
struct job_spec {
    int64_t id; /* chosen by the caller, 64 bits */
    char *text; /* opaque, passed to each task */
    struct step_spec *steps;
    int64_t n_steps;
    int64_t repeats, start_ms, interval_ms; /* repeats 0: the job runs once, at once; else repetition k is due at
                                             * start_ms + k * interval_ms, time of day */
    char *outlet; /* outlet that it belongs to, see rules/rules.h; NULL: the outlet of its queue, if any */
};

/* State of a job. The numbers are stored in snapshots and go over the wire. */
enum job_state { JOB_PENDING, JOB_ACTIVE, JOB_DONE, JOB_FAILED, JOB_CANCELLED };

/* A queue. Requests reach it by host and path prefix. */
struct queue_config {
    char *name, *host, *prefix;     /* the case of host does not matter */
    char *service;                  /* name of the service that runs its jobs */
    int64_t priority;               /* 0 is the most urgent */
    int64_t attempts_max;           /* a task whose attempts have failed this often fails for good */
    int64_t stretch_pct, target_ms; /* a job is in time if it ends within target_ms plus stretch_pct % of its
                                     * longest chain of steps */
    int64_t timeout_ms;             /* how long callers wait for a response */
};
/* Where requests reach a queue. */
struct queue_route {
    char *host, *prefix; /* the case of host does not matter */
};
/* A service: the kind of executors that run the jobs of a queue. */
struct service_config {
    char *name;
    char *health_path;       /* HTTP path on its executors, NULL: none */
    int64_t checks_capacity; /* 1: its executors refuse starts that do not fit */
};
/* One version of the whole configuration. raw: the bytes that the operator sent, which reads return. */
struct config {
    int64_t version;
    struct queue_config *queues;
    int64_t n_queues;
    struct service_config *services;
    int64_t n_services;
    struct bytes raw;
};
/* A change of the configuration. base: the version that it was made from and replaces. The config of a patch has only a
 * version, and the text of the patch as raw. */
struct config_change {
    int64_t base;
    struct config config;
};

/* Schemas of struct job_spec and struct step_spec. submission_without_outlet_schema leaves out the outlet, so that
 * hashes and comparisons of jobs without an outlet are the same as before outlets were introduced. */
extern const struct schema submission_step_schema, submission_schema, submission_without_outlet_schema;
extern const struct schema queue_config_schema, queue_route_schema, service_config_schema, config_schema;

/* Validate a job or a configuration, independently of the codec that decoded it. Return 0, or an error, with the
 * invalid member in validation_error (may be NULL). */
enum sagehitch_error job_spec_check(const struct job_spec *spec, struct validation_error *validation_error);
enum sagehitch_error config_check(const struct config *config, struct validation_error *validation_error);
/* The number of tasks in one repetition; the number of repetitions. */
int64_t job_spec_tasks(const struct job_spec *spec);
int64_t job_spec_repetitions(const struct job_spec *spec);
/* A text, freed by the caller, that two queues share only if they have the same route: the host in lower case, and the
 * prefix. */
char *queue_route_key(const struct queue_config *queue);
/* The index of the queue with this host (case is ignored) and the longest prefix of path; -1: none. */
int64_t config_route(const struct config *config, const char *host, const char *path);
#endif
