/* Accepting a configuration and keeping it in force.
 *
 * One head row {version, content, recent proposals} changed by conditional write; contents live in the object
 * store. Two nodes; three proposals, made through either node, the last two racing. A write may be refused,
 * lose its reply, or land later than its caller waits. The table may be restored once from an old copy. One node
 * may be replaced by one that knows nothing. Nodes are paused at any step.
 *
 * A content is identified by its proposal. `lineage[c]` is the set of proposals that c was built on, c included:
 * going from x to y reverts an accepted proposal a when a is in the lineage of x and not in that of y.
 *
 * Properties
 *   !reverted        no node goes from a configuration with an accepted proposal to one without it, and no
 *                    later accepted proposal lacks it
 *   !twice           a proposal is not applied a second time over newer ones
 *   !missing         a configuration in force has its content in the object store
 *   !denied          a proposal told "rejected" is not in force afterwards
 *
 * Safeguards (each can be removed by -D):
 *   UNCONDITIONAL_WRITE    the head is written without checking its version
 *   STEP_DOWN              a node follows the head to a lower version
 *   WRITE_ON_LOWER_HEAD    a proposal is written on a head older than its node knows, instead of healing it
 *   HEAL_WITHOUT_RECENT    the healed head loses the list of recent proposals
 *   RETRY_LOST_REPLY       after a lost reply the proposal is written again, without reading back
 *   SHORT_LIST             the recent list is shorter than the writes that can pass while a proposer waits,
 *                          and absence from it is taken for "not applied"
 *   LATE_WRITE_IS_REJECTED after a lost reply, absence from the list at an unchanged version is taken for "not
 *                          applied": the write may still land
 *   REJECT_AT_ONCE         after a lost reply "rejected" is told as soon as the head has moved on: a restored head
 *                          brings the base back and the late write lands
 *   REJECT_BY_HEAD_ALONE   "rejected" is told though a node holds the proposal: the head had it, a node read it, and a
 *                          restored copy has replaced the head since
 *   START_WITHOUT_PEER     a new node trusts the table before it has asked a peer
 *   ACCEPT_BEFORE_PEERS    "accepted" is told before every live node holds it: a head restored at that moment
 *                          is not noticed by a node that never heard of it
 *   ACCEPT_WITHOUT_HEAD    "accepted" is told without reading the head again: a node that held another content
 *                          has healed the head with it and was replaced since
 *   VERSION_ONLY           writes are conditional on the number only, and a head of an equal number with another
 *                          content (written on a restored copy) is not healed
 *   TIE_BY_ID              of two contents of one number the greater id wins, in place of the one that a node holds
 *   HEAD_BEFORE_CONTENT    the head is written before the content
 */

#define NODES 2
#define PROPOSALS 3
#ifdef SHORT_LIST
#define RECENT 1
#else
#define RECENT 3
#endif

#define BIT(c) (1 << (c))

/* The head row. */
byte head_version;
byte head_content;
byte head_recent; /* set of proposals in it, oldest dropped beyond RECENT */
/* A copy that may be restored. */
byte copy_version;
byte copy_content;
byte copy_recent;
bool copied, restored;

byte known_version[NODES];
byte known_content[NODES];
byte known_recent[NODES];
bool started[NODES] = true;
bool replaced;

byte lineage[4] = 1; /* ghost: content 0 is the first configuration */
bool written[4];     /* ghost: was in a head once */
byte accepted = 1;   /* ghost: set of proposals told "accepted" */
byte rejected;       /* ghost */
byte stored = 1;     /* the object store */

bool late[4]; /* a write that the table has not applied yet */
byte late_base[4], late_content[4];

bool reverted, twice, missing, denied;
/* Marks that a situation came about; only in the runs that look for it. */
#ifdef WITNESS
bool saw_lost_reply, saw_heal, saw_late_applied, saw_conflict, saw_accepted_after_restore;
#define SAW(x) x = true
#else
#define SAW(x) skip
#endif

