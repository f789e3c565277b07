/* Assignment of VMs to replicas: the assignment row, repairs while the table is unavailable, orders to engines, and
 * serving.
 *
 * Replica P has two members (VM 0 and 1) and a standby (VM 3). Of replica Q one slot is modelled (VM 2); its other
 * members never fail. There are two nodes. Each may be partitioned from the table, from its peer and from any engine
 * for any time, suspect any member rightly or wrongly, and be paused at any step, also between the checks and the
 * arrival of an order (`pending`). Replies to row writes may be lost. A VM that was replaced may return with its old
 * role, or restarted (without its role and highest token).
 *
 * The row gives each VM one status, so no VM is in two replicas of one row. A generation is (row, lost mask); tokens
 * are ordered by (row number, number of lost VMs, mask, row identity).
 *
 * Time: PERMISSION and SETTLE are in ticks. The role that a node may have observed within the permission time is kept
 * with the VM (`prev`), because any node may have observed it at any time.
 *
 * Properties
 *   !served_twice   no VM is in two replicas that nodes serve
 *   !wrong_group    all members of a served replica were started as members of this same group
 *   !two_owners     no VM is in or reserved for P in one node's view and Q in another's
 *   !stolen         no order moves a VM to another replica while a node still relies on its current role
 *   !unmergeable    a repair made while the table was unavailable can be written to the row later
 *   !undone         a node that receives a newer row does not drop a repair that serves
 *
 * Environment: TOKENS (engines refuse lower tokens), RESTART (one VM restarts), RESTORE (the table is restored once
 * from an old copy), REPLACE (afterwards one node is replaced by one without any state), PLANNED (P is also repaired
 * in the row).
 *
 * Each switch (-D) removes one safeguard:
 *   GIVE_AT_ONCE          a reservation moves from P to Q in one row version
 *   GIVE_UNACKNOWLEDGED   a withdrawn VM is assigned again before every node has acknowledged the withdrawal
 *   RETURNED_IS_FREE      a replaced member is assigned again without acknowledgements when it returns
 *   ACK_WITH_ORDER        a node acknowledges while one of its own orders to the VM is pending
 *   DROP_ACTIVATION       a node that receives a newer row drops its repair instead of merging it
 *   STEP_ONLY             a generation has the number of lost members, but not which ones
 *   NUMBER_ONLY           rows with the same number count as equal (a restored table gets a second row N)
 *   KEEP_GENERATION       a replica keeps its generation when its members have changed
 *   NO_SETTLE             a member counts as soon as it reports the role
 *   SHORT_SETTLE          the settle time does not exceed the permission time
 *   NO_READ_BEFORE_SEND   an order is sent without reading the VM's current state (the properties hold without this
 *                         safeguard, which is a second line of defence)
 *   STEP_DOWN             a node follows a restored table to an older row
 *   START_WITHOUT_PEER    a new node acts on the table's row before it has queried its peer
 * IGNORE_x omits property x, for switches that violate several.
 *
 * Simplifications: an acknowledgement is read at the moment of the write that it permits (in the system it must be
 * requested after the row was read); a row write is applied immediately or never; a member is suspected only while a
 * standby is left.
 */

#define VMS 4
#ifndef MAX_ROWS
#define MAX_ROWS 3
#endif
#define PERMISSION 1
#ifdef NO_SETTLE
#define SETTLE 0
#elif defined(SHORT_SETTLE)
#define SETTLE PERMISSION
#else
#define SETTLE 2
#endif
#define NONE 7

/* Status of a VM in a row. */
#define P0 1
#define P1 2
#define Q0 3
#define STANDBY_P 4
#define STANDBY_Q 5
#define WITHDRAWN 6 /* in no replica, and not assignable until all nodes have acknowledged */

#define P 0
#define Q 1

/* Rows ever written, by identity; the table shows one of them. */
short row_status[MAX_ROWS];
byte row_number[MAX_ROWS];
byte row_generation_p[MAX_ROWS];
byte row_generation_q[MAX_ROWS];
short row_token_p[MAX_ROWS], row_token_q[MAX_ROWS]; /* derived */
byte rows = 1;
byte table;
bool restored;

#define STATUS(r, x) ((row_status[r] >> (3 * (x))) & 7)
#define AS(x, s) ((s) << (3 * (x)))
#define IN_P(s) ((s) == P0 || (s) == P1 || (s) == STANDBY_P)
#define IN_Q(s) ((s) == Q0 || (s) == STANDBY_Q)

