/*
 * Elections and changes of the replica set after a voter has lost its disk.
 *
 * Once its node is back under another identity, everybody may know that the
 * voter is dead. Elections then need fewer votes: enough to meet each majority
 * that can have committed something, and to meet each other. A voter that is
 * only out of touch may be removed from the set meanwhile, and may come back.
 *
 * Identities 0 to 2 are the first voters. Messages are taken as exchanges that
 * may fail to happen at any moment, as in log.pml.
 *
 * Checked: one leader a term; a committed entry is never lost or replaced, that
 * is, every leader holds all that was committed before.
 *
 * Mutations, each of which must be found:
 *   -DNEW_SET_ALONE   while a change of the set is not known to be committed, a
 *                     candidate counts votes of the new set only
 *   -DCOMMIT_NEW      a change is committed by the new set only
 *   -DDEAD_VOTE       a vote that was given before its voter died counts beside
 *                     the smaller number that is needed then
 */
#define IDS 3
#ifndef LEN
#define LEN 3
#endif
#ifndef TERMS
#define TERMS 3
#endif
#define FIRST_SET 7 /* bits of identities 0, 1 and 2 */

#define at(id, index) ((id) * LEN + (index))

byte term[IDS];
byte voted[IDS];      /* identity + 1 in the present term; 0: nobody */
byte votes[IDS];      /* bits, while a candidate */
bool leads[IDS];
bool dead[IDS];
byte length[IDS];
byte log_term[IDS * LEN];
byte log_set[IDS * LEN]; /* 0: a command; otherwise the new replica set */
byte match[IDS * IDS];   /* leader * IDS + follower */
byte commit[IDS];

/* What has been committed by anybody. */
byte committed = 0;
byte committed_term[LEN];
byte committed_in[LEN]; /* the term of the leader that committed it first */
byte leader_of[TERMS + 1]; /* identity + 1 */
byte deaths = 0;
byte dead_bits = 0; /* 7 - dead_bits: those that live */

