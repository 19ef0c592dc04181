"""The single place for defaults and fixed limits, with their units."""

import math

# Network.
LOOPBACK = "127.0.0.1"
HTTP_IDLE_TIMEOUT_S = 60.0
CONTROL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 5.0
CONNECTIONS_PER_HOST = 256

# Limits on callers' requests and connections.
MAX_HEADERS = 64
MAX_HEADER_BYTES = 16 * 1024
REQUEST_ARRIVAL_TIMEOUT_S = 15.0
CLIENT_STALL_TIMEOUT_S = 20.0
MAX_CONNECTIONS = 4096
RESERVED_DESCRIPTORS = 64
MAX_BODY_BYTES = 256 * 1024
MAX_DISCARDED_BODY_BYTES = 16 * 1024 * 1024
MAX_CALL_KEY_CHARS = 128
MAX_TOKENS_PER_CALL = 4096

# Calls.
# Minimum bytes of prompt text per token, for the upper bound on tokens.
PROMPT_BYTES_PER_TOKEN_MIN = 2
MAX_IN_FLIGHT_PER_TARGET = 64
CALL_TIMEOUT_MS = 30_000
FIRST_BYTE_TIMEOUT_MAX_S = 5.0
MAX_CALL_TIMEOUT_MS = 300_000
RETRY_AFTER_MS = 1_000
KEY_WINDOW_S = 600.0
# Run journal.
# Maximum time between an owner's appends; an empty batch is a heartbeat.
OWNER_HEARTBEAT_INTERVAL_S = 5.0
# If a new owner claims the keys later than this after the lost owner's last
# append, the lost owner's last runs are uncertain.
OWNER_GAP_MAX_S = 25.0
# Outage of the log after which an owner runs calls in memory only, and the
# longest time in that mode. Infinity disables it, as with a finite value a key
# can still run twice, see docs/design/calls.md.
MEMORY_ONLY_AFTER_S = math.inf
MEMORY_ONLY_MAX_S = 1_800.0
# Maximum time that one failed append adds to an outage, as a pause of the
# process says nothing about the log.
OUTAGE_STEP_MAX_S = 4.0
RUN_APPEND_INTERVAL_S = 0.02
RUN_UPDATES_PER_APPEND = 500
# Limit on the appends per second of all owners in the fleet together.
FLEET_RUN_APPENDS_PER_S = 100.0
JOURNALED_BODY_MAX_BYTES = 2_048
# Minimum time for the owner of a key to report the outcome of its call.
REFUSAL_TIMEOUT_S = 2.0

# How long bills are kept to detect duplicates; longer than any process reports
# the same usage.
BILL_WINDOW_S = 1_800.0
BILL_WINDOW_MAX_STEP_S = 10.0

# Platform.
LOG_READ_WAIT_MS = 2_000
LOG_READ_LIMIT = 500
LOG_RETRY_INITIAL_S = 0.2
LOG_RETRY_MAX_S = 5.0
LOG_RETENTION_S = 86_400.0
VM_LIST_POLL_INTERVAL_S = 1.0
SHARD_REVIEW_INTERVAL_S = 0.5

# Membership.
AGENT_POLL_INTERVAL_S = 1.0
AGENT_POLL_TIMEOUT_S = 1.0
# How often an agent checks whether it has become ready.
READY_CHECK_INTERVAL_S = 0.1
# How long an agent's status is valid, from the time of the request.
AGENT_STATUS_VALID_S = 2.5
# How long a starting router waits for a target of each service before it
# reports ready without one.
SERVICE_TARGET_WAIT_S = 5.0
# Time after which every router knows that an agent is leaving.
LEAVE_PROPAGATION_S = 3.0
# Time for the platform's load balancer to detect that a router is not ready.
BALANCER_DETECTION_S = 3.0
FLUSH_TIMEOUT_S = 5.0
LEAVING_NOTICE_TTL_S = 10.0

# Quarantine.
QUARANTINE_STRIKES = 3
TARGET_PROBE_TIMEOUT_S = 0.5
TARGET_PROBE_PAUSE_S = 0.1
TARGET_PROBES = 2
QUARANTINE_S = 600.0
MAX_STORED_STRIKES = 256
# The same where strikes of all prompt parts are kept as well.
MAX_SHARED_STRIKES = 4_096
MAX_COMPLETED_CONTENTS = 4_096
COMPLETED_CONTENT_TTL_S = 60.0
# How long one of several requests that excuse each other is tried by itself.
SUSPECT_TURN_S = 10.0
# Parts of a prompt that a strike names.
MAX_STRIKE_PARTS = 64

# Configuration.
CONFIG_POLL_INTERVAL_S = 1.0
CONFIG_PEER_TIMEOUT_S = 1.0
# Number of routers that a process polls in turn.
CONFIG_PEERS = 4
CONFIG_READERS_PER_DATA_CENTRE = 3
CONFIG_SNAPSHOT_DELAY_S = 60.0
# Number of versions whose publication ids are kept.
CONFIG_PUBLICATION_IDS_MAX = 1_000

