/**
 * DOC: limits
 *
 * The hard limits and defaults of the product. Names end in their unit; a name
 * without one is a count.
 */
#ifndef CQ_LIMITS_H
#define CQ_LIMITS_H

#include <glib.h>

/* One millisecond and one second in microseconds. */
#define CQ_MS_US G_GINT64_CONSTANT(1000)
#define CQ_SECOND_US G_GINT64_CONSTANT(1000000)

/* Names and tables. Sizes of strings include the terminating zero. */
#define CQ_NAME_BYTES 64
#define CQ_ADDR_BYTES 64
#define CQ_HOST_NAME_BYTES 256
#define CQ_TEAMS_MAX 1024
#define CQ_MODELS_MAX 64
/* Maximum number of [[call]] tables in a service file. */
#define CQ_CALLS_MAX 64
#define CQ_SERVICES_MAX 64
#define CQ_UPSTREAMS_MAX 8192
#define CQ_PEERS_MAX 512
#define CQ_REQUESTS_MAX 65536
/* Maximum number of engines that prefill one prompt together. */
#define CQ_PREFILL_GROUP_MAX 17
/* Maximum number of prefixes of a prompt that are hashed, in order to find
 * engines that have them in their cache. */
#define CQ_PREFIX_LEVELS 6
/* Maximum number of shared parts of a prompt that are told apart; further ones
 * are ignored. */
#define CQ_PROMPT_PARTS_MAX 32
/* Crashes that are remembered of each part. */
#define CQ_PART_CRASHES_MAX 8
/* Maximum number of reports on parts of prompts in one message. */
#define CQ_PART_REPORTS_MAX 1024
/* Length of a SHA-256 hash; bearer tokens are stored as such hashes. */
#define CQ_TOKEN_HASH_BYTES 32

/* Connections. Callers that start at the same time all connect within one
 * second, so the queue of connections that wait to be accepted is long. */
#define CQ_LISTEN_BACKLOG 4096
/* TCP keep-alive, and the time for which sent data may stay unacknowledged
 * before TCP ends the connection. The latter also ends a connection whose
 * probes get no answer, whatever their number, so it must not be shorter than
 * all probes together. */
#define CQ_TCP_KEEPALIVE_IDLE_S 1
#define CQ_TCP_KEEPALIVE_INTERVAL_S 1
#define CQ_TCP_KEEPALIVE_PROBES 3
#define CQ_TCP_UNACKED_MS                                                     \
    (1000 * (CQ_TCP_KEEPALIVE_IDLE_S +                                        \
             CQ_TCP_KEEPALIVE_INTERVAL_S * CQ_TCP_KEEPALIVE_PROBES))
/* Longest time for which a connection is kept whose other side acknowledges
 * probes but reads nothing, and the largest sum of bytes that wait for such
 * connections; beyond either, CQ_TCP_UNACKED_MS applies to them too. */
#define CQ_STALL_MAX_US (30 * CQ_SECOND_US)
#define CQ_STALL_BYTES_MAX (32 * 1024 * 1024)
/* After the time limit of a stop, answers are written for this time more. */
#define CQ_FLUSH_AFTER_LIMIT_US (300 * CQ_MS_US)
/* For this time after a configuration has lowered the idle timeout, callers
 * may not know it: twice the time in which a configuration reaches all hosts.
 */
#define CQ_IDLE_NOTICE_US (4 * CQ_SECOND_US)
/* After the last answer of a connection, what the caller still sends is read
 * for this time and up to this number of bytes: a connection that is closed
 * with unread bytes is reset, and the answer may be lost with it. */
#define CQ_CLOSING_TIMEOUT_US (2 * CQ_SECOND_US)
#define CQ_CLOSING_BYTES_MAX (4 * 1024 * 1024)

/* What a caller may send. */
#define CQ_BODY_BYTES_MAX (16 * 1024 * 1024)
#define CQ_SERVICE_FILE_BYTES_MAX (128 * 1024)
/* Longest idempotency key. */
#define CQ_IDEMPOTENCY_KEY_BYTES_MAX 256
#define CQ_TIMEOUT_MAX_MS (60 * 60 * 1000)
/* Used to estimate a prompt's length in tokens from its size. */
#define CQ_BYTES_PER_TOKEN 4
/* Length of the shortest prefix of a prompt that is hashed. */
#define CQ_PREFIX_BYTES_MIN 4096
/* Reading a response from its upstream pauses while more bytes than this wait
 * to be written to the caller. */
#define CQ_CALLER_BUFFER_BYTES_MAX (256 * 1024)
/* Longest answer that is not a stream; such an answer is buffered completely
 * before it is forwarded. */
#define CQ_ANSWER_BYTES_MAX (16 * 1024 * 1024)
/* Bytes of all such answers together, while they are received or wait for slow
 * callers; the answer that exceeds it is broken off, which says nothing of its
 * upstream or its request. Buffers grow to twice that, which the smallest host
 * can hold. */
