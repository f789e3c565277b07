/* Draining a replica without interrupting a request.
 *
 * The row marks the replica as draining (even versions: serving, odd: draining; version 2 cancels the first drain).
 * Two nodes route by the newest row version they have received; a controller stops the engine. Nodes may be
 * partitioned from the controller, be paused at any step, fail with requests running, or be replaced by a node that
 * starts without state. The engine's load report is sampled earlier than it is read.
 *
 * Property
 *   cut == 0   no request is running when the engine is stopped, and none reaches a stopped engine
 *
 * Each switch (-D) removes one safeguard:
 *   NO_ACKNOWLEDGEMENT       the engine is stopped as soon as it reports that it is empty
 *   SUSPICION_IS_DEATH       an unreachable node counts as dead (only the platform's list proves that it is)
 *   CHECK_BEFORE_COUNT       a node checks the row first and counts the request as in flight afterwards: a node that
 *                            is paused before the send acknowledges the drain with nothing in flight
 *   STALE_EMPTY_REPORT       a load report sampled before the last acknowledgement counts
 *   NO_EMPTY_REPORT          acknowledgements alone are enough
 *   ACK_WITHOUT_VERSION      an acknowledgement of the cancelled drain counts for the next one
 *   ACK_NAMES_NOBODY         an acknowledgement does not name the nodes that its sender knows: the controller does not
 *                            learn of a node that started late, got an old row from a peer, and routes by it
 *   JOIN_WITHOUT_PEER        a new node routes by a row that was read long ago, before it has contacted a peer
 * Variant:
 *   REFUSING_ENGINE          the engine is first ordered to refuse new requests, and refuses atomically
 */

#define NODES 2
#define DRAIN_VERSIONS 3
#define REQUESTS 2

#define DRAINING(v) ((v) % 2 == 1)

byte row_version;         /* in the table */
byte known[NODES];        /* newest row version that each node has received */
byte in_flight[NODES];    /* counted from before the row is checked until the answer */
bool met[NODES];          /* the node is a replacement that its peer knows of */
bool named[NODES];        /* ... and the peer's acknowledgement named it to the controller */
bool dead[NODES];
bool acked[NODES];        /* acknowledgements received by the controller */
byte acked_version[NODES];
byte requests_left = REQUESTS;
bool replaced_once;

byte running;    /* requests inside the engine */
bool refusing;   /* the engine refuses new requests */
bool stopped;
byte cut;        /* interrupted requests */

/* Records that a situation occurred; compiled only into witness runs. */
#ifdef WITNESS
bool saw_stop, saw_stop_after_cancel, saw_half_sent, saw_death;
#define SAW(x, condition) x = x || (condition)
#else
#define SAW(x, condition) skip
#endif

inline stop_engine() {
  stopped = true;
  cut = cut + running;
  SAW(saw_stop, true);
  SAW(saw_stop_after_cancel, row_version == 3);
  assert(cut == 0)
}

/* A node receives rows, acknowledges drains, and is replaced. */
proctype control(byte me) {
end:
  do
  :: atomic { !dead[me] && known[me] < row_version -> known[me] = row_version }
  :: atomic { /* acknowledges the drain it knows of, once no earlier request is in flight */
       !dead[me] && in_flight[me] == 0 && DRAINING(known[me]) && acked_version[me] != known[me] ->
       acked[me] = true;
       acked_version[me] = known[me];
#ifndef ACK_NAMES_NOBODY
       named[1 - me] = named[1 - me] || met[1 - me]
#endif
     }
  :: atomic { /* A new node replaces a dead one and gets the row from its peer, which then knows the new node. */
       dead[me] && !dead[1 - me] && !replaced_once ->
       replaced_once = true;
       dead[me] = false;
       acked[me] = false;
       acked_version[me] = 0;
#ifdef JOIN_WITHOUT_PEER
       known[me] = 0
#else
       known[me] = known[1 - me];
       met[me] = true
#endif
     }
  od
}

/* A node routes requests, one at a time; it may die while one is in the engine. */
proctype sender(byte me) {
end:
  do
  :: atomic { !dead[me] && requests_left > 0 && !DRAINING(known[me]) ->
       requests_left--;
#ifndef CHECK_BEFORE_COUNT
       in_flight[me]++
#endif
     };
     /* Hazard: the node is paused before the send, while the row changes and its control process acknowledges. */
#ifdef CHECK_BEFORE_COUNT
     in_flight[me]++;
#else
     if
     :: atomic { DRAINING(known[me]) -> in_flight[me]--; goto end } /* checked again before the send: not sent */
     :: !DRAINING(known[me])
     fi;
#endif
     atomic {
       SAW(saw_half_sent, DRAINING(row_version));
       if
       :: refusing -> in_flight[me]--; goto end /* known not to have run */
       :: !refusing && stopped -> cut++; assert(cut == 0)
       :: !refusing && !stopped -> running++
       fi
     };
     if
     :: atomic { running > 0 -> running--; in_flight[me]-- }
     :: atomic { dead[me] = true; SAW(saw_death, true); in_flight[me] = 0 } /* the engine goes on; see orphaned_requests */
     fi
  od
}

/* Requests of dead nodes end on their own. */
active proctype orphaned_requests() {
end:
  do
  :: atomic { running > in_flight[0] + in_flight[1] -> running-- }
  od
}

active proctype operator() {
  do
  :: atomic { row_version < DRAIN_VERSIONS && !stopped -> row_version++ }
  :: break
  od
}

#ifdef ACK_WITHOUT_VERSION
#define ACKED(i) acked[i]
#else
#define ACKED(i) (acked[i] && acked_version[i] == drain_version)
#endif
#ifdef SUSPICION_IS_DEATH
#define CONSIDERED_DEAD(i) true
#else
#define CONSIDERED_DEAD(i) was_dead[i] /* according to the platform's list when the controller read it */
#endif

active proctype controller() {
  byte drain_version;
  bool seen_empty;
  bool was_dead[NODES];

again:
  atomic { DRAINING(row_version) -> drain_version = row_version; seen_empty = false };
#ifdef STALE_EMPTY_REPORT
  atomic { seen_empty = (running == 0) };
#endif
#ifdef REFUSING_ENGINE
  atomic { refusing = true };
#endif
#ifndef NO_ACKNOWLEDGEMENT
  atomic { was_dead[0] = dead[0]; was_dead[1] = dead[1] };
  do
  :: atomic { (ACKED(0) || (CONSIDERED_DEAD(0) && !named[0])) && (ACKED(1) || (CONSIDERED_DEAD(1) && !named[1])) -> break }
  :: atomic { dead[0] && !was_dead[0] -> was_dead[0] = true; named[0] = false }
  :: atomic { dead[1] && !was_dead[1] -> was_dead[1] = true; named[1] = false }
  :: row_version != drain_version -> goto again
  od;
#endif
#if !defined(STALE_EMPTY_REPORT) && !defined(NO_EMPTY_REPORT)
  atomic { running == 0 -> seen_empty = true };
#endif
#ifdef NO_EMPTY_REPORT
  seen_empty = true;
#endif
  /* The stop is conditional on the row version that it is based on. */
  atomic {
    if
    :: row_version == drain_version && seen_empty -> stop_engine()
    :: else -> refusing = false; goto again
    fi
  }
}

init {
  atomic { run control(0); run sender(0); run control(1); run sender(1) }
}

#ifdef WITNESS
active proctype witness() {
  WITNESS;
  assert(false)
}
#endif
