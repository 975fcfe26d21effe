/*
 * One call of a program, from its caller's request to its final answer.
 *
 * A leader of the program's partition records the call, commits one attempt at
 * a time, and asks a dispatcher to start it. Leaders change at any moment; an
 * old one may still be running and believe that it leads. Dispatchers of the
 * back end change as well. Messages are lost, duplicated and late.
 *
 * The partition's log is taken as one register that only the leader of the
 * newest term can change: spec/log.pml is about why that is so.
 *
 * Checked: an unrepeatable call starts at most once; "not run" is said only if
 * it never starts, before or after; the program never spends more than its
 * budget.
 *
 * Mutations, each of which must be found:
 *   -DNO_FENCE      any dispatcher may be asked to start, also after another
 *   -DNO_BAR        a refusal is said without settling the key in the log
 *   -DRETRY_LOST    an unrepeatable attempt that was lost is tried again
 *   -DNO_RESERVE    budget is checked when a call ends instead of before
 *   -DSTALE_COMMIT  a leader of an old term can still commit
 */
#define LEADERS 2
#define DISPATCHERS 2
#define ATTEMPTS 2
#define COST 3
#define BUDGET 4

mtype = { WAITING, RUNNING, DONE, NOT_RUN, UNKNOWN };
mtype = { COMPLETED, DECLINED, LOST };

/* The committed record of the call and of the program's budget. */
bool recorded = false;
mtype state = WAITING;
byte attempt = 0;
byte reserved = 0;
byte spent = 0;

/* The newest terms; everybody else may be behind. */
byte program_term = 0;
byte backend_term = 0;

/* What the world saw. */
byte starts = 0;           /* times that the engine began the call */
bool said_not_run = false;
bool said_unknown = false;
bool said_done = false;

/* Orders to dispatchers: term meant, attempt, may start. Replies: attempt. */
chan orders = [2] of { byte, byte, bool };
chan replies = [2] of { byte, mtype };

/* What the present leader knows of the attempt's dispatchers. */
byte asked_term = 0;       /* the dispatcher term first asked; 0: none */
bool asked_two = false;
bool attempt_is_own = false;

/* Dispatchers: per term, whether it has taken or declined the attempt. */
bool taken[4];
bool declined[4];

/* What must hold whenever the call starts or an outcome is said. */
inline check() {
  assert(starts <= 1);                     /* at most once */
  assert(!(said_not_run && starts > 0));   /* "not run" is true */
  assert(!(said_not_run && said_done));    /* one outcome */
  assert(spent + reserved <= BUDGET)       /* within the budget */
}

inline settle(outcome) {
  state = outcome;
#ifdef NO_RESERVE
  spent = spent + (outcome == NOT_RUN -> 0 : COST)
#else
  spent = spent + (outcome == NOT_RUN -> 0 : COST);
  reserved = reserved - COST
#endif
}

/* A request of the caller reaches the leader; copies arrive at any time. */
active proctype caller() {
  byte copies = 0;
  do
  :: copies < 2 ->
     atomic {
       copies++;
       if
       :: recorded -> skip /* the record stands, whatever it says */
       :: !recorded ->
#ifdef NO_RESERVE
          recorded = true; state = WAITING;
#else
          if
          :: spent + reserved + COST <= BUDGET ->
             recorded = true; state = WAITING; reserved = reserved + COST
          :: else -> skip
          fi
#endif
       fi
     }
  :: copies < 2 ->
     /* The leader refuses, for want of a back end say. */
     atomic {
       copies++;
       if
       :: recorded -> skip
       :: !recorded ->
#ifndef NO_BAR
          recorded = true; state = NOT_RUN;
#endif
          said_not_run = true; check()
       fi
     }
  :: copies >= 2 -> break
  od
}