/* A node goes over to a higher number only: at an equal one with another content it keeps its own ... */
#ifdef TIE_BY_ID
#define AHEAD(v, c, w, d) ((v) > (w) || ((v) == (w) && (c) > (d)))
#else
#define AHEAD(v, c, w, d) ((v) > (w))
#endif
/* ... and heals a head that is lower, or equal with another content. */
#if defined(VERSION_ONLY) || defined(TIE_BY_ID)
#define HEALS(n) AHEAD(known_version[n], known_content[n], head_version, head_content)
#else
#define HEALS(n) (known_version[n] >= head_version && (known_version[n] > head_version || known_content[n] != head_content))
#endif
/* The condition of a write. */
#ifdef VERSION_ONLY
#define SAME_BASE(v, c) (head_version == (v))
#else
#define SAME_BASE(v, c) (head_version == (v) && head_content == (c))
#endif

#ifdef WRITE_ON_LOWER_HEAD
#define READY_TO_WRITE(n) true
#else
#define READY_TO_WRITE(n) SAME_BASE(known_version[n], known_content[n])
#endif

/* The longest time that a write may take to land has passed. */
#ifdef REJECT_AT_ONCE
#define WRITE_IS_OVER(p) true
#else
#define WRITE_IS_OVER(p) (!late[p])
#endif

#ifdef REJECT_BY_HEAD_ALONE
#define NO_NODE_HOLDS(p) true
#else
#define NO_NODE_HOLDS(p) (started[0] && started[1] && !((known_recent[0] | known_recent[1]) & BIT(p)))
#endif

/* Two accepted proposals stand in one line: one of them was built on the other. */
#define IN_LINE(a, p) (!(accepted & BIT(a)) || (lineage[p] & BIT(a)) || (lineage[a] & BIT(p)))

inline adopt(n, v, c, r) {
  reverted = (lineage[known_content[n]] & accepted & ~lineage[c]) != 0;
  assert(!reverted);
  missing = !(stored & BIT(c));
  assert(!missing);
  denied = (rejected & lineage[c] & ~lineage[known_content[n]] & BIT(c)) != 0;
  assert(!denied);
  known_version[n] = v;
  known_content[n] = c;
  known_recent[n] = r
}

/* Applies proposal p on the present head. */
inline apply(p) {
  twice = written[p];
  assert(!twice);
  written[p] = true;
  lineage[p] = lineage[head_content] | BIT(p);
  head_recent = (RECENT == 1 -> BIT(p) : head_recent | BIT(p));
  head_content = p;
  head_version++
}

proctype node(byte me) {
  byte seen_version, seen_content;
end:
  do
  :: atomic { /* gossip */
       started[0] && started[1] &&
       AHEAD(known_version[1 - me], known_content[1 - me], known_version[me], known_content[me]) ->
       adopt(me, known_version[1 - me], known_content[1 - me], known_recent[1 - me])
     }
  :: atomic { /* reads the head */
       started[me] && (head_version != known_version[me] || head_content != known_content[me]) ->
       if
       :: AHEAD(head_version, head_content, known_version[me], known_content[me]) ->
          adopt(me, head_version, head_content, head_recent); goto end
#ifdef STEP_DOWN
       :: head_version < known_version[me] -> adopt(me, head_version, head_content, head_recent); goto end
#endif
       :: HEALS(me) ->
          seen_version = head_version; seen_content = head_content
       :: else -> goto end
       fi
     };
     /* The table was restored from an old copy: the node heals the head and never steps down. */
     atomic {
       if
       :: head_version == seen_version && head_content == seen_content && HEALS(me) ->
          head_version = known_version[me] + 1;
          head_content = known_content[me];
#ifdef HEAL_WITHOUT_RECENT
          head_recent = 0;
#else
          head_recent = known_recent[me];
#endif
          known_version[me] = head_version;
          SAW(saw_heal)
       :: else
       fi;
       seen_version = 0;
       seen_content = 0
     }
  :: atomic { /* replaced by a node that knows nothing */
       started[0] && started[1] && !replaced ->
       replaced = true;
       started[me] = false;
       known_version[me] = 0; known_content[me] = 0; known_recent[me] = 0
     }
  :: atomic { /* has asked its peer */
       !started[me] ->
       started[me] = true;
#ifndef START_WITHOUT_PEER
       known_version[me] = known_version[1 - me];
       known_content[me] = known_content[1 - me];
       known_recent[me] = known_recent[1 - me]
#endif
     }
  od
}

