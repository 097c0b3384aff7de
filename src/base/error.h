/* Error codes. Functions that can fail return one of these negative codes or ERROR_NONE; a function with a result may
 * return the result if it is 0 or more. The table in error.c maps each code to an HTTP response. */
#ifndef SAGEHITCH_ERROR_H
#define SAGEHITCH_ERROR_H
#include <stdint.h>

enum sagehitch_error {
    ERROR_NONE = 0,
    ERROR_BAD_JSON = -1,         /* not JSON at all */
    ERROR_BAD_FIELD = -2,        /* unknown or missing field, or one of the wrong type; the path names it */
    ERROR_TOO_LARGE = -3,        /* body or payload over its limit */
    ERROR_BAD_STEPS = -4,        /* steps depend on each other in a cycle, or on steps that do not exist */
    ERROR_KEY_TAKEN = -5,        /* the key belongs to a job with different contents */
    ERROR_NOT_FOUND = -6,        /* no such job, path or entry */
    ERROR_STALE = -7,            /* the expected version is not the current one */
    ERROR_BOUND = -8,            /* a setting exceeds an inherited bound */
    ERROR_NEVER_FITS = -9,       /* no kind of executor is large enough */
    ERROR_OVERLOAD = -10,        /* too much is buffered; retry later */
    ERROR_UNAVAILABLE = -11,     /* this process cannot confirm its state now */
    ERROR_NO_OWNER = -12,        /* no process is responsible for it at the moment */
    ERROR_OUTCOME_UNKNOWN = -13, /* no majority replied in time; the outcome is unknown */
    ERROR_EPOCH = -14,           /* a lower epoch than the highest one seen */
    ERROR_BAD_FRAME = -15,       /* bytes that cannot be decoded, or a frame of another cluster */
    ERROR_DISK = -16,            /* an I/O error, or data that fail their checksum */
    ERROR_MEMORY = -17,
    ERROR_NOT_LEADER = -18, /* another process leads */
    ERROR_REJECTED = -19,   /* not allowed in the current state, e.g. a reservation that does not fit */
    ERROR_BAD_METHOD = -20,
    ERROR_BAD_SETTING = -21, /* a local setting is invalid */
    ERROR_GONE = -22,        /* no such job, or its retention period is over */
    ERROR_LAST = -23
};

/* How an error is reported over HTTP. */
struct error_response {
    const char *name; /* the code in the JSON body */
    int status;       /* HTTP status */
    int64_t retry_ms; /* wait before a retry; 0: a retry will not help */
};

/* Never NULL: codes outside the list are reported as 500. Static memory. */
const struct error_response *error_response(int error);
#endif
