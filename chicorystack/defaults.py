"""The one place that lists defaults and fixed limits, with their units."""

import math

# Network.
LOOPBACK = "127.0.0.1"
HTTP_IDLE_TIMEOUT_S = 60.0
CONTROL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 5.0
CONNECTIONS_PER_HOST = 256

# Sizes of what callers may send.
MAX_HEADERS = 64
MAX_HEADER_BYTES = 16 * 1024
REQUEST_ARRIVAL_S = 15.0
CLIENT_STALL_S = 20.0
MAX_CONNECTIONS = 4096
SPARE_DESCRIPTORS = 64
MAX_BODY_BYTES = 256 * 1024
MAX_DROPPED_BODY_BYTES = 16 * 1024 * 1024
MAX_CALL_KEY_CHARS = 128
MAX_TOKENS_PER_CALL = 4096

# Calls.
# Fewest bytes of prompt text in a token, for the upper bound.
PROMPT_BYTES_PER_TOKEN = 2
MAX_IN_FLIGHT_PER_TARGET = 64
CALL_TIMEOUT_MS = 30_000
ANSWER_START_TIMEOUT_S = 5.0
MAX_CALL_TIMEOUT_MS = 300_000
RETRY_AFTER_MS = 1_000
KEY_WINDOW_S = 600.0
# Runs in the log. An owner appends at least so often while the log answers.
OWNER_PRESENCE_S = 5.0
# Longest silence of a lost owner that leaves no doubt about its last runs.
OWNER_SILENCE_S = 25.0
# Outage of the log after which an owner runs calls from memory, and for how
# long at most. Infinite is never: a finite one can run a key twice as yet, see
# docs/design/calls.md.
OWNER_MEMORY_AFTER_S = math.inf
OWNER_MEMORY_MAX_S = 1_800.0
# Most that one failed append counts towards an outage.
OUTAGE_STEP_MAX_S = 4.0
RUN_APPEND_INTERVAL_S = 0.02
RUN_NOTES_PER_APPEND = 500
# Appends a second that all owners of the fleet may make together.
FLEET_RUN_APPENDS_PER_S = 100.0
NOTED_BODY_MAX_BYTES = 2_048
# Least time that the owner of a key gets to say what became of it.
REFUSAL_TIMEOUT_S = 2.0

# How long bills are remembered; longer than any process reports usage.
BILL_WINDOW_S = 1_800.0
BILL_WINDOW_MAX_STEP_S = 10.0

# Platform.
LOG_READ_WAIT_MS = 2_000
LOG_READ_LIMIT = 500
LOG_RETRY_INITIAL_S = 0.2
LOG_RETRY_MAX_S = 5.0
LOG_RETENTION_S = 86_400.0
VM_LIST_POLL_S = 1.0
SHARD_REVIEW_S = 0.5

# Membership.
AGENT_POLL_S = 1.0
AGENT_POLL_TIMEOUT_S = 1.0
# How often an agent looks whether it has turned ready.
READY_REVIEW_S = 0.1
# How long a router goes by an agent's word, from the question on.
AGENT_WORD_VALID_S = 2.5
# How long a starting router looks for a target of each service before it
# says that it is ready without one.
SERVICE_SETTLE_S = 5.0
# Time after which every router knows that an agent is leaving.
LEAVE_KNOWN_S = 3.0
# Time for the platform's balancer to see that a router is not ready.
BALANCER_NOTICE_S = 3.0
FLUSH_TIMEOUT_S = 5.0
LEAVING_ROUTER_KEPT_S = 10.0

# Quarantine.
QUARANTINE_STRIKES = 3
TARGET_PROBE_TIMEOUT_S = 0.5
TARGET_PROBE_PAUSE_S = 0.1
TARGET_PROBES = 2
QUARANTINE_S = 600.0
STRIKES_KEPT = 256
COMPLETED_KEPT = 4_096
COMPLETED_REMEMBERED_S = 60.0

