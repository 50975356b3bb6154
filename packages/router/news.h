/**
 * DOC: news
 *
 * What peers tell each other of the platform's store: a process that the
 * store does not answer learns from one that reads it.
 */
#ifndef CQ_NEWS_H
#define CQ_NEWS_H

#include "router/link.h"

G_BEGIN_DECLS

/** cq_news_tell() - send over @link the records that its peer lacks, by the
 * offsets in its summary */
void
cq_news_tell(cq_app_t *app, cq_link_t *link, const Cq__Summary *summary);

/** cq_news_take() - take records that a peer read; FALSE when they break a
 * limit */
gboolean
cq_news_take(cq_app_t *app, const Cq__Records *records);

G_END_DECLS

#endif