/* Role of a VM, as ordered and reported: replica, row and lost mask. 0: none. */
#define ROLE(replica, r, mask) (128 | ((replica) << 6) | ((r) << 4) | (mask))
#define IS_ROLE(c) ((c) & 128) /* 0: none */
#define REPLICA(c) (((c) >> 6) & 1)
#define ROW(c) (((c) >> 4) & 3)
#define MASK(c) ((c) & 15)
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#define TOKEN(c) ((c) == 0 -> 0 : 512 * row_number[ROW(c)] + 64 * COUNT(MASK(c)) + 4 * MASK(c) + ROW(c))

byte role[VMS];
byte group[VMS];   /* ghost: the members the role was started with */
byte highest[VMS]; /* order with the highest token */
short role_token[VMS]; /* derived */
byte ticks_in_role[VMS];   /* ticks in the role, up to SETTLE */
byte prev[VMS];    /* settled role that the VM left within the permission time */
byte prev_group[VMS];
byte ticks_since_left[VMS];    /* ticks since the VM left `prev` */
bool vm_restarted;

/* Nodes. An activation is 16 | lost mask, for the row that the node knows; 0: none. */
byte known[2];
byte act_p[2], act_q[2];
bool ready[2] = true;
bool replaced;
/* Derived from the above by refresh(). */
byte p0[2], p1[2], q0[2];       /* members, NONE if none is left */
byte gen_p[2], gen_q[2];        /* roles that the members must report */
short token_p[2], token_q[2];
byte vms_p[2], vms_q[2];        /* VMs in or reserved to the replica */
/* One order that was checked but has not arrived; all others arrive as soon as they are checked. */
byte pending, pending_vm, pending_group, pending_by;

bool served_twice, wrong_group, two_owners, stolen, unmergeable, undone;

/* Records that a situation occurred; compiled only into witness runs. */
#ifdef WITNESS
bool saw_two_repairs, saw_repair_after_withdrawal, saw_late_order, saw_returned, saw_heal, saw_given, saw_merge;
#define SAW(x, condition) x = x || (condition)
#else
#define SAW(x, condition) skip
#endif

byte i, s, a, b, c, base, number; /* scratch, zero between steps */
short st;

#define LOST(m, x) (((m) >> (x)) & 1)

/* The composition is a pure function of the row and the lost mask: a, b for P, c for Q. */
inline compose(r, mask_p, mask_q) {
  a = NONE; b = NONE; c = NONE;
  i = 0;
  do
  :: i < VMS ->
     s = STATUS(r, i);
     if
     :: s == P0 && !LOST(mask_p, i) -> a = i
     :: s == P1 && !LOST(mask_p, i) -> b = i
     :: s == Q0 && !LOST(mask_q, i) -> c = i
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0;
  do
  :: i < VMS ->
     s = STATUS(r, i);
     if
     :: s == STANDBY_P && !LOST(mask_p, i) && a == NONE -> a = i
     :: s == STANDBY_P && !LOST(mask_p, i) && a != NONE && b == NONE -> b = i
     :: s == STANDBY_Q && !LOST(mask_q, i) && c == NONE -> c = i
     :: else
     fi;
     i++
  :: else -> break
  od
}

inline refresh(n) {
  compose(known[n], MASK(act_p[n]), MASK(act_q[n]));
  p0[n] = a; p1[n] = b; q0[n] = c;
  if
  :: a == NONE || b == NONE -> p0[n] = NONE; p1[n] = NONE
  :: else
  fi;
  gen_p[n] = (act_p[n] -> ROLE(P, known[n], MASK(act_p[n])) : row_generation_p[known[n]]);
  gen_q[n] = (act_q[n] -> ROLE(Q, known[n], MASK(act_q[n])) : row_generation_q[known[n]]);
  token_p[n] = TOKEN(gen_p[n]);
  token_q[n] = TOKEN(gen_q[n]);
  vms_p[n] = 0; vms_q[n] = 0;
  i = 0;
  do
  :: i < VMS ->
     if
     :: IN_P(STATUS(known[n], i)) -> vms_p[n] = vms_p[n] | (1 << i)
     :: IN_Q(STATUS(known[n], i)) -> vms_q[n] = vms_q[n] | (1 << i)
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0; a = 0; b = 0; c = 0; s = 0
}