/* The leader of the program's partition, whoever it is. */
active proctype leader() {
  byte reply_attempt;
  mtype reply;
end_leader:
  do
  :: atomic { recorded && state == WAITING && attempt == 0 ->
       /* commit the first attempt */
       attempt = 1; state = RUNNING;
       attempt_is_own = true; asked_term = 0; asked_two = false }
  :: atomic { state == RUNNING && nfull(orders) && asked_term == 0 &&
              attempt_is_own ->
       asked_term = backend_term + 1;
       orders ! backend_term, attempt, true }
  :: atomic { state == RUNNING && nfull(orders) &&
              (asked_term != 0 || !attempt_is_own) ->
       /* ask again: the same dispatcher may start it, another may not */
#ifdef NO_FENCE
       orders ! backend_term, attempt, true
#else
       if
       :: attempt_is_own && asked_term == backend_term + 1 ->
          orders ! backend_term, attempt, true
       :: else ->
          orders ! backend_term, attempt, false
       fi
#endif
     }
  :: atomic { state == RUNNING && nempty(replies) ->
       replies ? reply_attempt, reply;
       if
       :: reply_attempt != attempt -> skip
       :: reply_attempt == attempt && reply == COMPLETED ->
          settle(DONE); said_done = true; check()
       :: reply_attempt == attempt && reply == DECLINED && attempt_is_own ->
          /* the only dispatcher that may start it has declined for good */
          settle(NOT_RUN); said_not_run = true; check()
       :: reply_attempt == attempt && (reply == LOST ||
                                       (reply == DECLINED && !attempt_is_own)) ->
#ifdef RETRY_LOST
          if
          :: attempt < ATTEMPTS ->
             attempt = attempt + 1; attempt_is_own = true;
             asked_term = 0; taken[0] = false; taken[1] = false;
             taken[2] = false; taken[3] = false
          :: else -> settle(UNKNOWN); said_unknown = true; check()
          fi
#else
          settle(UNKNOWN); said_unknown = true; check()
#endif
       fi }
  od
}

/* Leaders of the program's partition and of the back end's come and go. */
active proctype elections() {
  do
  :: program_term < LEADERS ->
     atomic { program_term++;
              /* the new one knows the log and nothing else */
              attempt_is_own = false; asked_term = 0 }
  :: backend_term < DISPATCHERS -> backend_term++
  :: break
  od;
#ifdef STALE_COMMIT
  /* An old leader that still believes it leads commits its own attempt. */
  if
  :: atomic { recorded && state == RUNNING && attempt < ATTEMPTS ->
       attempt++; orders ! backend_term, attempt, true }
  :: skip
  fi
#endif
}

/* Dispatchers: each term is one process that remembers what it was asked. */
active proctype dispatcher() {
  byte term, number;
  bool may_start;
end_dispatcher:
  do
  :: atomic { nempty(orders) ->
       orders ? term, number, may_start;
       if
       :: taken[term] || declined[term] -> skip /* a copy: as answered */
       :: !taken[term] && !declined[term] && may_start ->
          if
          :: taken[term] = true; starts++; check()
          :: declined[term] = true;
             if
             :: nfull(replies) -> replies ! number, DECLINED
             :: true -> skip /* lost */
             fi
          fi
       :: !taken[term] && !declined[term] && !may_start ->
          /* only resumes: the engine knows it or it is lost */
          if
          :: starts > 0 && nfull(replies) -> replies ! number, COMPLETED
          :: nfull(replies) -> replies ! number, LOST
          :: true -> skip
          fi
       fi }
  :: atomic { nempty(orders) -> orders ? term, number, may_start } /* lost */
  :: atomic { nempty(orders) && nfull(orders) ->
       orders ? term, number, may_start;
       orders ! term, number, may_start; /* late, */
       if
       :: nfull(orders) -> orders ! term, number, may_start /* and twice */
       :: true -> skip
       fi }
  :: atomic { starts > 0 && nfull(replies) -> replies ! attempt, COMPLETED }
  :: atomic { starts > 0 && nfull(replies) -> replies ! attempt, LOST }
  od
}

/* Another call of the same program, which spends from the same budget. */
active proctype other_call() {
  bool admitted = false;
  atomic {
    if
#ifdef NO_RESERVE
    :: spent + COST <= BUDGET -> admitted = true
#else
    :: spent + reserved + COST <= BUDGET ->
       admitted = true; reserved = reserved + COST
#endif
    :: else -> skip
    fi
  }
  atomic {
    if
    :: admitted ->
#ifndef NO_RESERVE
       reserved = reserved - COST;
#endif
       spent = spent + COST; check()
    :: else -> skip
    fi
  }
}