proctype proposer(byte p) {
  byte n, base, base_content;

  if
  :: n = 0
  :: p != 1 -> n = 1 /* the nodes are alike */
  fi;
#ifndef HEAD_BEFORE_CONTENT
  atomic { stored = stored | BIT(p) };
#endif
  /* Reads the head it builds on; a head behind the node is healed first. */
again:
  atomic {
    started[n] && READY_TO_WRITE(n) -> base = head_version; base_content = head_content
  };
  atomic {
    if
#ifdef UNCONDITIONAL_WRITE
    :: true ->
#else
    :: SAME_BASE(base, base_content) ->
#endif
       apply(p);
       if
       :: goto confirm
       :: SAW(saw_lost_reply); goto read_back
       fi
    :: !SAME_BASE(base, base_content) -> goto refuse
    :: goto read_back /* lost before it arrived */
    :: late[p] = true; late_base[p] = base; late_content[p] = base_content; goto read_back
    fi
  };

read_back:
#ifdef RETRY_LOST_REPLY
  goto again;
#endif
  atomic {
    if
    :: head_recent & BIT(p) -> goto confirm
    :: !(head_recent & BIT(p)) && head_version > base && WRITE_IS_OVER(p) && NO_NODE_HOLDS(p) ->
       /* Its base is gone, it cannot land after a restored copy has brought the base back, and it was not in a
        * head that was replaced by a restored copy after a node had read it. */
       goto refuse
    :: !(head_recent & BIT(p)) && head_version <= base ->
#ifdef LATE_WRITE_IS_REJECTED
       goto refuse
#else
       goto finished /* unknown; an outside caller reads again */
#endif
    fi
  };

confirm:
#ifdef HEAD_BEFORE_CONTENT
  atomic { stored = stored | BIT(p) };
#endif
#ifndef ACCEPT_BEFORE_PEERS
  /* Accepted once every live node holds it, or something built on it, and the head, read afterwards, still has it. */
  atomic {
    started[0] && started[1] && (known_recent[0] & BIT(p)) && (known_recent[1] & BIT(p))
  };
#ifndef ACCEPT_WITHOUT_HEAD
  atomic {
    if
    :: head_recent & BIT(p)
    :: !(head_recent & BIT(p)) -> goto finished /* unknown until the head is healed */
    fi
  };
#endif
#endif
  atomic {
    reverted = !IN_LINE(1, p) || !IN_LINE(2, p) || !IN_LINE(3, p);
    assert(!reverted);
    accepted = accepted | BIT(p);
    if :: restored -> SAW(saw_accepted_after_restore) :: else fi
  };
  goto finished;

refuse:
  atomic { rejected = rejected | BIT(p); SAW(saw_conflict) };

finished:
  atomic { base = 0; base_content = 0; n = 0 }
}

active proctype table() {
end:
  do
  :: atomic { !copied -> copied = true;
       copy_version = head_version; copy_content = head_content; copy_recent = head_recent }
  :: atomic { copied && !restored && head_version > copy_version -> restored = true;
       head_version = copy_version; head_content = copy_content; head_recent = copy_recent }
  :: atomic { late[1] -> late[1] = false; if :: SAME_BASE(late_base[1], late_content[1]) -> apply(1); SAW(saw_late_applied) :: else fi; late_base[1] = 0; late_content[1] = 0 }
  :: atomic { late[2] -> late[2] = false; if :: SAME_BASE(late_base[2], late_content[2]) -> apply(2); SAW(saw_late_applied) :: else fi; late_base[2] = 0; late_content[2] = 0 }
  :: atomic { late[3] -> late[3] = false; if :: SAME_BASE(late_base[3], late_content[3]) -> apply(3); SAW(saw_late_applied) :: else fi; late_base[3] = 0; late_content[3] = 0 }
  od
}

init {
  atomic { run node(0); run node(1); run proposer(1); run proposer(2); run proposer(3) }
}

#ifdef WITNESS
active proctype witness() {
  WITNESS;
  assert(false)
}
#endif