inline current_set(id, result) {
  result = FIRST_SET;
  i = 0;
  do
  :: i < length[id] ->
     if
     :: log_set[at(id, i)] != 0 -> result = log_set[at(id, i)]
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

inline count_bits(number, ones) {
  ones = ((number) & 1) + (((number) >> 1) & 1) + (((number) >> 2) & 1)
}

/* The set before the last change, if that is not known to be committed;
   otherwise the last set. */
inline other_set(id, result) {
  result = FIRST_SET;
  newest = FIRST_SET;
  i = 0;
  do
  :: i < length[id] ->
     if
     :: log_set[at(id, i)] != 0 ->
        if
        :: i >= commit[id] -> result = newest
        :: else -> result = log_set[at(id, i)]
        fi;
        newest = log_set[at(id, i)]
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0; newest = 0
}

/* Whether votes suffice among the voters of a set. */
inline elects(all_votes, voters, result) {
  count_bits(voters, bits);
  count_bits(voters & dead_bits, lost);
#ifdef DEAD_VOTE
  count_bits(all_votes & voters, held);
#else
  count_bits(all_votes & voters & (7 - dead_bits), held);
#endif
  if
  :: lost == 0 -> result = held * 2 > bits
  :: else ->
     result = held >= bits - bits / 2 && held * 2 > bits - lost
  fi;
  bits = 0; lost = 0; held = 0
}

inline last_term(id, result) {
  if
  :: length[id] == 0 -> result = 0
  :: else -> result = log_term[at(id, length[id] - 1)]
  fi
}

/* An identity that is no voter of its own set does not campaign. */
proctype replica(byte me) {
  byte i, other, set, before, newest, bits, lost, mine, theirs, held;
  bool ok, ok_before;
end_replica:
  do
  /* campaign in the next term */
  :: atomic { !dead[me] && !leads[me] && term[me] < TERMS ->
       current_set(me, set);
       if
       :: ((set >> me) & 1) == 1 ->
          term[me] = term[me] + 1; voted[me] = me + 1; votes[me] = 1 << me
       :: else
       fi;
       set = 0 }
  /* ask somebody for a vote */
  :: atomic { !dead[me] && !leads[me] && votes[me] != 0 ->
       select(other : 0 .. IDS - 1);
       if
       :: other != me && !dead[other] && term[me] >= term[other] ->
          if
          :: term[me] > term[other] ->
             term[other] = term[me]; voted[other] = 0; leads[other] = false;
             votes[other] = 0
          :: else
          fi;
          last_term(me, mine); last_term(other, theirs);
          ok = mine > theirs || (mine == theirs && length[me] >= length[other]);
          if
          :: ok && voted[other] == 0 ->
             voted[other] = me + 1; votes[me] = votes[me] | (1 << other)
          :: else
          fi
       :: else
       fi;
       other = 0; mine = 0; theirs = 0; ok = false }
  /* win */
  :: atomic { !dead[me] && !leads[me] && votes[me] != 0 ->
       current_set(me, set);
       other_set(me, before);
       elects(votes[me], set, ok);
#ifdef NEW_SET_ALONE
       ok_before = true;
#else
       elects(votes[me], before, ok_before);
#endif
       if
       :: ok && ok_before ->
          leads[me] = true; votes[me] = 0;
          assert(leader_of[term[me]] == 0 || leader_of[term[me]] == me + 1);
          leader_of[term[me]] = me + 1;
          /* it holds all that leaders of earlier terms committed; votes for an
             old term may be counted late, after a later one has committed */
          i = 0;
          do
          :: i < committed ->
             assert(committed_in[i] >= term[me] ||
                    (length[me] > i &&
                     log_term[at(me, i)] == committed_term[i]));
             i++
          :: else -> break
          od;
          i = 0;
          do
          :: i < IDS -> match[me * IDS + i] = 0; i++
          :: else -> break
          od;
          i = 0
       :: else
       fi;
       set = 0; before = 0; ok = false; ok_before = false }
  /* append a command */
  :: atomic { !dead[me] && leads[me] && length[me] < LEN ->
       log_term[at(me, length[me])] = term[me]; log_set[at(me, length[me])] = 0;
       length[me] = length[me] + 1 }
  /* change the set by one replica */
  :: atomic { !dead[me] && leads[me] && length[me] < LEN ->
       current_set(me, set);
       /* the last change must be committed, and an entry of this term */
       ok = commit[me] > 0 && log_term[at(me, commit[me] - 1)] == term[me];
       i = commit[me];
       do
       :: i < length[me] -> ok = ok && log_set[at(me, i)] == 0; i++
       :: else -> break
       od;
       i = 0;
       select(other : 0 .. IDS - 1);
       if
       :: ok && other != me && (set ^ (1 << other)) != 0 ->
          log_term[at(me, length[me])] = term[me];
          log_set[at(me, length[me])] = set ^ (1 << other);
          length[me] = length[me] + 1
       :: else
       fi;
       other = 0; set = 0; ok = false }
  /* bring another replica one step closer */
  :: atomic { !dead[me] && leads[me] ->
       select(other : 0 .. IDS - 1);
       if
       :: other != me && !dead[other] && term[me] >= term[other] ->
          if
          :: term[me] > term[other] ->
             term[other] = term[me]; voted[other] = me + 1;
             leads[other] = false; votes[other] = 0
          :: else -> leads[other] = false; votes[other] = 0
          fi;
          /* the common beginning, then one entry more */
          i = 0;
          do
          :: i < length[me] && i < length[other] &&
             log_term[at(me, i)] == log_term[at(other, i)] -> i++
          :: else -> break
          od;
          if
          :: i < length[me] ->
             log_term[at(other, i)] = log_term[at(me, i)];
             log_set[at(other, i)] = log_set[at(me, i)];
             i++;
             held = i;
             do
             :: i < LEN -> log_term[at(other, i)] = 0;
                           log_set[at(other, i)] = 0; i++
             :: else -> break
             od;
             length[other] = held
          :: else -> held = i
          fi;
          match[me * IDS + other] = held;
          if
          :: commit[other] < commit[me] && commit[other] < held ->
             commit[other] = (commit[me] < held -> commit[me] : held)
          :: else
          fi;
          i = 0; held = 0
       :: else
       fi;
       other = 0 }
  /* commit an entry of the own term that a majority holds */
  :: atomic { !dead[me] && leads[me] && commit[me] < length[me] ->
       current_set(me, set);
       mine = commit[me] + 1;
       /* up to the first entry of the own term */
       do
       :: mine < length[me] && log_term[at(me, mine - 1)] != term[me] -> mine++
       :: else -> break
       od;
       bits = 1 << me;
       i = 0;
       do
       :: i < IDS ->
          if
          :: i != me && match[me * IDS + i] >= mine -> bits = bits | (1 << i)
          :: else
          fi;
          i++
       :: else -> break
       od;
       i = 0;
       count_bits(bits & set, held); count_bits(set, theirs);
       ok = held * 2 > theirs;
#ifndef COMMIT_NEW
       other_set(me, before);
       count_bits((bits | dead_bits) & before, held);
       count_bits(before, theirs);
       ok = ok && held * 2 > theirs;
#endif
       if
       :: ok && log_term[at(me, mine - 1)] == term[me] ->
          commit[me] = mine;
          i = 0;
          do
          :: i < mine ->
             if
             :: i < committed ->
                assert(committed_term[i] == log_term[at(me, i)])
             :: else ->
                committed_term[i] = log_term[at(me, i)];
                committed_in[i] = term[me]; committed = i + 1
             fi;
             i++
          :: else -> break
          od;
          i = 0
       :: else
       fi;
       set = 0; before = 0; mine = 0; bits = 0; held = 0; theirs = 0;
       ok = false }
  /* die; what starts again in its place has forgotten everything */
  :: atomic { !dead[me] && deaths == 0 ->
       deaths = 1;
       leads[me] = false; votes[me] = 0;
       dead[me] = true; dead_bits = 1 << me
     }
  od
}

init {
  atomic { run replica(0); run replica(1); run replica(2) }
}
