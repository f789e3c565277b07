/* Draining a replica without cutting a request.
 *
 * The row marks the replica as draining (even versions: serving, odd: draining; version 2 takes the first drain
 * back). Two nodes route by the newest row version they have heard of; a controller stops the engine. Nodes may
 * be cut off from the controller, be paused at any step, die with requests running, or be replaced by a node
 * that starts empty. The engine's load report is sampled earlier than it is read.
 *
 * Property
 *   !(stopping && running > 0), and a request that reaches a stopped engine is a cut too: cut == 0
 *
 * Safeguards (each can be removed by -D):
 *   NO_ACKNOWLEDGEMENT       the engine is stopped as soon as it reports empty
 *   SUSPICION_IS_DEATH       a node that cannot be reached counts as dead (only the platform's list proves death)
 *   CHECK_BEFORE_COUNT       a node checks the row first and counts the request as in flight afterwards: a node
 *                            that is paused with a request half sent acknowledges with nothing in flight
 *   STALE_EMPTY_REPORT       a load report sampled before the last acknowledgement counts
 *   NO_EMPTY_REPORT          acknowledgements alone are enough
 *   ACK_WITHOUT_VERSION      an acknowledgement of the drain that was taken back counts for the next one
 *   ACK_NAMES_NOBODY         an acknowledgement does not name the nodes its sender has met: the controller never
 *                            hears of a node that started late, was told an old row by a peer, and routes by it
 *   JOIN_WITHOUT_PEER        a new node routes by a row read long ago, before it has met a peer
 * Variant:
 *   REFUSING_ENGINE          the engine is told to refuse new work first, and refuses atomically
 */

#define NODES 2
#define DRAIN_VERSIONS 3
#define REQUESTS 2

#define DRAINING(v) ((v) % 2 == 1)

byte row_version;         /* the table's */
byte known[NODES];        /* newest row version each node has heard of */
byte in_flight[NODES];    /* counted from before the row is checked until the answer */
bool met[NODES];          /* the node is a replacement that its peer has met */
bool named[NODES];        /* ... and the peer's acknowledgement named it to the controller */
bool dead[NODES];
bool acked[NODES];        /* as heard by the controller */
byte acked_version[NODES];
byte requests_left = REQUESTS;
bool replaced_once;

byte running;    /* requests inside the engine */
bool refusing;   /* engine refuses new work */
bool stopped;
byte cut;

/* Marks that a situation came about; only in the runs that look for it. */
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

/* Hears of rows, acknowledges them, is replaced. */
proctype control(byte me) {
end:
  do
  :: atomic { !dead[me] && known[me] < row_version -> known[me] = row_version }
  :: atomic { /* acknowledges what it knows, with nothing in flight that it routed earlier */
       !dead[me] && in_flight[me] == 0 && DRAINING(known[me]) && acked_version[me] != known[me] ->
       acked[me] = true;
       acked_version[me] = known[me];
#ifndef ACK_NAMES_NOBODY
       named[1 - me] = named[1 - me] || met[1 - me]
#endif
     }
  :: atomic { /* A new node takes the place of a dead one and hears the row from its peer, which then knows it. */
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

/* Routes requests, one at a time; dies while one is in the engine. */
proctype sender(byte me) {
end:
  do
  :: atomic { !dead[me] && requests_left > 0 && !DRAINING(known[me]) ->
       requests_left--;
#ifndef CHECK_BEFORE_COUNT
       in_flight[me]++
#endif
     };
     /* Hazard: the node is paused with the request half sent, while the row moves on and it acknowledges. */
#ifdef CHECK_BEFORE_COUNT
     in_flight[me]++;
#else
     if
     :: atomic { DRAINING(known[me]) -> in_flight[me]--; goto end } /* re-checked before the send: not sent */
     :: !DRAINING(known[me])
     fi;
#endif
     atomic {
       SAW(saw_half_sent, DRAINING(row_version));
       if
       :: refusing -> in_flight[me]--; goto end /* proven not run */
       :: !refusing && stopped -> cut++; assert(cut == 0)
       :: !refusing && !stopped -> running++
       fi
     };
     if
     :: atomic { running > 0 -> running--; in_flight[me]-- }
     :: atomic { dead[me] = true; SAW(saw_death, true); in_flight[me] = 0 } /* the engine works on; see orphan */
     fi
  od
}

/* Requests of dead nodes end on their own. */
active proctype orphan() {
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
#define GONE(i) true
#else
#define GONE(i) was_dead[i] /* as the platform's list said when the controller read it */
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
  :: atomic { (ACKED(0) || (GONE(0) && !named[0])) && (ACKED(1) || (GONE(1) && !named[1])) -> break }
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
  /* The stop is conditional on the row version it acts for. */
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