#define CQ_ALL_ANSWERS_BYTES_MAX (48 * 1024 * 1024)
/* Longest event of a stream; a longer one breaks its answer. */
#define CQ_STREAM_EVENT_BYTES_MAX (256 * 1024)

/* JSON texts of callers, upstreams, the store and peers: the deepest nesting
 * of arrays and objects, and the longest text. */
#define CQ_JSON_DEPTH_MAX 128
#define CQ_JSON_BYTES_MAX (64 * 1024 * 1024)

/* Frames between serving processes. */
/* Large enough for the longest record of the platform's store, such as a
 * configuration of 12,000 routes. */
#define CQ_FRAME_BYTES_MAX (4 * 1024 * 1024)
/* Longest key of a record of the platform's store. */
#define CQ_RECORD_KEY_BYTES_MAX 255
/* Longest frame of a peer that has not been authenticated. */
#define CQ_FRAME_UNPROVED_BYTES_MAX 1024
/* Upper bound for what a frame contains besides a record's value. */
#define CQ_FRAME_OVERHEAD_BYTES 1024
/* A connection to a peer is closed when no byte arrives on it for this time
 * in the middle of a frame, or before the peer has been authenticated. */
#define CQ_FRAME_TIMEOUT_US (5 * CQ_SECOND_US)
#define CQ_PEER_KEY_BYTES_MIN 16
/* Bandwidth that a process may use to send summaries. */
#define CQ_SUMMARY_BYTES_PER_S 2048
/* If there are at most this many other hosts, a host connects to all of them
 * and sends each its placements: hosts that share engines without knowing each
 * other's placements would place requests on the same engines. With more hosts
 * the messages of a full mesh would grow with the square of their number, so
 * the fleet is divided into cells: the hosts and engines of a zone. A host
 * then connects to the hosts of its zone, at most CQ_CELL_PEERS_MAX, and to
 * CQ_PEERS_PER_OTHER_ZONE hosts of each other zone. */
#define CQ_FULL_MESH_PEERS_MAX 64
#define CQ_CELL_PEERS_MAX 96
#define CQ_PEERS_PER_OTHER_ZONE 2
/* Number of hosts per availability zone that read the log continuously. The
 * others receive its records from peers, and read the log themselves only at
 * the interval CQ_LOG_NONREADER_POLL_US. */
#define CQ_LOG_READERS_PER_ZONE 3
#define CQ_LOG_NONREADER_POLL_US (8 * CQ_SECOND_US)
/* Number of hosts per availability zone that read the platform's store for the
 * others. */
#define CQ_STORE_READERS_PER_ZONE 2
/* Unused bandwidth for summaries accumulates up to this number of bytes, so
 * that the summaries for a burst of requests are sent at once. */
#define CQ_SUMMARY_BURST_BYTES (32 * 1024)
/* Shortest time between two summaries. */
#define CQ_SUMMARY_INTERVAL_MIN_US (50 * CQ_MS_US)
/* Estimated encoded size of one entry of a summary, and of a summary without
 * its entries. */
#define CQ_SUMMARY_ENTRY_BYTES 32
#define CQ_SUMMARY_HEAD_BYTES 32

/* Periods. */
/* Tick of the core, which checks time limits, while a request is queued. */
#define CQ_TICK_US (10 * CQ_MS_US)
/* Tick while no request is queued. Time limits need no finer resolution then,
 * and each iteration of the main loop costs a poll of every connection. */
#define CQ_IDLE_TICK_US (40 * CQ_MS_US)
/* Longest time between two messages to a peer. */
#define CQ_HEARTBEAT_INTERVAL_US (500 * CQ_MS_US)
/* Interval at which peers compare their configurations. */
#define CQ_OFFER_INTERVAL_US (2 * CQ_SECOND_US)
/* Time without a summary after which a peer is treated as lost. */
#define CQ_PEER_TIMEOUT_US (2 * CQ_SECOND_US)
/* Length of the window over which rates are estimated. */
#define CQ_RATE_WINDOW_US CQ_SECOND_US
/* Rate limits of upstreams in a summary. If there are more, each summary has
 * others of them. */
#define CQ_SUMMARY_RATES_MAX 64
/* Interval at which expired entries are removed from the tables. */
#define CQ_SWEEP_INTERVAL_US (2 * CQ_SECOND_US)
/* Time during which summaries report that an upstream is leaving. */
#define CQ_LEAVING_REPORT_US (60 * CQ_SECOND_US)
/* A reservation whose owner is no longer an entry host is released when it is
 * older than this. */
#define CQ_ORPHAN_RESERVATION_AGE_US (10 * CQ_SECOND_US)
/* Interval at which the platform's host list is read. */
#define CQ_HOST_LIST_POLL_US CQ_SECOND_US
/* Load reports of engines: interval between polls, estimated size of one
 * report, and the bandwidth for reports, which limits how many engines are
 * polled each time. */