# Budgets.
# How long ids of top-ups and customers are kept to detect duplicates.
OPERATOR_RECORD_WINDOW_S = 30 * 86_400.0
SNAPSHOT_PART_CHARS = 200_000
# A snapshot is due after the log's retention time divided by this.
SNAPSHOT_RETENTION_DIVISOR = 4
DEFAULT_BUDGET = "main"
SHARD_COUNT = 4
USAGE_REPORT_INTERVAL_S = 0.2
CUSTOMER_CACHE_TTL_S = 60.0
GRANT_WAIT_S = 2.0
KEEPER_SEARCH_TIMEOUT_S = 2.0
KEEPER_SEARCH_PAUSE_S = 0.1
BUDGET_RETRY_AFTER_MS = 60_000
# How long a stopping router tries to return its tokens.
RETURN_TOKENS_TIMEOUT_S = 5.0
# Before a refusal, a stream is read to its end. Minimum time between two such
# reads.
REFRESH_MIN_INTERVAL_S = 0.25
# Limit on the appends per second of all keepers together.
KEEPER_APPENDS_PER_S = 200

# Fraction of a budget whose use makes a router's recent use decay to 1/e.
RECENT_USE_DECAY_FRACTION = 0.05
# Recent use below this is dropped.
MIN_RECENT_USE_TOKENS = 1.0
# Maximum number of holders asked to return tokens for another holder's call.
RECALL_MAX_HOLDERS = 8
RECALL_TIMEOUT_S = 0.4
RECALL_CHECK_INTERVAL_S = 0.02

# Settlement of tokens of lost routers.
KEEPER_MAINTENANCE_INTERVAL_S = 1.0
CLAIM_RETRY_INITIAL_S = 1.0
CLAIM_RETRY_MAX_S = 60.0
# Minimum time between two epochs that a keeper claims for settlement.
SETTLE_EPOCH_MIN_INTERVAL_S = 120.0
# Interval between probes of holders that send no exchanges.
HOLDER_PROBE_INTERVAL_S = 60.0
# Holders that have not registered after this time, as they are unreachable, are
# declared void, and settlement continues without them.
HOLDER_REGISTRATION_TIMEOUT_S = 900.0
# Keepers notify agents of closures directly; periodic reads find missed ones.
CLOSURES_READ_PAUSE_S = 30.0
AGENT_REGISTRATION_INTERVAL_S = 21_600.0
# Usage older than this is not billed, as its earlier bill may have expired.
USAGE_BILLABLE_S = 1_200.0
USAGE_TABLE_MAX_ENTRIES = 20_000

# Agents.
LOAD_REPORT_INTERVAL_S = 0.5
DRAIN_CHECK_INTERVAL_S = 0.05
CACHED_ANSWERS_MAX_BYTES = 4 * 1024 * 1024
CACHED_STREAMS_MAX_BYTES = 4 * 1024 * 1024
MAX_KEYS_PER_AGENT = 100_000

# Routing.
TARGETS_PER_ROUTER = 16
PICK_SAMPLE_SIZE = 3
# Utilization added to targets in another data centre.
REMOTE_UTILIZATION_PENALTY = 0.1
QUEUE_WAIT_MAX_S = 0.4
# A call is queued only if this multiple of its expected wait is allowed, as
# the throughput varies and a late refusal helps nobody.
WAIT_SAFETY_FACTOR = 4.0
# Maximum wait for calls of a customer within its fair share.
FAIR_SHARE_WAIT_MAX_S = 1.0
# Minimum age of a load report at which a call may probe whether the target has
# free capacity.
PROBE_MIN_REPORT_AGE_S = 0.1
PROBE_INTERVAL_S = 0.02
# Delay in the queue order per priority level.
PRIORITY_DELAY_S = 0.4
# Gain of the moving average of each priority's fraction of the calls.
RANK_MIX_GAIN = 0.05
# Minimum fraction of the throughput assumed to remain for low priorities.
MIN_THROUGHPUT_FRACTION = 0.02
# Calls by which one customer may be served ahead of another while both wait.
FAIR_WINDOW_CALLS = 2.0
# Gain of the moving mean and mean deviation of latencies.
LATENCY_ESTIMATE_GAIN = 0.1
FIRST_BYTE_TIMEOUT_MIN_S = 0.5
IDLE_TIMEOUT_MIN_S = 0.5
IDLE_TIMEOUT_GAPS = 10
MAX_ATTEMPTS = 3
RETRIES_PER_CALL = 0.1
# Additional retries per window of all routers together.
RETRY_SLACK = 20
# Length of the window in which a router counts its calls and retries.
RETRY_WINDOW_S = 60.0
RETRY_DELAY_MAX_S = 0.02

# Ejection of targets.
EJECT_FAILURES = 2
EJECT_S = 2.0
EJECT_MAX_S = 60.0
# Calls in flight above which slow start ends.
SLOW_START_END = 16
LATENCY_RATIO_GAIN = 0.3
LATENCY_RATIO_FLOOR_S = 0.05
SLOW_MIN_SAMPLES = 3
SLOW_RATIO_FACTOR = 2.0
# Maximum fraction of a service's targets that may be ejected as slow.
SLOW_EJECTED_MAX_FRACTION = 0.34

# Metrics and decision records.
METRICS_INTERVAL_S = 10.0
METRICS_DATAGRAM_BYTES = 1400
METRICS_MAX_TIMINGS = 1_000
MAX_DECISIONS = 8_192
DECISION_CAUSE_MAX_CHARS = 200

