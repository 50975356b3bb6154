/**
 * DOC: service
 *
 * Parses a service file: the rules of one service, in TOML.
 */
#ifndef CQ_SERVICE_H
#define CQ_SERVICE_H

#include "base/error.h"
#include "base/rules.h"

G_BEGIN_DECLS

/**
 * cq_service_parse() - parse a service file
 * @text: TOML text
 * @file: its name, for messages
 * @error: gets the first error: file, line, key, what was found and what to
 *   write instead
 *
 * Return: the rules, to be released with cq_rules_unref, or NULL.
 */
cq_rules_t *
cq_service_parse(const char *text, const char *file, cq_error_t *error);

G_END_DECLS

#endif
