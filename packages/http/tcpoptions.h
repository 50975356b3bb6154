/**
 * DOC: tcpoptions
 *
 * The TCP options of all connections.
 */
#ifndef CQ_TCPOPTIONS_H
#define CQ_TCPOPTIONS_H

/** cq_tcpoptions_set() - set the options of the connection @fd: small writes
 * aren't delayed, and keep-alive probes and the limit on unacknowledged data
 * end a connection whose network path or other side is gone */
void
cq_tcpoptions_set(int fd);

#endif
