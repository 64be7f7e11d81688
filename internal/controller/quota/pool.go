package quota

import "time"

// Pool is one customer's bucket at its coordinator.
type Pool struct {
	limit Limit
	// share is each trustee's right to a part of the whole, 0 to 1.
	share  float64
	tokens float64
	filled time.Time
	// opens is when the first tokens are granted: by then nobody holds tokens of a former
	// process of this coordinator that this one does not know of.
	opens time.Time
	nodes map[string]*holder
}

// holder is what the coordinator knows of one node.
type holder struct {
	// held is the number of tokens that the node may hold, short how many more it asked for,
	// due how many of those in the bucket are for it while there are too few.
	held  float64
	short float64
	due   float64
	// lentUntil is the end of its loan.
	lentUntil time.Time
	heardAt   time.Time
}

// forgetAfter is how long a node's tokens count after its last report. It holds more than
// it ever would of a dead one, so that the bucket stays within the burst.
const forgetAfter = 10 * time.Second

// NewPool returns an empty Pool.
func NewPool(now time.Time) *Pool {
	return &Pool{filled: now, opens: now.Add(TokenTerm), nodes: make(map[string]*holder)}
}

// Configure changes the limit.
func (p *Pool) Configure(limit Limit, now time.Time) {
	p.fill(now)
	p.limit = limit
}

// SetShare sets each trustee's right, 0 to 1.
func (p *Pool) SetShare(share float64, now time.Time) {
	p.fill(now)
	p.share = share
}

// fill adds what the lent shares brought since the last call, up to their part of the
// burst: what is lent to another coordinator, or used by its owner, counts there.
func (p *Pool) fill(now time.Time) {
	from := p.filled
	p.filled = now
	brought := 0.0
	for name, h := range p.nodes {
		if now.Sub(h.heardAt) > forgetAfter {
			delete(p.nodes, name)
			continue
		}
		if until := earlier(now, h.lentUntil); until.After(from) {
			brought += until.Sub(from).Seconds() * p.share
		}
	}
	before := p.tokens
	p.tokens += brought * p.limit.Rate
	p.tokens = max(0, min(p.tokens, p.room(now)))
	p.divide(p.tokens-before, now)
}

// divide shares tokens that came into the bucket between the nodes, by what each asks for.
func (p *Pool) divide(came float64, now time.Time) {
	all := p.short(now)
	for _, h := range p.nodes {
		if came > 0 && all > 0 && now.Sub(h.heardAt) <= LoanTerm {
			h.due += came * h.short / all
		}
		h.due = min(h.due, h.short)
	}
}

// short is how many tokens the nodes that were heard of late ask for.
func (p *Pool) short(now time.Time) float64 {
	all := 0.0
	for _, h := range p.nodes {
		if now.Sub(h.heardAt) <= LoanTerm {
			all += h.short
		}
	}
	return all
}

// room is how many tokens there may be beside those that nodes hold. It is negative once a
// share is lent no more and nodes hold tokens that it had backed.
func (p *Pool) room(now time.Time) float64 {
	room := p.limit.Burst * p.Lent(now)
	for _, h := range p.nodes {
		room -= h.held
	}
	return room
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Report takes a node's report, received at now, and returns the tokens granted to it. A
// negative number is to be given up.
func (p *Pool) Report(node string, r Report, now time.Time) float64 {
	p.fill(now)
	h := p.nodes[node]
	if h == nil {
		h = &holder{}
		p.nodes[node] = h
	}
	h.held = r.Held
	h.heardAt = now
	switch {
	case r.Lent:
		h.lentUntil = now.Add(LoanTerm)
	case r.TakenBack:
		h.lentUntil = earlier(h.lentUntil, now)
	}
	p.tokens += r.Returned
	p.fill(now)
	h.short = max(0, r.Wanted-r.Held)
	granted := p.grant(h, r, now)
	p.tokens -= max(0, granted)
	h.held += granted
	h.short = max(0, h.short-granted)
	h.due = min(h.short, max(0, h.due-granted))
	return granted
}

// grant returns what a node gets for its report. Where nodes hold too much in all, each gives
// up what exceeds its part of the burst; one whose share is not lent here has none. Where the
// bucket holds less than all nodes ask for, each gets its part: a node with many callers near it
// takes nothing from those of the others.
func (p *Pool) grant(h *holder, r Report, now time.Time) float64 {
	if room := p.room(now); room < 0 {
		part := 0.0
		if r.Lent {
			part = p.limit.Burst * p.share
		}
		return max(room, min(0, part-r.Held))
	}
	if now.Before(p.opens) {
		return 0
	}
	if p.short(now) <= p.tokens {
		return h.short
	}
	return min(h.short, h.due, p.tokens)
}

// Lent returns the part of the whole that is lent at now.
func (p *Pool) Lent(now time.Time) float64 {
	part := 0.0
	for _, h := range p.nodes {
		if now.Before(h.lentUntil) {
			part += p.share
		}
	}
	return part
}

// Tokens returns the tokens in the bucket.
func (p *Pool) Tokens(now time.Time) float64 {
	p.fill(now)
	return p.tokens
}