# Connections to targets and to the platform's store.
# Maximum idle time of a reused connection, also if the peer announces no
# timeout.
KEEP_ALIVE_MAX_S = 8.0
# Fraction of the peer's announced timeout for which an idle connection is
# reused.
KEEP_ALIVE_FRACTION = 0.7
IDLE_CONNECTIONS_PER_PEER = 64

# Interim responses (1xx) before a response.
MAX_INTERIM_RESPONSES = 16
# Most bytes of a response that is buffered, and of one event of a stream.
MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024
MAX_EVENT_BYTES = 256 * 1024
# Longest time for, and most bytes of, a response from the store or a router.
FETCH_MAX_S = 10.0
FETCH_MAX_BYTES = 16 * 1024 * 1024

# Bytes held for callers that read or send slowly.
# Memory of a router without held bytes, and the fraction of the rest of its
# limit that held bytes may take. The other half is for copies: a body that is
# collected is joined, and one that a target reads slowly is in its transport.
PROCESS_BASE_BYTES = 96 * 1024 * 1024
HELD_UNUSED_FRACTION = 0.5
# Least fraction of the limit, for a router with a very small one.
HELD_MIN_FRACTION = 0.05
# Fraction of the process's limit that one caller may take.
HELD_PER_CALLER_FRACTION = 0.25
# Fraction of a caller's limit up to which its target may send again.
HELD_RESUME_FRACTION = 0.5
# Size of one write to a caller, and of a block of held bytes.
HELD_BLOCK_BYTES = 64 * 1024
# Unsent bytes in a caller's transport above which it pauses. The default of
# twisted, 64 KiB, would be up to 130 MB for all connections.
CALLER_TRANSPORT_BYTES = 16 * 1024

# Events on standard output.
EVENT_LINES_PER_S = 400
EVENT_BUFFER_MAX_BYTES = 1_000_000
EVENT_FLUSH_INTERVAL_S = 0.25

# The platform's store.
# Consecutive failures after which the store is reported as lost.
STORE_LOST_AFTER_FAILURES = 2
FOLLOWER_RESTART_DELAY_S = 1.0
# Time after which a record that could not be applied is read again.
FOLLOWER_REREAD_S = 30.0
# Records that cannot be read whose reasons are remembered, so that each is
# logged once, and most characters of a reason.
MAX_UNREADABLE_RECORDS = 1000
MAX_REASON_LENGTH = 300
STORE_CALL_TIMEOUT_MAX_S = 0.6
# The timeout is the minimum plus this factor times the average response time.
STORE_CALL_TIMEOUT_MIN_S = 0.15
STORE_TIMEOUT_FACTOR = 5.0
# Maximum time without a byte within a response.
STORE_IDLE_TIMEOUT_S = 0.6
# Gain of the moving average for responses faster than the average; a slower one
# replaces it.
STORE_TIMEOUT_GAIN = 0.1
STORE_RETRY_MAX_S = 0.5
STORE_CONNECT_TIMEOUT_S = 0.7

# Targets of the gateway.
# Time after the store's recovery in which live targets can register again.
REREGISTRATION_GRACE_S = 2.0
# Number of removed incarnations whose last entries are remembered.
MAX_REMOVED_TARGETS = 1_024
# Longest time for which a target can ask for no calls.
TARGET_PAUSE_MAX_S = 3_600.0
# Number of incarnations whose requests for no calls are remembered.
MAX_TARGET_NOTICES = 1_024