# Configuration.
CONFIG_POLL_S = 1.0
CONFIG_PEER_TIMEOUT_S = 1.0
# Routers that a process asks in turn.
CONFIG_PEERS = 4
CONFIG_READERS_PER_DATA_CENTRE = 3
CONFIG_KEEP_GRACE_S = 60.0
# Versions whose publication's id is remembered.
CONFIG_WINNERS_KEPT = 1_000

# Budgets.
# How long a repeated id of a top-up or customer is told.
OPERATOR_RECORD_WINDOW_S = 30 * 86_400.0
SNAPSHOT_PART_CHARS = 200_000
# A snapshot is due after this part of the log's retention.
SNAPSHOT_RETENTION_DIVISOR = 4
DEFAULT_BUDGET = "main"
SHARD_COUNT = 4
USAGE_REPORT_INTERVAL_S = 0.2
CUSTOMER_CACHE_S = 60.0
GRANT_WAIT_S = 2.0
KEEPER_SEARCH_S = 2.0
KEEPER_SEARCH_PAUSE_S = 0.1
BUDGET_RETRY_AFTER_MS = 60_000
# How long a stopping router tries to give its tokens back.
HAND_BACK_S = 5.0
# Least time between two reads to the end of a stream before a refusal.
REFRESH_MIN_S = 0.25
# Appends a second of all keepers together.
KEEPER_APPENDS_PER_S = 200

# Part of a budget over which a router's recent use fades.
USE_MEMORY_PART = 0.05
LEAST_USE_TOKENS = 1.0
# Most holders that are asked to give tokens back for another's call.
RECALL_MAX_HOLDERS = 8
RECALL_WAIT_S = 0.4
RECALL_CHECK_S = 0.02

# Settlement of what gone routers held.
SETTLE_INTERVAL_S = 1.0
CLAIM_RETRY_INITIAL_S = 1.0
CLAIM_RETRY_MAX_S = 60.0
# Least time between two epochs that a keeper claims for settlement.
SETTLE_EPOCH_MIN_S = 120.0
# Time between looks for holders that say nothing more.
HOLDER_PROBE_S = 60.0
# A holder that stays unreachable for so long is settled without it.
HOLDER_LOST_S = 900.0
# Keepers tell agents of closures directly; this finds what they missed.
CLOSURES_READ_PAUSE_S = 30.0
AGENT_PRESENT_INTERVAL_S = 21_600.0
# Usage older than this may have been billed and forgotten.
USAGE_BILLABLE_S = 1_200.0
USAGE_TABLE_MAX_ENTRIES = 20_000

# Agents.
LOAD_REPORT_INTERVAL_S = 0.5
DRAIN_CHECK_S = 0.05
KEPT_ANSWERS_MAX_BYTES = 4 * 1024 * 1024
KEPT_STREAMS_MAX_BYTES = 4 * 1024 * 1024
MAX_KEYS_PER_AGENT = 100_000

# Routing.
TARGETS_PER_ROUTER = 16
PICK_SAMPLE = 3
# Part of a target's limit by which another data centre's must be freer.
OTHER_DATA_CENTRE_LOAD = 0.1
QUEUE_WAIT_MAX_S = 0.4
# A call waits only where so many times its expected wait is allowed, as the
# pace varies and a late refusal helps nobody.
WAIT_MARGIN = 4.0
# For a call of a customer within its fair share.
SHARE_WAIT_MAX_S = 1.0
# Age of a report from which a call may try whether a target has room.
PROBE_AGE_S = 0.1
PROBE_INTERVAL_S = 0.02
PRIORITY_HEAD_START_S = 0.4
RANK_MIX_GAIN = 0.05
LEAST_PACE_PART = 0.02
# Calls by which one customer may run ahead of another while both wait.
FAIR_WINDOW_CALLS = 2.0
TIMING_GAIN = 0.1
START_BOUND_MIN_S = 0.5
STALL_BOUND_MIN_S = 0.5
STALL_GAPS = 10
MAX_ATTEMPTS = 3
RETRIES_PER_CALL = 0.1
RETRY_BUDGET_MAX = 20
# Span over which a router counts its calls and retries.
RETRY_WINDOW_S = 60.0
RETRY_DELAY_MAX_S = 0.02

