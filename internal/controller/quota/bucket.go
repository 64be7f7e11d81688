package quota

import (
	"math"
	"time"
)

// Bucket is one customer's token bucket at its coordinator.
type Bucket struct {
	limit Limit
	// share states what each shareholder is entitled to.
	share    Share
	tokens   float64
	filledAt time.Time
	// grantsFrom is when the first tokens may be granted. This process does not know which tokens
	// an earlier process of this coordinator granted, but by then no node holds them any more.
	grantsFrom time.Time
	nodes      map[string]*nodeState
	// given and received are the tokens that other coordinators of the customer took from this one, and
	// those that they gave to it, as long as they count.
	given, received []transfer
	urgency         urgency
}

// nodeState is what the coordinator knows about one node.
type nodeState struct {
	// held is the number of tokens that the node stated in its last report, plus what was granted
	// in answer to it. shortfall is how many more the node asked for. reserved is how many tokens
	// of the bucket are set aside for the node while there are too few for all nodes.
	held      float64
	shortfall float64
	reserved  float64
	// lentUntil is when this coordinator stops counting the node's share as lent. The node
	// itself uses its share again only later (see Account.lentUntil).
	lentUntil  time.Time
	reportedAt time.Time
	// run and number are those of the latest report.
	run    uint32
	number uint64
	// lapses is true if the node holds nothing from GrantTTL after its last report on.
	lapses bool
}

// heldAt returns how many tokens the node may hold at now.
func (n *nodeState) heldAt(now time.Time) float64 {
	if n.lapses && now.Sub(n.reportedAt) > GrantTTL {
		return 0
	}
	return n.held
}

// forgetNodeAfter is how long a node's tokens are counted after its last report. A dead
// node's tokens are deliberately counted for longer than it could hold them, so that the
// bucket stays within the burst.
const forgetNodeAfter = 10 * time.Second

// NewBucket returns an empty Bucket. The process has run since startedAt.
func NewBucket(startedAt time.Time) *Bucket {
	return &Bucket{filledAt: startedAt, grantsFrom: startedAt.Add(TransferTTL + GrantTTL), nodes: make(map[string]*nodeState)}
}

// Configure changes the limit.
func (b *Bucket) Configure(limit Limit, now time.Time) {
	b.fill(now)
	b.limit = limit
}

// SetShare sets what each shareholder is entitled to.
func (b *Bucket) SetShare(share Share, now time.Time) {
	b.fill(now)
	b.share = share
}

// fill adds the tokens that the lent shares have earned since the last call, up to their part
// of the burst. Shares that are lent to another coordinator or used by their holders are not
// counted here.
func (b *Bucket) fill(now time.Time) {
	from := b.filledAt
	b.filledAt = now
	b.forgetTransfers(now)
	earned := 0.0
	for name, n := range b.nodes {
		if now.Sub(n.reportedAt) > forgetNodeAfter {
			delete(b.nodes, name)
			continue
		}
		if until := earlier(now, n.lentUntil); until.After(from) {
			earned += until.Sub(from).Seconds() * b.share.Each
		}
	}
	previous := b.tokens
	b.tokens += earned * b.limit.Rate
	b.tokens = max(0, min(b.tokens, b.headroom(now)))
	b.reserve(b.tokens-previous, now)
}

// reserve distributes tokens added to the bucket among the nodes, in proportion to their
// shortfalls.
func (b *Bucket) reserve(added float64, now time.Time) {
	total := b.totalShortfall(now)
	for _, n := range b.nodes {
		if added > 0 && total > 0 && now.Sub(n.reportedAt) <= LoanTTL {
			n.reserved += added * n.shortfall / total
		}
		n.reserved = min(n.reserved, n.shortfall)
	}
}

// totalShortfall returns how many more tokens the nodes that reported within LoanTTL ask for.
func (b *Bucket) totalShortfall(now time.Time) float64 {
	total := 0.0
	for _, n := range b.nodes {
		if now.Sub(n.reportedAt) <= LoanTTL {
			total += n.shortfall
		}
	}
	return total
}