# Grants of prepaid tokens.
# Outage of the store that a grant should cover.
GRANT_OUTAGE_S = 9.0
# Standard deviations of the use in that time, added to its mean.
GRANT_STANDARD_DEVIATIONS = 1.0
# Gain of the moving average of tokens per call.
GRANT_MEAN_CALL_GAIN = 0.1
# Part of a grant that may be used at once: the use in this time plus this many
# calls of mean size.
GRANT_BURST_S = 1.2
GRANT_BURST_CALLS = 2.0
# The rest becomes usable after a delay, at a constant rate over this time.
GRANT_REFILL_DELAY_S = 0.5
GRANT_REFILL_S = 8.0
# Age at which terms are renewed.
GRANT_RENEW_S = 0.9
# Boot times of a VM that differ by less than this are of the same boot.
SAME_BOOT_S = 0.05
GRANT_RATE_WINDOW_S = 4.0
# Time of traffic after which a router relies on its own usage rate alone.
# Before, the routers together request at least this fraction of each budget.
GRANT_OBSERVED_S = 8.0
GRANT_UNOBSERVED_FRACTION = 1 / 3
# Fraction of the remaining tokens that all routers together hold unused: the
# maximum while at least the plenty fraction of the budget is left, the minimum
# below the scarce fraction, and interpolated linearly in between.
GRANT_HELD_MAX_FRACTION = 0.6
GRANT_HELD_MIN_FRACTION = 0.05
GRANT_PLENTY_FRACTION = 0.55
GRANT_SCARCE_FRACTION = 0.25
# A smaller surplus is not worth a record that releases it.
GRANT_SURPLUS_MIN_TOKENS = 2_000
GRANT_REVIEW_INTERVAL_S = 1.0
# With more routers than this, each reviews its grants less often.
GRANT_ROUTERS_AT_FULL_RATE = 6
# Fraction of a budget below which routers read the log at each review.
GRANT_LOW_FRACTION = 0.25
# Longest delay after another router's append came first, if a call waits, and
# per router if none does.
GRANT_CONFLICT_DELAY_MAX_S = 0.02
GRANT_CONFLICT_DELAY_S_PER_ROUTER = 0.005
# Last fraction of a budget that is rationed after a restart, and the time in
# which use then falls to 1/e.
GRANT_RATIONED_FRACTION = 0.04
GRANT_RATION_TIME_CONSTANT_S = 10.0
# Age up to which a process rations.
GRANT_RATION_MAX_AGE_S = 20.0
# Time after which callers should retry if no tokens are left, and if none are
# available during an outage of the store.
GRANT_EXHAUSTED_RETRY_S = 5.0
GRANT_OUTAGE_RETRY_S = 3.0
# Routers of a data centre that hold a customer's unused tokens for all there.
HOLDERS_PER_DATA_CENTRE = 2
# In a fleet of at least this many routers, one router holds the last tokens of
# a budget: split over so many, they would lie in pieces smaller than a call.
CONSOLIDATION_MIN_ROUTERS = 12
# This begins when fewer tokens are left than some calls of mean size for each
# router use, but not below the first and not above the second fraction of the
# budget.
CONSOLIDATION_CALLS_PER_ROUTER = 1.0
CONSOLIDATION_LEAST_FRACTION = 0.15
CONSOLIDATION_MOST_FRACTION = 0.2
# Routers tried as primary holder, one after another.
MAX_PRIMARIES = 3
# Last fraction of a consolidated budget, kept for the most urgent calls.
URGENT_RESERVE_FRACTION = 0.05
# Time after which the others have given up their tokens; they renew their
# grants, and return what they have borrowed, in less.
CONSOLIDATION_SETTLE_S = 2.0
# Time for which that router waits for a grant that covers a loan.
CONSOLIDATED_LOAN_WAIT_S = 0.05
# Time for which calls are refused at once after that router had too few tokens.
NO_TOKENS_REFUSAL_S = 0.5
# Fraction of a call of mean size below which tokens are not worth a message.
LEAST_MOVED_CALL_FRACTION = 0.25
# Interval at which borrowed tokens that are not needed are returned.
TOKEN_RETURN_INTERVAL_S = 1.0
# Number of partitions over which customers' grants are distributed.
GRANT_PARTITIONS = 2
# After the store has come back from an older copy: time in which no router
# raises a grant, and time after which routers write again the records of others
# that have not done so.
GRANT_ERA_SETTLE_S = 4.0
GRANT_RESTORE_DELAY_S = 1.5
# Pause before routers that did not say which grants they have seen are asked
# again.
GRANTS_REPORT_RETRY_S = 0.3
# Other routers that are told of own grant records as they are written.
GRANT_NOTICE_COPIES = 1
# Witnesses of the limits up to which a router uses its grants.
MAX_WITNESSES = 3
# Processes, also former ones, whose stored limits a router remembers.
MAX_KNOWN_WITNESSES = 32
# Use that an announcement covers: this time's use plus this many calls.
ANNOUNCE_AHEAD_S = 1.0
ANNOUNCE_AHEAD_CALLS = 2.0
# Use for which announced tokens should be left; else more are announced.
ANNOUNCE_LOW_S = 0.25
# Interval of announcements while no call needs one.
ANNOUNCE_INTERVAL_S = 2.0
# Longest wait for witnesses; shorter than a borrower waits for its lender.
ANNOUNCE_WAIT_S = 0.08
# Time for which a router that did not answer is not used as a witness.
WITNESS_UNRESPONSIVE_S = 2.0
# Processes of one router whose limits a witness keeps.
WITNESSED_PROCESSES_PER_ROUTER = 8
# How long a starting router tries to get a witness's report, and the pause
# between two attempts.
PREDECESSOR_REPORT_WAIT_S = 1.0
PREDECESSOR_REPORT_RETRY_S = 0.1
# Loans between routers.
# Time limit for the whole search.
LOAN_SEARCH_TIMEOUT_S = 0.3
LOAN_MAX_LENDERS = 12
# Expected use that a loan should cover besides the tokens lacking.
LOAN_AHEAD_S = 2.0
# Time until the next search after one that found too few tokens.
LOAN_RETRY_DELAY_S = 0.3
# Time for which a router that did not respond is not asked again.
LOAN_UNRESPONSIVE_S = 2.0
# Attempts of a stopping router to send its tokens to a router that does not
# respond and may have received them.
HAND_OVER_ATTEMPTS = 2

# Messages to other routers.
PEER_TIMEOUT_S = 0.15

