/* A call that a node without a path to the targets hands over to a peer.
 *
 * The call may run once at most. Its node tries one peer after the other until one takes it. A peer that cannot serve
 * it says so; one that can sends it to a target. A peer may end at any time, also between the run and its answer, and
 * a call that was given up by its node may still arrive. A target that ran the call may answer with a status that
 * promises "not run" and not state so. A peer replaces that answer; one of an earlier release passes it on.
 *
 * Properties
 *   runs <= 1                      the call runs at most once
 *   !(told_not_run && runs > 0)    a caller that was answered "not run" can rely on it
 *   hops <= 1                      a call that was handed over is not handed over again
 *
 * Each switch (-D) removes one safeguard:
 *   RESEND_UNKNOWN       a call without an answer is handed to the next peer
 *   UNKNOWN_IS_NOT_RUN   a call without an answer is answered "not run"
 *   PEER_HIDES_SEND      a peer whose target does not answer says that it did not take the call
 *   HAND_OVER_AGAIN      a peer that reaches no target hands the call over to another one
 *   FAILURE_IS_NOT_RUN   a node passes on the failure of a target that came from a peer of an earlier release
 */

#define PEERS 2

mtype = { call, answered, failure, not_taken };

chan to_peer[PEERS] = [PEERS] of { mtype, byte };
chan from_peer[PEERS] = [PEERS] of { mtype };

byte runs;
byte hops;
bool told_not_run;
bool given_up;

#ifdef WITNESS
bool saw_second_peer, saw_unknown, saw_late_run, saw_failure;
#define SAW(x) x = true; if :: WITNESS -> assert(false) :: else fi
#else
#define SAW(x) skip
#endif

/* ONLY_AT_MOST_ONCE omits the second property, for switches that violate both. */
#ifdef ONLY_AT_MOST_ONCE
#define CHECK assert(runs <= 1); assert(hops <= 1)
#else
#define CHECK assert(runs <= 1); assert(!(told_not_run && runs > 0)); assert(hops <= 1)
#endif

inline run_at_target() {
  atomic {
    runs++;
    if
    :: given_up -> SAW(saw_late_run)
    :: else
    fi;
    CHECK
  }
}

inline answer_not_run() {
  atomic {
    told_not_run = true;
    CHECK
  }
}

active proctype node() {
  byte peer = 0;
  mtype answer;

  do
  :: peer == PEERS -> answer_not_run(); break
  :: peer < PEERS ->
     if
     :: peer++ /* no connection to the peer: nothing was sent */
     :: to_peer[peer]!call(1);
        if
        :: from_peer[peer]?answer ->
           if
           :: answer == answered -> break
           :: answer == failure ->
              SAW(saw_failure);
#ifdef FAILURE_IS_NOT_RUN
              answer_not_run();
#endif
              break
           :: answer == not_taken -> peer++; SAW(saw_second_peer)
           fi
        :: true -> /* the deadline passes, or the connection breaks */
           given_up = true;
           SAW(saw_unknown);
#ifdef RESEND_UNKNOWN
           peer++
#elif defined(UNKNOWN_IS_NOT_RUN)
           answer_not_run(); break
#else
           break
#endif
        fi
     fi
  od
}

active [PEERS] proctype peer_node() {
  byte self = _pid - 1;
  byte hop;

end:
  do
  :: to_peer[self]?call(hop) ->
     if
     :: true -> break /* it ends and has sent nothing */
     :: true ->       /* it cannot serve the call */
#ifdef HAND_OVER_AGAIN
        atomic { hops = hop + 1; CHECK };
        to_peer[(self + 1) % PEERS]!call(hop + 1)
#else
        atomic { hops = hop; CHECK };
        from_peer[self]!not_taken
#endif
     :: true ->
        run_at_target();
        if
        :: from_peer[self]!answered
        :: from_peer[self]!failure /* by a peer of an earlier release */
        :: true -> /* the target does not answer, or the peer ends */
#ifdef PEER_HIDES_SEND
           from_peer[self]!not_taken
#else
           break
#endif
        fi
     fi
  od
}
