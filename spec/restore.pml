/* A node and its hub follow a row of a store that comes back from an older copy.
 *
 * The store numbers its writes. A restore takes the row and the count back to those of the copy, and raises the era;
 * numbers are then given out again. The writer of the row writes its newest value again. Other writers use numbers, too.
 * A read is answered from one state of the store, and its answer may arrive late; the hub tells the node its position
 * and the value there, and that message may be late, too.
 *
 * Properties
 *   !reverted   a value in force is never followed by an older one
 *   !missed     at its position, a follower has a value that is no older than the row's there
 *   !back       a position never goes back
 *
 * Each switch (-D) removes one safeguard:
 *   NO_ERA         positions are compared by their numbers alone, and a feed goes on from a number of any era
 *   ROW_IN_FORCE   the row that was read is in force, also if it is older than what is
 *   HUB_NUMBER     the hub's position is compared by its number alone
 *   LATE_ANSWER    an answer is taken although its era is older than that of the position
 *
 * WITNESS: a value was taken under a number that had been given out before.
 */

#define ERAS 2
#define NUMBERS 3
#define AT(e, n) ((e) * (NUMBERS + 1) + (n))

/* The store: era, count, and the row's value and number; its copy; the newest value that its writer wrote. */
byte era, count, row, row_at, copy_count, copy_row, copy_row_at, written;
/* Ghost: the row's value at each version of each era. */
byte row_of[8];

typedef follower {
  byte era, at; /* position */
  byte value;   /* in force */
  bool positioned
};
follower f[2]; /* 0: the hub, 1: the node */

/* An answer of the store to each follower, and a message of the hub. */
typedef answer {
  bool sent, changed, whole;
  byte era, at, row, after
#ifdef WITNESS
  ;
  bool reused /* the row is new, under a number that the position had passed */
#endif
};
answer a[2];
bool told;
byte told_era, told_at, told_value;

bool reverted, missed, back;
#ifdef WITNESS
bool saw_reuse;
#endif

#ifdef NO_ERA
#define OLDER(e, n, i) ((n) < f[i].at)
#define CONTINUES(i) (f[i].positioned && f[i].at <= count)
#define OF_ERA(i) true
#else
#define OLDER(e, n, i) ((e) < f[i].era || ((e) == f[i].era && (n) < f[i].at))
#define CONTINUES(i) (f[i].positioned && f[i].era == era && f[i].at <= count)
#define OF_ERA(i) (a[i].era == f[i].era)
#endif
#ifdef LATE_ANSWER
#define IS_LATE(i) false
#else
#define IS_LATE(i) OLDER(a[i].era, a[i].at, i)
#endif
#ifdef HUB_NUMBER
#define IS_NEWS (told_at > f[1].at)
#else
#define IS_NEWS (!OLDER(told_era, told_at, 1))
#endif

inline TAKE(i, v_) {
#ifdef ROW_IN_FORCE
  reverted = reverted || (v_) < f[i].value;
  f[i].value = (v_)
#else
  if
  :: (v_) > f[i].value -> f[i].value = (v_)
  :: else
  fi
#endif
}

inline MOVE(i, e_, n_) {
#ifdef NO_ERA
  back = back || (n_) < f[i].at;
#else
  back = back || (e_) < f[i].era || ((e_) == f[i].era && (n_) < f[i].at);
#endif
  f[i].era = (e_); f[i].at = (n_);
  missed = missed || f[i].value < row_of[AT(e_, n_)]
}

inline CLEAR(i) {
  a[i].sent = false; a[i].changed = false; a[i].whole = false;
  a[i].era = 0; a[i].at = 0; a[i].row = 0; a[i].after = 0
}

inline WRITE(v_) {
  count++; row = (v_); row_at = count; row_of[AT(era, count)] = row
}

active proctype store() {
end:
  do
  :: atomic { count < NUMBERS && written < 2 && row == written -> written++; WRITE(written) }
  :: atomic { count < NUMBERS && row < written -> WRITE(written) } /* writes again */
  :: atomic { count < NUMBERS -> count++; row_of[AT(era, count)] = row }
  :: atomic { era == 0 && copy_count < count -> copy_count = count; copy_row = row; copy_row_at = row_at }
  :: atomic { era < ERAS - 1 && copy_count < count ->
       era++; count = copy_count; row = copy_row; row_at = copy_row_at; row_of[AT(era, count)] = row }
  od
}

active [2] proctype follow() {
  byte i = _pid - 1;
end:
  do
  /* A whole read, or a feed from the position. */
  :: atomic { !a[i].sent ->
       a[i].whole = !CONTINUES(i); a[i].after = f[i].at;
       a[i].era = era; a[i].at = count;
       a[i].changed = a[i].whole || row_at > f[i].at; a[i].row = (a[i].changed -> row : 0);
#ifdef WITNESS
       a[i].reused = era > 0 && row > f[i].value && row_at <= f[i].at;
#endif
       a[i].sent = true }
  :: atomic { a[i].sent -> /* arrives */
       if
       :: !IS_LATE(i) && (a[i].whole || (f[i].positioned && OF_ERA(i) && a[i].after <= f[i].at)) ->
#ifdef WITNESS
            saw_reuse = saw_reuse || a[i].reused;
#endif
            if
            :: a[i].changed -> TAKE(i, a[i].row)
            :: else
            fi;
            f[i].positioned = true;
            MOVE(i, a[i].era, a[i].at)
       :: else
       fi;
       CLEAR(i) }
  :: atomic { a[i].sent -> CLEAR(i) } /* is lost */
  :: atomic { i == 0 && !told && f[0].positioned ->
       told = true; told_era = f[0].era; told_at = f[0].at; told_value = f[0].value }
  :: atomic { i == 1 && told ->
       if
       :: IS_NEWS -> TAKE(1, told_value); f[1].positioned = true; MOVE(1, told_era, told_at)
       :: else
       fi;
       told = false; told_era = 0; told_at = 0; told_value = 0 }
  od
}

active proctype monitor() {
end:
  do
  :: atomic { reverted -> assert(!reverted) }
  :: atomic { missed -> assert(!missed) }
  :: atomic { back -> assert(!back) }
#ifdef WITNESS
  :: atomic { WITNESS -> assert(false) }
#endif
  od
}
