/* A change of voters, with one register.
 *
 * The old set is {1, 2, 3}, the new one {2, 3, 4}: decided already, and brought
 * into force by two finishers that race. Each seals a majority of the old set,
 * copies the register from the sealed majority to each new voter, and tells
 * that voter that it is whole. Rounds run in both epochs throughout; a voter
 * answers a round of the old epoch unless sealed, one of the new epoch once
 * whole. Finishers and rounds may stop at any step. The old epoch has one round,
 * or two that stopped half way and left a value each at one voter.
 *
 * Checked: of any two chosen values, over both epochs, one descends from the
 * other.
 *
 * A round that finds its majority unanimous may take the value for chosen
 * without an accept, unless the value is a copy from the old epoch.
 *
 * Mutants: NO_SEAL (copies from voters that still vote), COPY_ONE (copies from
 * one voter instead of a majority), FLAT_BALLOTS (ballots are compared by their
 * counters without the epoch), COPY_IS_VOTE (copies from the old epoch are
 * taken for votes).
 */

#define VMS 4
#define ROUNDS 4

/* Ballots 1 and 2 belong to the old epoch, 3 and 4 to the new one. */
#define is_old_ballot(b) ((b) <= 2)
#define is_old_voter(v) ((v) <= 3)
#define is_new_voter(v) ((v) >= 2)

#ifdef FLAT_BALLOTS
/* The counter of ballot 2 lies between those of ballots 3 and 4. */
#define rank(b) ((b) == 2 -> 7 : ((b) == 4 -> 9 : (b)))
#else
#define rank(b) (b)
#endif

#define bit(b) (1 << (b))

/* By VM, from 1. */
byte promised[VMS + 1];
byte accepted[VMS + 1];
byte sealed;
byte whole;

/* By ballot: the set of ballots whose values this one's value descends from. */
byte lineage[ROUNDS + 1];
byte chosen;

#ifdef COPY_IS_VOTE
#define counts_as_vote(b) true
#else
#define counts_as_vote(b) (is_old_ballot(b) == is_old_ballot(ballot))
#endif

#define votes(v) (is_old_ballot(ballot) -> \
	(is_old_voter(v) && !(sealed & bit(v))) : (is_new_voter(v) && (whole & bit(v))))

#define may_prepare(v) (votes(v) && rank(promised[v]) < rank(ballot))

/* Prepares at two voters and learns the higher accepted value. */
inline prepare_at(v, w) {
	d_step {
		may_prepare(v) && may_prepare(w) ->
		promised[v] = ballot;
		promised[w] = ballot;
		split = accepted[v] != accepted[w];
		highest = (rank(accepted[v]) > rank(accepted[w]) -> accepted[v] : accepted[w])
	}
}

/* A refused round ends; a lost request is one that is never sent. */
inline accept_at(v) {
	d_step {
		if
		:: votes(v) && rank(promised[v]) <= rank(ballot) ->
			promised[v] = ballot;
			accepted[v] = ballot
		:: else -> end_round()
		fi
	}
}

inline end_round() {
	first = 0;
	second = 0;
	highest = 0;
	split = false
}

inline check_chosen(value) {
	d_step {
		other = 1;
		do
		:: other <= ROUNDS ->
			assert(!(chosen & bit(other))
				|| (lineage[value] & bit(other))
				|| (lineage[other] & bit(value)));
			other++
		:: else -> break
		od;
		other = 0;
		chosen = chosen | bit(value);
		end_round()
	}
}

/* Two voters of three, starting with number `lowest`, in either order. */
inline pick_two(lowest) {
	if
	:: first = lowest; second = lowest + 1
	:: first = lowest; second = lowest + 2
	:: first = lowest + 1; second = lowest + 2
	:: first = lowest + 1; second = lowest
	:: first = lowest + 2; second = lowest
	:: first = lowest + 2; second = lowest + 1
	fi
}

/* The lowest voter of the round's epoch. */
#define lowest_voter (is_old_ballot(ballot) -> 1 : 2)

proctype Round(byte ballot) {
	byte first, second, highest, other;
	bool split;

	if
	:: prepare_at(lowest_voter, lowest_voter + 1)
	:: prepare_at(lowest_voter, lowest_voter + 2)
	:: prepare_at(lowest_voter + 1, lowest_voter + 2)
	fi;
	if
	:: !split && highest && counts_as_vote(highest) ->
		check_chosen(highest)
	:: else ->
		atomic {
			lineage[ballot] = lineage[highest] | bit(ballot);
			highest = 0;
			split = false;
			pick_two(lowest_voter)
		};
		accept_at(first);
		if
		:: second ->
			accept_at(second);
			if
			:: second -> check_chosen(ballot)
			:: else
			fi
		:: else
		fi
	fi
}

/* The voter takes over whatever is newer. */
inline install(v, b) {
	if
	:: rank(b) > rank(accepted[v]) -> accepted[v] = b
	:: else
	fi;
	if
	:: rank(b) > rank(promised[v]) -> promised[v] = b
	:: else
	fi
}

inline seal_at(v) {
#ifdef NO_SEAL
	skip
#else
	sealed = sealed | bit(v)
#endif
}

/* Copies from two old voters to the new ones, from the lowest up or from the highest down. */
proctype Finisher(byte first, second; bool down) {
	byte copy[2], left = 3, v;

	seal_at(first);
	/* A sealed voter stands still, so both may be read now. */
	d_step {
		seal_at(second);
		copy[0] = accepted[first];
#ifndef COPY_ONE
		copy[1] = accepted[second];
#endif
		first = 0;
		second = 0
	};
	/* Installs what it read and completes the new voters one by one. */
	do
	:: left > 0 ->
		d_step {
			v = (down -> left + 1 : 5 - left);
			sealed = sealed | bit(v);
			if
			:: !(whole & bit(v)) ->
				install(v, copy[0]);
				install(v, copy[1]);
				whole = whole | bit(v)
			:: else
			fi;
			v = 0;
			left--
		}
	:: else -> break
	od
}

/* Both old rounds have stopped after one accept each: 1 at voter 1, then 2 at voter 3. */
inline start_split() {
	d_step {
		lineage[1] = bit(1);
		lineage[2] = bit(2);
		promised[1] = 1;
		accepted[1] = 1;
		promised[2] = 2;
		promised[3] = 2;
		accepted[3] = 2
	}
}

init {
	atomic {
		if
		:: run Round(2)
		:: start_split()
		fi;
		run Round(3);
		run Round(4);
		run Finisher(1, 2, true);
		run Finisher(3, 2, false)
	}
}
