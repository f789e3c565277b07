/* The record of an idempotency key, which makes a request run at most once.
 *
 * Several attempts carry the same workspace and idempotency key: retries of a caller whose first attempt was not
 * answered, or accidental duplicates. Attempts 0 and 1 reach the same node, attempt 2 another one. The record is
 * inserted conditionally before anything is sent. The table may be slow (a write is applied after its caller
 * has given up), and its replies may be lost. A process that is never scheduled again models a dead node, one that is
 * scheduled late a paused node.
 *
 * Time is counted in ticks. Only the ratios of these bounds matter, not their lengths:
 *   SEND_WINDOW  an attempt may start its send at most this long after it arrived
 *   TRANSIT      the maximum time from the deadline check to the request's arrival at the target
 *   ANSWER       an attempt may be answered "not run" at most this long after it arrived
 *   RETRY        the maximum time after which a caller still repeats the key
 *   RETENTION    how long the record is kept: at least RETRY + ANSWER, and SEND_WINDOW + TRANSIT
 *
 * Properties
 *   runs <= 1                       the request runs at most once
 *   !(told_not_run && runs > 0)     a caller that was answered "not run" can rely on it, for all attempts with the key
 *
 * Each switch (-D) removes one safeguard:
 *   NO_KEYED_ROW          send without inserting the record
 *   ROW_AFTER_SEND        insert the record after the send
 *   OWNER_IS_NODE         the record names the node, not the attempt, as its owner
 *   LOST_REPLY_IS_MINE    a lost insert reply is treated as success, without reading back
 *   SEND_TWICE            the sender tries again when no answer arrives
 *   NO_DEADLINE_CHECK     the deadline is not checked again directly before the send
 *   EARLY_EXPIRY          the record expires after the send window, without allowing for transit and retries
 *   RETENTION_IS_RETRY    the record is kept for the retry time only: a late attempt inserts a new record
 *   LATE_NOT_RUN          "not run" is answered however late the record was inserted: an earlier record, whose
 *                         attempt ran, may have expired before
 *   OTHERS_CLOSE          a node that is not the owner closes an unfinished record as not run
 *   NO_SINGLE_DECISION    a timer answers "not run" while the sender is still able to send
 *   REFUSAL_IS_NOT_RUN    an attempt refused before its insert is answered "not run" for the key
 *   TAKE_OVER_NOT_RUN     a record closed as not run may be taken over by a later attempt
 *   TAKE_OVER_UNKNOWN     a duplicate takes over a record whose owner seems dead, and runs the request again
 *   FAILURE_IS_NOT_RUN    a target's failure whose status promises "not run" is passed on, also from the record
 * Limits (faults that the record cannot protect against; checked so that the documentation can state them):
 *   RETRY_AFTER_EXPIRY    the caller repeats the key after the record has expired
 *   TABLE_RESTORED        the table is restored from a copy older than the record
 */

#define ATTEMPTS 3
#define SEND_WINDOW 1
#define TRANSIT 1
#define ANSWER 2
#define RETRY 2
#ifdef EARLY_EXPIRY
#define RETENTION SEND_WINDOW
#elif defined(RETENTION_IS_RETRY)
#define RETENTION RETRY
#else
#define RETENTION (RETRY + ANSWER)
#endif
#define LAST_TICK 7
#define NODE(i) ((i) / 2)
#ifdef OWNER_IS_NODE
#define OWNER(i) NODE(i)
#else
#define OWNER(i) (i)
#endif

/* failure: done, by an answer of the target whose status promises "not run" though the target does not state so. */
mtype = { absent, in_progress, done, failure, not_run };

mtype row = absent;
byte row_owner;
byte row_expires;

byte clock;
byte runs;
bool told_not_run;

bool late_insert[ATTEMPTS]; /* a write that the table has not applied yet */
bool in_transit[ATTEMPTS];  /* deadline checked; the request is being sent or in the network */
byte arrives_by[ATTEMPTS];

/* Records that a situation occurred; compiled only into witness runs. */
#ifdef WITNESS
bool saw_late_insert, saw_run_after_late_insert, saw_woken_owner, saw_outcome, saw_failure, saw_closed, saw_expired_after_run;
#define SAW(x, condition) x = x || (condition)
#else
#define SAW(x, condition) skip
#endif

/* ONLY_AT_MOST_ONCE omits the second property, for switches that violate both. */
#ifdef ONLY_AT_MOST_ONCE
#define CHECK_NOT_RUN
#else
#define CHECK_NOT_RUN assert(!(told_not_run && runs > 0));
#endif

inline table_insert(id) {
  if
  :: row == absent ->
     row = in_progress; row_owner = OWNER(id); row_expires = clock + RETENTION
  :: else
  fi
}

inline answer_not_run() {
  told_not_run = true;
  CHECK_NOT_RUN
}

/* The clock is read after the table's reply. After the limit the answer is "unknown". */
inline answer_not_run_in_time() {
  if
#ifdef LATE_NOT_RUN
  :: true -> answer_not_run()
#else
  :: clock <= arrived + ANSWER -> answer_not_run()
  :: else
#endif
  fi
}

inline pass_on_failure() {
#ifdef FAILURE_IS_NOT_RUN
  answer_not_run()
#else
  SAW(saw_failure, row == failure) /* answered: unknown */
#endif
}

