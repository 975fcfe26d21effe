/*
 * A zone that the operator drains, as gateways hear of it: a relay watches the
 * store and confirms its copy, and a gateway that follows it learns of the drain
 * and moves the zone's traffic away, not all of it at once.
 *
 * Time goes on at any moment, so messages are late and processes stand still.
 * Answers and pushed copies may be lost. The gateway may be restarted at any
 * moment, and then knows nothing.
 *
 * Checked: what a gateway sends to the zone although it knows of the drain is
 * sent before LIMIT has passed since the store has taken it; a gateway that has
 * just started sends nothing before it has heard the list; and a gateway whose
 * copy was confirmed after the drain sends nothing at all.
 *
 * Not bound: a gateway that cannot know. It goes by what it heard last.
 *
 * Mutations, each of which must be found:
 *   -DFROM_HEARD      the move is timed from when the drain was heard of
 *   -DLOST_CONFIRMS   the gateway takes the confirmation of a copy that it lacks
 *   -DSTART_EMPTY     a gateway that has just started takes no zone for drained
 *   -DNO_RECHECK      a request is checked when it comes, not when it is sent
 */
#define LAST 5  /* ticks that are explored */
#define LIMIT 3 /* ticks until nothing may be sent to the zone */
#define MOVE 1  /* ticks in which the traffic moves */

byte now = 0;
bool drained = false; /* at the store */
byte drained_at;

chan question = [1] of { byte };           /* when it was asked */
chan answer = [1] of { byte, bool };       /* when it was asked; drained? */
chan heartbeat = [1] of { byte };          /* when it was sent */
chan copies = [1] of { byte, byte, bool }; /* sent, age, drained? */

active proctype clock() {
  do
  :: atomic { now < LAST -> now++ }
  :: now >= LAST -> break
  od
}

active proctype operator() {
  atomic { drained = true; drained_at = now }
}

active proctype store() {
  byte asked;
end_store:
  do
  :: atomic { question ? asked ->
       if
       :: nfull(answer) -> answer ! asked, drained
       :: true -> skip
       fi;
       asked = 0 }
  od
}

active proctype relay() {
  bool has = false;   /* its copy has the drain */
  byte confirmed = 0; /* the copy was current at that time or later */
  byte asked, sent;
  bool told;
end_relay:
  do
  :: atomic { nfull(question) -> question ! now }
  :: atomic { answer ? asked, told ->
       has = has || told;
       if
       :: asked > confirmed -> confirmed = asked
       :: else
       fi;
       asked = 0; told = false }
  :: atomic { drained && !has -> has = true } /* its watch tells it */
  :: atomic { heartbeat ? sent ->
       if
       :: nfull(copies) -> copies ! sent, now - confirmed, has
       :: true -> skip
       fi;
       sent = 0 }
  od
}

active proctype gateway() {
  bool known = true;  /* it has heard the list */
  bool has = false;   /* it has heard of the drain */
  byte confirmed = 0; /* what it knows was current then or later */
  bool proven = true; /* whether it was ever confirmed */
  byte until = 0;     /* the zone's traffic has left by then */
  byte sent, age;
  bool told, waits = false;
end_gateway:
  do
  :: atomic { nfull(heartbeat) -> heartbeat ! now }
  :: atomic { copies ? sent, age, told ->
       if
       :: skip /* lost */
#ifdef LOST_CONFIRMS
       :: sent >= age && sent - age > confirmed -> confirmed = sent - age
#endif
       :: true ->
          if
          :: told && !has ->
             has = true;
             until = now;
             /* it moves in time when it knows since when it may have begun */
#ifdef FROM_HEARD
             until = now + MOVE + 1;
#else
             if
             :: known && proven && now + MOVE < confirmed + LIMIT ->
                until = now + MOVE
             :: known && proven && now + MOVE >= confirmed + LIMIT &&
                now < confirmed + LIMIT -> until = confirmed + LIMIT - 1
             :: else
             fi
#endif
          :: else
          fi;
          known = true;
          if
          :: sent >= age && (!proven || sent - age > confirmed) ->
             confirmed = sent - age; proven = true
          :: else
          fi
       fi;
       sent = 0; age = 0; told = false }
  /* restarted; requests that waited are gone with it */
  :: atomic { has = false; proven = false; confirmed = 0; until = 0;
       waits = false;
#ifdef START_EMPTY
       known = true
#else
       known = false
#endif
     }
  /* a request comes that would go to the zone */
  :: atomic { !waits && known && (!has || now < until) -> waits = true }
  /* and is sent there, or elsewhere */
  :: atomic { waits ->
       if
#ifdef NO_RECHECK
       :: true ->
#else
       :: known && (!has || now < until) ->
#endif
          assert(known);
          assert(!has || now < drained_at + LIMIT);
          assert(has || !drained || !proven || confirmed <= drained_at);
#ifdef START_EMPTY
          assert(proven || !drained)
#endif
       :: true -> skip
       fi;
       waits = false }
  od
}