# Ejection of targets.
EJECT_FAILURES = 2
EJECT_S = 2.0
EJECT_MAX_S = 60.0
RAMP_END = 16
SLOWNESS_GAIN = 0.3
SLOWNESS_FLOOR_S = 0.05
SLOW_SAMPLES = 3
SLOW_FACTOR = 2.0
# Most of a service's targets that may be ejected as slow.
SLOW_EJECTED_MAX = 0.34

# Observation.
METRICS_INTERVAL_S = 10.0
METRICS_DATAGRAM_BYTES = 1400
METRICS_MAX_TIMINGS = 1_000
DECISIONS_KEPT = 8_192
DECISION_CAUSE_MAX_CHARS = 200

# Connections to targets and to the platform's store.
# How long an idle connection is used again where its peer says nothing.
PEER_KEEP_ALIVE_S = 8.0
# Part of the time that a peer promises to keep an idle connection.
KEEP_ALIVE_PART = 0.7
IDLE_CONNECTIONS_PER_PEER = 64

# Events on standard output.
EVENT_LINES_PER_S = 400
EVENT_PENDING_BYTES = 1_000_000
EVENT_FLUSH_S = 0.25

# The platform's store.
STORE_LOST_AFTER_FAILURES = 2
FOLLOWER_RESTART_S = 1.0
STORE_CALL_TIMEOUT_S = 0.6
# The time-out is the least one and so many usual answer times.
STORE_CALL_TIMEOUT_LEAST_S = 0.15
STORE_TIMEOUT_FACTOR = 5.0
# Longest time without a byte in the middle of an answer.
STORE_SILENCE_S = 0.6
STORE_TIMEOUT_GAIN = 0.1
STORE_RETRY_MAX_S = 0.5
STORE_CONNECT_TIMEOUT_S = 0.7

# Targets of the gateway.
# Time after the store's return in which a target that lives registers again.
REENTRY_GRACE_S = 2.0

# Grants of prepaid tokens.
# Outage of the store that a grant is meant to outlast.
GRANT_HORIZON_S = 9.0
# Standard deviations of what calls use in that time, held besides.
GRANT_SPREADS = 1.0
GRANT_USUAL_CALL_GAIN = 0.1
# Part of a grant that may be used at once: what is used in a time, and some
# calls of usual size.
GRANT_BURST_S = 0.5
GRANT_BURST_CALLS = 2.0
# The rest may be used evenly over a time that begins after a delay.
GRANT_PACE_DELAY_S = 0.5
GRANT_PACE_S = 8.0
# How old terms may be before they are renewed.
GRANT_RENEW_S = 0.9
# Two boots of a VM that began within this time are taken for one.
SAME_BOOT_S = 0.05
GRANT_RATE_WINDOW_S = 4.0
# Traffic after which a router goes by its own calls alone; before, routers
# together would like to hold a part of each budget.
GRANT_OBSERVED_S = 8.0
GRANT_UNOBSERVED_PART = 1 / 3
# Parts of what is left of a budget that routers hold together unused: most
# while much of the budget is left, least when little is.
GRANT_HELD_MOST = 0.6
GRANT_HELD_LEAST = 0.05
GRANT_PLENTY_LEFT = 0.55
GRANT_SCARCE_LEFT = 0.25
# Unused tokens that are not worth a record that gives them back.
GRANT_SURPLUS_MIN = 2_000
GRANT_REVIEW_S = 1.0
# Routers from whose number on each reviews less often.
GRANT_ROUTERS_AT_FULL_PACE = 6
# Part of a budget below which routers look each review at what is left.
GRANT_SHORT_PART = 0.25
# Longest pause after another router was faster, if a call waits, and for each
# router if none does.
GRANT_CONFLICT_DELAY_MAX_S = 0.02
GRANT_CONFLICT_DELAY_S_PER_ROUTER = 0.005
# Part of a budget that is spread over time after a restart, and the time in
# which use falls to 1/e then.
GRANT_RATIONED_PART = 0.04
GRANT_RATION_S = 10.0
# Age of a process up to which it rations.
GRANT_RATION_AGE_S = 20.0
# When callers may come back for whom no tokens are left, or none while the
# store is away.
GRANT_SHORT_RETRY_S = 5.0
GRANT_OUTAGE_RETRY_S = 3.0
# Partitions over which customers' grants are spread.
GRANT_PARTITIONS = 2
# Loans between routers.
# Longest wait for one router, and for all that are asked.
LOAN_TIMEOUT_S = 0.15
LOAN_SEARCH_S = 0.3
LOAN_LENDERS_MOST = 4
# Own use that a loan should cover besides what is lacking.
LOAN_AHEAD_S = 2.0
# Time without another try after none had tokens.
LOAN_PAUSE_S = 0.3
# Time in which a router that did not answer is not asked again.
LOAN_SILENT_S = 2.0
# How often a router that stops sends its tokens to one that may have them.
HAND_OVER_TRIES = 2

