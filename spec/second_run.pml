/* A streamed call whose run falls silent: a second run begins elsewhere, and the run that speaks first goes on.
 *
 * A silent target may go on or may have ended; the node cannot tell. An ended target's connection breaks late or not
 * at all before the deadline. Each run resumes behind the last event that the caller has.
 *
 * Properties
 *   next == last + 1       the caller gets each event once and in order
 *   runs <= ALLOWED        the call runs as often as its route allows, at most
 *   !(cut && running > 0)  an answer that has begun is cut only when no run of it is left
 *   writers <= 1           one run at a time writes to the caller
 *
 * Each switch (-D) removes one safeguard:
 *   CANCEL_SILENT     a silent run is ended before the second one has answered
 *   NO_CLAIM          each run forwards what it receives
 *   UNCOUNTED_RUN     the run in progress does not count when the second one is sent
 *   DOUBT_WHILE_WRITING  a run that is just writing to a slow caller can be doubted
 */

#define EVENTS 2
#define RUNS 3

#ifndef ALLOWED
#define ALLOWED 2
#endif
#define NOBODY 9

byte last;            /* event that the caller has */
byte runs;            /* that may have begun at a target */
byte running;         /* that have not ended */
byte speaker = NOBODY;
byte writers;
bool cut, done;
bool ending[RUNS];    /* the node has cancelled the run */
bool in_progress[RUNS];
byte resumed_at[RUNS];

#ifdef WITNESS
bool saw_first_wins, saw_second_wins, saw_stays;
#define SAW(x) x = true; if :: WITNESS -> assert(false) :: else fi
#else
#define SAW(x) skip
#endif

#ifdef DOUBT_WHILE_WRITING
#define MAY_DOUBT true
#else
#define MAY_DOUBT (writers == 0)
#endif

inline begin(r) {
  in_progress[r] = true;
  resumed_at[r] = last;
  runs++;
  running++;
  assert(runs <= ALLOWED)
}

inline end_run(r) {
  in_progress[r] = false;
  running--;
  if
  :: speaker == r -> speaker = NOBODY
  :: else
  fi
}

inline cancel_others(r) {
  byte other = 0;
  do
  :: other < RUNS ->
     if
     :: other != r && in_progress[other] -> ending[other] = true
     :: else
     fi;
     other++
  :: else -> break
  od;
  other = 0
}

/* One run: the target sends events, each as late as it likes, or breaks the run off. */
proctype stream_run(byte r) {
  byte next = resumed_at[r];
  bool may_write;
  do
  :: atomic { ending[r] -> end_run(r); break }
  :: atomic { !ending[r] -> end_run(r); break }            /* its target broke it off */
  :: atomic { !ending[r] && next < EVENTS ->
#ifdef NO_CLAIM
       may_write = true;
#else
       may_write = (speaker == NOBODY || speaker == r);
       if
       :: may_write ->
          if
          :: speaker == NOBODY && running > 1 ->
             if
             :: r == 0 -> SAW(saw_first_wins)
             :: else -> SAW(saw_second_wins)
             fi
          :: else
          fi;
          speaker = r;
          cancel_others(r)
       :: else
       fi;
#endif
       next++;
       if
       :: may_write -> writers++; assert(writers <= 1); assert(next == last + 1); last = next
       :: else -> ending[r] = true
       fi
     };
     /* The caller may read slowly. */
     atomic {
       if
       :: may_write -> writers--
       :: else
       fi
     }
  :: atomic { !ending[r] && next == EVENTS && speaker == r -> done = true; end_run(r); break }
  od
}

proctype node() {
  byte r = 0;
  atomic { begin(0); run stream_run(0) };
  do
  :: done -> break
  :: atomic { !done && running == 0 ->
       if
       :: runs < ALLOWED && r + 1 < RUNS -> r++; begin(r); run stream_run(r)
       :: cut = true; assert(!(cut && running > 0)); break
       fi
     }
  /* The node doubts the only run: it is silent, or so the node believes. */
  :: atomic { !done && running == 1 && r + 1 < RUNS && MAY_DOUBT && in_progress[r] && !ending[r] ->
       speaker = NOBODY;
#ifdef CANCEL_SILENT
       ending[r] = true;
       if
       :: runs < ALLOWED -> r++; begin(r); run stream_run(r)
       :: else -> cut = true; assert(!(cut && running > 0))
       fi
#else
       if
#ifdef UNCOUNTED_RUN
       :: runs - running < ALLOWED -> r++; begin(r); run stream_run(r)
#else
       :: runs < ALLOWED -> r++; begin(r); run stream_run(r)
#endif
       :: else -> SAW(saw_stays)
       fi
#endif
     }
  od
}

init { run node() }
