/*
 * Permits of one tenant with a quota: two nodes that may lead the partition
 * which keeps its account, and gateways that send with what they are given.
 *
 * The leader reserves permits in the log and gives them from memory; it tells
 * with its next reservation what it has given. A node that is no longer leader
 * goes on giving until what it has expires. Entries that were on their way when
 * the leader changed are recorded or not, and their proposer never hears. Nodes
 * apply what others have recorded at once or later. Time goes on at any moment,
 * so messages are late and processes stand still.
 *
 * Checked: within any window of WINDOW ticks no more than MOST are sent.
 *
 * Mutations, each of which must be found:
 *   -DFORGET_RESERVED  a new leader takes what another had reserved for unused
 *   -DCOUNT_LATE       a reservation counts only once its leader has told
 *   -DFROM_ANSWER      a permit is void some time after its answer came
 *   -DGIVE_EXPIRED     a leader gives what it has although its time is up
 *   -DOWN_CLOCKS       nodes stamp entries with clocks that differ by a tick
 *   -DNO_WAIT          a leader reserves before it has applied all of others
 */
#define LAST 5   /* ticks that are explored */
#define TIMES 8  /* of the quota clock: it may differ in a mutation */
#define WINDOW 2
#define LIFE 2   /* ticks for which a permit is good */
#define GOOD 2   /* ticks for which a reservation may be given */
#define MOST 2
/* A permit counts so many ticks after it was given. */
#define COUNTED (WINDOW + LIFE - 2)
#define FLIGHT 2 /* permits that gateways hold at a time, one of each node */

byte now = 0;
byte sent[LAST + 1];

/* The account, as the log has it. */
byte given[TIMES];
byte reserved = 0;
byte until = 0;
byte number = 0;
byte time = 0; /* of the quota clock */

byte leader = 0;
byte changes = 0;

typedef node_state {
  byte follows;
  byte left;
  byte good_until;
  byte told[TIMES]; /* given since the last proposal */
  bool behind;      /* others' entries are not applied yet */
  byte base;        /* the quota clock when it last followed others */
  byte base_at;
  bool proposed;
  byte p_given[TIMES];
  byte p_kept;
  byte p_time;
  byte p_good_until
};
node_state nodes[2];

byte permits[FLIGHT]; /* void from this tick on; 0 for none */

#ifdef OWN_CLOCKS
#define READ(n) (now + n)
#else
#define READ(n) (nodes[n].base + now - nodes[n].base_at)
#endif

byte i, sum, granted;

inline count_at(t) {
  sum = 0;
  i = 0;
  do
  :: i < TIMES ->
     if
     :: i + COUNTED >= t -> sum = sum + given[i]
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

/* Records node n's proposal. */
inline record(n) {
  if
  :: nodes[n].p_time > time -> time = nodes[n].p_time
  :: else
  fi;
  if
  :: nodes[n].follows == number && number > 0 ->
     i = 0;
     do
     :: i < TIMES -> given[i] = given[i] + nodes[n].p_given[i]; i++
     :: else -> break
     od;
     i = 0
  :: else ->
#ifndef FORGET_RESERVED
     given[until] = given[until] + reserved
#else
     skip
#endif
  fi;
  reserved = nodes[n].p_kept;
  count_at(time);
#ifndef COUNT_LATE
  sum = sum + reserved;
#endif
  if
  :: sum < MOST -> granted = MOST - sum
  :: else -> granted = 0
  fi;
  if
  :: granted > 0 -> granted = 1
  :: granted > 1 -> skip /* all that is left, or one */
  :: else
  fi;
  reserved = reserved + granted;
  until = time + GOOD - 1;
  number++
}

inline forget(n) {
  i = 0;
  do
  :: i < TIMES -> nodes[n].told[i] = 0; nodes[n].p_given[i] = 0; i++
  :: else -> break
  od;
  i = 0;
  nodes[n].follows = 0;
  nodes[n].left = 0;
  nodes[n].proposed = false;
  nodes[n].p_kept = 0;
  nodes[n].p_time = 0;
  nodes[n].p_good_until = 0
}

inline follow(n) {
  nodes[n].base = time;
  nodes[n].base_at = now;
  nodes[n].behind = false
}

#ifdef NO_WAIT
#define READY(n) true
#else
#define READY(n) (!nodes[n].behind)
#endif

#ifdef GIVE_EXPIRED
#define MAY_GIVE(n) (nodes[n].left > 0)
#else
#define MAY_GIVE(n) (nodes[n].left > 0 && now < nodes[n].good_until)
#endif

inline propose(n) {
  if
  :: now >= nodes[n].good_until -> nodes[n].left = 0
  :: else
  fi;
  i = 0;
  do
  :: i < TIMES -> nodes[n].p_given[i] = nodes[n].told[i];
     nodes[n].told[i] = 0; i++
  :: else -> break
  od;
  i = 0;
  nodes[n].p_kept = nodes[n].left;
  nodes[n].p_time = READ(n);
  nodes[n].p_good_until = now + GOOD;
  nodes[n].proposed = true
}

inline give(n) {
  nodes[n].left--;
  nodes[n].told[READ(n)] = nodes[n].told[READ(n)] + 1;
#ifdef FROM_ANSWER
  permits[n] = LAST + 1
#else
  permits[n] = now + LIFE
#endif
}

inline use(k) {
  permits[k] = 0;
  sent[now] = sent[now] + 1;
  sum = 0;
  i = 0;
  do
  :: i <= now ->
     if
     :: i + WINDOW > now -> sum = sum + sent[i]
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0;
  assert(sum <= MOST);
  sum = 0
}

inline hear(n) {
  nodes[n].left = nodes[n].left + granted;
  nodes[n].good_until = nodes[n].p_good_until;
  nodes[n].follows = number;
  nodes[n].proposed = false;
  granted = 0;
  sum = 0
}

inline change_leader() {
  /* What was on its way is recorded or not. */
  if
  :: nodes[leader].proposed ->
     record(leader);
     nodes[1 - leader].behind = true;
     nodes[leader].behind = true
  :: true -> skip
  fi;
  nodes[leader].proposed = false;
  granted = 0;
  sum = 0;
  leader = 1 - leader;
  forget(leader);
  changes++
}

active proctype world() {
  do
  :: atomic { now < LAST -> now++ }
  :: atomic { !nodes[leader].proposed && READY(leader) && number < 3 ->
       propose(leader) }
  :: atomic { nodes[leader].proposed ->
       record(leader); nodes[1 - leader].behind = true; hear(leader) }
  :: atomic { nodes[0].behind -> follow(0) }
  :: atomic { nodes[1].behind -> follow(1) }
  :: atomic { MAY_GIVE(0) && permits[0] <= now -> give(0) }
  :: atomic { MAY_GIVE(1) && permits[1] <= now -> give(1) }
  :: atomic { permits[0] > now -> use(0) }
  :: atomic { permits[1] > now -> use(1) }
  :: atomic { changes < 2 -> change_leader() }
  :: atomic { now == LAST -> break }
  od
}
