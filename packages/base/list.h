/**
 * DOC: list
 *
 * Intrusive doubly linked lists. A link lives inside the entry; an unlinked
 * link points to itself.
 */
#ifndef CQ_LIST_H
#define CQ_LIST_H

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

/**
 * struct cq_list_t - a link, or the head of a list
 * @next: the following link
 * @prev: the preceding link
 */
typedef struct cq_list {
    struct cq_list *next;
    struct cq_list *prev;
} cq_list_t;

/** CQ_ENTRY() - the entry of type @type whose member @member is @link */
#define CQ_ENTRY(link, type, member)                                          \
    ((type *)(void *)((char *)(link)-offsetof(type, member)))

/** cq_list_init() - initialize a list's head or an entry's link */
static inline void
cq_list_init(cq_list_t *link)
{
    link->next = link;
    link->prev = link;
}

/** cq_list_empty() - Return: whether @head has no entries */
static inline gboolean
cq_list_empty(const cq_list_t *head)
{
    return head->next == head;
}

/** cq_list_remove() - unlink @link; does nothing if it is not linked */
static inline void
cq_list_remove(cq_list_t *link)
{
    link->prev->next = link->next;
    link->next->prev = link->prev;
    cq_list_init(link);
}

/** cq_list_append() - add the unlinked @link at the end of @head */
static inline void
cq_list_append(cq_list_t *head, cq_list_t *link)
{
    g_assert(cq_list_empty(link));
    link->prev = head->prev;
    link->next = head;
    head->prev->next = link;
    head->prev = link;
}

/** cq_list_prepend() - add the unlinked @link at the start of @head */
static inline void
cq_list_prepend(cq_list_t *head, cq_list_t *link)
{
    cq_list_append(head->next, link);
}

G_END_DECLS

#endif