# Overload control of a router.
# Bytes of the headers around one message, which use the link, too.
PACKET_OVERHEAD_BYTES = 80
LINK_RATE_TIME_CONSTANT_S = 1.0
LOOP_DELAY_CHECK_INTERVAL_S = 0.1
# Gain of the moving average of the loop's delay.
LOOP_DELAY_GAIN = 0.2
# Delay of the loop that counts as a router that can carry no more.
LOOP_DELAY_FULL_LOAD_S = 0.1
OVERLOAD_REVIEW_INTERVAL_S = 0.1
# Loads above which a router asks for the others' reports and above which it
# leaves the rotation, and below which it may return.
OVERLOAD_WATCH_LOAD = 0.2
OVERLOAD_START_LOAD = 0.4
OVERLOAD_END_LOAD = 0.2
OVERLOAD_ASK_INTERVAL_S = 1.0
OVERLOAD_REPORT_TIMEOUT_S = 0.8
OVERLOAD_REPORT_TTL_S = 3.0
# A router has room for another one's callers with less than this part of the
# other one's load.
ROOM_LOAD_FRACTION = 0.5
# Maximum fraction of a data centre's routers that are out of rotation because
# of their load.
OUT_OF_ROTATION_MAX_FRACTION = 0.3
# An absence takes at least the minimum. It is twice as long as the last one, up
# to the maximum, if that ended less than the memory time ago.
ROTATION_ABSENCE_MIN_S = 5.0
ROTATION_ABSENCE_MAX_S = 40.0
ROTATION_ABSENCE_MEMORY_S = 10.0

# Placement at the gateway.
# Half-life of a target's reported load.
LOAD_HALF_LIFE_S = 0.5
# Load per slot added to targets in another data centre.
REMOTE_LOAD_PER_SLOT = 0.15
# A session leaves its target when that has more calls than this factor times
# the mean load plus the slack.
AFFINITY_LOAD_FACTOR = 1.4
AFFINITY_LOAD_SLACK = 2.0
# Ranks of targets for sessions that are kept instead of computed again.
MAX_CACHED_RANKS = 8_192
# Fraction of its share of retries that a router uses; the rest allows for
# other routers whose counting windows are slightly offset.
RETRY_BUDGET_FRACTION = 0.85
# An attempt is aborted, if the call may be retried, once its target has sent
# nothing for this many times the response time objective, or the objective for
# gaps between events.
STALL_OBJECTIVE_FACTOR = 2.5
STALL_GAP_FACTOR = 4.0
# How often a stalled attempt is reviewed while it could not go on elsewhere.
STALL_REVIEW_INTERVAL_S = 0.2
# Pause before a call whose target was given up for its silence tries all
# targets again.
SILENT_RETRY_PAUSE_S = 0.5

# Scheduling of calls at the gateway.
# Priority, for the order among waiting calls, of those without one.
UNSTATED_PRIORITY = 4
# Least time between two events about refused calls of a service.
OVERLOAD_EVENT_INTERVAL_S = 5.0
# Worth of an answer after its objective, relative to one before it.
LATE_VALUE = 0.3
# Fraction of its objective after which a waiting call is reviewed first.
WAIT_FIRST_REVIEW_FRACTION = 0.15
# Fraction of the first wait until each later review.
WAIT_REVIEW_FRACTION = 0.5
# Time after its objective up to which a call may wait for a late answer, as a
# fraction of the objective, if that were worth as much as one on time.
LATE_WAIT_FRACTION = 0.5
# Calls of a service that may wait at a router.
MAX_WAITING_CALLS = 256
# Interval at which targets are offered to waiting calls, besides each time that
# a call ends; it varies by up to half, so that routers don't do so in step.
SCHEDULE_INTERVAL_S = 0.02
# Calls that may be sent beyond the limit because they can't wait longer, as a
# fraction of the open ones.
OVERFLOW_FRACTION = 0.25
# Calls that are looked at for one that has room, in order.
MAX_EXAMINED_CALLS = 8
# Starts that a customer may be ahead of the least served one.
CUSTOMER_WINDOW_CALLS = 1.5
CUSTOMER_WEIGHT_MIN = 0.1
MAX_WEIGHTED_CUSTOMERS = 512
# Times over which a customer's usual and recent load are averaged.
USUAL_LOAD_MEMORY_S = 240.0
RECENT_LOAD_MEMORY_S = 3.0
# Multiples of its usual load above which a customer's calls are in excess. The
# lower ones are often passed by chance, as a router sees few calls; a customer
# that floods passes the highest.
EXCESS_LEVELS = (1.0, 1.5, 1.9)
USUAL_LOAD_MIN_PER_S = 0.05
# Fraction of a call in excess that counts toward the usual load, and the time
# after a customer's first call from which on this holds.
USUAL_LOAD_LEARNING_S = 30.0
EXCESS_USUAL_FRACTION = 0.3
# Callers return once after a refusal. The load of a customer is about its calls
# less this fraction of the refusals, some of which are second ones.
REFUSAL_UNCOUNTED_FRACTION = 0.7
# Control of the fraction of a service's calls that is admitted: change for each
# unit of excess load, at once and for each second.
ADMISSION_GAIN = 0.3
ADMISSION_INTEGRAL_GAIN_PER_S = 0.4
ADMISSION_MAX_STEP_S = 0.2
ADMISSION_MIN_FRACTION = 0.05
ADMISSION_OVERLOAD_FRACTION = 0.97
# Whether calls of services without a language model are scheduled too. Off: a
# call held in the router may be late although its target's queue had room.
SCHEDULE_PLAIN_SERVICES = False
# Calls for each slot, running and waiting, above which calls are refused.
ADMISSION_CALLS_PER_SLOT = 1.8
# The same for language model engines, which run all slots concurrently. Their
# predicted time to the first event is no measure: reading a long prompt takes
# half of its objective at an idle target too.
ADMISSION_MODEL_CALLS_PER_SLOT = 1.0
ADMISSION_LOAD_GAIN = 0.3
# Time over which the calls of each rank are counted, and the number from which
# on a priority counts as offered.
ADMISSION_MEMORY_S = 4.0
ADMISSION_RECENT_CALLS = 0.5
# Least fraction of a priority's calls that start, relative to the fraction of
# more urgent ones.
CLASS_SHARE_MIN = 0.1
CLASS_SHARE_GAIN = 0.05
# A refused caller returns within this fraction of the time that it has left, as
# callers don't wait longer.
RETRY_LEFT_FRACTION = 1 / 3
# Least part of that time; a caller that returns at once often finds the same
# overload.
RETRY_EARLIEST_FRACTION = 1 / 3
# Limit on a router's open calls at the targets of a service.
LIMIT_INITIAL_CALLS = 2.0
LIMIT_MIN_CALLS = 0.25
LIMIT_MAX_CALLS = 1024.0
LIMIT_GAIN = 0.2
# Calls by which the limit grows in the time that as many calls end.
LIMIT_GROWTH = 0.5
# The limit grows only if this fraction of it is used.
LIMIT_USED_FRACTION = 0.75
# Ratio of the mean to the least duration above which the limit shrinks.
LIMIT_SLOWDOWN_MAX = 2.5
LIMIT_SHRINK_MIN_FACTOR = 0.5
LIMIT_REJECTION_FACTOR = 0.7
LIMIT_SHRINK_PAUSE_MAX_S = 0.5
LEAST_DURATION_S = 0.001
# Fraction by which the least duration rises with each call.
LEAST_DURATION_RISE = 0.002
# Age after which a target's report no longer shows free slots.
SLOT_REPORT_MAX_AGE_S = 0.4
# Age after which a target's report no longer shows its queue.
QUEUE_REPORT_MAX_AGE_S = 1.0
USUAL_PACE = 100
# Deviations added to the mean duration of a call in predictions.
DURATION_DEVIATIONS = 1.5
# Duration of a call, relative to its objective, until one was measured.
INITIAL_DURATION_FRACTION = 0.25
# A late call is sent if the backlog at the best target is below this fraction
# of its objective.
LATE_BACKLOG_FRACTION = 0.5
# Calls for each slot, running and waiting, up to which no call is refused.
IDLE_CALLS_PER_SLOT = 0.75
# Part of the time until its objective in which the first event of a call must
# be predicted, as predictions from reports that are 100 ms old err.
PREDICTION_MARGIN_FRACTION = 0.8
# Time for which the prediction of the same call is used again.
PREDICTION_KEEP_S = 0.002
# A call is not refused if its predicted time to the first event is below this
# fraction of what its objective allows. The rest is kept for urgent calls.
IDLE_BACKLOG_FRACTION = 0.3

