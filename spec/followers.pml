/* Which hub counts a node as its follower (admission/hub_followers).
 *
 * Each hub issues grants for warming targets at the share of the rate that its followers have in the nodes of the data
 * centre. The shares of all hubs add up to at most one if no node counts at two hubs at once, so one node suffices here.
 * The node may change its hub at any time. Its heartbeats name the hub and echo the newest stamp received from it; they
 * may be lost or delayed without limit, as when a hub is suspended. Time is in ticks.
 *
 * Property
 *   !twice: no node counts at two hubs at the same time
 *
 * Each switch (-D) removes one safeguard:
 *   NO_FOLLOWER_RULE  a hub counts each node that it hears, whichever hub the node names
 *   NO_PAUSE          a node names its new hub at once
 *   FROM_ARRIVAL      a hub takes the arrival of a heartbeat for its age, not the echoed stamp
 *   NO_EXPIRY         a node counts until it is heard to name another hub
 *
 * WITNESS: a node counts at the second hub after it has counted at the first
 */

#define MESSAGES 1 /* in transit simultaneously to each hub */
#define PAUSE 2    /* ticks; also the age at which a heartbeat no longer counts */
#define END 7      /* ticks */

byte now = 1;
byte hub = 1;        /* of the node */
byte changed_at = 1;
byte stamp[3];       /* newest stamp of each hub that the node has received; 0: none */
byte valid_from[3];  /* at each hub, of the newest heartbeat that names it; 0: none */
bool twice;
#ifdef WITNESS
bool counted_by_first;
#endif

chan channel[3] = [MESSAGES] of { byte, byte }; /* to each hub: named hub, echoed stamp */

#ifdef NO_PAUSE
#define NAMES (true)
#else
#define NAMES (now >= changed_at + PAUSE)
#endif

#ifdef NO_EXPIRY
#define COUNTS(h) (valid_from[h] > 0)
#else
#define COUNTS(h) (valid_from[h] > 0 && now < valid_from[h] + PAUSE)
#endif

inline check() {
  if
  :: COUNTS(1) && COUNTS(2) -> twice = true
  :: else -> skip
  fi;
#ifdef WITNESS
  if
  :: COUNTS(1) -> counted_by_first = true
  :: COUNTS(2) && counted_by_first -> assert(false)
  :: else -> skip
  fi;
#endif
  assert(!twice)
}

inline take(receiver, named, echo) {
  if
#ifdef NO_FOLLOWER_RULE
  :: echo > 0 ->
#else
  :: named == receiver && echo > 0 ->
#endif
     if
#ifdef FROM_ARRIVAL
     :: true -> valid_from[receiver] = now
#else
     :: echo > valid_from[receiver] -> valid_from[receiver] = echo
     :: else -> skip
#endif
     fi
  :: named != receiver -> valid_from[receiver] = 0
  :: else -> skip
  fi;
  check()
}

inline send(receiver) {
  if
  :: NAMES -> channel[receiver] ! hub, stamp[receiver]
  :: else -> channel[receiver] ! 0, stamp[receiver]
  fi
}

proctype clock() {
end:
  do
  :: atomic { now < END -> now++; check() }
  od
}

proctype node() {
  byte to;
end:
  do
  :: atomic { now < END -> hub = 3 - hub; changed_at = now }
  :: atomic { stamp[1] < now && now < END -> stamp[1] = now }
  :: atomic { stamp[2] < now && now < END -> stamp[2] = now }
  :: atomic { nfull(channel[1]) -> to = 1; send(to); to = 0 }
  :: atomic { nfull(channel[2]) -> to = 2; send(to); to = 0 }
  od
}

proctype hubs() {
  byte named, echo;
end:
  do
  :: atomic { channel[1] ? named, echo -> take(1, named, echo); named = 0; echo = 0 }
  :: atomic { channel[2] ? named, echo -> take(2, named, echo); named = 0; echo = 0 }
  :: atomic { channel[1] ? named, echo -> named = 0; echo = 0 } /* lost */
  :: atomic { channel[2] ? named, echo -> named = 0; echo = 0 }
  od
}

init {
  atomic { run clock(); run node(); run hubs() }
}