/* Whether a reported role has the desired generation. */
#ifdef STEP_ONLY
#define SAME_GENERATION(c, d) (IS_ROLE(c) && REPLICA(c) == REPLICA(d) && ROW(c) == ROW(d) && COUNT(MASK(c)) == COUNT(MASK(d)))
#elif defined(NUMBER_ONLY)
#define SAME_GENERATION(c, d) (IS_ROLE(c) && REPLICA(c) == REPLICA(d) && row_number[ROW(c)] == row_number[ROW(d)] && MASK(c) == MASK(d))
#else
#define SAME_GENERATION(c, d) ((c) == (d))
#endif

#define HOLDS_NOW(x, c) (SAME_GENERATION(role[x], c) && ticks_in_role[x] >= SETTLE)
#define HELD_RECENTLY(x, c) (prev[x] && SAME_GENERATION(prev[x], c))
#define COUNTS(x, c) (HOLDS_NOW(x, c) || HELD_RECENTLY(x, c))
#define SERVES_P(n) (p0[n] != NONE && COUNTS(p0[n], gen_p[n]) && COUNTS(p1[n], gen_p[n]))
#define SERVES_Q(n) (q0[n] != NONE && COUNTS(q0[n], gen_q[n]))
#define TWICE(n, k) (SERVES_P(n) && SERVES_Q(k) && (p0[n] == q0[k] || p1[n] == q0[k]))
#define GROUP_P(n) (p0[n] | (p1[n] << 3))
#define NOT_IN_GROUP(n, x, c, g) ((HOLDS_NOW(x, c) && group[x] != (g)) || (HELD_RECENTLY(x, c) && prev_group[x] != (g)))
#define WRONG(n) (SERVES_P(n) && (NOT_IN_GROUP(n, p0[n], gen_p[n], GROUP_P(n)) || NOT_IN_GROUP(n, p1[n], gen_p[n], GROUP_P(n))))

/* ---- the table ---- */

#define ROW_LEFT (rows < MAX_ROWS)

/* Replaces the row in the table by status `st` and the generations of row r. The writer reads it like any node. */
inline write(r, its_number) {
  row_number[rows] = its_number;
  row_status[rows] = st;
  row_generation_p[rows] = row_generation_p[r];
  row_generation_q[rows] = row_generation_q[r];
  row_token_p[rows] = row_token_p[r];
  row_token_q[rows] = row_token_q[r];
  table = rows;
  rows++;
  st = 0
}

inline learn(n, r) {
  undone = undone || (SERVES_P(n) && act_p[n] && row_token_p[r] < token_p[n]);
#ifndef IGNORE_UNDONE
  assert(!undone);
#endif
  known[n] = r;
  act_p[n] = 0;
  act_q[n] = 0
}

#define NEWER(r, n) (row_number[r] > row_number[known[n]])
/* A repair without standbys left has no members, so it must not block newer rows. */
#define MERGED(n, r) ((!act_p[n] || p0[n] == NONE || row_token_p[r] >= token_p[n]) && (!act_q[n] || q0[n] == NONE || row_token_q[r] >= token_q[n]))
#ifdef DROP_ACTIVATION
#define MAY_LEARN(n, r) NEWER(r, n)
#else
#define MAY_LEARN(n, r) (NEWER(r, n) && MERGED(n, r))
#endif

/* Gives VM x another status in st. */
inline put(x, status) {
  st = (st & ~AS(x, 7)) | AS(x, status)
}

/* Writes the node's repairs of P and Q into a successor of row `base`. */
inline merge(n) {
  st = row_status[base];
  i = 0;
  do
  :: i < VMS ->
     s = STATUS(base, i);
     if
     :: act_p[n] && p0[n] != NONE && (i == p0[n] || i == p1[n]) ->
        unmergeable = unmergeable || IN_Q(s);
        if
        :: i == p0[n] -> put(i, P0)
        :: else -> put(i, P1)
        fi
     :: act_p[n] && p0[n] != NONE && i != p0[n] && i != p1[n] && (s == P0 || s == P1 || (IN_P(s) && LOST(act_p[n], i))) ->
        put(i, WITHDRAWN)
     :: act_q[n] && q0[n] != NONE && i == q0[n] ->
        unmergeable = unmergeable || IN_P(s);
        put(i, Q0)
     :: act_q[n] && q0[n] != NONE && i != q0[n] && (s == Q0 || (IN_Q(s) && LOST(act_q[n], i))) ->
        put(i, WITHDRAWN)
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0; s = 0;
#ifndef IGNORE_UNMERGEABLE
  assert(!unmergeable);
#endif
  SAW(saw_merge, base != known[n]);
  write(base, number);
#ifndef KEEP_GENERATION
  if
  :: act_p[n] && p0[n] != NONE -> row_generation_p[table] = gen_p[n]; row_token_p[table] = token_p[n]
  :: else
  fi;
  if
  :: act_q[n] && q0[n] != NONE -> row_generation_q[table] = gen_q[n]; row_token_q[table] = token_q[n]
  :: else
  fi;
#endif
  base = 0; number = 0
}