inline target_runs(id) {
  atomic {
    in_transit[id] = false;
    runs++;
    assert(runs <= 1);
    CHECK_NOT_RUN
    SAW(saw_run_after_late_insert, saw_late_insert)
  }
}

proctype attempt(byte id) {
  byte arrived;

  /* The request arrives. */
  atomic {
#ifdef RETRY_AFTER_EXPIRY
    clock <= LAST_TICK;
#else
    clock <= RETRY;
#endif
    arrived = clock
  };

  /* Admission may refuse it immediately: the attempt did not run, but other attempts with the key may have. */
  if
  :: true
  :: true ->
#ifdef REFUSAL_IS_NOT_RUN
     atomic { answer_not_run() };
#endif
     goto finished
  fi;

#if defined(NO_KEYED_ROW) || defined(ROW_AFTER_SEND)
  goto send;
#endif

claim:
  /* Conditional insert; the reply may be lost, or the write may be applied after its caller has given up. */
  atomic {
    if
    :: row == absent -> table_insert(id); goto owner
    :: row != absent -> goto read_back
    :: table_insert(id); goto lost_reply
    :: goto lost_reply
    :: late_insert[id] = true; goto lost_reply
    fi
  };

lost_reply:
#ifdef LOST_REPLY_IS_MINE
  goto owner;
#endif
read_back:
  atomic {
    if
    :: row == in_progress && row_owner == OWNER(id) -> goto owner
    :: row == not_run ->
#ifdef TAKE_OVER_NOT_RUN
       row = in_progress; row_owner = OWNER(id); goto owner
#else
       goto closed
#endif
    :: row == done -> SAW(saw_outcome, true); goto finished  /* the caller gets the recorded outcome */
    :: row == failure -> pass_on_failure(); goto finished
    :: row == absent -> goto finished                    /* answered: unknown */
    :: row == in_progress && row_owner != OWNER(id) ->   /* answered: in progress or unknown */
#ifdef OTHERS_CLOSE
       row = not_run; answer_not_run()
#endif
#ifdef TAKE_OVER_UNKNOWN
       row_owner = OWNER(id); goto owner
#endif
       ; goto finished
    fi
  };

owner:
  /* Hazard: a paused owner resumes here, long after its record has expired. */
  if
  :: goto send
  :: goto close
  fi;

send:
  /* The clock is read directly before the send; the request then arrives within TRANSIT or never. */
  atomic {
    if
#ifdef NO_DEADLINE_CHECK
    :: true ->
#else
    :: clock <= arrived + SEND_WINDOW ->
#endif
       in_transit[id] = true; arrives_by[id] = clock + TRANSIT
#ifndef NO_DEADLINE_CHECK
    :: clock > arrived + SEND_WINDOW ->
       SAW(saw_woken_owner, row == absent);
       goto close
#endif
    fi
  };
#ifdef NO_SINGLE_DECISION
  if
  :: true
  :: atomic { answer_not_run() }
  fi;
#endif
  if
  :: target_runs(id)
  :: atomic { in_transit[id] = false; goto unanswered } /* lost in transit */
  fi;
  if
  :: goto record
  :: goto unanswered
  fi;

unanswered:
  /* Whether the request ran is unknown. The record stays in progress, so it never runs again. */
#ifdef SEND_TWICE
  if
  :: true -> target_runs(id)
  :: true
  fi;
#endif
  goto finished;

record:
#ifdef ROW_AFTER_SEND
  atomic { table_insert(id) };
#endif
  atomic {
    if
    :: row == in_progress && row_owner == OWNER(id) -> row = done
    :: row == in_progress && row_owner == OWNER(id) -> row = failure; pass_on_failure()
    :: true /* table unavailable, or the record has expired */
    fi
  };
  goto finished;

close:
  /* From here on this attempt never sends. Only the owner of the record knows this, so only the owner closes it. */
  atomic {
    if
    :: row == in_progress && row_owner == OWNER(id) -> row = not_run; goto closed
    :: row == in_progress && row_owner == OWNER(id) -> row = not_run /* reply lost: answered unknown */
    :: true /* table unavailable, or the record has another owner: answered unknown */
    fi
  };
  goto finished;

closed:
  atomic { answer_not_run_in_time(); SAW(saw_closed, told_not_run) };

finished:
  skip
}

/* The table: late writes are applied, records expire, old copies are restored. */
active proctype table() {
  byte i;
end:
  do
  :: atomic { late_insert[0] -> late_insert[0] = false; SAW(saw_late_insert, true); table_insert(0) }
  :: atomic { late_insert[1] -> late_insert[1] = false; SAW(saw_late_insert, true); table_insert(1) }
  :: atomic { late_insert[2] -> late_insert[2] = false; SAW(saw_late_insert, true); table_insert(2) }
  :: atomic { row != absent && clock > row_expires -> row = absent; SAW(saw_expired_after_run, runs > 0) }
#ifdef TABLE_RESTORED
  :: atomic { row != absent -> row = absent }
#endif
  od
}

#define MAY_TICK(i) (!in_transit[i] || clock < arrives_by[i])

active proctype time() {
end:
  do
  :: atomic { clock < LAST_TICK && MAY_TICK(0) && MAY_TICK(1) && MAY_TICK(2) -> clock++ }
  od
}

#ifdef WITNESS
active proctype witness() {
  WITNESS;
  assert(false)
}
#endif

init {
  atomic {
    run attempt(0);
    run attempt(1);
    run attempt(2)
  }
}
