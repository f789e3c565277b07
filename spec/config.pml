/* Accepting configuration proposals and keeping the accepted configuration in force.
 *
 * One head row {version, content, recent proposals} is changed by conditional writes; contents are kept in the object
 * store. There are two nodes and three proposals, made through either node, the last two concurrently. A write may be
 * refused, lose its reply, or be applied after its caller has given up. The table may be restored once from an old copy.
 * One node may be replaced by one without any state. Nodes may be paused at any step.
 *
 * A content is identified by its proposal. `lineage[c]` is the set of proposals that c was built on, including c.
 * A change from x to y reverts an accepted proposal a if a is in the lineage of x and not in that of y.
 *
 * Properties
 *   !reverted        no node changes from a configuration with an accepted proposal to one without it, and no
 *                    later accepted proposal lacks it
 *   !twice           a proposal is not applied a second time over newer ones
 *   !missing         a configuration in force has its content in the object store
 *   !denied          a proposal reported as "rejected" does not come into force afterwards
 *
 * Each switch (-D) removes one safeguard:
 *   UNCONDITIONAL_WRITE    the head is written without checking its version
 *   STEP_DOWN              a node follows the head to a lower version
 *   WRITE_ON_LOWER_HEAD    a proposal is written on a head older than its node knows, instead of repairing the head
 *   HEAL_WITHOUT_RECENT    the repaired head loses the list of recent proposals
 *   RETRY_LOST_REPLY       after a lost reply the proposal is written again, without reading back
 *   SHORT_LIST             the recent list is shorter than the number of writes that can happen while a proposer
 *                          waits, and absence from it is treated as "not applied"
 *   LATE_WRITE_IS_REJECTED after a lost reply, absence from the list at an unchanged version is treated as "not
 *                          applied", although the write may still be applied
 *   REJECT_AT_ONCE         after a lost reply, "rejected" is reported as soon as the head has a newer version: a
 *                          restored head has the base version again, and the late write is applied
 *   REJECT_BY_HEAD_ALONE   "rejected" is reported although a node holds the proposal: a node read it from the head,
 *                          which was then replaced by a restored copy
 *   START_WITHOUT_PEER     a new node uses the table's head before it has queried a peer
 *   ACCEPT_BEFORE_PEERS    "accepted" is reported before every live node holds the proposal: a node that never
 *                          received it does not notice when an old copy of the head is restored
 *   ACCEPT_WITHOUT_HEAD    "accepted" is reported without reading the head again: a node with another content may
 *                          have repaired the head with that content and been replaced since
 *   VERSION_ONLY           writes are conditional on the version number only, and a head with an equal number but
 *                          another content (written on a restored copy) is not repaired
 *   TIE_BY_ID              of two contents with the same number the greater id wins, instead of the one a node holds
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
byte head_recent; /* set of its most recent proposals, at most RECENT */
/* A copy of the table that may be restored. */
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
bool written[4];     /* ghost: has been in a head */
byte accepted = 1;   /* ghost: set of proposals reported as "accepted" */
byte rejected;       /* ghost: set of proposals reported as "rejected" */
byte stored = 1;     /* set of contents in the object store */

bool late[4]; /* a write that the table has not applied yet */
byte late_base[4], late_content[4];

bool reverted, twice, missing, denied;
/* Records that a situation occurred; compiled only into witness runs. */
#ifdef WITNESS
bool saw_lost_reply, saw_heal, saw_late_applied, saw_conflict, saw_accepted_after_restore;
#define SAW(x) x = true
#else
#define SAW(x) skip
#endif

/* A node changes to a higher number only. At an equal number with another content it keeps its own ... */
#ifdef TIE_BY_ID
#define AHEAD(v, c, w, d) ((v) > (w) || ((v) == (w) && (c) > (d)))
#else
#define AHEAD(v, c, w, d) ((v) > (w))
#endif
/* ... and repairs a head with a lower number, or with an equal number and another content. */
#if defined(VERSION_ONLY) || defined(TIE_BY_ID)
#define NEEDS_REPAIR(n) AHEAD(known_version[n], known_content[n], head_version, head_content)
#else
#define NEEDS_REPAIR(n) (known_version[n] >= head_version && (known_version[n] > head_version || known_content[n] != head_content))
#endif
/* The condition of a conditional write. */
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

/* The maximum time until a write is applied has passed. */
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

/* Of two accepted proposals, one was built on the other. */
#define SAME_LINEAGE(a, p) (!(accepted & BIT(a)) || (lineage[p] & BIT(a)) || (lineage[a] & BIT(p)))

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

/* Applies proposal p to the current head. */
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
       :: NEEDS_REPAIR(me) ->
          seen_version = head_version; seen_content = head_content
       :: else -> goto end
       fi
     };
     /* The table was restored from an old copy: the node repairs the head and never adopts the lower version. */
     atomic {
       if
       :: head_version == seen_version && head_content == seen_content && NEEDS_REPAIR(me) ->
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
  :: atomic { /* replaced by a node without any state */
       started[0] && started[1] && !replaced ->
       replaced = true;
       started[me] = false;
       known_version[me] = 0; known_content[me] = 0; known_recent[me] = 0
     }
  :: atomic { /* has queried its peer */
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
  :: p != 1 -> n = 1 /* proposal 1 only through node 0: the nodes are symmetric */
  fi;
#ifndef HEAD_BEFORE_CONTENT
  atomic { stored = stored | BIT(p) };
#endif
  /* Reads the head that the proposal builds on. A head older than the node's is repaired first. */
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
       /* The head has left its base; the write can no longer be applied, even if a restored copy has the base
        * version again; and it was not in a head that a node read before a restored copy replaced it. */
       goto refuse
    :: !(head_recent & BIT(p)) && head_version <= base ->
#ifdef LATE_WRITE_IS_REJECTED
       goto refuse
#else
       goto finished /* outcome unknown; the caller reads again */
#endif
    fi
  };

confirm:
#ifdef HEAD_BEFORE_CONTENT
  atomic { stored = stored | BIT(p) };
#endif
#ifndef ACCEPT_BEFORE_PEERS
  /* Accepted once every live node holds the proposal or one built on it, and the head, read afterwards, still has it. */
  atomic {
    started[0] && started[1] && (known_recent[0] & BIT(p)) && (known_recent[1] & BIT(p))
  };
#ifndef ACCEPT_WITHOUT_HEAD
  atomic {
    if
    :: head_recent & BIT(p)
    :: !(head_recent & BIT(p)) -> goto finished /* unknown until the head is repaired */
    fi
  };
#endif
#endif
  atomic {
    reverted = !SAME_LINEAGE(1, p) || !SAME_LINEAGE(2, p) || !SAME_LINEAGE(3, p);
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
