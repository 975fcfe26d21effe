/*
 * The token account of one program on two replicas of its partition, and
 * gateways that deliver the tokens of granted attempts and may die.
 *
 * Both replicas apply the same entries in the same order; either may lead and
 * answer. A gateway reports the end of an attempt with what it delivered; the
 * report is late or, when the gateway dies, never sent. An open attempt may be
 * presumed lost at any moment, also wrongly: its gateway then goes on
 * delivering and reports its end later. One replica may be restored from a
 * snapshot of the other at any moment. Presumed losses that are given up are
 * charged in full and ended, except for one; their reports may still come.
 *
 * Checked: clients receive no more than the budget and the most of one turn,
 * the replicas agree, and a budget that was called spent stays spent.
 *
 * Mutations, each of which must be found:
 *   -DEXCUSE_ALL        no attempt that is presumed lost counts
 *   -DDROP_PRESUMED     the reservation of a presumed loss is dropped, and with
 *                       it the memory of the one that was excused
 *   -DTAKE_BACK         a report that comes after the charge gives tokens back
 *   -DSNAPSHOT_FORGETS  a snapshot leaves out which attempts are presumed lost
 */
#define ATTEMPTS 4
#define REPLICAS 2
#define MOST 2
#define BUDGET 3

typedef account {
  byte spent;
  bool open[ATTEMPTS];
  bool ended[ATTEMPTS];
  bool presumed[ATTEMPTS];
  bool given_up[ATTEMPTS];
  bool charged[ATTEMPTS];
  bool granted; /* the verdict of the last beginning */
  bool called_spent;
};
account replica[REPLICAS];

/* At the gateways. */
bool running[ATTEMPTS];
bool reporting[ATTEMPTS];
byte delivered[ATTEMPTS];
byte received = 0;
byte begun = 0;

inline charge_on(r) {
  excused = 0;
  i = 0;
  do
  :: i < ATTEMPTS ->
     if
     :: replica[r].open[i] && replica[r].given_up[i] && excused ->
        replica[r].spent = replica[r].spent + MOST;
        replica[r].charged[i] = true;
        replica[r].ended[i] = true;
        replica[r].open[i] = false
     :: replica[r].open[i] && replica[r].given_up[i] && !excused -> excused = 1
     :: else
     fi;
     i++
  :: else -> break
  od
}

inline begin_on(r, a) {
  charge_on(r);
  committed = replica[r].spent;
  excused = 0;
  i = 0;
  do
  :: i < ATTEMPTS ->
     if
     :: replica[r].open[i] ->
        committed = committed + MOST;
        if
        :: replica[r].presumed[i] ->
#ifdef EXCUSE_ALL
           excused = excused + MOST
#else
           excused = MOST
#endif
        :: else
        fi
     :: else
     fi;
     i++
  :: else -> break
  od;
  replica[r].granted = (committed - excused + MOST <= BUDGET);
  replica[r].open[a] = replica[r].granted;
  assert(!(replica[r].called_spent && replica[r].granted));
  if
  :: replica[r].spent + MOST > BUDGET -> replica[r].called_spent = true
  :: else
  fi
}

inline end_on(r, a) {
  if
  :: !replica[r].ended[a] ->
     replica[r].spent = replica[r].spent + delivered[a]
#ifdef TAKE_BACK
  :: replica[r].charged[a] ->
     replica[r].charged[a] = false;
     replica[r].spent = replica[r].spent - MOST + delivered[a]
#endif
  :: else
  fi;
  replica[r].ended[a] = true;
  replica[r].open[a] = false;
  replica[r].presumed[a] = false
}

inline presume_on(r, a) {
  if
  :: replica[r].open[a] ->
#ifdef DROP_PRESUMED
     replica[r].open[a] = false
#else
     replica[r].presumed[a] = true
#endif
  :: else
  fi
}

inline restore_from(r, other) {
  replica[r].spent = replica[other].spent;
  replica[r].called_spent = replica[other].called_spent;
  i = 0;
  do
  :: i < ATTEMPTS ->
     replica[r].open[i] = replica[other].open[i];
     replica[r].ended[i] = replica[other].ended[i];
     replica[r].given_up[i] = replica[other].given_up[i];
     replica[r].charged[i] = replica[other].charged[i];
#ifdef SNAPSHOT_FORGETS
     replica[r].presumed[i] = false;
#else
     replica[r].presumed[i] = replica[other].presumed[i];
#endif
     i++
  :: else -> break
  od
}

active proctype system() {
  byte i;
  byte a;
  byte leader;
  byte committed;
  byte excused;

  do
  :: atomic { /* an attempt begins; the leader of that moment answers */
       begun < ATTEMPTS ->
       a = begun;
       begun++;
       if
       :: leader = 0
       :: leader = 1
       fi;
       begin_on(0, a);
       begin_on(1, a);
       assert(replica[0].granted == replica[1].granted);
       if
       :: replica[leader].granted ->
          if
          :: running[a] = true
          :: reporting[a] = true /* not heard in time: cancelled */
          :: skip                /* not heard, and the gateway died */
          fi
       :: else
       fi
     }
  :: atomic { /* a gateway delivers, finishes or dies */
       select(a : 0 .. (ATTEMPTS - 1));
       if
       :: running[a] && delivered[a] < MOST ->
          delivered[a]++;
          received++;
          assert(received <= BUDGET + MOST)
       :: running[a] ->
          running[a] = false;
          reporting[a] = true
       :: running[a] -> running[a] = false
       :: reporting[a] -> reporting[a] = false
       :: else
       fi
     }
  :: atomic { /* a report is recorded; it may be sent again */
       select(a : 0 .. (ATTEMPTS - 1));
       if
       :: reporting[a] ->
          end_on(0, a);
          end_on(1, a);
          if
          :: true /* its reply is lost */
          :: reporting[a] = false
          fi
       :: else
       fi
     }
  :: atomic {
       select(a : 0 .. (ATTEMPTS - 1));
       presume_on(0, a);
       presume_on(1, a)
     }
  :: atomic { /* time goes on */
       select(a : 0 .. (ATTEMPTS - 1));
       if
       :: replica[0].presumed[a] && replica[0].open[a] ->
          replica[0].given_up[a] = true;
          replica[1].given_up[a] = true
       :: else
       fi
     }
  :: atomic { restore_from(1, 0) }
  :: atomic { restore_from(0, 1) }
  :: atomic {
       begun == ATTEMPTS -> break
     }
  od
}
