/* The table of errors and their HTTP responses. */
#include "base/error.h"

static const struct error_response responses[] = {
    [-ERROR_NONE] = {.name = "ok", .status = 200},
    [-ERROR_BAD_JSON] = {.name = "bad_json", .status = 400},
    [-ERROR_BAD_FIELD] = {.name = "bad_field", .status = 400},
    [-ERROR_TOO_LARGE] = {.name = "too_large", .status = 413},
    [-ERROR_BAD_STEPS] = {.name = "bad_steps", .status = 400},
    [-ERROR_KEY_TAKEN] = {.name = "key_taken", .status = 409},
    [-ERROR_NOT_FOUND] = {.name = "no_such", .status = 404},
    [-ERROR_STALE] = {.name = "stale_version", .status = 409},
    [-ERROR_BOUND] = {.name = "breaks_bound", .status = 422},
    [-ERROR_NEVER_FITS] = {.name = "never_fits", .status = 422},
    [-ERROR_OVERLOAD] = {.name = "overload", .status = 429, .retry_ms = 1000},
    [-ERROR_UNAVAILABLE] = {.name = "gate_closed", .status = 503, .retry_ms = 1000},
    [-ERROR_NO_OWNER] = {.name = "no_owner", .status = 503, .retry_ms = 1000},
    [-ERROR_OUTCOME_UNKNOWN] = {.name = "gave_up", .status = 503, .retry_ms = 2000},
    [-ERROR_EPOCH] = {.name = "lower_epoch", .status = 409},
    [-ERROR_BAD_FRAME] = {.name = "bad_frame", .status = 400},
    [-ERROR_DISK] = {.name = "disk", .status = 500},
    [-ERROR_MEMORY] = {.name = "memory", .status = 503, .retry_ms = 1000},
    [-ERROR_NOT_LEADER] = {.name = "not_leader", .status = 503, .retry_ms = 500},
    [-ERROR_REJECTED] = {.name = "denied", .status = 409},
    [-ERROR_BAD_METHOD] = {.name = "bad_method", .status = 405},
    [-ERROR_BAD_SETTING] = {.name = "bad_param", .status = 500},
    [-ERROR_GONE] = {.name = "gone", .status = 410},
};

static const struct error_response unknown_response = {.name = "unknown", .status = 500};

const struct error_response *error_response(int error)
{
    if (error > 0 || error <= ERROR_LAST)
        return &unknown_response;
    return &responses[-error];
}
