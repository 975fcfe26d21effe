/*
 * A key that the operator takes away, as gateways hear of it: a relay asks the
 * store whether its copy is current, and tells a gateway that follows it how
 * old the copy can be.
 *
 * Time goes on at any moment, between any two steps: so messages are late,
 * processes stand still, and the store is silent for as long as it likes.
 * Questions, heartbeats and answers may be lost.
 *
 * Checked: nothing is sent to a replica with the key once LIMIT has passed
 * since the store has taken the change.
 *
 * Mutations, each of which must be found:
 *   -DFROM_ANSWER     the relay's proof counts from when the answer came
 *   -DFROM_ARRIVAL    the gateway subtracts the age from when it arrived
 *   -DPUSH_PROVES     a copy that is pushed counts as an answer just sent
 *   -DWATCH_PROVES    a watch that stands counts as proof
 *   -DWITHOUT_CONTENT the gateway takes the age of a copy that it lacks
 *   -DNO_RECHECK      a request is checked when it comes, not when it is sent
 */
#define LAST 4  /* ticks that are explored */
#define LIMIT 2 /* ticks for which proof is good */

byte now = 0;
bool gone = false;   /* the key, at the store */
byte gone_at;

chan question = [1] of { byte };             /* when it was asked */
chan answer = [1] of { byte, bool };         /* when it was asked; gone? */
chan heartbeat = [1] of { byte };            /* when it was sent */
chan copies = [1] of { byte, byte, bool, bool }; /* sent, age, gone?, pushed? */

active proctype clock() {
  do
  :: atomic { now < LAST -> now++ }
  :: now >= LAST -> break
  od
}

active proctype operator() {
  atomic { gone = true; gone_at = now }
}

/* Answers what it has at that moment, or nothing. */
active proctype store() {
  byte asked;
end_store:
  do
  :: atomic { question ? asked ->
       if
       :: nfull(answer) -> answer ! asked, gone
       :: true -> skip
       fi;
       asked = 0 }
  od
}

active proctype relay() {
  bool has = false;     /* its copy knows that the key is gone */
  byte confirmed = 0;   /* the copy was current at that time or later */
  byte asked, sent;
  bool told;
end_relay:
  do
  :: atomic { nfull(question) -> question ! now }
  :: atomic { answer ? asked, told ->
       has = has || told;
#ifdef FROM_ANSWER
       asked = now;
#endif
       if
       :: asked > confirmed -> confirmed = asked
       :: else
       fi;
       asked = 0; told = false }
  /* its watch tells it */
  :: atomic { gone && !has -> has = true }
#ifdef WATCH_PROVES
  :: atomic { confirmed < now -> confirmed = now }
#endif
  :: atomic { heartbeat ? sent ->
       if
       :: nfull(copies) -> copies ! sent, now - confirmed, has, false
       :: true -> skip
       fi;
       sent = 0 }
  /* pushes what it has */
  :: atomic { nfull(copies) -> copies ! now, now - confirmed, has, true }
  od
}

active proctype gateway() {
  bool has = false;
  byte confirmed = 0;
  byte sent, age;
  bool told, pushed, waits = false;
end_gateway:
  do
  :: atomic { nfull(heartbeat) -> heartbeat ! now }
  :: atomic { copies ? sent, age, told, pushed ->
       if
       :: skip /* lost */
       :: true ->
#ifdef WITHOUT_CONTENT
          if
          :: has = has || told
          :: skip /* a message before this one was lost */
          fi;
#else
          has = has || told;
#endif
#ifdef FROM_ARRIVAL
          sent = now;
#endif
#ifdef PUSH_PROVES
          if
          :: pushed -> sent = now
          :: else
          fi;
          pushed = false;
#endif
          if
          :: !pushed && sent >= age && sent - age > confirmed ->
             confirmed = sent - age
          :: else
          fi
       fi;
       sent = 0; age = 0; told = false; pushed = false }
  /* a request comes with the key */
  :: atomic { !waits && !has && now < confirmed + LIMIT -> waits = true }
  /* and is sent to a replica, or refused */
  :: atomic { waits ->
       if
#ifdef NO_RECHECK
       :: true ->
#else
       :: !has && now < confirmed + LIMIT ->
#endif
          assert(!gone || now < gone_at + LIMIT)
       :: true -> skip
       fi;
       waits = false }
  od
}
