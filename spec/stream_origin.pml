/*
 * The software version of one stream that a client receives over several
 * attempts, each at a gateway of its own, and the record group that keeps the
 * version of each attempt.
 *
 * A gateway records the version that it chooses. Until its first event it may
 * choose again, with a higher number, and then serves only at a version that is
 * confirmed. It may serve without a confirmation at its first choice, for good.
 * Requests to the group are sent twice and arrive in any order, late or never;
 * replies may be lost. A gateway may die, or its connection to the client may
 * break, at any moment; then the client begins the next attempt and names the
 * one that brought its first event.
 *
 * Checked: all events that the client receives are of one version.
 *
 * Mutations, each of which must be found:
 *   -DGUESS           a stream of which no record is found goes on all the same
 *   -DKEEP_OLD        while a change is not confirmed the gateway serves at the
 *                     version before
 *   -DNO_NUMBERS      a late copy of an earlier choice replaces a later one
 *   -DOWN_CHOICE      an attempt that resumes a stream runs at its own choice
 *   -DCHANGE_LATE     the version may change after the first event
 */
#define ATTEMPTS 2
#define CHOICES 2
#define COPIES 2
#define NONE 9

/* The group: the version and choice recorded for each attempt; 0 for none. */
byte version[ATTEMPTS];
byte choice[ATTEMPTS];
bool continues[ATTEMPTS];

/* Requests: copies that are still on the way. */
byte copies[ATTEMPTS * CHOICES];
byte wanted[ATTEMPTS * CHOICES];
byte resumes[ATTEMPTS];
/* Replies that have arrived at the gateways; 0 for none. */
byte replied[ATTEMPTS * CHOICES];

/* The client. */
byte current = 0;
byte first_attempt = NONE;
byte received = 0; /* the version of its events; 0 before the first */

inline ask(n, v) {
  wanted[self * CHOICES + n] = v;
  copies[self * CHOICES + n] = COPIES
}

proctype gateway(byte self) {
  byte number = 0;
  byte required = 0;
  bool final = false;
  if
  :: ask(0, 1)
  :: ask(0, 2)
  fi;
  do
  /* The reply to the latest choice arrives. */
  :: required == 0 && replied[self * CHOICES + number] != 0 ->
#ifndef GUESS
     if
     :: resumes[self] != NONE && !continues[self] -> break /* not known: refused */
     :: else
     fi;
#endif
     required = replied[self * CHOICES + number];
     final = (resumes[self] != NONE)
  /* An event reaches the client, if it still listens. */
  :: required != 0 ->
     atomic {
       if
       :: current == self ->
          assert(received == 0 || received == required);
          received = required;
          if
          :: first_attempt == NONE -> first_attempt = self
          :: else
          fi
       :: else
       fi;
       final = true
     }
  /* The group does not answer. */
  :: required == 0 && number == 0 && resumes[self] == NONE ->
     required = wanted[self * CHOICES];
     final = true
  /* Another version is chosen. */
#ifdef CHANGE_LATE
  :: required != 0 && number + 1 < CHOICES ->
#else
  :: required != 0 && !final && number + 1 < CHOICES ->
#endif
     number++;
     ask(number, 3 - required);
#ifndef KEEP_OLD
     required = 0
#endif
#ifdef KEEP_OLD
     skip
#endif
  /* The gateway dies, or gives up. */
  :: break
  od
}

proctype group() {
  byte a;
  byte n;
  do
  :: atomic {
       select(a : 0 .. 1);
       select(n : 0 .. 1);
       if
       :: copies[a * CHOICES + n] == 0
       :: copies[a * CHOICES + n] > 0 ->
          copies[a * CHOICES + n]--;
          if
          :: skip /* lost */
          :: true ->
             if
#ifdef NO_NUMBERS
             :: false
#else
             :: version[a] != 0 && choice[a] >= n + 1
#endif
             :: else ->
                choice[a] = n + 1;
                version[a] = wanted[a * CHOICES + n];
#ifndef OWN_CHOICE
                if
                :: resumes[a] != NONE && version[resumes[a]] != 0 ->
                   version[a] = version[resumes[a]];
                   continues[a] = true
                :: else
                fi
#else
                continues[a] = true
#endif
             fi;
             if
             :: replied[a * CHOICES + n] = version[a]
             :: skip /* the reply is lost */
             fi
          fi
       fi
     }
  :: break
  od
}

proctype client() {
  do
  :: current + 1 < ATTEMPTS ->
     atomic {
       current++;
       resumes[current] = first_attempt;
       run gateway(current)
     }
  :: break
  od
}

init {
  atomic {
    resumes[0] = NONE;
    resumes[1] = NONE;
    run group();
    run gateway(0);
    run client()
  }
}