#define UNMERGED_P(n) (act_p[n] && p0[n] != NONE && token_p[n] > row_token_p[table])
#define UNMERGED_Q(n) (act_q[n] && q0[n] != NONE && token_q[n] > row_token_q[table])
#define UNMERGED(n) (UNMERGED_P(n) || UNMERGED_Q(n))

/* The node has seen the withdrawal and has no pending order of its own to the VM. */
#ifdef ACK_WITH_ORDER
#define ACKNOWLEDGED(n, x) (ready[n] && STATUS(known[n], x) == WITHDRAWN)
#else
#define ACKNOWLEDGED(n, x) (ready[n] && STATUS(known[n], x) == WITHDRAWN && !(pending && pending_by == (n) && pending_vm == (x)))
#endif
#ifdef GIVE_UNACKNOWLEDGED
#define MAY_GIVE(x) true
#elif defined(RETURNED_IS_FREE)
#define MAY_GIVE(x) ((x) == 0 || (ACKNOWLEDGED(0, x) && ACKNOWLEDGED(1, x)))
#else
#define MAY_GIVE(x) (ACKNOWLEDGED(0, x) && ACKNOWLEDGED(1, x))
#endif

/* ---- engines ---- */

inline leave_role(x) {
  if
  :: role[x] && ticks_in_role[x] >= SETTLE -> prev[x] = role[x]; prev_group[x] = group[x]; ticks_since_left[x] = 0
  :: else
  fi;
  role[x] = 0; role_token[x] = 0; group[x] = 0; ticks_in_role[x] = 0
}

/* Node n relies on the role that VM x has. */
#define IN_USE(n, x) (ready[n] && ((role[x] == gen_p[n] && (p0[n] == (x) || p1[n] == (x))) || (role[x] == gen_q[n] && q0[n] == (x))))

inline obey(x, code, members) {
  d_step {
    i = x;
    if
#ifdef TOKENS
    :: TOKEN(code) < TOKEN(highest[i]) /* refused */
#endif
    :: code == role[i] /* idempotent */
    :: else ->
       stolen = role[i] && REPLICA(role[i]) != REPLICA(code) && (IN_USE(0, i) || IN_USE(1, i));
       SAW(saw_late_order, TOKEN(code) < role_token[i]);
       leave_role(i);
#ifdef TOKENS
       highest[i] = code;
#endif
       role[i] = code;
       role_token[i] = TOKEN(code);
       group[i] = members
    fi;
    i = 0
  };
#ifndef IGNORE_STOLEN
  assert(!stolen)
#endif
}

inline age(x) {
  if
  :: role[x] && ticks_in_role[x] < SETTLE -> ticks_in_role[x]++
  :: else
  fi;
  if
  :: prev[x] && ticks_since_left[x] == PERMISSION -> prev[x] = 0; prev_group[x] = 0; ticks_since_left[x] = 0
  :: prev[x] && ticks_since_left[x] < PERMISSION -> ticks_since_left[x]++
  :: else
  fi
}

/* ---- a node ---- */

/* The VM's report is read directly before an order. If it shows an equal or higher token, the order is not sent. */
#ifdef NO_READ_BEFORE_SEND
#define MAY_ORDER(x, token) (role_token[x] != (token))
#else
#define MAY_ORDER(x, token) (role_token[x] < (token))
#endif

inline drop_pending() {
  pending = 0; pending_vm = 0; pending_group = 0; pending_by = 0
}

inline order(me, x, code, members) {
  if
  :: obey(x, code, members)
  :: !pending -> pending = code; pending_vm = x; pending_group = members; pending_by = me
  fi
}

#define FREE_TO_WRITE(n) (ready[n] && ROW_LEFT && table == known[n] && !act_p[n] && !act_q[n])
/* A stale node has raised a member's token beyond the replica's with a lower row. */
#define SUPERSEDED(n, x) (IS_ROLE(role[x]) && REPLICA(role[x]) == P && role_token[x] > token_p[n] && row_number[ROW(role[x])] < row_number[known[n]])
#define REPORTS_HIGHER(n, x) (IS_ROLE(role[x]) && REPLICA(role[x]) == P && ROW(role[x]) == known[n] && role_token[x] > token_p[n])

