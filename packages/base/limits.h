/**
 * DOC: limits
 *
 * Every hard limit and default of the product. Names end in their unit.
 */
#ifndef CQ_LIMITS_H
#define CQ_LIMITS_H

#include <glib.h>

#define CQ_MS_US G_GINT64_CONSTANT(1000)
#define CQ_SECOND_US G_GINT64_CONSTANT(1000000)

/* Names and tables. */
#define CQ_NAME_BYTES 64
#define CQ_ADDR_BYTES 64
#define CQ_HOST_NAME_BYTES 256
#define CQ_TEAMS_MAX 1024
#define CQ_MODELS_MAX 64
#define CQ_CALLS_MAX 64
#define CQ_SERVICES_MAX 64
#define CQ_UPSTREAMS_MAX 8192
#define CQ_PEERS_MAX 512
#define CQ_REQUESTS_MAX 65536
#define CQ_GROUP_MAX 17
#define CQ_PREFIX_LEVELS 6
#define CQ_TOKEN_HASH_BYTES 32

/* Connections. Waking callers all connect within one second, so the queue of
 * connections that wait to be accepted is long. */
#define CQ_LISTEN_BACKLOG 4096
#define CQ_TCP_KEEPALIVE_IDLE_S 2
#define CQ_TCP_KEEPALIVE_INTERVAL_S 1
#define CQ_TCP_KEEPALIVE_PROBES 3
#define CQ_TCP_UNACKED_MS 3000

/* What a caller may send. */
#define CQ_BODY_BYTES_MAX (16 * 1024 * 1024)
#define CQ_SERVICE_FILE_BYTES_MAX (128 * 1024)
#define CQ_IDEMPOTENCY_KEY_BYTES_MAX 256
#define CQ_TIMEOUT_MAX_MS (60 * 60 * 1000)
#define CQ_BYTES_PER_TOKEN 4
#define CQ_PREFIX_BYTES_MIN 4096
#define CQ_CALLER_BUFFER_BYTES_MAX (256 * 1024)

/* Frames between our processes. */
/* The longest record of the platform's store fits, a configuration of 12,000
 * routes among them. */
#define CQ_FRAME_BYTES_MAX (4 * 1024 * 1024)
/* What is in a frame besides a record's value. */
#define CQ_FRAME_OVERHEAD_BYTES 1024
#define CQ_FRAME_TIMEOUT_US (5 * CQ_SECOND_US)
#define CQ_PEER_KEY_BYTES_MIN 16
#define CQ_SUMMARY_BYTES_PER_S 2048
/* Where there are no more other hosts, each tells every other one what it
 * places: hosts that share engines and do not hear each other place on the
 * same ones. The links and messages of more hosts exceed the control budget;
 * then a host hears CQ_SPARSE_MESH_PEERS others. */
#define CQ_FULL_MESH_PEERS_MAX 64
#define CQ_SPARSE_MESH_PEERS 8
#define CQ_OTHER_ZONE_PEERS_MIN 2
#define CQ_LOG_READERS_PER_ZONE 3
#define CQ_LOG_NONREADER_POLL_US (8 * CQ_SECOND_US)
#define CQ_SUMMARY_BURST_BYTES (32 * 1024)
#define CQ_SUMMARY_INTERVAL_MIN_US (50 * CQ_MS_US)
#define CQ_SUMMARY_ENTRY_BYTES 32
#define CQ_SUMMARY_HEAD_BYTES 32

/* Periods. */
#define CQ_TICK_US (10 * CQ_MS_US)
/* While nothing waits, time limits need no closer look; each turn of the main
 * loop costs a poll of every connection. */
#define CQ_IDLE_TICK_US (40 * CQ_MS_US)
#define CQ_HEARTBEAT_INTERVAL_US (500 * CQ_MS_US)
#define CQ_OFFER_INTERVAL_US (2 * CQ_SECOND_US)
#define CQ_PEER_TIMEOUT_US (2 * CQ_SECOND_US)
#define CQ_RATE_WINDOW_US CQ_SECOND_US
#define CQ_UNLISTED_GRACE_US (2 * CQ_SECOND_US)
#define CQ_SWEEP_INTERVAL_US (2 * CQ_SECOND_US)
#define CQ_LEAVING_REPORT_US (60 * CQ_SECOND_US)
#define CQ_ORPHAN_RESERVATION_AGE_US (10 * CQ_SECOND_US)
#define CQ_HOST_LIST_POLL_US CQ_SECOND_US
#define CQ_LOAD_POLL_US (500 * CQ_MS_US)
#define CQ_LOAD_REPORT_BYTES 900
#define CQ_LOAD_BYTES_PER_S 1800
#define CQ_LOG_WAIT_MS 1000
#define CQ_LOG_RETRY_US (200 * CQ_MS_US)

/* Requests. */
#define CQ_CLAIM_TIMEOUT_US (3 * CQ_SECOND_US)
#define CQ_CLAIM_KEEP_US (3600 * CQ_SECOND_US)
#define CQ_CONNECT_TIMEOUT_US (2 * CQ_SECOND_US)
#define CQ_PROBE_AFTER_SILENCE_US (4 * CQ_SECOND_US)
#define CQ_PROBE_INTERVAL_US (2 * CQ_SECOND_US)
#define CQ_SUSPECT_AVOID_US (5 * CQ_SECOND_US)
#define CQ_RETRY_BURST 32
#define CQ_RETRY_AFTER_MIN_US (200 * CQ_MS_US)
#define CQ_RETRY_AFTER_MAX_US (600 * CQ_SECOND_US)
#define CQ_OUTPUT_TOKENS_DEFAULT 300

/* Engines, where a service file does not say otherwise. */
#define CQ_PREFILL_TOKENS_PER_S 60000
#define CQ_DECODE_STEP_US (37 * CQ_MS_US)
#define CQ_STREAMS_TARGET 8
#define CQ_STREAMS_MAX 12
#define CQ_PLAIN_CALLS_MAX 256
#define CQ_KV_TOKENS 400000
#define CQ_RESERVE_TIMEOUT_US (2 * CQ_SECOND_US)

/* Leases and orders. */
#define CQ_LEASE_US (9 * CQ_SECOND_US)
#define CQ_LEASE_MARGIN_US (2 * CQ_SECOND_US)
#define CQ_LEASE_RENEW_US (2 * CQ_SECOND_US)
#define CQ_MODEL_LOADS_MAX 2
#define CQ_ORDER_PENDING_US (5 * CQ_SECOND_US)
#define CQ_ENGINE_MODELS_MAX 4

/* Placement. */
#define CQ_PLACE_SAMPLES_MAX 16
#define CQ_UPSTREAM_SUBSET_MAX 32
#define CQ_CLASS_SHORT_TOKENS 4096
#define CQ_CLASS_MIDDLE_TOKENS 32768
#define CQ_CLASS_LONG_TOKENS 100000
#define CQ_CACHED_PREFIXES_MAX 512

/* Time line. */
#define CQ_RING_EVENTS 8192
#define CQ_EVENT_TEXT_BYTES 160
#define CQ_LOG_LINE_BYTES 1024

/* Operator commands. */
#define CQ_EXIT_DONE 0
#define CQ_EXIT_REFUSED 1
#define CQ_EXIT_USAGE 2
#define CQ_EXIT_UNREACHABLE 3

#endif
