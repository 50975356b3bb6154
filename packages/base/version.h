/**
 * DOC: version
 *
 * The version that cuminquay and cuminquayctl print.
 */
#ifndef CQ_VERSION_H
#define CQ_VERSION_H

#define CQ_VERSION "0.1.0"

#endif
