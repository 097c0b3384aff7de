/* Filling in of validation errors. */
#include <stdarg.h>
#include <stdio.h>

#include "base/schema.h"

enum sagehitch_error validation_error_set(struct validation_error *validation_error, enum sagehitch_error error,
                                          const char *expected, const char *path, ...)
{
    if (!validation_error)
        return error;
    va_list args;
    va_start(args, path);
    validation_error->error = error;
    vsnprintf(validation_error->path, sizeof validation_error->path, path, args);
    snprintf(validation_error->expected, sizeof validation_error->expected, "%s", expected);
    va_end(args);
    return error;
}

enum sagehitch_error validation_error_named(struct validation_error *validation_error, enum sagehitch_error error,
                                            const char *at, const char *name, const char *expected)
{
    return validation_error_set(validation_error, error, expected, "%s%s", at, name);
}