# Rate limits that targets state.
# A lower limit would never be seen to end.
RATE_LIMIT_MIN_PER_S = 0.05
# Permits that may be saved up, as a time at the full rate.
RATE_BURST_S = 0.5
# Fraction of all shares below which a router's unused permits expire.
RATE_STEADY_FRACTION = 0.25
# Time between two renewals of all leases, or the renewals a second if these
# are too many, and the renewals that a lease outlasts.
RATE_RENEW_MIN_S = 1.0
RATE_RENEWALS_PER_S = 50
RATE_LEASE_RENEWALS = 2.5
# Shortest suspension of a VM that ends leases sooner. Two clocks show it that
# are read one after the other, so that smaller differences are noise.
MIN_SUSPENSION_S = 0.01
# Failures in a row after which a router is passed by as coordinator, and for
# how long unless it asks meanwhile: twice as long after each further failure.
RATE_SUSPEND_FAILURES = 2
RATE_SUSPEND_S = 3.0
RATE_SUSPEND_MAX_S = 12.0
# Least time between two rounds of messages that spread news.
RATE_SPREAD_MIN_S = 0.1
RATE_PEER_TIMEOUT_S = 0.25
# Bounds on the time until a router asks for a permit again.
RATE_RETRY_MIN_S = 0.05
RATE_RETRY_MAX_S = 2.0
# The same while no share may be used, as leases change hands.
RATE_NO_SHARES_RETRY_S = 0.3

# Evacuations of data centres.
# Routers that get new statements, or are asked for theirs, at once. With three
# random recipients each, about 94% of the routers receive an update; the rest
# read the store or ask.
EVACUATION_FANOUT = 3
EVACUATION_PEER_TIMEOUT_S = 0.25
EVACUATION_CHECK_INTERVAL_S = 0.25
# Time without an answer of the store after which other routers are asked.
EVACUATION_STORE_SILENT_S = 1.0
# Longest time that a starting router waits for other routers' statements.
EVACUATION_START_WAIT_S = 1.0
# Publications that `chicory-ctl evacuate` tries while others come first.
EVACUATION_PUBLICATIONS_MAX = 5
# Time after which callers should retry whose targets' data centres are all
# evacuated; a range spreads them out.
EVACUATED_RETRY_RANGE_S = (0.5, 1.5)