/* A standby is left. Without one the replica is down and nothing is ordered, so such suspicions are not modelled. */
#define SPARE_P(n) (p0[n] != NONE && (vms_p[n] & ~(MASK(act_p[n]) | (1 << p0[n]) | (1 << p1[n]))))

proctype node(byte me) {
end:
  do
  :: atomic {
       if
       /* Receives a newer row from the table or from its peer. */
       :: ready[me] && MAY_LEARN(me, table) -> learn(me, table)
       :: ready[me] && ready[1 - me] && MAY_LEARN(me, known[1 - me]) -> learn(me, known[1 - me])
#ifdef STEP_DOWN
       :: ready[me] && row_number[table] < row_number[known[me]] -> learn(me, table)
#endif

       /* Receives a higher activation for the row it knows, from its peer or in a VM's report. */
       :: ready[me] && ready[1 - me] && known[me] == known[1 - me] && act_p[1 - me] && token_p[1 - me] > token_p[me] ->
          act_p[me] = act_p[1 - me]
       :: ready[me] && ready[1 - me] && known[me] == known[1 - me] && act_q[1 - me] && token_q[1 - me] > token_q[me] ->
          act_q[me] = act_q[1 - me]
       :: ready[me] && REPORTS_HIGHER(me, 1) -> act_p[me] = 16 | MASK(role[1])

       /* Suspects a member, rightly or wrongly, and activates a standby on its own.
        * Hazards: two nodes repair P with the same standby for different members; a node that cannot read the table
        * activates a standby whose reservation is being withdrawn. */
       :: ready[me] && SPARE_P(me) && (p0[me] == 0 || p1[me] == 0) ->
          act_p[me] = 16 | act_p[me] | 1;
          SAW(saw_two_repairs, act_p[1 - me] == (16 | 2) && known[0] == known[1]);
          SAW(saw_repair_after_withdrawal, row_number[table] > row_number[known[me]] && STATUS(table, 3) == WITHDRAWN)
       :: ready[me] && SPARE_P(me) && (p0[me] == 1 || p1[me] == 1) -> act_p[me] = 16 | act_p[me] | 2
       :: ready[me] && q0[me] == 2 && (vms_q[me] & ~4) -> act_q[me] = 16 | act_q[me] | 4
       /* Raises the generation to the known row with unchanged members; otherwise no order would be obeyed any more. */
       :: ready[me] && !act_p[me] && p0[me] != NONE && (SUPERSEDED(me, p0[me]) || SUPERSEDED(me, p1[me])) -> act_p[me] = 16

       /* Orders are checked here and arrive now, or later if they are left pending. */
       :: ready[me] && p0[me] != NONE && MAY_ORDER(p0[me], token_p[me]) -> order(me, p0[me], gen_p[me], GROUP_P(me))
       :: ready[me] && p1[me] != NONE && MAY_ORDER(p1[me], token_p[me]) -> order(me, p1[me], gen_p[me], GROUP_P(me))
       :: ready[me] && q0[me] != NONE && MAY_ORDER(q0[me], token_q[me]) ->
          /* Hazard: a lost VM returns after being replaced, with its old role. */
          SAW(saw_returned, q0[me] == 0 && role[0] && REPLICA(role[0]) == P);
          order(me, q0[me], gen_q[me], 0)
       /* Hazard: the node resumes with a pending order, which arrives now or is lost. */
       :: pending && pending_by == me -> obey(pending_vm, pending, pending_group); drop_pending()
       :: pending && pending_by == me -> drop_pending()

       /* Writes are conditional on the row in the table. The writer learns of the new row like any other node, so
        * every reply is treated as lost. */
       :: ready[me] && ROW_LEFT && UNMERGED(me) && (table == known[me] || NEWER(table, me)) ->
          base = table; number = row_number[table] + 1
       /* Hazard: an old copy of the table was restored. The node repairs the table and never adopts an older row. */
       :: ready[me] && ROW_LEFT && table != known[me] && row_number[table] <= row_number[known[me]] ->
          base = known[me]; number = row_number[known[me]] + 1;
          SAW(saw_heal, true)
       :: FREE_TO_WRITE(me) && STATUS(table, 3) == STANDBY_P ->
          st = row_status[table];
#ifdef GIVE_AT_ONCE
          put(3, STANDBY_Q);
#else
          put(3, WITHDRAWN);
#endif
          write(table, row_number[table] + 1)
       :: FREE_TO_WRITE(me) && STATUS(table, 3) == WITHDRAWN && MAY_GIVE(3) ->
          st = row_status[table];
          put(3, STANDBY_Q);
          write(table, row_number[table] + 1);
          SAW(saw_given, true)
       :: FREE_TO_WRITE(me) && STATUS(table, 0) == WITHDRAWN && MAY_GIVE(0) ->
          st = row_status[table];
          put(0, STANDBY_Q);
          write(table, row_number[table] + 1);
          SAW(saw_given, true)

#ifdef PLANNED
       /* Repairs P in the row itself while the table is available; P gets the first generation of the new row. */
       :: FREE_TO_WRITE(me) && STATUS(table, 3) == STANDBY_P ->
          st = row_status[table];
          put(3, P0);
          if
          :: STATUS(table, 0) == P0 -> put(0, WITHDRAWN)
          :: STATUS(table, 1) == P1 -> put(1, WITHDRAWN); put(3, P1)
          fi;
          write(table, row_number[table] + 1);
          row_generation_p[table] = ROLE(P, table, 0);
          row_token_p[table] = TOKEN(row_generation_p[table])
#endif
#ifdef REPLACE
       /* Replaced by a node without any state. */
       :: ready[0] && ready[1] && !replaced && restored ->
          replaced = true;
          ready[me] = false;
          act_p[me] = 0;
          if
          :: pending_by == me -> drop_pending()
          :: else
          fi;
          learn(me, 0)
       :: !ready[me] ->
          ready[me] = true;
#ifdef START_WITHOUT_PEER
          learn(me, table)
#else
          if
          :: row_number[table] > row_number[known[1 - me]] -> learn(me, table)
          :: else -> learn(me, known[1 - me])
          fi
#endif
#endif
       fi;
       d_step {
         if
         :: number -> merge(me)
         :: else
         fi;
         refresh(me)
       }
     }
  od
}