#define CQ_LOAD_POLL_US (500 * CQ_MS_US)
#define CQ_LOAD_REPORT_BYTES 900
#define CQ_LOAD_BYTES_PER_S 1800
/* How long a read of the log waits for a new record, and the pause after a
 * read that failed. */
#define CQ_LOG_WAIT_MS 1000
#define CQ_LOG_RETRY_US (200 * CQ_MS_US)

/* Requests. */
/* Time limit for claiming an idempotency key, and how long a key is remembered
 * after its last record. */
#define CQ_CLAIM_TIMEOUT_US (3 * CQ_SECOND_US)
#define CQ_CLAIM_KEEP_US (3600 * CQ_SECOND_US)
/* Time limit for a connection to an upstream to open. */
#define CQ_CONNECT_TIMEOUT_US (2 * CQ_SECOND_US)
/* Time without progress of a request after which its upstream is probed, and
 * the interval of further probes. */
#define CQ_PROBE_AFTER_SILENCE_US (4 * CQ_SECOND_US)
#define CQ_PROBE_INTERVAL_US (2 * CQ_SECOND_US)
/* Time during which an upstream that could not be reached is avoided. */
#define CQ_SUSPECT_AVOID_US (5 * CQ_SECOND_US)
/* Longest time for which an upstream can ask for no requests. */
#define CQ_UPSTREAM_PAUSE_MAX_US (3600 * CQ_SECOND_US)
/* Higher rate limits of upstreams, in requests a second, are reduced to this
 * value. */
#define CQ_RATE_PER_S_MAX 1e6
/* Default size of the retry budget. */
#define CQ_RETRY_BURST 32
/* Bounds of the Retry-After that callers are sent. */
#define CQ_RETRY_AFTER_MIN_US (200 * CQ_MS_US)
#define CQ_RETRY_AFTER_MAX_US (600 * CQ_SECOND_US)
/* Assumed length of an answer while no better estimate is known. */
#define CQ_OUTPUT_TOKENS_DEFAULT 300

/* Engines: defaults where the service file or the configuration states nothing
 * else, and limits. */
#define CQ_PREFILL_TOKENS_PER_S 60000
#define CQ_DECODE_STEP_US (37 * CQ_MS_US)
#define CQ_STREAMS_TARGET 8
#define CQ_STREAMS_MAX 12
/* Maximum number of concurrent requests on an upstream of a plain service. */
#define CQ_PLAIN_CALLS_MAX 256
#define CQ_KV_TOKENS 400000
/* Time limit for engines to grant the reservations of a request. */
#define CQ_RESERVE_TIMEOUT_US (2 * CQ_SECOND_US)

/* The lease, and its holder's orders to engines to load models. */
/* Time after its last renewal from which other hosts may take the lease. The
 * holder stops using it CQ_LEASE_MARGIN_US earlier. */
#define CQ_LEASE_US (9 * CQ_SECOND_US)
#define CQ_LEASE_MARGIN_US (2 * CQ_SECOND_US)
#define CQ_LEASE_RENEW_US (2 * CQ_SECOND_US)
/* Maximum number of model loads in progress at a time in the whole fleet. */
#define CQ_MODEL_LOADS_MAX 2
/* An order to load a model counts as pending until a load report arrives that
 * the engine made more than this time after the order. */
#define CQ_ORDER_PENDING_US (5 * CQ_SECOND_US)
/* Maximum number of models that one engine can have loaded. */
#define CQ_ENGINE_MODELS_MAX 4

/* Placement. */
/* Number of upstreams in the host's own availability zone that are compared
 * to place a request; in other zones, half as many. */
#define CQ_PLACE_SAMPLES_MAX 16
/* Maximum number of upstreams of a service that one host uses in its own
 * availability zone. The same maximum applies to all other zones together. */
#define CQ_UPSTREAM_SUBSET_MAX 32
/* Maximum number of connections that a host opens at a time to see whether
 * upstreams are within reach: one for each upstream that it uses. */
#define CQ_REACH_PROBES_MAX (2 * CQ_UPSTREAM_SUBSET_MAX)
/* Upper bounds of the first three classes of prompt length; the fourth has
 * none. */
#define CQ_CLASS_SHORT_TOKENS_MAX 4096
#define CQ_CLASS_MIDDLE_TOKENS_MAX 32768
#define CQ_CLASS_LONG_TOKENS_MAX 100000
/* Maximum number of prompt prefixes remembered per engine as being in its
 * cache. */
#define CQ_CACHED_PREFIXES_MAX 512

/* Event history and log. */
#define CQ_RING_EVENTS 8192
#define CQ_EVENT_TEXT_BYTES 160
#define CQ_LOG_LINE_BYTES 1024

/* Exit codes of the operators' command. */
#define CQ_EXIT_DONE 0
#define CQ_EXIT_REFUSED 1
#define CQ_EXIT_USAGE 2
#define CQ_EXIT_UNREACHABLE 3

#endif
