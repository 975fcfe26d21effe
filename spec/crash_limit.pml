/*
 * The replicas that crash under one request, which its client sends over several
 * attempts, each at a gateway of its own, and the record group that counts them.
 *
 * Each replica that runs the request crashes. A gateway sends the first time
 * without asking if it knows of no crash. After a crash it reports it and asks to
 * send again; an allowed attempt counts like a crash until it reports. Reports may
 * arrive twice, the second time at any later moment; replies may be lost. A
 * gateway may die at any moment, but not between the first send of its attempt and
 * the report of that crash: nothing is recorded before a request is suspected.
 * A notice tells the other gateways of the first crash; the client's next attempt
 * begins after it has arrived.
 *
 * Checked: no replica gets the request after three have crashed under it.
 *
 * Mutations, each of which must be found:
 *   -DCOUNT_LATE    an attempt is counted only once its crash is reported
 *   -DNO_NUMBERS    a late copy of a report takes an attempt's risk back
 *   -DNO_NOTICE     a gateway does not hear of crashes at others
 *   -DPER_ATTEMPT   the group counts the crashes of each attempt
 */
#define ATTEMPTS 4
#define LIMIT 3

byte crashed_total = 0; /* replicas that crashed, as they know themselves */

/* The group. */
byte counted[ATTEMPTS];   /* crashes reported by each attempt */
byte last[ATTEMPTS];      /* number of its last report */
bool at_risk[ATTEMPTS];
bool noticed = false;     /* a gateway has announced a crash */

/* A copy of a report that is still under way; number 0 for none. */
byte copy_number[ATTEMPTS];

byte current = 0; /* the client's attempt; earlier ones have ended */

inline count_possible(sum) {
  sum = 0;
  i = 0;
  do
  :: i < ATTEMPTS ->
#ifdef PER_ATTEMPT
     if
     :: i == self -> sum = sum + counted[i]
     :: else
     fi;
#else
     sum = sum + counted[i];
#endif
#ifndef COUNT_LATE
     if
     :: at_risk[i] && i != self -> sum++
     :: else
     fi;
#endif
     i++
  :: else -> break
  od
}

/* The request reaches a replica, which crashes. */
inline send_and_crash() {
  assert(crashed_total < LIMIT);
  crashed_total++
}

proctype gateway(byte self) {
  byte number = 0;
  byte sum = 0;
  byte i = 0;
  byte unreported = 0;
  bool allowed = false;
  bool suspected = false;
#ifndef NO_NOTICE
  suspected = noticed;
#endif
  if
  :: !suspected ->
     atomic {
       send_and_crash();
       /* The first crash of an attempt is reported. */
       number++;
       counted[self]++;
       last[self] = number;
       copy_number[self] = number;
       noticed = true
     }
  :: else
  fi;
  do
  :: true ->
     /* Asks to send again, with the crash that is not reported yet. */
     atomic {
       number++;
       if
       :: number > last[self] ->
          last[self] = number;
          counted[self] = counted[self] + unreported;
          at_risk[self] = false;
          unreported = 0;
          count_possible(sum);
          at_risk[self] = (sum < LIMIT)
       :: else
       fi;
       if
       :: allowed = at_risk[self]
       :: allowed = false /* the reply is lost */
       fi
     }
     if
     :: !allowed -> break
     :: else
     fi;
     atomic {
       send_and_crash();
       unreported++
     }
  :: break /* the gateway dies */
  od;
  /* The client hears of the failure, and begins its next attempt. */
  atomic {
    if
    :: current + 1 < ATTEMPTS ->
       current++;
       run gateway(current)
    :: else
    fi
  }
}

/* A late copy of an attempt's first report arrives. */
proctype late_copies() {
  byte a = 0;
  do
  :: a < ATTEMPTS ->
     atomic {
       if
       :: copy_number[a] > 0 ->
#ifdef NO_NUMBERS
          at_risk[a] = false;
#else
          if
          :: copy_number[a] > last[a] -> at_risk[a] = false
          :: else
          fi;
#endif
          copy_number[a] = 0
       :: true
       fi;
       a++
     }
  :: else -> break
  od
}

init {
  atomic {
    run late_copies();
    run gateway(0)
  }
}