proctype engines() {
end:
  do
  :: d_step { true -> age(0); age(1); age(2); age(3) }
#ifdef RESTART
  :: d_step { !vm_restarted -> vm_restarted = true; leave_role(0); highest[0] = 0 }
  :: d_step { !vm_restarted -> vm_restarted = true; leave_role(3); highest[3] = 0 }
#endif
#ifdef RESTORE
  :: atomic { !restored && table > 0 -> restored = true; table = 0 }
  :: atomic { !restored && table > 1 -> restored = true; table = 1 }
#endif
  od
}

/* ---- properties ---- */

proctype monitor() {
end:
  do
#ifndef IGNORE_SERVED_TWICE
  :: atomic { TWICE(0, 0) || TWICE(0, 1) || TWICE(1, 0) || TWICE(1, 1) -> served_twice = true; assert(!served_twice) }
#endif
#ifndef IGNORE_WRONG_GROUP
  :: atomic { WRONG(0) || WRONG(1) -> wrong_group = true; assert(!wrong_group) }
#endif
#ifndef IGNORE_TWO_OWNERS
  :: atomic { ready[0] && ready[1] && ((vms_p[0] & vms_q[1]) || (vms_p[1] & vms_q[0])) -> two_owners = true; assert(!two_owners) }
#endif
  :: false
  od
}

init {
  byte n;

  atomic {
    row_status[0] = AS(0, P0) | AS(1, P1) | AS(2, Q0) | AS(3, STANDBY_P);
    row_number[0] = 1;
    row_generation_p[0] = ROLE(P, 0, 0);
    row_generation_q[0] = ROLE(Q, 0, 0);
    role[0] = ROLE(P, 0, 0); role[1] = role[0]; role[2] = ROLE(Q, 0, 0);
    role_token[0] = TOKEN(role[0]); role_token[1] = role_token[0]; role_token[2] = TOKEN(role[2]);
    row_token_p[0] = role_token[0]; row_token_q[0] = role_token[2];
    group[0] = 0 | (1 << 3); group[1] = group[0];
    ticks_in_role[0] = SETTLE; ticks_in_role[1] = SETTLE; ticks_in_role[2] = SETTLE;
#ifdef TOKENS
    highest[0] = role[0]; highest[1] = role[1]; highest[2] = role[2];
#endif
    do
    :: n < 2 -> refresh(n); n++
    :: else -> break
    od;
    run node(0);
    run node(1);
    run engines();
    run monitor()
  }
}

#ifdef WITNESS
active proctype witness() {
  WITNESS;
  assert(false)
}
#endif
