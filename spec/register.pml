/* One register on three voters, changed by two proposers.
 *
 * Each proposer prepares a ballot at a majority, proposes a value that
 * descends from the highest accepted one it learned, and has a majority accept
 * it. The accept carries a promise for the proposer's next ballot, in which it
 * then proposes again without preparing.
 * Requests and answers may be lost, late or repeated: a proposer turns to any
 * voter at any time, as often as it likes, and may stop at any step. A voter
 * changes its state in memory, then syncs and answers; a crash between the two
 * takes it back to what is synced.
 *
 * Checked: of any two chosen values one descends from the other, so a chosen
 * change is never lost and no two changes follow the same value.
 *
 * Mutants: ANSWER_EARLY (answers before the sync), NO_NEXT_PROMISE (the accept
 * does not promise the next ballot), IGNORE_PROMISE (accepts below a promise).
 */

#define VOTERS 3
#define MAJORITY 2
#define CRASHES 1

byte promised[VOTERS];
byte accepted[VOTERS];
byte synced_promise[VOTERS];
byte synced_accept[VOTERS];

/* By ballot: the set of ballots whose values this one's value descends from. */
byte lineage[5];
byte chosen;

#define bit(b) (1 << (b))
#define has_majority(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) >= MAJORITY)

inline sync(v) {
	synced_promise[v] = promised[v];
	synced_accept[v] = accepted[v]
}

inline crash(v) {
	promised[v] = synced_promise[v];
	accepted[v] = synced_accept[v]
}

#ifdef ANSWER_EARLY
#define SYNC_BEFORE_ANSWER(v) skip
#else
#define SYNC_BEFORE_ANSWER(v) sync(v)
#endif

inline prepare_at(v) {
	d_step { promised[v] < ballot -> promised[v] = ballot };
	d_step {
		if
		:: promised[v] == ballot ->
			SYNC_BEFORE_ANSWER(v);
			answers = answers | bit(v);
			if
			:: accepted[v] > highest -> highest = accepted[v]
			:: else
			fi
		:: else
		fi
	}
}

#ifdef IGNORE_PROMISE
#define MAY_ACCEPT(v) (accepted[v] < ballot)
#else
#define MAY_ACCEPT(v) (promised[v] <= ballot)
#endif

inline accept_at(v) {
	d_step {
		MAY_ACCEPT(v) ->
		accepted[v] = ballot;
#ifdef NO_NEXT_PROMISE
		promised[v] = ballot
#else
		promised[v] = (next > ballot -> next : ballot)
#endif
	};
	d_step {
		if
		:: accepted[v] == ballot ->
			SYNC_BEFORE_ANSWER(v);
			answers = answers | bit(v)
		:: else
		fi
	}
}

inline check_chosen() {
	d_step {
		other = 1;
		do
		:: other <= 4 ->
			assert(!(chosen & bit(other))
				|| (lineage[ballot] & bit(other))
				|| (lineage[other] & bit(ballot)));
			other++
		:: else -> break
		od;
		other = 0;
		chosen = chosen | bit(ballot)
	}
}

inline propose(parent) {
	d_step {
		lineage[ballot] = lineage[parent] | bit(ballot);
		answers = 0
	};
	do
	:: !has_majority(answers) -> accept_at(0)
	:: !has_majority(answers) -> accept_at(1)
	:: !has_majority(answers) -> accept_at(2)
	:: has_majority(answers) -> check_chosen(); break
	:: !has_majority(answers) -> goto stop
	od
}

inline prepare() {
	d_step { answers = 0; highest = 0 };
	do
	:: !has_majority(answers) -> prepare_at(0)
	:: !has_majority(answers) -> prepare_at(1)
	:: !has_majority(answers) -> prepare_at(2)
	:: has_majority(answers) -> break
	:: !has_majority(answers) -> goto stop
	od
}

proctype Proposer(byte first) {
	byte ballot = first;
	byte next = first + 2;
	byte answers, highest, other;

	prepare();
	propose(highest);
	/* The open round: a majority has promised `next` along with its accept. */
	highest = ballot;
	ballot = next;
	next = 0;
	propose(highest);
stop:
	skip
}

proctype Crasher() {
	byte left = CRASHES;
	do
	:: left > 0 -> d_step { crash(0); left-- }
	:: left > 0 -> d_step { crash(1); left-- }
	:: break
	od
}

init {
	atomic {
		run Proposer(1);
		run Proposer(2);
		run Crasher()
	}
}
