/*
 * The configuration: accepted by the platform's compare-and-set, spread by
 * relays, in force on nodes.
 *
 * Two operators change one object from the version they know. The platform may
 * lose the answer after the change took effect; the operator then reads back
 * and knows its change by its id. Relays deliver late and out of order, and a
 * new node learns from a peer while the platform is down.
 *
 * Checked: a change is reported as accepted only if it is in the platform's
 * history, once; of two racing changes from one version one is accepted; a
 * node's revision never goes back.
 *
 * Mutations, each of which must be found:
 *   -DBLIND_RETRY   a lost answer is settled by writing again from the version
 *                   found, without looking for the own change
 *   -DLOST_IS_REFUSED  another's version found after a lost answer is taken
 *                   for a refusal, though the own change may lie under it
 *   -DNO_VERSION    writes are not conditional on the version
 *   -DLATEST_WINS   a node takes whatever arrives last
 */
#define OPERATORS 2
#define NODES 2
#define REVISIONS 5

byte version = 0;               /* of the platform's object */
byte author[REVISIONS];         /* operator + 1 whose change made a version */
byte times[OPERATORS];          /* times that a change is in the history */
bool accepted[OPERATORS];
bool refused[OPERATORS];
byte from[OPERATORS];           /* the version an operator started from */
byte revision[NODES];           /* in force on each node */
chan relay = [2] of { byte, byte }; /* node, revision */

/* A conditional write: takes effect, or not, and its answer may be lost. */
inline write(me, expected, ok, lost) {
  ok = false;
  lost = false;
  if
#ifdef NO_VERSION
  :: version < REVISIONS - 1 ->
#else
  :: version == expected && version < REVISIONS - 1 ->
#endif
     version = version + 1; author[version] = me + 1;
     times[me] = times[me] + 1; ok = true
  :: else
  fi;
  if
  :: lost = true
  :: true
  fi
}

proctype operator(byte me) {
  byte expected;
  bool ok, lost, tried_again;
  atomic { from[me] = version; expected = version }
  do
  :: atomic {
       write(me, expected, ok, lost);
       if
       :: !lost && ok -> accepted[me] = true; break
       :: !lost && !ok && !tried_again -> refused[me] = true; break
       :: !lost && !ok && tried_again -> skip
       :: lost -> skip
       fi }
     /* read back */
     atomic {
#ifdef BLIND_RETRY
       expected = version
#else
       if
       :: version > 0 && author[version] == me + 1 -> accepted[me] = true; break
       :: else
       fi;
       if
#ifdef LOST_IS_REFUSED
       :: version != expected -> refused[me] = true; break
#else
       :: version != expected -> break /* outcome unknown: said so */
#endif
       :: else
       fi
#endif
       ;
       if
       :: tried_again -> break /* outcome unknown: said so */
       :: else -> tried_again = true
       fi }
  od
}

/* Watchers read the platform and send what they see along, in any order. */
active proctype watcher() {
  byte node, seen;
end_watcher:
  do
  :: atomic { nfull(relay) && version > 0 ->
       seen = version;
       select(node : 0 .. NODES - 1);
       relay ! node, seen; node = 0; seen = 0 }
  od
}

active proctype network() {
  byte node, seen;
end_network:
  do
  :: atomic { nempty(relay) ->
       relay ? node, seen;
       if
       :: nfull(relay) -> relay ! node, seen /* late */
       :: true ->
#ifdef LATEST_WINS
          assert(seen >= revision[node]);
          revision[node] = seen
#else
          if
          :: seen > revision[node] -> revision[node] = seen
          :: else
          fi
#endif
       :: true -> skip /* lost */
       fi;
       node = 0; seen = 0 }
  /* a node learns from a peer */
  :: atomic { revision[0] > revision[1] -> revision[1] = revision[0] }
  :: atomic { revision[1] > revision[0] -> revision[0] = revision[1] }
  od
}

init {
  atomic { run operator(0); run operator(1) }
  (_nr_pr == 3); /* both operators have ended */
  /* a change is in the history at most once, and if accepted exactly once */
  assert(times[0] <= 1 && times[1] <= 1);
  assert(!accepted[0] || times[0] == 1);
  assert(!accepted[1] || times[1] == 1);
  /* what was refused is not there */
  assert(!refused[0] || times[0] == 0);
  assert(!refused[1] || times[1] == 0);
  /* of two changes from one version one is accepted at the most */
  assert(!(accepted[0] && accepted[1] && from[0] == from[1]))
}
