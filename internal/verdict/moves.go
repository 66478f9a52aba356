package verdict

// The load: some hundred long prompts share a few thousand tokens each, engines can hold
// each shared part in one or two places, and own parts, which nobody asks for again, push
// them out within about ten seconds. A part that is held anywhere is moved and not computed
// again, and a store beside the engines keeps a copy.

// MinTransfer is the least that is worth a fetch or a save, in tokens. A transfer waits its turn
// on both links behind those of whole prompts, which take 50 to 130 ms each. With 64, prompts
// with 200 shared tokens waited up to 450 ms for moves that save 5 ms of computing. In time of
// all prompts asked: 0.692 with 64, 0.700 with 512 (15 days with faults, standard error of the
// difference 0.003).
const MinTransfer = 512

// Prompt is what a move is about, in tokens.
type Prompt struct {
	Tokens int32 // of all of it
	Shared int32 // that other prompts may have, too
}

// Source is somewhere to fetch from, and how many tokens of the prompt it is believed to
// hold.
type Source struct {
	Addr   string // empty: there is none
	Tokens int32
}

// Locations are where parts of a prompt are believed to be.
type Locations struct {
	Held       int32  // at the chosen target
	Holder     Source // the other target that holds most
	Rendezvous string // address of the target to which all VMs send the prompt; empty: it is the chosen one
	Store      Source
}

// TransferPlan says what goes along with a call.
type TransferPlan struct {
	Fetch string // address to fetch from; empty: nowhere
	Save  bool   // to the store
	Work  int32  // tokens that the target is left to compute
}

// PlanTransfer plans the moves. A prefix that another target holds is fetched from there, unless the
// store holds more of it: where engines hold the common terms only, the rest of a contract
// was computed again. Where nobody is believed to hold more, its home is asked, to which
// other VMs send it, and then the store: a look-up that finds nothing takes a millisecond,
// and a target fetches only what it lacks. Where the target is believed to hold all of it,
// the store is named all the same: the belief may be wrong.
func PlanTransfer(p Prompt, at Locations) TransferPlan {
	m := TransferPlan{Work: max(p.Tokens-at.Held, 0)}
	if at.Holder.Tokens-at.Held >= MinTransfer {
		m.Fetch, m.Work = at.Holder.Addr, max(p.Tokens-at.Holder.Tokens, 0)
	}
	if at.Store.Addr == "" || p.Shared < MinTransfer {
		return m
	}
	stored := at.Store.Tokens
	if stored-max(at.Holder.Tokens, at.Held) >= MinTransfer {
		m.Fetch, m.Work = at.Store.Addr, max(p.Tokens-stored, 0)
	}
	if m.Fetch == "" {
		if stored >= MinTransfer {
			m.Work = max(min(m.Work, p.Tokens-stored), 0)
		}
		m.Fetch = at.Store.Addr
		if stored < p.Shared && at.Held < p.Shared && at.Rendezvous != "" {
			m.Fetch = at.Rendezvous
		}
	}
	m.Save = p.Shared-at.Held >= MinTransfer && savable(p.Tokens-p.Shared, p.Shared-stored)
	return m
}

// A prefix is saved along with the prompt that computes it: asked for with each prompt whose
// prefix the store lacks, every VM asks again. This and the store where it holds more, against
// neither: worth +0.013, of all that is owed +0.005 (13 days with faults of two sites, standard
// errors 0.006 and 0.002), the price of tokens read again 22% less.
//
// savable tells whether a prompt is one to save along with, by the tokens of its own part
// and those that the store lacks. A target saves the own part, too: it takes as much of the
// link and of the store's memory, and nobody ever asks for it. Parts that several prompts
// share come again with a shorter own part. When every prompt was taken, half of the store
// held own parts, shared ones gave way after 8 s (median), and half of the saves found the
// link taken: worth 0.514 against 0.526 (15 days with faults, standard error of the difference
// 0.009), the part served in time the same.
func savable(own, missing int32) bool { return missing >= MinTransfer && own <= missing }
