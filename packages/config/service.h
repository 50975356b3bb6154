/**
 * DOC: service
 *
 * A service file: the rules of one service, kept beside its code.
 */
#ifndef CQ_SERVICE_H
#define CQ_SERVICE_H

#include "base/error.h"
#include "base/rules.h"

G_BEGIN_DECLS

/**
 * cq_service_parse() - read a service file
 * @text: TOML text
 * @file: its name, for messages
 * @error: gets the first fault: file, line, key, what was found and what to
 *   write instead
 *
 * Return: the rules, or NULL.
 */
cq_rules_t *
cq_service_parse(const char *text, const char *file, cq_error_t *error);

G_END_DECLS

#endif