// headroom returns how many tokens there may be besides those that nodes hold. It is negative
// when a loan has ended and nodes still hold tokens backed by that share.
func (b *Bucket) headroom(now time.Time) float64 {
	headroom := b.limit.Burst*b.Lent(now) + total(b.received, now) - total(b.given, now)
	for _, n := range b.nodes {
		headroom -= n.heldAt(now)
	}
	return headroom
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// HandleReport processes a node's report, received at now, and returns the number of tokens
// granted. If the number is negative, the node must give up that many tokens. Where the report recalls a
// loan, it returns for how many seconds tokens that were transferred to others are backed by that loan.
func (b *Bucket) HandleReport(node string, r Report, now time.Time) float64 {
	b.fill(now)
	n := b.nodes[node]
	if n == nil {
		n = &nodeState{}
		b.nodes[node] = n
	}
	if n.isAfter(r) {
		if r.RecallsLoan {
			n.lentUntil = earlier(n.lentUntil, now)
			return b.outstanding(now).Seconds()
		}
		return 0
	}
	n.run, n.number = r.Run, r.Number
	n.held, n.lapses = r.Held, r.Lapses
	n.reportedAt = now
	switch {
	case r.Lent:
		n.lentUntil = now.Add(LoanTTL)
	case r.RecallsLoan:
		n.lentUntil = earlier(n.lentUntil, now)
	}
	b.tokens += r.Returned
	b.fill(now)
	if r.RecallsLoan {
		return b.outstanding(now).Seconds()
	}
	n.shortfall = max(0, r.Wanted-r.Held)
	b.urgency.note(r, now)
	granted := b.grant(n, r, now)
	b.urgency.charge(r, granted, now)
	b.tokens -= max(0, granted)
	n.held += granted
	n.shortfall = max(0, n.shortfall-granted)
	n.reserved = min(n.shortfall, max(0, n.reserved-granted))
	return granted
}

// IsOutdated reports whether a later report of the same process was processed before r, so that HandleReport ignores
// r. It must not be answered: the node would take the answer for what the coordinator counts. A loan may be
// recalled in any order.
func (b *Bucket) IsOutdated(node string, r Report) bool {
	n := b.nodes[node]
	return n != nil && n.isAfter(r) && !r.RecallsLoan
}

// isAfter reports whether the latest report is a later one of the same process than r.
func (n *nodeState) isAfter(r Report) bool { return n.run == r.Run && r.Number < n.number }

// grant returns the grant for a node's report. If all nodes together hold too many tokens,
// each gives up those above its share of the burst. The share counts as 0 for a node whose
// report does not lend it to this coordinator. If the bucket holds fewer tokens than all nodes
// ask for, each gets only those reserved for it, so that a node with many callers cannot take
// the tokens of other nodes. Tokens that are granted on demand go to whoever asks first, whole
// tokens only, since a reserved part of one serves no request.
func (b *Bucket) grant(n *nodeState, r Report, now time.Time) float64 {
	if headroom := b.headroom(now); headroom < 0 {
		burstShare := 0.0
		if r.Lent {
			burstShare = b.limit.Burst * b.share.Each
		}
		return max(headroom, min(0, burstShare-r.Held))
	}
	if now.Before(b.grantsFrom) {
		return 0
	}
	available := b.availableTo(r, now)
	if b.totalShortfall(now) <= available {
		return n.shortfall
	}
	if b.share.grantsOnDemand(b.limit) {
		return min(n.shortfall, math.Floor(available))
	}
	return min(n.shortfall, max(min(n.reserved, available), b.grantByUrgency(r, now)))
}

// Lent returns the fraction of the limit that is lent to this coordinator at now.
func (b *Bucket) Lent(now time.Time) float64 {
	lent := 0.0
	for _, n := range b.nodes {
		if now.Before(n.lentUntil) {
			lent += b.share.Each
		}
	}
	return lent
}

// Tokens returns the number of tokens in the bucket at now.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.fill(now)
	return b.tokens
}
