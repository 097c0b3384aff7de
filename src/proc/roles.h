/* The subcommands of the executable. Each function returns the exit status of the process. */
#ifndef SAGEHITCH_ROLES_H
#define SAGEHITCH_ROLES_H
#include "proc/local.h"

/* Run a role with settings that local_check() has checked. */
int role_keeper(struct local *local);
int role_node(struct local *local);
int role_executor(struct local *local);
int role_caller(struct local *local);
/* Run a subcommand with the arguments that follow its name. */
int ctl_main(struct local *local, int argc, char **argv);
int check_main(int argc, char **argv);
int runbook_main(int argc, char **argv);
int platform_main(int argc, char **argv); /* platform/roles.c */
extern const char ctl_help[];
#endif