# Cold targets.
# Bounds for settings without them.
COLD_OVERAGE = 1.5
COLD_SLACK_CALLS = 5.0
# Parts of the slack and of the overage, as a time in seconds, that permits may
# be saved up for.
COLD_BURST_SLACK_FRACTION = 0.4
COLD_BURST_OVERAGE_FRACTION = 0.2
# Fraction of its shares of a cold target's rate that a router with few shares
# uses, if one call of each such router is more than the bounds allow. Routers
# that are cut off from each other send at random times, so that their calls of
# one second may add up to more than the rate.
COLD_FEW_SHARES_FRACTION = 0.25
# Longest time for which a target can state that it stays cold.
COLD_MAX_S = 300.0
# A statement is forwarded only if it extends the cold time by at least this
# much, as messages take time.
COLD_EXTENSION_MIN_S = 0.5
# Time for which a coordinator takes another router's word that a target is
# cold, from its last request for a permit.
COLD_REQUEST_S = 2.0
# Time in which all routers that reach the store have read a new entry.
COLD_ENTRY_DELAY_S = 1.0
# Reads a second of one target's health by all routers together, the least time
# between two by one router, how often it looks for targets to read, and the
# longest wait for an answer.
HEALTH_READS_PER_S = 2
HEALTH_READ_MIN_S = 0.5
HEALTH_CHECK_S = 0.1
HEALTH_TIMEOUT_S = 0.5
# Time in which the load of a target that has turned warm rises, and its steps.
WARM_UP_S = 4.0
WARM_UP_STEPS = 8

# Streams that their callers take up again.
# How long a router remembers where a stream began, and of how many.
STREAM_ORIGIN_KEEP_S = 60.0
MAX_STREAM_ORIGINS = 16_384
# Routers that keep copies, and those that are told at most to find them.
STREAM_ORIGIN_COPIES = 2
STREAM_ORIGIN_MAX_TRIES = 5
# Time in which copies are sent, also while several versions serve.
STREAM_NOTICE_S = 0.5
STREAM_NOTICE_URGENT_S = 0.01
STREAM_PEER_TIMEOUT_S = 0.2
STREAM_PEER_SILENT_S = 2.0
# Age of a stream, as a multiple of the time that its caller or its route waits
# for a response, at most.
STREAM_AGE_TIMEOUTS = 2.0
# How long a router remembers versions that have gone, and for how much longer
# than a stream's age they count: a router that is cut off believes in them for
# as long as it cannot read the registry, and begins streams there.
STREAM_VERSION_KEEP_S = 600.0
STREAM_VERSION_BELIEF_S = 120.0
# Age up to which what was read of the registry of targets is current, and how
# often a caller that waits for a read checks for it.
REGISTRY_FRESH_S = 1.0
REGISTRY_FRESH_CHECK_S = 0.002
# Least time between two reads that streams wait for, also while the store does
# not answer. How long a stream waits for one before other routers are asked; if
# the store has not answered lately, and those routers, wait for less. How long
# it waits on if these can't tell; callers leave after a gap of two seconds.
REGISTRY_READ_GAP_S = 0.02
REGISTRY_RETRY_GAP_S = 0.1
RUN_READ_WAIT_S = 0.3
RUN_READ_SHORT_WAIT_S = 0.1
RUN_READ_LAST_WAIT_S = 1.0
# Routers that are asked first whether a target still runs as it did; if none of
# these can read the registry, all are asked, and one in so many may be silent.
RUN_ASKED_ROUTERS = 5
RUN_ROUTERS_PER_SILENT = 10

# Requests that crash targets.
# Time after a broken connection in which the target must be found down to
# count as crashed.
CRASH_CONFIRM_S = 1.0
# Delay between a broken connection and the probe of its target.
CRASH_PROBE_DELAY_S = 0.05
STRIKES_READ_PAUSE_S = 1.5

# Calls at the gateway.
# Time reserved for the response's way back to the caller.
RESPONSE_MARGIN_S = 0.02
NOT_READY_RETRY_S = 0.5
# Time after which refused callers should retry; a range spreads them out.
NO_TARGET_RETRY_RANGE_S = (0.2, 0.6)
NOT_RUN_RETRY_RANGE_S = (0.05, 0.3)
# How long a call waits for tokens.
GRANT_CALL_WAIT_S = 0.6
# Targets that may reject a call before it is refused.
MAX_REJECTIONS = 2
# Targets that may be unreachable before a call is refused.
MAX_UNREACHABLE_TARGETS = 5
# A call is not retried with less than this fraction of its objective left, as
# no target could respond in time.
MIN_OBJECTIVE_FRACTION = 0.25
TARGET_CONNECT_TIMEOUT_S = 0.4
# A call that has not ended this long after its deadline waits for something
# that an error of the router has lost. At the deadline it may still wait for a
# connection (0.4 s) or for two requests for permits (0.4 s each).
CALL_OVERDUE_S = 1.0

