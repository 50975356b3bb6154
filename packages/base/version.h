/**
 * DOC: version
 *
 * The version that both binaries print.
 */
#ifndef CQ_VERSION_H
#define CQ_VERSION_H

#define CQ_VERSION "0.1.0"

#endif