# Placement at the gateway.
# Time in which half of what a target told of its load is forgotten.
LOAD_HALF_LIFE_S = 0.5
# Load for its size that a target in another data centre counts as having.
FAR_TARGET_LOAD = 0.15
# A session leaves its target where that has more than this times the mean
# load, and this many calls.
AFFINITY_LOAD_FACTOR = 1.4
AFFINITY_LOAD_SLACK = 2.0
# Part of its share of further attempts that a router uses; the rest covers
# routers that count calls of a moment before.
RETRY_BUDGET_PART = 0.85
# A target that says nothing for so many times the objective, or the longest
# pause between events, is given up where another may take the call.
SILENCE_OBJECTIVES = 2.5
SILENCE_GAPS = 4.0

# Requests that crash targets.
# Time in which a target must be found dead after a connection to it broke.
CRASH_CONFIRM_S = 1.0
# Time after which the router looks whether it still takes connections.
CRASH_PROBE_DELAY_S = 0.05
STRIKES_READ_PAUSE_S = 1.5

# Calls at the gateway.
# Time that an answer needs on its way back to the caller.
CALLER_MARGIN_S = 0.02
NOT_READY_RETRY_S = 0.5
# When refused callers may come back; a range spreads them over time.
NO_TARGET_RETRY_RANGE_S = (0.2, 0.6)
NOT_RUN_RETRY_RANGE_S = (0.05, 0.3)
# How long a call waits for tokens.
GRANT_CALL_WAIT_S = 0.6
# Targets that may reject a call before it is refused.
MAX_REJECTIONS = 2
# Targets that may be unreachable before a call is refused.
MAX_UNREACHED = 5
# Part of the objective below which no target could answer in time.
LEAST_OBJECTIVE_PART = 0.25
TARGET_CONNECT_TIMEOUT_S = 0.4

# A router's life at the gateway.
SETTINGS_REVIEW_S = 3.0
CONFIG_READ_WAIT_S = 1.0
TARGETS_READ_PAUSE_S = 0.4
ROUTERS_READ_PAUSE_S = 5.0
# Routers that share a budget, until their number is known.
ROUTERS_ASSUMED = 8
# A stopping router takes new callers so long, until the balancer has seen it.
DRAIN_LEAST_S = 2.5
# Time kept of the grace period for handing tokens back and closing.
DRAIN_RESERVE_S = 1.2
HAND_BACK_TIMEOUT_S = 0.8
GIVE_BACK_CHECK_S = 0.02