# Start, settings and shutdown of the gateway.
SETTINGS_CHECK_INTERVAL_S = 3.0
# A starting router waits this long for a settings file that is missing or
# half-written, and reads it at this interval.
SETTINGS_START_WAIT_S = 2.0
SETTINGS_START_RETRY_S = 0.05
CONFIG_READ_WAIT_S = 1.0
TARGETS_READ_PAUSE_S = 0.4
ROUTERS_READ_PAUSE_S = 5.0
# Times after the start at which the directory of routers is read besides, as
# several often start together.
ROUTERS_EARLY_READS_S = (0.2, 0.5, 1.0, 2.0, 3.0, 4.0)
# Minimum number of routers assumed until the directory has been read.
DEFAULT_ROUTER_COUNT = 8
# A stop's times as fractions of its grace period, with their bounds. At 8 s
# they are 2.5, 6.8 and 7.8 s after SIGTERM; docs/design/platform.md says why.
# A stopping router accepts connections for this long, until the load balancer,
# which asks once a second, has missed two answers.
DRAIN_MIN_S = 2.5
# Time after which a request is refused that may not end in time; at most
# DRAIN_MIN_S, as the users' rules excuse no cut of a request that was sent
# later than 3 s after SIGTERM.
DRAIN_REFUSE_FRACTION = 2.5 / 8
# Last part of the grace period, in which no call runs: callers read what is
# held for them, and tokens are handed over. It must be below a sixth, as
# the users' rules excuse no cut before the last sixth.
DRAIN_RESERVE_FRACTION = 0.15
DRAIN_RESERVE_MAX_S = 2.0
# Last part of the grace period, before which the process has ended by itself:
# timers are late under load, and the log is written at the end.
DRAIN_EXIT_FRACTION = 0.025
DRAIN_EXIT_MAX_S = 0.3
GRANT_RELEASE_TIMEOUT_S = 0.8
GRANT_RELEASE_CHECK_INTERVAL_S = 0.02

# Model of targets and placement by predicted time.
# Measurements that the prior of a learned figure counts for.
MODEL_PRIOR_MEASUREMENTS = 5.0
# Weight that a measurement keeps when the next one arrives: about the last 300
# count.
MODEL_MEASUREMENT_KEEP = 0.997
# Gains of the moving averages over the calls of a service, and over the reports
# and answers of one target.
MODEL_GAIN = 0.02
MODEL_TARGET_GAIN = 0.04
# Gain of the mean of a target's reported calls, which follows bursts.
MODEL_LOAD_GAIN = 0.3
# Time to the first event of calls with prompts: seconds, seconds per 1,000
# tokens to read, and seconds per running call; and typical features.
MODEL_FIRST_EVENT_PRIOR = (0.08, 0.012, 0.0005)
MODEL_FIRST_EVENT_SCALES = (1.0, 2.0, 8.0)
MODEL_RESPONSE_PRIOR_S = 0.06
MODEL_DURATION_PRIOR_S = 1.0
MODEL_PROMPT_PRIOR_TOKENS = 1_500.0
MODEL_READING_FRACTION_PRIOR = 0.25
MODEL_HELD_PRIOR_TOKENS = 2_000.0
# Shortest predicted time.
MODEL_MIN_S = 0.002
# Bounds on the learned and reported slowness of a target.
MODEL_SCALE_MIN = 0.1
MODEL_LOG_SPEED_MAX = 1.5
# A measured time counts at most as this many times the predicted one: more is
# the target's failure rather than its speed.
MODEL_OUTLIER_FACTOR = 4.0
# Half-lives of reported calls and of the reported pace, which changes within
# some hundred milliseconds.
MODEL_LOAD_HALF_LIFE_S = 0.5
MODEL_PACE_HALF_LIFE_S = 0.3
# Delay that a failure at a target adds to its predictions, and its half-life.
MODEL_FAILURE_DELAY_S = 1.0
MODEL_FAILURE_HALF_LIFE_S = 1.0
# Fraction of a target's memory that is left free, and the further fraction if
# its last report is this old or older.
MODEL_MEMORY_RESERVE = 0.08
MODEL_MEMORY_RESERVE_OLD = 0.25
MODEL_REPORT_OLD_S = 1.0
# Prompt parts that a router knows as cached, and for how long.
PREFIX_MAX_KNOWN_PARTS = 16_384
PREFIX_KEEP_S = 60.0
# Targets of a session's ranking that are compared, and others at random: of
# those for prompts of the same length, and of those for other lengths.
PREDICTED_RANKED_TARGETS = 6
PREDICTED_RANDOM_TARGETS = 2
# Costs that differ by less than this time plus this fraction count as equal.
PREDICTED_EQUAL_S = 0.004
PREDICTED_EQUAL_FRACTION = 0.05
# Delay of other calls, as a multiple of the time to read a prompt.
READING_COST_FACTOR = 3.0
# Round trip to a target in another data centre.
REMOTE_ROUND_TRIP_S = 0.003
# A target for prompts of another length must be better by this factor.
OTHER_LENGTHS_COST_FACTOR = 2.5
# Kinds of prompts differ in length if the longest's mean is at least this many
# times the shortest's.
LONG_PROMPT_MIN_RATIO = 3.0
# Fraction of a service's targets that long prompts prefer: the base, what their
# share of the tokens to read adds, and what the mean time to the first event of
# short prompts takes off beyond this multiple of their objective.
LONG_FRACTION_BASE = 0.35
LONG_FRACTION_PER_SHARE = 0.4
LONG_FRACTION_PER_LATENESS = 0.5
LONG_FRACTION_MIN = 0.2
SHORT_USED_OBJECTIVE = 0.5
# A later first event counts as one that used this multiple of its objective.
USED_OBJECTIVE_MAX = 2.0
# Gain of the averages behind the fraction: slow, as routers should agree.
LONG_SHARE_GAIN = 0.005
